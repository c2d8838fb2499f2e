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
  const auto found = index_.find(endpoint.id);
  std::uint32_t index = 0;
  if (found != index_.end()) {
    index = found->second;
    Unlist(index);
  } else {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(states_.size()));
      states_.emplace_back();
    }
    index = free_.back();
    free_.pop_back();
    index_.emplace(endpoint.id, index);
    states_[index] = {};
    states_[index].present = true;
    states_[index].mean_service_us = Microseconds(options_.initial_service_time);
  }
  states_[index].description = endpoint;
  List(index);
}

void EndpointChooser::RemoveEndpoint(const EndpointId& endpoint) {
  const auto found = index_.find(endpoint);
  if (found == index_.end()) {
    return;
  }
  const std::uint32_t index = found->second;
  Unlist(index);
  index_.erase(found);
  cache_.ForgetEndpoint(endpoint);
  states_[index].present = false;
  // The slot is reused once no call refers to it.
  if (states_[index].own == 0) {
    free_.push_back(index);
  }
}

void EndpointChooser::Unlist(std::uint32_t endpoint) {
  for (const ServiceId& service : states_[endpoint].description.services) {
    std::erase(serving_[service], endpoint);
  }
}

void EndpointChooser::List(std::uint32_t endpoint) {
  const State& state = states_[endpoint];
  for (const ServiceId& service : state.description.services) {
    if (!state.leaving && !state.report.leaving) {
      serving_[service].push_back(endpoint);
    }
  }
}

void EndpointChooser::SetLeaving(const EndpointId& endpoint, bool leaving) {
  const auto found = index_.find(endpoint);
  if (found != index_.end() && states_[found->second].leaving != leaving) {
    Unlist(found->second);
    states_[found->second].leaving = leaving;
    List(found->second);
  }
}

void EndpointChooser::OnLoad(const EndpointId& endpoint, const LoadReport& report) {
  const auto found = index_.find(endpoint);
  if (found == index_.end()) {
    return;
  }
  State& state = states_[found->second];
  if (report.sampled_at < state.report.sampled_at) {
    return;
  }
  const bool listing_changes = state.report.leaving != report.leaving;
  if (listing_changes) {
    Unlist(found->second);
  }
  state.report = report;
  while (!state.changes.empty() && state.changes.front().at <= report.sampled_at) {
    state.own_at_report = state.changes.front().count;
    state.changes.pop_front();
  }
  if (listing_changes) {
    List(found->second);
  }
}

void EndpointChooser::RecordCount(State& state, MonotonicTime now) {
  constexpr std::size_t kMaxChanges = 4096;
  if (state.changes.size() >= kMaxChanges) {
    state.own_at_report = state.changes.front().count;
    state.changes.pop_front();
  }
  state.changes.push_back({.at = now, .count = state.own});
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
    const auto found = index_.find(holder.endpoint);
    if (found == index_.end()) {
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
  std::uniform_int_distribution<std::size_t> any(0, serving.size() - 1);
  for (std::size_t i = 0; i < options_.random_candidates; ++i) {
    AddCandidate(request, serving[any(random)], 0);
  }
  if (!candidates_.empty()) {
    return;
  }
  // All draws were excluded: a walk from a random position finds an endpoint if there is one.
  const std::size_t start = any(random);
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

std::pair<double, double> EndpointChooser::Load(const State& state, std::uint32_t rank) const {
  const LoadReport& report = state.report;
  double load = report.running + report.waiting;
  if (options_.correct_reports) {
    // Calls of others, as of the report, plus the own calls that are in flight now.
    load = std::max(0.0, load - state.own_at_report) + state.own;
  }
  double yielding = 0;
  for (std::size_t i = std::size_t{rank} + 1; options_.use_ranks && i < kRanks; ++i) {
    yielding += report.yielding_by_rank[i];
  }
  return {load, std::min(yielding, load)};
}

EndpointChoice EndpointChooser::Estimate(const RoutingRequest& request,
                                         const Candidate& candidate) const {
  const State& state = states_[candidate.endpoint];
  const EndpointSpeed& speed = state.description.speed;
  const auto [load, yielding] = Load(state, request.rank);
  const double concurrency = std::max(1U, speed.concurrency);
  const double ahead = std::max(0.0, load - yielding + 1 - concurrency);
  const double wait = ahead * state.mean_service_us / concurrency;
  double run = Microseconds(request.expected_duration);
  if (speed.prefill_tokens_per_second > 0) {
    const double uncached =
        std::max(0.0, static_cast<double>(request.prompt.value()) - candidate.cached);
    // The prompt is computed in steps that the running streams wait for as well.
    const double weight = 1 + options_.prefill_interference;
    const double streams = std::min(load, concurrency - 1);
    const double interval = Microseconds(speed.token_interval) +
                            streams * Microseconds(speed.token_interval_per_stream);
    run += 1e6 * (weight * uncached + state.pending_prefill) / speed.prefill_tokens_per_second +
           static_cast<double>(request.expected_output.value()) * interval;
  }
  const double zone =
      state.description.zone == request.zone ? 0 : Microseconds(options_.zone_penalty);
  return {.endpoint = state.description.id,
          .expected_wait = Duration(static_cast<Duration::rep>(wait)),
          .expected_finish = Duration(static_cast<Duration::rep>(wait + run + zone)),
          .expected_cached = TokenCount(static_cast<std::uint64_t>(candidate.cached))};
}

void EndpointChooser::OnStarted(InFlightId call,
                                const RoutingRequest& request,
                                const EndpointChoice& choice,
                                MonotonicTime now) {
  const auto found = index_.find(choice.endpoint);
  if (found == index_.end()) {
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
  ++state.own;
  RecordCount(state, now);
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
  // The wait in the dispatcher's queue is left out of the service time where a first token tells
  // it apart; otherwise a long queue would count twice in the next estimate.
  const Duration service = found->second.first_token
                               ? now - *found->second.first_token + found->second.prefill
                               : now - found->second.started;
  OnFirstToken(call, now);
  const InFlight entry = found->second;
  in_flight_.erase(found);
  State& state = states_[entry.endpoint];
  --state.own;
  if (!state.present) {
    if (state.own == 0) {
      free_.push_back(entry.endpoint);
    }
    return;
  }
  RecordCount(state, now);
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
