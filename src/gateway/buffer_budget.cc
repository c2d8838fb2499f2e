#include "src/gateway/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Rates are measured over one to two of these periods. A caller's acknowledgements come in steps of
// several kilobytes, so a shorter period would show slow callers as stopped and as fast in turn.
constexpr Duration kRatePeriod = std::chrono::seconds(1);
// A complete response whose caller has acknowledged nothing for this time may be closed. Callers
// that read 2 KB/s acknowledge a socket buffer's half, about 16 KB, at a time.
constexpr Duration kMaxStall = std::chrono::seconds(10);
// Connections that buffer less than this share of the memory are not closed: it would free little,
// and fast callers have a few kilobytes in flight.
constexpr std::size_t kMinShareDivisor = 4096;
// Closing goes on to this share of the closing threshold, so that it does not run for each byte.
constexpr double kClosingTarget = 0.875;

}  // namespace

void BufferBudget::Update(BufferId id, const BufferState& state, MonotonicTime now) {
  const auto [found, is_new] = responses_.try_emplace(id);
  Response& response = found->second;
  if (is_new) {
    response = {.last_progress = now,
                .period_start = now,
                .delivered_at_start = state.delivered_bytes,
                .former_start = now,
                .delivered_at_former_start = state.delivered_bytes,
                .known_since = now};
  } else if (state.delivered_bytes > response.state.delivered_bytes) {
    response.last_progress = now;
  }
  response_bytes_ += state.buffered_bytes;
  response_bytes_ -= response.state.buffered_bytes;
  response.state = state;
  if (now - response.period_start >= kRatePeriod) {
    response.former_start = std::exchange(response.period_start, now);
    response.delivered_at_former_start =
        std::exchange(response.delivered_at_start, state.delivered_bytes);
  }
}

void BufferBudget::Remove(BufferId id) {
  if (const auto found = responses_.find(id); found != responses_.end()) {
    response_bytes_ -= found->second.state.buffered_bytes;
    responses_.erase(found);
  }
}

double BufferBudget::DrainSeconds(const Response& response, MonotonicTime now) {
  if (now - response.known_since < kRatePeriod) {
    // Too early to tell a slow caller, so that those known to be slow come first.
    return std::chrono::duration<double>(kRatePeriod).count();
  }
  const double seconds = std::chrono::duration<double>(now - response.former_start).count();
  const auto delivered =
      static_cast<double>(response.state.delivered_bytes - response.delivered_at_former_start);
  // Less than a byte per second counts as one, so that of stopped callers those with the most bytes
  // come first.
  const double rate = std::max(1.0, delivered / seconds);
  return static_cast<double>(response.state.buffered_bytes) / rate;
}

bool BufferBudget::MayClose(const Response& response, MonotonicTime now) const {
  if (response.state.buffered_bytes < memory_bytes_ / kMinShareDivisor) {
    return false;
  }
  return !response.state.complete || now - response.last_progress >= kMaxStall;
}

std::vector<BufferId> BufferBudget::ChooseToClose(MonotonicTime now) const {
  if (!IsOverClosingThreshold()) {
    return {};
  }
  struct Candidate {
    double drain_seconds;
    std::size_t bytes;
    BufferId id;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, response] : responses_) {
    if (MayClose(response, now)) {
      candidates.push_back({DrainSeconds(response, now), response.state.buffered_bytes, id});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(a.drain_seconds, a.bytes) > std::pair(b.drain_seconds, b.bytes);
  });
  const auto target =
      static_cast<std::size_t>(kClosingTarget * static_cast<double>(closing_threshold()));
  std::size_t left_in_responses = response_bytes_;
  std::vector<BufferId> chosen;
  for (const Candidate& candidate : candidates) {
    // Responses to callers that read well are not closed for what requests and chains hold.
    const bool is_slow =
        candidate.drain_seconds > std::chrono::duration<double>(kRatePeriod).count();
    if (left_in_responses + other_bytes_ <= target ||
        (!is_slow && left_in_responses <= refusal_threshold())) {
      break;
    }
    left_in_responses -= candidate.bytes;
    chosen.push_back(candidate.id);
  }
  return chosen;
}

}  // namespace acaciaspring::gateway
