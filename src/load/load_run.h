#ifndef ACACIASPRING_SRC_LOAD_LOAD_RUN_H_
#define ACACIASPRING_SRC_LOAD_LOAD_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "src/load/program_runner.h"

namespace acaciaspring::load {

/// @brief Runs the configured number of programs, either in a closed loop or with random arrivals
/// (a Poisson process). Both are subject to the concurrency limit.
class LoadRun {
 public:
  LoadRun(const LoadContext& context, std::function<void()> on_done);
  void Start();
  /// @brief Counts the programs in progress as abandoned and failed. Must be called after the loop
  /// has stopped.
  void CountAbandoned();

 private:
  void StartArrivedPrograms();
  void ScheduleArrival();
  void StartProgram();
  void OnProgramDone(std::uint64_t index);

  LoadContext context_;
  std::function<void()> on_done_;
  std::mt19937_64 random_;
  std::uint64_t started_ = 0;
  /// Programs that have arrived; those that have not started wait for the concurrency limit.
  std::uint64_t arrived_ = 0;
  std::map<std::uint64_t, std::unique_ptr<ProgramRunner>> running_;
  net::Timer arrival_timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_LOAD_RUN_H_
