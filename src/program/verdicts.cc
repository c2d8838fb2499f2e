// Continues a call after the verdict on its record.

#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

NotRunReason ToNotRunReason(journal::RejectReason reason) {
  switch (reason) {
    case journal::RejectReason::kBudgetExhausted:
      return NotRunReason::kBudgetExhausted;
    case journal::RejectReason::kCallLimitReached:
      return NotRunReason::kCallLimitReached;
    case journal::RejectReason::kProgramEnded:
    case journal::RejectReason::kParentEnded:
      return NotRunReason::kProgramEnded;
    case journal::RejectReason::kUnknownProgram:
    case journal::RejectReason::kUnknownParent:
      return NotRunReason::kUnknownProgram;
    case journal::RejectReason::kKeyConflict:
    case journal::RejectReason::kKeyExists:
      return NotRunReason::kKeyConflict;
    case journal::RejectReason::kUndecided:
      return NotRunReason::kLogUnavailable;
    case journal::RejectReason::kOutdated:
      // This reason makes the entry daemon retry the call, which then runs on the newer state.
      return NotRunReason::kOwnerUnavailable;
    default:
      return NotRunReason::kInvalidRequest;
  }
}

}  // namespace

void HomeImpl::OnVerdict(AppendId append, const journal::Verdict& verdict) {
  const auto found = pending_appends_.find(append);
  if (found == pending_appends_.end()) {
    return;
  }
  const auto it = programs_.find(found->second);
  pending_appends_.erase(found);
  if (it == programs_.end() || !it->second.running.has_value() ||
      it->second.running->append != append) {
    return;
  }
  std::visit(Overloaded{
                 [&](const journal::Accepted&) { OnAccepted(it); },
                 [&](const journal::Duplicate&) { OnAccepted(it); },
                 [&](const journal::Rejected& rejected) { OnRejected(it, rejected); },
             },
             verdict);
}

void HomeImpl::OnAccepted(CallsIterator it) {
  RunningCall& running = *it->second.running;
  switch (running.phase) {
    case Phase::kAuthorising:
      if (running.expired) {
        return Finish(it, NotRun{NotRunReason::kDeadlineExceeded}, "", {});
      }
      return Dispatch(it);
    case Phase::kRecordingIntent:
      if (running.expired) {
        // The subscribers have received NotRun, so the call must not be dispatched.
        journal::EffectFinished record;
        record.program = it->first;
        record.epoch = running.epoch;
        record.key = running.call.request.key;
        record.outcome = NotRun{NotRunReason::kDeadlineExceeded};
        return Append(running, Phase::kCancellingIntent, std::move(record));
      }
      return Dispatch(it);
    case Phase::kCreating:
      return Finish(it, Completed{}, CreationAsJson(it->first), {});
    case Phase::kEnding:
      return Finish(it, Completed{}, "{}", {});
    case Phase::kCharging:
    case Phase::kCancellingIntent:
    case Phase::kCommitting:
      return Finish(it, running.outcome, running.body, running.usage);
    case Phase::kDispatching:
      return;
  }
}

void HomeImpl::OnRejected(CallsIterator it, const journal::Rejected& rejected) {
  RunningCall& running = *it->second.running;
  switch (rejected.reason) {
    case journal::RejectReason::kStaleEpoch:
    case journal::RejectReason::kNotOwner:
      return DropCalls(it);
    case journal::RejectReason::kProgramExists:
      return Finish(it, Completed{}, CreationAsJson(it->first), {});
    case journal::RejectReason::kProgramEnded:
      if (running.phase == Phase::kEnding) {
        return Finish(it, Completed{}, "{}", {});
      }
      break;
    default:
      break;
  }
  if (running.phase == Phase::kAuthorising && running.may_have_run) {
    return Append(running, Phase::kCharging,
                  MakeSpendAuthorised(running, running.max_spend(), TokenCount()));
  }
  if (running.phase == Phase::kCommitting || running.phase == Phase::kCharging) {
    return Finish(it, Unknown{UnknownReason::kOwnerChanged}, "", {});
  }
  const bool changes_program = running.phase == Phase::kCreating || running.phase == Phase::kEnding;
  if (changes_program && rejected.reason == journal::RejectReason::kUndecided) {
    return Finish(it, Unknown{UnknownReason::kLogUnavailable}, "", {});
  }
  const NotRunReason reason = ToNotRunReason(rejected.reason);
  Finish(it, NotRun{reason, RetryDelay(reason)}, "", {});
}

}  // namespace acaciaspring::program
