#ifndef ACACIASPRING_SRC_LOAD_LOAD_RUN_H_
#define ACACIASPRING_SRC_LOAD_LOAD_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "src/load/program_runner.h"

namespace acaciaspring::load {

/// @brief Runs the configured number of programs, in a closed loop or at random arrival times.
class LoadRun {
 public:
  LoadRun(const LoadContext& context, std::function<void()> on_done);
  void Start();
  /// @brief Counts the programs in progress as failed; call after the loop has stopped.
  void CountAbandoned();

 private:
  void StartPrograms();
  void ScheduleArrival();
  void StartProgram();
  void OnProgramDone(std::uint64_t index);

  LoadContext context_;
  std::function<void()> on_done_;
  std::mt19937_64 random_;
  std::uint64_t started_ = 0;
  /// Programs that have arrived and wait because too many are in progress.
  std::uint64_t arrived_ = 0;
  std::map<std::uint64_t, std::unique_ptr<ProgramRunner>> running_;
  net::Timer arrival_timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_LOAD_RUN_H_
