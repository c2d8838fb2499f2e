#include "src/bench/dispatcher.h"

#include <algorithm>

#include "src/bench/home_router.h"

namespace acaciaspring::bench {
namespace {

EndpointQueueOptions QueueOptions(const Deployment& deployment, const Strategy& strategy) {
  EndpointQueueOptions options;
  for (const ClassSpec& spec : deployment.classes) {
    options.classes.push_back(spec.policy);
  }
  const bool policy = strategy.router == Router::kPolicy;
  options.order_by_class = policy && strategy.order_by_class;
  options.keep_minimum_shares = policy && strategy.minimum_shares;
  options.fair_organisations = policy && strategy.fair_organisations;
  options.least_attained_service = policy && strategy.least_attained_service;
  options.capacity = 1'000'000;
  return options;
}

}  // namespace

Dispatcher::Dispatcher(const Deployment& deployment,
                       const Strategy& strategy,
                       const EngineOptions& engine_options)
    : engine(engine_options),
      strategy_(strategy),
      queue_(QueueOptions(deployment, strategy)),
      admission_({.enabled = strategy.router == Router::kPolicy && strategy.admission}),
      refused_in_time_(deployment.classes.size()) {}

std::uint32_t Dispatcher::Rank(const PriorityClassId& priority_class) const {
  return queue_.Policy(priority_class).rank;
}

EndpointOccupancy Dispatcher::Occupancy(const PriorityClassId& priority_class) const {
  const bool preempts = strategy_.router == Router::kPolicy && strategy_.preemption;
  return {.running = engine.running(),
          .concurrency = engine.options().slots,
          .cost_per_second = engine.options().slots * mean_cost_ / mean_duration_s_,
          .mean_call_cost = mean_cost_,
          .pausable = preempts ? CountPausable(queue_, priority_class, RunningCalls()) : 0};
}

RankCounts Dispatcher::YieldingByRank() const {
  RankCounts counts{};
  for (const auto& [key, count] : queued_) {
    counts[key.first] += static_cast<std::uint32_t>(count);
  }
  if (strategy_.preemption) {
    for (const RunningCall& call : RunningCalls()) {
      const bool yields = call.resumable && !call.served_by_minimum_share &&
                          call.pauses < PreemptionOptions().max_pauses;
      counts[Rank(call.priority_class)] += yields ? 1 : 0;
    }
  }
  return counts;
}

std::optional<NotRun> Dispatcher::Submit(const Submission& submission, double now) {
  const QueuedCall& call = submission.queued;
  const auto decision = admission_.Decide(queue_, call, Occupancy(call.priority_class), At(now));
  if (const auto* refusal = std::get_if<NotRun>(&decision)) {
    const auto& policy = queue_.Policy(call.priority_class);
    ghosts_.push_back({.rank = policy.rank,
                       .organisation = call.organisation,
                       .key = OrderKey(call),
                       .target = At(now) + policy.first_token_target});
    return *refusal;
  }
  waiting_.emplace(call.id, submission.stream);
  queue_.Push(call);
  ++queued_[{Rank(call.priority_class), call.organisation}];
  return std::nullopt;
}

void Dispatcher::FillSlots(double now) {
  while (!queue_.empty()) {
    if (engine.full() && !PauseOne(now)) {
      return;
    }
    const auto call = queue_.Pop(At(now));
    if (!call) {
      return;
    }
    --queued_[{Rank(call->priority_class), call->organisation}];
    ServeGhost(*call, At(now));
    Run(*call, now);
  }
  // Refused calls would have taken the slots that are free now.
  for (std::uint32_t i = engine.running(); i < engine.options().slots && !ghosts_.empty(); ++i) {
    refused_in_time_[ghosts_.front().rank] += ghosts_.front().target >= At(now) ? 1 : 0;
    ghosts_.pop_front();
  }
}

double Dispatcher::OrderKey(const QueuedCall& call) const {
  const auto& options = queue_.options();
  const double enqueued =
      std::chrono::duration<double>(call.enqueued_at.time_since_epoch()).count();
  return options.least_attained_service ? static_cast<double>(call.attained_service.value()) +
                                              options.ageing_tokens_per_second * enqueued
                                        : enqueued;
}

void Dispatcher::Run(QueuedCall call, double now) {
  const auto waiting = waiting_.find(call.id);
  engine.Start(waiting->second, now);
  waiting_.erase(waiting);
  const auto paused = paused_.find(call.id);
  Running& running = running_[call.id];
  running.pauses = paused == paused_.end() ? 0 : paused->second;
  running.queued = std::move(call);
}

std::vector<RunningCall> Dispatcher::RunningCalls() const {
  std::vector<RunningCall> candidates;
  for (const Stream& stream : engine.streams()) {
    const Running& running = running_.at(QueuedCallId(stream.call));
    const auto expected = running.queued.expected_output.value();
    candidates.push_back({.id = QueuedCallId(stream.call),
                          .priority_class = running.queued.priority_class,
                          .expected_remaining = TokenCount(
                              expected - std::min<std::uint64_t>(expected, stream.generated)),
                          .pauses = running.pauses,
                          // A stream in its prefill would lose what it has computed.
                          .resumable = stream.prefill_left <= 0,
                          .served_by_minimum_share = running.queued.served_by_minimum_share});
  }
  return candidates;
}

bool Dispatcher::PauseOne(double now) {
  if (strategy_.router != Router::kPolicy || !strategy_.preemption) {
    return false;
  }
  const auto chosen = ChoosePreemption(queue_, RunningCalls());
  if (!chosen) {
    return false;
  }
  ++pauses_;
  Stream stream = engine.Pause(chosen->value(), now);
  QueuedCall call = running_.at(*chosen).queued;
  paused_[*chosen] = running_.at(*chosen).pauses + 1;
  running_.erase(*chosen);
  queue_.OnServed(call, call.expected_prompt, TokenCount(stream.generated));
  const auto expected = call.expected_output.value();
  call.expected_output = TokenCount(
      std::max<std::uint64_t>(32, expected - std::min<std::uint64_t>(expected, stream.generated)));
  call.expected_prompt = TokenCount(0);
  call.attained_service += TokenCount(stream.generated);
  call.served_by_minimum_share = false;
  waiting_.emplace(call.id, stream);
  queue_.Push(call);
  ++queued_[{Rank(call.priority_class), call.organisation}];
  return true;
}

void Dispatcher::ServeGhost(const QueuedCall& popped, MonotonicTime now) {
  std::erase_if(ghosts_, [now](const Ghost& ghost) { return ghost.target < now; });
  const std::uint32_t rank = Rank(popped.priority_class);
  // A refused call would have been served instead of this one if its class is more urgent, if it
  // precedes it within the organisation, or if its organisation had nothing queued in its turn.
  const auto ghost = std::ranges::find_if(ghosts_, [&](const Ghost& candidate) {
    if (candidate.rank != rank) {
      return candidate.rank < rank && !popped.served_by_minimum_share;
    }
    return candidate.organisation == popped.organisation
               ? candidate.key < OrderKey(popped)
               : queued_[{rank, candidate.organisation}] == 0;
  });
  if (ghost != ghosts_.end()) {
    ++refused_in_time_[ghost->rank];
    ghosts_.erase(ghost);
  }
}

void Dispatcher::OnEnded(const Stream& stream, double duration_s) {
  constexpr double kWeight = 0.05;
  const auto found = running_.find(QueuedCallId(stream.call));
  QueuedCall actual = found->second.queued;
  actual.expected_prompt = TokenCount(stream.prompt - std::min(stream.prompt, stream.cached));
  actual.expected_output = TokenCount(stream.output);
  queue_.OnServed(found->second.queued, actual.expected_prompt, actual.expected_output);
  mean_cost_ += kWeight * (queue_.Cost(actual) - mean_cost_);
  mean_duration_s_ += kWeight * (duration_s - mean_duration_s_);
  running_.erase(found);
  paused_.erase(QueuedCallId(stream.call));
}

std::vector<std::uint64_t> Dispatcher::Fail() {
  std::vector<std::uint64_t> calls;
  for (const auto& [id, stream] : waiting_) {
    calls.push_back(id.value());
  }
  for (const auto& [id, running] : running_) {
    calls.push_back(id.value());
  }
  std::ranges::sort(calls);
  waiting_.clear();
  running_.clear();
  lost = true;
  return calls;
}

}  // namespace acaciaspring::bench
