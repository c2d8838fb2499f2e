#include "src/load/load_run.h"

#include <utility>

namespace acaciaspring::load {

LoadRun::LoadRun(const LoadContext& context, std::function<void()> on_done)
    : context_(context), on_done_(std::move(on_done)), random_(context.options.seed) {}

void LoadRun::Start() {
  if (context_.options.arrival_rate > 0) {
    ScheduleArrival();
  } else {
    arrived_ = context_.options.programs;
  }
  StartArrivedPrograms();
}

void LoadRun::StartArrivedPrograms() {
  while (started_ < arrived_ && running_.size() < context_.options.concurrency) {
    StartProgram();
  }
  if (started_ == context_.options.programs && running_.empty()) {
    on_done_();
  }
}

void LoadRun::ScheduleArrival() {
  if (arrived_ == context_.options.programs) {
    return;
  }
  const double seconds =
      std::exponential_distribution<double>(context_.options.arrival_rate)(random_);
  arrival_timer_ = context_.loop.After(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this] {
        ++arrived_;
        ScheduleArrival();
        StartArrivedPrograms();
      });
}

void LoadRun::StartProgram() {
  const std::uint64_t index = started_++;
  auto program =
      std::make_unique<ProgramRunner>(context_, index, [this, index] { OnProgramDone(index); });
  ProgramRunner& runner = *program;
  running_.emplace(index, std::move(program));
  runner.Start();
}

void LoadRun::OnProgramDone(std::uint64_t index) {
  // The runner calls this function, so it must not be destroyed before it returns.
  context_.loop.Post([this, index] {
    running_.erase(index);
    StartArrivedPrograms();
  });
}

void LoadRun::CountAbandoned() {
  context_.report.programs_abandoned += running_.size();
  context_.report.programs_failed += running_.size();
}

}  // namespace acaciaspring::load
