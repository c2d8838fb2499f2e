// Part of EndpointWorker: polls engines for their load, availability and KV cache holds.

#include <glog/logging.h>

#include <utility>

#include "src/daemon/endpoint_worker.h"

namespace acaciaspring::daemon {

namespace {

constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
// Time after which the hold of an ended or unknown program is released. A program may be unknown
// because this daemon has not yet applied the record that creates it; it must do so within this
// time.
constexpr Duration kOrphanedHoldGracePeriod = std::chrono::seconds(3);
// An engine gets no new calls after this many consecutive failed polls.
constexpr std::uint32_t kMaxFailedPolls = 3;

}  // namespace

void EndpointWorker::PollLoad() {
  const auto on_load = [this](const endpoint::Reply<endpoint::EngineLoad>& reply) {
    const bool was_available = available();
    if (const auto* load = std::get_if<endpoint::EngineLoad>(&reply)) {
      failed_polls_ = 0;
      unreachable_ = false;
      reported_leaving_ = load->leaving;
    } else {
      unreachable_ = ++failed_polls_ >= kMaxFailedPolls;
    }
    if (was_available != available()) {
      LOG(INFO) << "endpoint " << target_.id
                << (available() ? " accepts calls"
                                : " gets no new calls: it is leaving or does not respond");
    }
    if (!available()) {
      RefuseQueued(NotRunReason::kEndpointUnavailable);
    } else {
      StartQueuedCalls();
    }
  };
  load_poll_ = endpoint::FetchLoad(context_.http, {target_.address, kPollTimeout}, on_load);
}

bool EndpointWorker::IsEndedOrUnknown(const ProgramId& program) const {
  const journal::Program* known = context_.journal.state().FindProgram(program);
  return known == nullptr || known->ended;
}

void EndpointWorker::PollHolds() {
  const auto on_holds = [this](const endpoint::Reply<std::vector<endpoint::Hold>>& reply) {
    const auto* holds = std::get_if<std::vector<endpoint::Hold>>(&reply);
    if (holds == nullptr) {
      return;
    }
    const MonotonicTime now = context_.loop.Now();
    std::map<ProgramId, MonotonicTime> orphaned_holds;
    for (const endpoint::Hold& hold : *holds) {
      if (!IsEndedOrUnknown(hold.program)) {
        continue;
      }
      const auto previous = orphaned_holds_.find(hold.program);
      const MonotonicTime first_seen = previous == orphaned_holds_.end() ? now : previous->second;
      if (now - first_seen >= kOrphanedHoldGracePeriod) {
        LOG(INFO) << "releasing the hold of program " << hold.program << " on endpoint "
                  << target_.id << ": the program has ended or is unknown";
        ReleaseHold(hold.program);
      }
      orphaned_holds[hold.program] = first_seen;
    }
    orphaned_holds_ = std::move(orphaned_holds);
  };
  hold_poll_ = endpoint::ListHolds(context_.http, {target_.address, kPollTimeout}, on_holds);
}

void EndpointWorker::ReleaseProgram(const ProgramId& program) {
  if (is_engine() && possible_holds_.erase(program) > 0) {
    ReleaseHold(program);
  }
}

void EndpointWorker::ReleaseHold(const ProgramId& program) {
  releases_[program] =
      endpoint::ReleaseHold(context_.http, {target_.address, kPollTimeout}, program,
                            [this, program](const endpoint::Reply<endpoint::HoldReleased>&) {
                              releases_.erase(program);
                            });
}

}  // namespace acaciaspring::daemon
