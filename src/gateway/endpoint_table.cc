#include "src/gateway/endpoint_table.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// Streams with fewer events say little about the speed of their engine.
constexpr std::uint32_t kMinMeasuredEvents = 3;

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

const RegisteredEndpoint* EndpointTable::Find(const EndpointId& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second.description;
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
      if (concurrency_.OnCompleted(endpoint, duration, now)) {
        // The limit bounds what another failure costs, and the endpoint would stay idle otherwise.
        entry.failure_rate = 0;
      }
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
    const auto found = endpoints_.find(reports[i].endpoint);
    if (found != endpoints_.end() && concurrency_.OnReport(reports[i], now)) {
      // The endpoint has responded to another daemon since the last failure seen here. It is still
      // avoided as before, because the path from this daemon may have failed.
      found->second.failure_rate = 0;
    }
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
