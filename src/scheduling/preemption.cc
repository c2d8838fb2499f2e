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
  // The freed slot goes to the next call, which may be of a less urgent class that is owed its
  // share; a stream of that class is not paused for it.
  const std::uint32_t next_rank = queue.Policy(*queue.NextClass()).rank;
  // Least urgent first, then fewest pauses, then the most remaining work.
  using Key = std::tuple<std::uint32_t, std::int64_t, TokenCount>;
  std::optional<std::pair<Key, QueuedCallId>> best;
  for (const RunningCall& call : running) {
    const std::uint32_t rank = queue.Policy(call.priority_class).rank;
    if (rank <= next_rank || !call.resumable || call.on_minimum_share ||
        call.pauses >= options.max_pauses) {
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
