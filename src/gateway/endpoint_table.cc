#include "src/gateway/endpoint_table.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::gateway {

namespace {

// Range of the random part of a cost, in running calls.
constexpr double kJitterCalls = 1.0;
// Weight of the delay of the running calls, relative to that of the call to place.
constexpr double kWaitingShare = 0.5;
// An engine with fewer measured streams counts as one of average speed.
constexpr std::uint32_t kMinMeasuredStreams = 4;
// Streams with fewer events say little about the speed of their engine.
constexpr std::uint32_t kMinMeasuredEvents = 3;
// Limit of the relative slowness. Beyond it, the difference comes from load, which is counted
// separately.
constexpr double kMaxSlowness = 0.5;
// Added to the delay of an avoided endpoint, which is chosen only if all others are avoided too.
constexpr double kAvoidedDelay = 1e9;
constexpr double kAvoidedScore = 100;
// Added to an endpoint at its concurrency limit, which is chosen only if all others are at theirs
// too, and rather than an avoided one.
constexpr double kAtLimitDelay = 1e8;
constexpr double kAtLimitScore = 50;
// Delay equivalent to a load of once the limit, well above the cost of reading a prompt.
constexpr double kRelativeLoadDelay = 1e6;
// Keeps endpoints at their limit before avoided ones.
constexpr double kMaxRelativeLoad = 40;
// Below all other scores.
constexpr double kStickyScore = -100;

}  // namespace

std::vector<ReturnedEndpoint> EndpointTable::SetEndpoints(std::vector<RegisteredEndpoint> endpoints,
                                                          MonotonicTime now) {
  std::vector<ReturnedEndpoint> returned = leaving_.OnListed(endpoints, now);
  concurrency_.OnListed(endpoints, now);
  std::unordered_map<EndpointId, Entry> updated;
  for (RegisteredEndpoint& endpoint : endpoints) {
    const EndpointId id = endpoint.id;
    Entry entry;
    const auto known = endpoints_.find(id);
    // A new run under the same id, or at another address, does not inherit the state of the old
    // one.
    if (known != endpoints_.end() &&
        known->second.description.started_at_ms == endpoint.started_at_ms &&
        known->second.description.address == endpoint.address) {
      entry = known->second;
    }
    limits_.OnListed(endpoint);
    entry.description = std::move(endpoint);
    entry.leaving = leaving_.Contains(id, entry.description.started_at_ms);
    updated.insert_or_assign(id, std::move(entry));
  }
  endpoints_ = std::move(updated);
  UpdateServices();
  return returned;
}

std::optional<LeavingNotice> EndpointTable::OnLeaving(const LeavingWord& word) {
  const auto notice = leaving_.OnLeaving(word);
  if (const auto found = endpoints_.find(word.endpoint); notice && found != endpoints_.end()) {
    found->second.leaving = true;
    UpdateServices();
  }
  return notice;
}

std::size_t EndpointTable::PassedOver(const ServiceId& service) const {
  const auto found = passed_over_.find(service);
  return found == passed_over_.end() ? 0 : found->second;
}

void EndpointTable::UpdateServices() {
  std::unordered_map<ServiceId, std::vector<EndpointId>> usable;
  passed_over_.clear();
  for (const auto& [id, entry] : endpoints_) {
    if (entry.description.state != EndpointState::kReady) {
      continue;
    }
    if (entry.leaving) {
      ++passed_over_[entry.description.service];
    } else {
      usable[entry.description.service].push_back(id);
    }
  }
  std::erase_if(services_, [&](const auto& service) { return !usable.contains(service.first); });
  for (auto& [id, endpoints] : usable) {
    // Sorted, so that an unchanged list is recognised.
    std::sort(endpoints.begin(), endpoints.end());
    ServiceEntry& service =
        services_.try_emplace(id, ServiceEntry{.home_sets = HomeSets(options_.home_sets)})
            .first->second;
    if (service.endpoints == endpoints) {
      continue;
    }
    std::vector<HomeSetMember> members;
    for (const EndpointId& endpoint : endpoints) {
      members.push_back({.endpoint = endpoint, .zone = endpoints_.at(endpoint).description.zone});
    }
    service.home_sets.SetMembers(members);
    if (const auto memory = engine_memory_.find(id); memory != engine_memory_.end()) {
      service.home_sets.SetMemory(memory->second);
    }
    service.endpoints = std::move(endpoints);
  }
}

void EndpointTable::SetEngineMemory(const ServiceId& service, TokenCount memory) {
  engine_memory_[service] = memory;
  limits_.SetKeepsSessions(service, memory > TokenCount());
  if (const auto found = services_.find(service); found != services_.end()) {
    found->second.home_sets.SetMemory(memory);
  }
}

void EndpointTable::SetRemoteCounts(const DaemonId& daemon, const InFlightCounts& counts) {
  ForgetDaemon(daemon);
  for (const auto& [endpoint, count] : counts) {
    if (const auto found = endpoints_.find(endpoint); found != endpoints_.end()) {
      found->second.remote_in_flight += count;
    }
  }
  remote_[daemon] = counts;
}

void EndpointTable::ForgetDaemon(const DaemonId& daemon) {
  const auto known = remote_.find(daemon);
  if (known == remote_.end()) {
    return;
  }
  for (const auto& [endpoint, count] : known->second) {
    if (const auto found = endpoints_.find(endpoint); found != endpoints_.end()) {
      found->second.remote_in_flight -= std::min(count, found->second.remote_in_flight);
    }
  }
  remote_.erase(known);
}

InFlightCounts EndpointTable::OwnCounts() const {
  InFlightCounts counts;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.own_in_flight > 0 && IsEngine(entry)) {
      counts.emplace_back(id, entry.own_in_flight);
    }
  }
  return counts;
}

bool EndpointTable::IsEngine(const Entry& entry) const {
  const auto memory = engine_memory_.find(entry.description.service);
  return memory != engine_memory_.end() && memory->second > TokenCount();
}

double EndpointTable::Load(const Entry& entry) const {
  return static_cast<double>(entry.own_in_flight + entry.remote_in_flight) /
         static_cast<double>(std::max<std::uint32_t>(entry.description.slots, 1));
}

EndpointTable::LimitState EndpointTable::FindLimitState(const Entry& entry) const {
  const std::uint32_t limit = concurrency_.Find(entry.description.id)
                                  .value_or(std::max<std::uint32_t>(entry.description.slots, 1));
  const std::uint32_t in_flight = entry.own_in_flight + entry.remote_in_flight;
  return {.reached = in_flight >= limit,
          .relative_load = std::min(static_cast<double>(in_flight) / limit, kMaxRelativeLoad)};
}

bool EndpointTable::Usable(const Entry& entry,
                           const EndpointQuery& query,
                           PermitUse use,
                           MonotonicTime now) const {
  const EndpointId& id = entry.description.id;
  if (!Eligible(entry, query)) {
    return false;
  }
  if (limits_.empty()) {
    return true;
  }
  const bool any_permit = use == PermitUse::kAny || id == query.preferred || !IsEngine(entry);
  return any_permit ? limits_.HasPermit(id, now) : limits_.HasSpare(id, now);
}

bool EndpointTable::Eligible(const Entry& entry, const EndpointQuery& query) {
  return entry.description.state == EndpointState::kReady && !entry.leaving &&
         std::find(query.excluded.begin(), query.excluded.end(), entry.description.id) ==
             query.excluded.end();
}

const RegisteredEndpoint* EndpointTable::Find(const EndpointId& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second.description;
}

const RegisteredEndpoint* EndpointTable::Choose(const EndpointQuery& query,
                                                MonotonicTime now,
                                                std::mt19937_64& random) {
  const auto service = services_.find(query.service);
  if (service == services_.end()) {
    return nullptr;
  }
  service->second.called_at = now;
  const bool by_prefix =
      query.prompt.shared_prefix.has_value() && !service->second.home_sets.AllPrefixesFit(now);
  const auto choose = [&](PermitUse use) {
    return by_prefix ? ChooseForPrompt(service->second, query, use, now, random)
                     : ChooseByLoad(service->second, query, use, now, random);
  };
  const RegisteredEndpoint* chosen = choose(PermitUse::kSpareForNewSessions);
  return chosen != nullptr || limits_.empty() ? chosen : choose(PermitUse::kAny);
}

const RegisteredEndpoint* EndpointTable::ChooseByLoad(const ServiceEntry& service,
                                                      const EndpointQuery& query,
                                                      PermitUse use,
                                                      MonotonicTime now,
                                                      std::mt19937_64& random) {
  const bool limited = concurrency_.InForce(query.service);
  // The choice without concurrency limits, to count the calls that they move.
  const RegisteredEndpoint* unlimited = nullptr;
  double unlimited_score = 0;
  if (const auto preferred = endpoints_.find(query.preferred); preferred != endpoints_.end()) {
    const Entry& entry = preferred->second;
    if (Usable(entry, query, use, now) && entry.description.service == query.service &&
        entry.avoid_until <= now && Load(entry) < options_.max_sticky_load) {
      if (!limited || !FindLimitState(entry).reached) {
        return &entry.description;
      }
      unlimited = &entry.description;
      unlimited_score = kStickyScore;
    }
  }
  const RegisteredEndpoint* best = nullptr;
  double best_score = 0;
  for (const EndpointId& id : service.endpoints) {
    const Entry& entry = endpoints_.at(id);
    if (!Usable(entry, query, use, now)) {
      continue;
    }
    // Jitter of up to one slot keeps daemons with the same view from choosing the same endpoint.
    std::uniform_real_distribution<double> jitter(
        0.0, 1.0 / std::max<std::uint32_t>(entry.description.slots, 1));
    const double load = Load(entry);
    double score = load + entry.failure_rate * options_.failure_penalty + jitter(random);
    if (entry.description.zone != zone_) {
      score += options_.zone_penalty;
    }
    if (id == query.preferred) {
      score -= options_.session_move_penalty;
    }
    if (entry.avoid_until > now) {
      // Chosen only if every other endpoint is avoided as well.
      score += kAvoidedScore;
    }
    if (limited) {
      if (unlimited == nullptr || score < unlimited_score) {
        unlimited = &entry.description;
        unlimited_score = score;
      }
      if (const LimitState limit = FindLimitState(entry); limit.reached) {
        score += kAtLimitScore + limit.relative_load - load;
      }
    }
    if (best == nullptr || score < best_score) {
      best = &entry.description;
      best_score = score;
    }
  }
  moved_calls_ += limited && best != unlimited ? 1 : 0;
  return best;
}

const RegisteredEndpoint* EndpointTable::ChooseForPrompt(ServiceEntry& service,
                                                         const EndpointQuery& query,
                                                         PermitUse use,
                                                         MonotonicTime now,
                                                         std::mt19937_64& random) {
  const PromptCosts& costs = options_.prompt;
  std::vector<bool> is_home;
  const SharedPrefix& shared_prefix = *query.prompt.shared_prefix;
  service.home_sets.FindMembers(shared_prefix.id, now, is_home);
  const TokenCount shared_tokens = std::min(shared_prefix.tokens, query.prompt.tokens);
  // Daemons that compare the same counts must not all choose the same engine.
  std::uniform_real_distribution<double> jitter(
      0.0, kJitterCalls * static_cast<double>(costs.per_running_call.count()));
  const bool limited = concurrency_.InForce(query.service);
  const RegisteredEndpoint* unlimited = nullptr;
  double unlimited_cost = 0;
  const RegisteredEndpoint* best = nullptr;
  double best_cost = 0;
  for (std::size_t i = 0; i < service.endpoints.size(); ++i) {
    const Entry& entry = endpoints_.at(service.endpoints[i]);
    if (!Usable(entry, query, use, now)) {
      continue;
    }
    TokenCount uncached = query.prompt.tokens;
    if (entry.description.id == query.preferred) {
      uncached = TokenCount();
    } else if (is_home[i]) {
      uncached -= shared_tokens;
    }
    // All running calls wait while the engine reads the prompt.
    const double waiting_calls =
        1.0 + kWaitingShare *
                  std::min(entry.own_in_flight + entry.remote_in_flight, entry.description.slots);
    double cost =
        ExpectedDelay(service, entry, now) + jitter(random) +
        waiting_calls * costs.per_uncached_token.count() * static_cast<double>(uncached.value());
    if (limited) {
      if (unlimited == nullptr || cost < unlimited_cost) {
        unlimited = &entry.description;
        unlimited_cost = cost;
      }
      if (const LimitState limit = FindLimitState(entry); limit.reached) {
        cost += kAtLimitDelay + limit.relative_load * kRelativeLoadDelay;
      }
    }
    if (best == nullptr || cost < best_cost) {
      best = &entry.description;
      best_cost = cost;
    }
  }
  moved_calls_ += limited && best != unlimited ? 1 : 0;
  return best;
}

double EndpointTable::ExpectedDelay(const ServiceEntry& service,
                                    const Entry& entry,
                                    MonotonicTime now) const {
  const PromptCosts& costs = options_.prompt;
  const double call_duration = service.call_duration_us > 0
                                   ? service.call_duration_us
                                   : static_cast<double>(costs.initial_call_duration.count());
  const std::uint32_t slots = std::max<std::uint32_t>(entry.description.slots, 1);
  const std::uint32_t in_flight = entry.own_in_flight + entry.remote_in_flight;
  double delay = static_cast<double>(std::min(in_flight, slots)) *
                 static_cast<double>(costs.per_running_call.count());
  if (in_flight >= slots) {
    delay += (in_flight - slots + 1) * call_duration / slots;
  }
  if (entry.streams_measured >= kMinMeasuredStreams && service.event_interval_us > 0) {
    const double relative_slowness = std::clamp(
        entry.event_interval_us / service.event_interval_us - 1, -kMaxSlowness, kMaxSlowness);
    const double age = static_cast<double>((now - entry.interval_updated).count());
    const double validity = std::exp(-age / static_cast<double>(costs.interval_validity.count()));
    delay += relative_slowness * validity * service.streaming_us;
  }
  if (entry.description.zone != zone_) {
    delay += static_cast<double>(costs.other_zone.count());
  }
  delay += entry.failure_rate * static_cast<double>(costs.failure.count());
  if (entry.avoid_until > now) {
    delay += kAvoidedDelay;
  }
  return delay;
}

void EndpointTable::OnDemand(const ServiceId& service,
                             const SharedPrefix& prefix,
                             MonotonicTime now) {
  if (const auto found = services_.find(service); found != services_.end()) {
    found->second.home_sets.OnRequest(prefix, now);
  }
}

void EndpointTable::OnStreamCompleted(const EndpointId& endpoint,
                                      const StreamTimes& times,
                                      MonotonicTime now) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  Entry& entry = found->second;
  const auto service = services_.find(entry.description.service);
  if (service == services_.end()) {
    return;
  }
  // The mean of the first samples, then a moving average.
  const auto update = [this](double& average, std::uint32_t samples, Duration sample) {
    const double weight = std::max(options_.prompt.measurement_weight, 1.0 / samples);
    average += weight * (static_cast<double>(sample.count()) - average);
  };
  ServiceEntry& measured = service->second;
  ++measured.calls_measured;
  update(measured.call_duration_us, measured.calls_measured, times.duration);
  if (times.events < kMinMeasuredEvents) {
    return;
  }
  const Duration interval = times.streaming / (times.events - 1);
  ++measured.streams_measured;
  update(measured.streaming_us, measured.streams_measured, times.streaming);
  update(measured.event_interval_us, measured.streams_measured, interval);
  ++entry.streams_measured;
  update(entry.event_interval_us, entry.streams_measured, interval);
  entry.interval_updated = now;
}

std::optional<RateLimitChange> EndpointTable::OnRateLimit(const EndpointId& endpoint,
                                                          std::optional<double> per_second,
                                                          MonotonicTime now) {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? std::nullopt
                                   : limits_.OnResponse(found->second.description, per_second, now);
}

std::optional<RateLimitChange> EndpointTable::OnRateLimitReport(const RateLimitReport& report,
                                                                MonotonicTime now) {
  const auto found = endpoints_.find(report.endpoint);
  return found == endpoints_.end() ? std::nullopt
                                   : limits_.OnReport(found->second.description, report, now);
}

std::optional<PermitForecast> EndpointTable::ForecastPermit(const EndpointQuery& query,
                                                            MonotonicTime now) const {
  const auto service = services_.find(query.service);
  if (service == services_.end() || limits_.empty()) {
    return std::nullopt;
  }
  PermitForecast forecast;
  bool limited = false;
  for (const EndpointId& id : service->second.endpoints) {
    const RateLimit* limit = limits_.Find(id);
    if (limit != nullptr && Eligible(endpoints_.at(id), query)) {
      limited = true;
      forecast.next_permit = std::min(forecast.next_permit, limit->NextPermit(now));
      forecast.per_second += limit->base_per_second() * limit->share();
    }
  }
  return limited ? std::optional(forecast) : std::nullopt;
}

std::set<ServiceId> EndpointTable::OwnDemand(MonotonicTime now) const {
  std::set<ServiceId> services;
  for (const auto& [id, service] : services_) {
    if (service.called_at && now - *service.called_at <= options_.demand_validity) {
      services.insert(id);
    }
  }
  return services;
}

void EndpointTable::OnStarted(const EndpointId& endpoint, MonotonicTime now) {
  if (const auto found = endpoints_.find(endpoint); found != endpoints_.end()) {
    limits_.Take(endpoint, now);
    ++found->second.own_in_flight;
    own_changes_ += IsEngine(found->second) ? 1 : 0;
  }
}

void EndpointTable::OnFinished(const EndpointId& endpoint,
                               AttemptResult result,
                               MonotonicTime now,
                               Duration duration) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.own_in_flight -= std::min<std::uint32_t>(1, entry.own_in_flight);
  own_changes_ += IsEngine(entry) ? 1 : 0;
  switch (result) {
    case AttemptResult::kCancelled:
      return;
    case AttemptResult::kRejected:
      concurrency_.OnRejected(endpoint, duration, now);
      return;
    case AttemptResult::kSucceeded:
      concurrency_.OnCompleted(endpoint, duration, now);
      entry.consecutive_failures = 0;
      entry.failure_rate *= 1.0 - options_.failure_weight;
      return;
    case AttemptResult::kFailed:
      concurrency_.OnFailed(endpoint, duration, now);
      entry.failure_rate += (1.0 - entry.failure_rate) * options_.failure_weight;
      entry.avoid_until =
          now + std::min(options_.first_avoidance * (1 << std::min(entry.consecutive_failures, 6U)),
                         options_.max_avoidance);
      ++entry.consecutive_failures;
      return;
  }
}

void EndpointTable::EnableConcurrencyLimits(bool enabled, MonotonicTime now) {
  std::vector<RegisteredEndpoint> listed;
  for (const auto& [id, entry] : endpoints_) {
    listed.push_back(entry.description);
  }
  concurrency_.Enable(enabled, listed, now);
}

void EndpointTable::OnFirstEvent(const EndpointId& endpoint, Duration time, MonotonicTime now) {
  concurrency_.OnFirstEvent(endpoint, time, now);
}

void EndpointTable::OnConcurrencyReports(const std::vector<EndpointLimitReport>& reports,
                                         MonotonicTime now) {
  const std::size_t count = std::min(reports.size(), options_.concurrency_limits.max_reports);
  for (std::size_t i = 0; i < count; ++i) {
    concurrency_.OnReport(reports[i], now);
  }
}

void EndpointTable::UpdateConcurrencyLimits(MonotonicTime now) {
  if (concurrency_.size() == 0) {
    return;
  }
  for (const auto& [id, entry] : endpoints_) {
    const auto limit = concurrency_.Find(id);
    if (limit && entry.remote_in_flight >= *limit) {
      concurrency_.OnReachedByOthers(id, now);
    }
  }
}

}  // namespace acaciaspring::gateway
