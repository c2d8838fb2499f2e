#ifndef ACACIASPRING_SRC_BENCH_RECORDER_H_
#define ACACIASPRING_SRC_BENCH_RECORDER_H_

#include <deque>
#include <set>

#include "src/bench/dispatcher.h"
#include "src/bench/home_router.h"

namespace acaciaspring::bench {

/// @brief A program in the simulation.
struct Program {
  ProgramSpec spec;
  std::size_t turn = 0;
  std::size_t home = 0;
  std::uint32_t history = 0;
  /// Tokens of the history that some engine has computed before.
  std::uint32_t computed = 0;
  std::uint32_t exported = 0;
  std::uint64_t attained = 0;
  int retries = 0;
  double think_s = 0;
  bool ended = false;
  // The call in progress.
  std::uint64_t call = 0;
  std::size_t engine = 0;
  CallDescription description;
  double enqueued_s = 0;
  double started_s = -1;
};

/// @brief Collects the figures of one run; programs that start in the warm-up are left out.
class Recorder {
 public:
  Recorder(const Deployment& deployment, const Horizon& horizon);

  void Offered(const Program& program);
  void Refused(const Program& program);
  void RefusedForGood(const Program& program);
  void Started(const Program& program, double now);
  /// @brief Counts the prompt tokens of an ended call that were computed again.
  void Prefilled(const Program& program, const Stream& stream, double now);
  /// @brief The current turn of the program ended; `uncached` prompt tokens were computed for it.
  void Served(const Program& program, std::uint32_t uncached, double now);
  void Ended(const Program& program, double now);
  void Add(const Dispatcher& dispatcher);
  RunResult Finish(const std::deque<Program>& programs, double now);

 private:
  bool Measured(const Program& program) const { return program.spec.start_s >= horizon_.warm_up_s; }
  ClassResult& ResultOf(const Program& program) {
    return result_.classes[program.spec.priority_class];
  }
  bool LeastUrgent(const Program& program) const {
    return program.spec.priority_class + 1 == result_.classes.size();
  }

  Horizon horizon_;
  std::set<PrefixId> shared_computed_;
  RunResult result_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_RECORDER_H_
