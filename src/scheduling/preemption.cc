#include <algorithm>
#include <tuple>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {

std::optional<QueuedCallId> ChoosePreemption(const EndpointQueue& queue,
                                             std::span<const RunningCall> running,
                                             const PreemptionOptions& options) {
  const auto urgent = queue.MostUrgentClass();
  if (!urgent || queue.Policy(*urgent).rank > options.preempting_rank) {
    return std::nullopt;
  }
  const std::uint32_t urgent_rank = queue.Policy(*urgent).rank;
  for (const auto& policy : queue.options().classes) {
    // The freed slot would go to the owed class, not to the urgent call.
    if (policy.rank > urgent_rank && queue.BelowMinimumShare(policy.id)) {
      return std::nullopt;
    }
  }
  // Least urgent first, then fewest pauses, then the most remaining work.
  using Key = std::tuple<std::uint32_t, std::int64_t, TokenCount>;
  std::optional<std::pair<Key, QueuedCallId>> best;
  for (const RunningCall& call : running) {
    const std::uint32_t rank = queue.Policy(call.priority_class).rank;
    if (rank <= urgent_rank || !call.resumable || call.pauses >= options.max_pauses ||
        call.expected_remaining < options.min_remaining) {
      continue;
    }
    const Key key{rank, -static_cast<std::int64_t>(call.pauses), call.expected_remaining};
    if (!best || key > best->first) {
      best = {key, call.id};
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

}  // namespace acaciaspring
