#include <algorithm>
#include <tuple>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

bool MayPause(const RunningCall& call,
              std::uint32_t rank,
              std::uint32_t for_rank,
              const PreemptionOptions& options) {
  return rank > for_rank && call.resumable && !call.served_by_minimum_share &&
         call.pauses < options.max_pauses;
}

}  // namespace

std::optional<QueuedCallId> ChoosePreemption(const EndpointQueue& queue,
                                             std::span<const RunningCall> running,
                                             const PreemptionOptions& options) {
  const auto urgent = queue.MostUrgentClass();
  if (!urgent || queue.Policy(*urgent).rank > options.preempting_rank) {
    return std::nullopt;
  }
  // The freed slot goes to the next call in service order, which may belong to a less urgent class
  // below its minimum share. Streams of that class are not paused for it.
  const std::uint32_t next_rank = queue.Policy(*queue.NextClass()).rank;
  // Prefers the least urgent class, then the fewest pauses, then the most remaining work.
  using Key = std::tuple<std::uint32_t, std::int64_t, TokenCount>;
  std::optional<std::pair<Key, QueuedCallId>> best;
  for (const RunningCall& call : running) {
    const std::uint32_t rank = queue.Policy(call.priority_class).rank;
    if (!MayPause(call, rank, next_rank, options)) {
      continue;
    }
    const Key key{rank, -static_cast<std::int64_t>(call.pauses), call.expected_remaining};
    if (!best || key > best->first) {
      best = {key, call.id};
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

std::uint32_t CountPausable(const EndpointQueue& queue,
                            const PriorityClassId& priority_class,
                            std::span<const RunningCall> running,
                            const PreemptionOptions& options) {
  const std::uint32_t for_rank = queue.Policy(priority_class).rank;
  if (for_rank > options.preempting_rank) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::ranges::count_if(running, [&](const RunningCall& call) {
    return MayPause(call, queue.Policy(call.priority_class).rank, for_rank, options);
  }));
}

}  // namespace acaciaspring
