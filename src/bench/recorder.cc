#include "src/bench/recorder.h"

#include <algorithm>

namespace acaciaspring::bench {
namespace {

// Cost of a prompt token relative to an output token.
constexpr double kPromptTokenCost = 0.1;

double Cost(const Turn& turn) {
  return kPromptTokenCost * turn.new_tokens + turn.output;
}

}  // namespace

Recorder::Recorder(const Deployment& deployment, const Horizon& horizon) : horizon_(horizon) {
  result_.classes.resize(deployment.classes.size());
  result_.organisation_offered.resize(static_cast<std::size_t>(deployment.organisations));
  result_.organisation_served.resize(static_cast<std::size_t>(deployment.organisations));
}

void Recorder::OnOffered(const Program& program) {
  if (!IsMeasured(program)) {
    return;
  }
  double cost = 0;
  for (const Turn& turn : program.spec.turns) {
    cost += Cost(turn);
  }
  ResultOf(program).offered_cost += cost;
  if (IsLeastUrgent(program)) {
    result_.organisation_offered[static_cast<std::size_t>(program.spec.organisation)] += cost;
  }
}

void Recorder::OnRefused(const Program& program) {
  ResultOf(program).refusals += IsMeasured(program) ? 1 : 0;
}

void Recorder::OnGivenUp(const Program& program) {
  ResultOf(program).refused_programs += IsMeasured(program) ? 1 : 0;
}

void Recorder::OnStarted(const Program& program, double now) {
  if (IsMeasured(program)) {
    ResultOf(program).wait_s.push_back(now - program.enqueued_s);
  }
}

void Recorder::OnPrefilled(const Program& program, const Stream& stream, double now) {
  const bool shared_computed = !computed_shared_prefixes_.insert(program.spec.shared_prefix).second;
  if (now < horizon_.warm_up_s) {
    return;
  }
  const std::uint32_t computed_before =
      std::min(stream.prompt,
               std::max(program.computed_tokens, shared_computed ? program.spec.shared_tokens : 0));
  const std::uint32_t available = std::max(stream.cached, stream.exported_tokens);
  result_.prompt_tokens += stream.prompt;
  result_.wasted_tokens += computed_before - std::min(available, computed_before);
}

void Recorder::OnTurnServed(const Program& program, std::uint32_t uncached, double now) {
  const Turn& turn = program.spec.turns[program.turn];
  if (now > horizon_.warm_up_s && now < horizon_.end_of_arrivals()) {
    ResultOf(program).engine_cost += kPromptTokenCost * uncached + turn.output;
  }
  if (!IsMeasured(program)) {
    return;
  }
  ResultOf(program).served_cost += Cost(turn);
  if (IsLeastUrgent(program)) {
    result_.organisation_served[static_cast<std::size_t>(program.spec.organisation)] += Cost(turn);
  }
}

void Recorder::OnEnded(const Program& program, double now) {
  result_.ended_programs += now >= horizon_.warm_up_s ? 1 : 0;
  if (IsMeasured(program)) {
    ResultOf(program).latency_s.push_back(now - program.spec.start_s - program.user_pause_s);
  }
}

void Recorder::AddDispatcher(const Dispatcher& dispatcher) {
  result_.pauses += dispatcher.pauses();
  for (std::size_t class_index = 0; class_index < result_.classes.size(); ++class_index) {
    result_.classes[class_index].refused_in_time += dispatcher.refused_in_time()[class_index];
  }
}

RunResult Recorder::Finish(const std::deque<Program>& programs, double now) {
  for (const Program& program : programs) {
    if (!IsMeasured(program) || program.spec.start_s > horizon_.end_of_arrivals()) {
      continue;
    }
    ClassResult& result = ResultOf(program);
    ++result.programs;
    if (!program.ended) {
      // A program in progress counts with its latency up to the end of the run.
      ++result.unfinished;
      result.latency_s.push_back(now - program.spec.start_s - program.user_pause_s);
    }
  }
  return std::move(result_);
}

}  // namespace acaciaspring::bench
