#ifndef ACACIASPRING_SRC_BENCH_RECORDER_H_
#define ACACIASPRING_SRC_BENCH_RECORDER_H_

#include <deque>
#include <set>

#include "src/bench/dispatcher.h"
#include "src/bench/home_router.h"

namespace acaciaspring::bench {

/// @brief State of a program in the simulation.
struct Program {
  ProgramSpec spec;
  std::size_t turn = 0;
  std::size_t home = 0;
  std::uint32_t history_tokens = 0;
  /// Tokens of the history that an engine has computed before.
  std::uint32_t computed_tokens = 0;
  std::uint32_t exported_tokens = 0;
  std::uint64_t attained_service = 0;
  /// Retries of the current turn after refusals.
  int retries = 0;
  /// Sum of the pauses for the user, which do not count as latency.
  double user_pause_s = 0;
  bool ended = false;
  // State of the current call.
  std::uint64_t call = 0;
  std::size_t engine = 0;
  CallDescription description;
  double enqueued_s = 0;
  /// Start of the prefill, or -1 before it.
  double started_s = -1;
};

/// @brief Collects the results of one run. Results by program leave out the programs that start
/// during the warm-up.
class Recorder {
 public:
  Recorder(const Deployment& deployment, const Horizon& horizon);

  void OnOffered(const Program& program);
  void OnRefused(const Program& program);
  /// @brief Counts a program that gave up after too many refusals of one call.
  void OnGivenUp(const Program& program);
  void OnStarted(const Program& program, double now);
  /// @brief Counts the prompt tokens of an ended call, and those of them that were recomputed
  /// although an engine had computed them before.
  void OnPrefilled(const Program& program, const Stream& stream, double now);
  /// @brief Counts the served cost of the current turn, for which `uncached` prompt tokens were
  /// computed.
  void OnTurnServed(const Program& program, std::uint32_t uncached, double now);
  void OnEnded(const Program& program, double now);
  /// @brief Adds the counters of a dispatcher at the end of the run.
  void AddDispatcher(const Dispatcher& dispatcher);
  /// @brief Counts the programs that are still in progress and returns the results.
  RunResult Finish(const std::deque<Program>& programs, double now);

 private:
  bool IsMeasured(const Program& program) const {
    return program.spec.start_s >= horizon_.warm_up_s;
  }
  ClassResult& ResultOf(const Program& program) {
    return result_.classes[program.spec.priority_class];
  }
  bool IsLeastUrgent(const Program& program) const {
    return program.spec.priority_class + 1 == result_.classes.size();
  }

  Horizon horizon_;
  /// Shared prefixes that some engine has computed.
  std::set<PrefixId> computed_shared_prefixes_;
  RunResult result_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_RECORDER_H_
