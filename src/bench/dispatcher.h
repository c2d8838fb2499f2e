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

/// @brief A call on its way through a dispatcher.
struct Submission {
  QueuedCall queued;
  Stream stream;
};

/// @brief One engine with its queue: admission, order and preemption.
class Dispatcher {
 public:
  Dispatcher(const Deployment& deployment, const Strategy& strategy, const EngineOptions& engine);

  /// @return the refusal, or none if the call is queued.
  std::optional<NotRun> Submit(const Submission& submission, double now);
  /// @brief Fills free slots and pauses streams for urgent calls; only between two steps.
  void FillSlots(double now);
  /// @brief Takes over the end of a stream.
  void OnEnded(const Stream& stream, double duration_s);
  /// @brief Drops all queued and running calls and returns their ids.
  std::vector<std::uint64_t> Fail();

  RankCounts YieldingByRank() const;
  std::size_t waiting() const { return queue_.size(); }
  std::uint64_t pauses() const { return pauses_; }
  /// @brief Refused calls, by class, that would have started within their target.
  const std::vector<std::uint64_t>& refused_in_time() const { return refused_in_time_; }

  Engine engine;
  bool stepping = false;
  bool lost = false;
  StepResult step;

 private:
  /// A refused call, kept to find out when its turn would have come.
  struct Ghost {
    std::uint32_t rank = 0;
    OrganisationId organisation;
    /// Position among the calls of its organisation.
    double key = 0;
    MonotonicTime target;
  };
  struct Running {
    QueuedCall queued;
    std::uint32_t pauses = 0;
  };

  void Run(QueuedCall call, double now);
  bool PauseOne(double now);
  std::vector<RunningCall> RunningCalls() const;
  double OrderKey(const QueuedCall& call) const;
  void ServeGhost(const QueuedCall& popped, MonotonicTime now);
  std::uint32_t Rank(const PriorityClassId& priority_class) const;
  EndpointOccupancy Occupancy(const PriorityClassId& priority_class) const;

  const Strategy& strategy_;
  EndpointQueue queue_;
  Admission admission_;
  std::unordered_map<QueuedCallId, Stream> waiting_;
  std::unordered_map<QueuedCallId, Running> running_;
  std::unordered_map<QueuedCallId, std::uint32_t> paused_;
  std::list<Ghost> ghosts_;
  /// Queued calls by rank and organisation.
  std::map<std::pair<std::uint32_t, OrganisationId>, int> queued_;
  std::vector<std::uint64_t> refused_in_time_;
  double mean_cost_ = 200;
  double mean_duration_s_ = 5;
  std::uint64_t pauses_ = 0;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_DISPATCHER_H_
