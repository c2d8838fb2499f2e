#include <algorithm>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

bool Serves(const EndpointDescription& endpoint, const ServiceId& service) {
  return std::ranges::find(endpoint.services, service) != endpoint.services.end();
}

double Microseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

EndpointChooser::EndpointChooser(EndpointChooserOptions options, CacheIndexOptions cache)
    : options_(options), cache_(cache) {}

void EndpointChooser::SetEndpoint(const EndpointDescription& endpoint) {
  const auto found = endpoint_indices_.find(endpoint.id);
  std::uint32_t index = 0;
  if (found != endpoint_indices_.end()) {
    index = found->second;
    RemoveFromServing(index);
  } else {
    if (free_indices_.empty()) {
      free_indices_.push_back(static_cast<std::uint32_t>(states_.size()));
      states_.emplace_back();
    }
    index = free_indices_.back();
    free_indices_.pop_back();
    endpoint_indices_.emplace(endpoint.id, index);
    states_[index] = {};
    states_[index].present = true;
    states_[index].mean_service_us = Microseconds(options_.initial_service_time);
  }
  states_[index].description = endpoint;
  AddToServing(index);
}

void EndpointChooser::RemoveEndpoint(const EndpointId& endpoint) {
  const auto found = endpoint_indices_.find(endpoint);
  if (found == endpoint_indices_.end()) {
    return;
  }
  const std::uint32_t index = found->second;
  RemoveFromServing(index);
  endpoint_indices_.erase(found);
  cache_.InvalidateEndpoint(endpoint);
  states_[index].present = false;
  // The index is reused once no call in flight refers to it.
  if (states_[index].in_flight == 0) {
    free_indices_.push_back(index);
  }
}

void EndpointChooser::RemoveFromServing(std::uint32_t endpoint) {
  for (const ServiceId& service : states_[endpoint].description.services) {
    std::erase(serving_[service], endpoint);
  }
}

void EndpointChooser::AddToServing(std::uint32_t endpoint) {
  const State& state = states_[endpoint];
  for (const ServiceId& service : state.description.services) {
    if (!state.leaving && !state.report.leaving) {
      serving_[service].push_back(endpoint);
    }
  }
}

void EndpointChooser::SetLeaving(const EndpointId& endpoint, bool leaving) {
  const auto found = endpoint_indices_.find(endpoint);
  if (found != endpoint_indices_.end() && states_[found->second].leaving != leaving) {
    RemoveFromServing(found->second);
    states_[found->second].leaving = leaving;
    AddToServing(found->second);
  }
}

void EndpointChooser::OnLoad(const EndpointId& endpoint, const LoadReport& report) {
  const auto found = endpoint_indices_.find(endpoint);
  if (found == endpoint_indices_.end()) {
    return;
  }
  State& state = states_[found->second];
  if (report.sampled_at < state.report.sampled_at) {
    return;
  }
  const bool leaving_changes = state.report.leaving != report.leaving;
  if (leaving_changes) {
    RemoveFromServing(found->second);
  }
  state.report = report;
  while (!state.in_flight_changes.empty() &&
         state.in_flight_changes.front().at <= report.sampled_at) {
    state.in_flight_at_report = state.in_flight_changes.front().count;
    state.in_flight_changes.pop_front();
  }
  if (leaving_changes) {
    AddToServing(found->second);
  }
}

void EndpointChooser::RecordInFlight(State& state, MonotonicTime now) {
  constexpr std::size_t kMaxChanges = 4096;
  if (state.in_flight_changes.size() >= kMaxChanges) {
    state.in_flight_at_report = state.in_flight_changes.front().count;
    state.in_flight_changes.pop_front();
  }
  state.in_flight_changes.push_back({.at = now, .count = state.in_flight});
}

void EndpointChooser::AddCandidate(const RoutingRequest& request,
                                   std::uint32_t endpoint,
                                   double cached) {
  const State& state = states_[endpoint];
  const auto& excluded = request.excluded;
  if (!excluded.empty() && std::ranges::find(excluded, state.description.id) != excluded.end()) {
    return;
  }
  for (Candidate& candidate : candidates_) {
    if (candidate.endpoint == endpoint) {
      candidate.cached = std::max(candidate.cached, cached);
      return;
    }
  }
  candidates_.push_back({.endpoint = endpoint, .cached = cached});
}

void EndpointChooser::AddHolders(const RoutingRequest& request, MonotonicTime now) {
  if (!request.program_prefix) {
    return;
  }
  holders_.clear();
  cache_.FindHolders(*request.program_prefix, now, holders_);
  for (const CacheHolder& holder : holders_) {
    const auto found = endpoint_indices_.find(holder.endpoint);
    if (found == endpoint_indices_.end()) {
      continue;
    }
    const State& state = states_[found->second];
    if (state.leaving || state.report.leaving || !Serves(state.description, request.service)) {
      continue;
    }
    const auto tokens = static_cast<double>(std::min(holder.tokens, request.prompt).value());
    AddCandidate(request, found->second, tokens * holder.confidence);
  }
}

void EndpointChooser::AddRandom(const RoutingRequest& request,
                                const std::vector<std::uint32_t>& serving,
                                std::mt19937_64& random) {
  std::uniform_int_distribution<std::size_t> random_index(0, serving.size() - 1);
  for (std::size_t i = 0; i < options_.random_candidates; ++i) {
    AddCandidate(request, serving[random_index(random)], 0);
  }
  if (!candidates_.empty()) {
    return;
  }
  // All random candidates are excluded: scan from a random position for an endpoint that is not.
  const std::size_t start = random_index(random);
  for (std::size_t i = 0; i < serving.size() && candidates_.empty(); ++i) {
    AddCandidate(request, serving[(start + i) % serving.size()], 0);
  }
}

std::optional<EndpointChoice> EndpointChooser::Choose(const RoutingRequest& request,
                                                      MonotonicTime now,
                                                      std::mt19937_64& random) {
  const auto serving = serving_.find(request.service);
  if (serving == serving_.end() || serving->second.empty()) {
    return std::nullopt;
  }
  candidates_.clear();
  if (options_.use_cache_index) {
    AddHolders(request, now);
  }
  AddRandom(request, serving->second, random);
  std::optional<EndpointChoice> best;
  for (const Candidate& candidate : candidates_) {
    EndpointChoice choice = Estimate(request, candidate);
    if (!best || choice.expected_finish < best->expected_finish) {
      best = std::move(choice);
    }
  }
  return best;
}

std::pair<double, double> EndpointChooser::EstimateLoad(const State& state,
                                                        std::uint32_t rank) const {
  const LoadReport& report = state.report;
  double load = report.running + report.waiting;
  if (options_.correct_reports) {
    // Calls of other daemons as of the report, plus this chooser's calls that are in flight now.
    load = std::max(0.0, load - state.in_flight_at_report) + state.in_flight;
  }
  double yielding = 0;
  for (std::size_t i = std::size_t{rank} + 1; options_.use_ranks && i < kNumRanks; ++i) {
    yielding += report.yielding_by_rank[i];
  }
  return {load, std::min(yielding, load)};
}

EndpointChoice EndpointChooser::Estimate(const RoutingRequest& request,
                                         const Candidate& candidate) const {
  const State& state = states_[candidate.endpoint];
  const EndpointSpeed& speed = state.description.speed;
  const auto [load, yielding] = EstimateLoad(state, request.rank);
  const double concurrency = std::max(1U, speed.concurrency);
  const double calls_ahead = std::max(0.0, load - yielding + 1 - concurrency);
  const double wait_us = calls_ahead * state.mean_service_us / concurrency;
  double run_us = Microseconds(request.expected_duration);
  if (speed.prefill_tokens_per_second > 0) {
    const double uncached =
        std::max(0.0, static_cast<double>(request.prompt.value()) - candidate.cached);
    // Running streams are delayed while the engine computes the prompt; that delay is part of the
    // cost of the choice.
    const double prefill_weight = 1 + options_.prefill_interference;
    const double streams = std::min(load, concurrency - 1);
    const double token_interval_us = Microseconds(speed.token_interval) +
                                     streams * Microseconds(speed.token_interval_per_stream);
    run_us += 1e6 * (prefill_weight * uncached + state.pending_prefill) /
                  speed.prefill_tokens_per_second +
              static_cast<double>(request.expected_output.value()) * token_interval_us;
  }
  const double zone_penalty_us =
      state.description.zone == request.zone ? 0 : Microseconds(options_.zone_penalty);
  return {
      .endpoint = state.description.id,
      .expected_wait = Duration(static_cast<Duration::rep>(wait_us)),
      .expected_finish = Duration(static_cast<Duration::rep>(wait_us + run_us + zone_penalty_us)),
      .expected_cached = TokenCount(static_cast<std::uint64_t>(candidate.cached))};
}

void EndpointChooser::OnStarted(InFlightId call,
                                const RoutingRequest& request,
                                const EndpointChoice& choice,
                                MonotonicTime now) {
  const auto found = endpoint_indices_.find(choice.endpoint);
  if (found == endpoint_indices_.end()) {
    return;
  }
  State& state = states_[found->second];
  const std::uint64_t uncached =
      request.prompt.value() - std::min(request.prompt, choice.expected_cached).value();
  const double rate = state.description.speed.prefill_tokens_per_second;
  const double prefill_us = rate > 0 ? 1e6 * static_cast<double>(uncached) / rate : 0;
  const InFlight entry{
      .endpoint = found->second,
      .pending_prefill = static_cast<double>(uncached),
      .started = now,
      .first_token = std::nullopt,
      .prefill = Duration(static_cast<Duration::rep>(prefill_us)),
      .program_prefix = request.program_prefix,
  };
  if (!in_flight_.emplace(call, entry).second) {
    return;
  }
  state.pending_prefill += entry.pending_prefill;
  ++state.in_flight;
  RecordInFlight(state, now);
}

void EndpointChooser::OnFirstToken(InFlightId call, MonotonicTime now) {
  const auto found = in_flight_.find(call);
  if (found != in_flight_.end() && !found->second.first_token) {
    State& state = states_[found->second.endpoint];
    found->second.first_token = now;
    state.pending_prefill = std::max(0.0, state.pending_prefill - found->second.pending_prefill);
  }
}

void EndpointChooser::OnFinished(InFlightId call, TokenCount cached, MonotonicTime now) {
  const auto found = in_flight_.find(call);
  if (found == in_flight_.end()) {
    return;
  }
  // Where the time of the first token is known, the service time excludes the wait in the
  // dispatcher's queue. Estimate() adds that wait separately and would otherwise count it twice.
  const Duration service = found->second.first_token
                               ? now - *found->second.first_token + found->second.prefill
                               : now - found->second.started;
  OnFirstToken(call, now);
  const InFlight entry = found->second;
  in_flight_.erase(found);
  State& state = states_[entry.endpoint];
  --state.in_flight;
  if (!state.present) {
    if (state.in_flight == 0) {
      free_indices_.push_back(entry.endpoint);
    }
    return;
  }
  RecordInFlight(state, now);
  state.mean_service_us +=
      options_.service_time_weight * (Microseconds(service) - state.mean_service_us);
  if (cached.value() == 0) {
    return;
  }
  const EndpointId& id = state.description.id;
  if (entry.program_prefix) {
    cache_.OnCompletion(id, *entry.program_prefix, cached, now);
  }
}

}  // namespace acaciaspring
