#include "src/gateway/endpoint_table.h"

#include <algorithm>

namespace acaciaspring::gateway {

void EndpointTable::SetEndpoints(std::vector<RegisteredEndpoint> endpoints) {
  std::unordered_map<EndpointId, Entry> updated;
  by_service_.clear();
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
    by_service_[endpoint.service].push_back(id);
    entry.description = std::move(endpoint);
    updated.insert_or_assign(id, std::move(entry));
  }
  endpoints_ = std::move(updated);
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
    if (entry.own_in_flight > 0) {
      counts.emplace_back(id, entry.own_in_flight);
    }
  }
  return counts;
}

double EndpointTable::Load(const Entry& entry) const {
  return static_cast<double>(entry.own_in_flight + entry.remote_in_flight) /
         static_cast<double>(std::max<std::uint32_t>(entry.description.slots, 1));
}

bool EndpointTable::Usable(const Entry& entry, const EndpointQuery& query) const {
  return entry.description.state == EndpointState::kReady &&
         std::find(query.excluded.begin(), query.excluded.end(), entry.description.id) ==
             query.excluded.end();
}

const RegisteredEndpoint* EndpointTable::Choose(const EndpointQuery& query,
                                                MonotonicTime now,
                                                std::mt19937_64& random) const {
  const auto of_service = by_service_.find(query.service);
  if (of_service == by_service_.end()) {
    return nullptr;
  }
  if (const auto preferred = endpoints_.find(query.preferred); preferred != endpoints_.end()) {
    const Entry& entry = preferred->second;
    if (Usable(entry, query) && entry.description.service == query.service &&
        entry.avoid_until <= now && Load(entry) < options_.max_sticky_load) {
      return &entry.description;
    }
  }
  const RegisteredEndpoint* best = nullptr;
  double best_score = 0;
  for (const EndpointId& id : of_service->second) {
    const Entry& entry = endpoints_.at(id);
    if (!Usable(entry, query)) {
      continue;
    }
    // Jitter of up to one slot keeps daemons with the same view from choosing the same endpoint.
    std::uniform_real_distribution<double> jitter(
        0.0, 1.0 / std::max<std::uint32_t>(entry.description.slots, 1));
    double score = Load(entry) + entry.failure_rate * options_.failure_penalty + jitter(random);
    if (entry.description.zone != zone_) {
      score += options_.zone_penalty;
    }
    if (entry.avoid_until > now) {
      // Chosen only if every other endpoint is avoided as well.
      score += 100.0;
    }
    if (best == nullptr || score < best_score) {
      best = &entry.description;
      best_score = score;
    }
  }
  return best;
}

void EndpointTable::OnStarted(const EndpointId& endpoint) {
  if (const auto found = endpoints_.find(endpoint); found != endpoints_.end()) {
    ++found->second.own_in_flight;
  }
}

void EndpointTable::OnFinished(const EndpointId& endpoint,
                               AttemptResult result,
                               MonotonicTime now) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.own_in_flight -= std::min<std::uint32_t>(1, entry.own_in_flight);
  switch (result) {
    case AttemptResult::kCancelled:
    case AttemptResult::kRejected:
      return;
    case AttemptResult::kSucceeded:
      entry.consecutive_failures = 0;
      entry.failure_rate *= 1.0 - options_.failure_weight;
      return;
    case AttemptResult::kFailed:
      entry.failure_rate += (1.0 - entry.failure_rate) * options_.failure_weight;
      entry.avoid_until =
          now + std::min(options_.first_avoidance * (1 << std::min(entry.consecutive_failures, 6U)),
                         options_.max_avoidance);
      ++entry.consecutive_failures;
      return;
  }
}

}  // namespace acaciaspring::gateway
