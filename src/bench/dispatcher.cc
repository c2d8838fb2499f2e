#include "src/bench/dispatcher.h"

#include <algorithm>

#include "src/bench/home_router.h"

namespace acaciaspring::bench {
namespace {

EndpointQueueOptions MakeQueueOptions(const Deployment& deployment, const Strategy& strategy) {
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
      queue_(MakeQueueOptions(deployment, strategy)),
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
  for (const auto& [key, count] : queued_by_rank_and_organisation_) {
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
  const QueuedCall& call = submission.call;
  const auto decision =
      admission_.Decide(queue_, call, Occupancy(call.priority_class), ToMonotonicTime(now));
  if (const auto* refusal = std::get_if<NotRun>(&decision)) {
    const auto& policy = queue_.Policy(call.priority_class);
    refused_calls_.push_back({.rank = policy.rank,
                              .organisation = call.organisation,
                              .order_key = OrderKey(call),
                              .target_time = ToMonotonicTime(now) + policy.first_token_target});
    return *refusal;
  }
  queued_streams_.emplace(call.id, submission.stream);
  queue_.Push(call);
  ++queued_by_rank_and_organisation_[{Rank(call.priority_class), call.organisation}];
  return std::nullopt;
}

void Dispatcher::FillSlots(double now) {
  while (!queue_.empty()) {
    if (engine.full() && !TryPreempt(now)) {
      return;
    }
    const auto call = queue_.Pop(ToMonotonicTime(now));
    if (!call) {
      return;
    }
    --queued_by_rank_and_organisation_[{Rank(call->priority_class), call->organisation}];
    CountRefusedInTime(*call, ToMonotonicTime(now));
    Run(*call, now);
  }
  // With an empty queue, refused calls would have started in the slots that are still free.
  for (std::uint32_t i = engine.running(); i < engine.options().slots && !refused_calls_.empty();
       ++i) {
    refused_in_time_[refused_calls_.front().rank] +=
        refused_calls_.front().target_time >= ToMonotonicTime(now) ? 1 : 0;
    refused_calls_.pop_front();
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
  const auto waiting = queued_streams_.find(call.id);
  engine.Start(waiting->second, now);
  queued_streams_.erase(waiting);
  const auto paused = pause_counts_.find(call.id);
  ActiveCall& running = active_calls_[call.id];
  running.pauses = paused == pause_counts_.end() ? 0 : paused->second;
  running.call = std::move(call);
}

std::vector<RunningCall> Dispatcher::RunningCalls() const {
  std::vector<RunningCall> candidates;
  for (const Stream& stream : engine.streams()) {
    const ActiveCall& running = active_calls_.at(QueuedCallId(stream.call));
    const auto expected = running.call.expected_output.value();
    candidates.push_back({.id = QueuedCallId(stream.call),
                          .priority_class = running.call.priority_class,
                          .expected_remaining = TokenCount(
                              expected - std::min<std::uint64_t>(expected, stream.generated)),
                          .pauses = running.pauses,
                          // A stream in prefill is not paused, because it would lose its progress.
                          .resumable = stream.prefill_remaining <= 0,
                          .served_by_minimum_share = running.call.served_by_minimum_share});
  }
  return candidates;
}

bool Dispatcher::TryPreempt(double now) {
  if (strategy_.router != Router::kPolicy || !strategy_.preemption) {
    return false;
  }
  const auto chosen = ChoosePreemption(queue_, RunningCalls());
  if (!chosen) {
    return false;
  }
  ++pauses_;
  Stream stream = engine.Pause(chosen->value(), now);
  QueuedCall call = active_calls_.at(*chosen).call;
  pause_counts_[*chosen] = active_calls_.at(*chosen).pauses + 1;
  active_calls_.erase(*chosen);
  queue_.OnServed(call, call.expected_prompt, TokenCount(stream.generated));
  const auto expected = call.expected_output.value();
  call.expected_output = TokenCount(
      std::max<std::uint64_t>(32, expected - std::min<std::uint64_t>(expected, stream.generated)));
  call.expected_prompt = TokenCount(0);
  call.attained_service += TokenCount(stream.generated);
  call.served_by_minimum_share = false;
  queued_streams_.emplace(call.id, stream);
  queue_.Push(call);
  ++queued_by_rank_and_organisation_[{Rank(call.priority_class), call.organisation}];
  return true;
}

void Dispatcher::CountRefusedInTime(const QueuedCall& popped, MonotonicTime now) {
  std::erase_if(refused_calls_,
                [now](const RefusedCall& refused) { return refused.target_time < now; });
  const std::uint32_t rank = Rank(popped.priority_class);
  // A refused call would have been served instead of `popped` if its class is more urgent and
  // `popped` was not served by a minimum share, or if it is of the same class and either precedes
  // `popped` within the same organisation or belongs to another organisation without queued calls.
  const auto refused = std::ranges::find_if(refused_calls_, [&](const RefusedCall& candidate) {
    if (candidate.rank != rank) {
      return candidate.rank < rank && !popped.served_by_minimum_share;
    }
    return candidate.organisation == popped.organisation
               ? candidate.order_key < OrderKey(popped)
               : queued_by_rank_and_organisation_[{rank, candidate.organisation}] == 0;
  });
  if (refused != refused_calls_.end()) {
    ++refused_in_time_[refused->rank];
    refused_calls_.erase(refused);
  }
}

void Dispatcher::OnEnded(const Stream& stream, double duration_s) {
  constexpr double kSampleWeight = 0.05;
  const auto found = active_calls_.find(QueuedCallId(stream.call));
  QueuedCall actual = found->second.call;
  actual.expected_prompt = TokenCount(stream.prompt - std::min(stream.prompt, stream.cached));
  actual.expected_output = TokenCount(stream.output);
  queue_.OnServed(found->second.call, actual.expected_prompt, actual.expected_output);
  mean_cost_ += kSampleWeight * (queue_.Cost(actual) - mean_cost_);
  mean_duration_s_ += kSampleWeight * (duration_s - mean_duration_s_);
  active_calls_.erase(found);
  pause_counts_.erase(QueuedCallId(stream.call));
}

std::vector<std::uint64_t> Dispatcher::Fail() {
  std::vector<std::uint64_t> calls;
  for (const auto& [id, stream] : queued_streams_) {
    calls.push_back(id.value());
  }
  for (const auto& [id, running] : active_calls_) {
    calls.push_back(id.value());
  }
  std::ranges::sort(calls);
  queued_streams_.clear();
  active_calls_.clear();
  failed = true;
  return calls;
}

}  // namespace acaciaspring::bench
