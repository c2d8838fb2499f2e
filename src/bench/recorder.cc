#include "src/bench/recorder.h"

#include <algorithm>

namespace acaciaspring::bench {
namespace {

constexpr double kPromptCost = 0.1;

double Cost(const Turn& turn) {
  return kPromptCost * turn.new_tokens + turn.output;
}

}  // namespace

Recorder::Recorder(const Deployment& deployment, const Horizon& horizon) : horizon_(horizon) {
  result_.classes.resize(deployment.classes.size());
  result_.organisation_offered.resize(static_cast<std::size_t>(deployment.organisations));
  result_.organisation_served.resize(static_cast<std::size_t>(deployment.organisations));
}

void Recorder::Offered(const Program& program) {
  if (!Measured(program)) {
    return;
  }
  double cost = 0;
  for (const Turn& turn : program.spec.turns) {
    cost += Cost(turn);
  }
  ResultOf(program).offered_cost += cost;
  if (LeastUrgent(program)) {
    result_.organisation_offered[static_cast<std::size_t>(program.spec.organisation)] += cost;
  }
}

void Recorder::Refused(const Program& program) {
  ResultOf(program).refusals += Measured(program) ? 1 : 0;
}

void Recorder::RefusedForGood(const Program& program) {
  ResultOf(program).refused_programs += Measured(program) ? 1 : 0;
}

void Recorder::Started(const Program& program, double now) {
  if (Measured(program)) {
    ResultOf(program).wait_s.push_back(now - program.enqueued_s);
  }
}

void Recorder::Prefilled(const Program& program, const Stream& stream, double now) {
  const bool shared_known = !shared_computed_.insert(program.spec.shared).second;
  if (now < horizon_.warm_up_s) {
    return;
  }
  const std::uint32_t known = std::min(
      stream.prompt, std::max(program.computed, shared_known ? program.spec.shared_tokens : 0));
  const std::uint32_t available = std::max(stream.cached, stream.exported);
  result_.prompt_tokens += stream.prompt;
  result_.wasted_tokens += known - std::min(available, known);
}

void Recorder::Served(const Program& program, std::uint32_t uncached, double now) {
  const Turn& turn = program.spec.turns[program.turn];
  if (now > horizon_.warm_up_s && now < horizon_.end_of_arrivals()) {
    ResultOf(program).engine_cost += kPromptCost * uncached + turn.output;
  }
  if (!Measured(program)) {
    return;
  }
  ResultOf(program).served_cost += Cost(turn);
  if (LeastUrgent(program)) {
    result_.organisation_served[static_cast<std::size_t>(program.spec.organisation)] += Cost(turn);
  }
}

void Recorder::Ended(const Program& program, double now) {
  result_.ended_programs += now >= horizon_.warm_up_s ? 1 : 0;
  if (Measured(program)) {
    ResultOf(program).latency_s.push_back(now - program.spec.start_s - program.think_s);
  }
}

void Recorder::Add(const Dispatcher& dispatcher) {
  result_.pauses += dispatcher.pauses();
  for (std::size_t c = 0; c < result_.classes.size(); ++c) {
    result_.classes[c].refused_in_time += dispatcher.refused_in_time()[c];
  }
}

RunResult Recorder::Finish(const std::deque<Program>& programs, double now) {
  for (const Program& program : programs) {
    if (!Measured(program) || program.spec.start_s > horizon_.end_of_arrivals()) {
      continue;
    }
    ClassResult& result = ResultOf(program);
    ++result.programs;
    if (!program.ended) {
      // A program that is still in progress counts with the time it has taken so far.
      ++result.unfinished;
      result.latency_s.push_back(now - program.spec.start_s - program.think_s);
    }
  }
  return std::move(result_);
}

}  // namespace acaciaspring::bench
