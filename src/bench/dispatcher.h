#ifndef ACACIASPRING_SRC_BENCH_DISPATCHER_H_
#define ACACIASPRING_SRC_BENCH_DISPATCHER_H_

#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/bench/engine.h"
#include "src/bench/simulation.h"

namespace acaciaspring::bench {

/// @brief A call submitted to a dispatcher: its description for the queue and for the engine.
struct Submission {
  QueuedCall call;
  Stream stream;
};

/// @brief Dispatches calls to one engine: admission control, queue and preemption.
class Dispatcher {
 public:
  Dispatcher(const Deployment& deployment, const Strategy& strategy, const EngineOptions& engine);

  /// @return the refusal, or none if the call was admitted and queued.
  std::optional<NotRun> Submit(const Submission& submission, double now);
  /// @brief Starts queued calls in free slots and pauses streams for more urgent calls. Must not be
  /// called during an engine step.
  void FillSlots(double now);
  /// @brief Updates the queue and the moving averages after a stream has ended.
  void OnEnded(const Stream& stream, double duration_s);
  /// @brief Simulates the failure of the engine: drops all queued and running calls.
  /// @return the ids of the dropped calls.
  std::vector<std::uint64_t> Fail();

  /// @brief Counts the calls for LoadReport::yielding_by_rank.
  RankCounts YieldingByRank() const;
  std::size_t waiting() const { return queue_.size(); }
  std::uint64_t pauses() const { return pauses_; }
  /// @brief Number of refused calls, by rank, that would have started within their first-token
  /// target.
  const std::vector<std::uint64_t>& refused_in_time() const { return refused_in_time_; }

  Engine engine;
  bool step_in_progress = false;
  bool failed = false;
  StepResult step;

 private:
  /// A refused call, kept to find out whether it would have started within its target.
  struct RefusedCall {
    std::uint32_t rank = 0;
    OrganisationId organisation;
    /// Sort key among the calls of its organisation; a lower key is served first.
    double order_key = 0;
    MonotonicTime target_time;
  };
  struct ActiveCall {
    QueuedCall call;
    std::uint32_t pauses = 0;
  };

  void Run(QueuedCall call, double now);
  /// Pauses a running stream for a more urgent queued call, if preemption allows it.
  bool TryPreempt(double now);
  std::vector<RunningCall> RunningCalls() const;
  double OrderKey(const QueuedCall& call) const;
  /// Counts at most one refused call that would have been served instead of `popped`.
  void CountRefusedInTime(const QueuedCall& popped, MonotonicTime now);
  std::uint32_t Rank(const PriorityClassId& priority_class) const;
  EndpointOccupancy Occupancy(const PriorityClassId& priority_class) const;

  const Strategy& strategy_;
  EndpointQueue queue_;
  Admission admission_;
  std::unordered_map<QueuedCallId, Stream> queued_streams_;
  std::unordered_map<QueuedCallId, ActiveCall> active_calls_;
  /// Number of pauses of calls that were paused and have not ended.
  std::unordered_map<QueuedCallId, std::uint32_t> pause_counts_;
  std::list<RefusedCall> refused_calls_;
  /// Number of queued calls by rank and organisation.
  std::map<std::pair<std::uint32_t, OrganisationId>, int> queued_by_rank_and_organisation_;
  std::vector<std::uint64_t> refused_in_time_;
  /// Moving averages of the cost and duration of a call.
  double mean_cost_ = 200;
  double mean_duration_s_ = 5;
  std::uint64_t pauses_ = 0;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_DISPATCHER_H_
