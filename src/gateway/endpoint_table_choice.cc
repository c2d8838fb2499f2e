#include <algorithm>
#include <cmath>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

namespace {

// Range of the random part of a cost, in running calls.
constexpr double kJitterCalls = 1.0;
// Weight of the delay of the running calls, relative to that of the call to place.
constexpr double kWaitingShare = 0.5;
// An engine with fewer measured streams counts as one of average speed.
constexpr std::uint32_t kMinMeasuredStreams = 4;
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

double EndpointTable::Load(const Entry& entry) const {
  return static_cast<double>(entry.own_in_flight + entry.remote_in_flight) /
         static_cast<double>(std::max<std::uint32_t>(entry.description.slots, 1));
}

double EndpointTable::FailureRate(const Entry& entry, bool limited, MonotonicTime now) const {
  if (!limited || now <= entry.avoid_until || !concurrency_.Find(entry.description.id)) {
    return entry.failure_rate;
  }
  const double since = static_cast<double>((now - entry.avoid_until).count());
  return entry.failure_rate *
         std::exp(-since / static_cast<double>(options_.failure_decay.count()));
}

EndpointTable::LimitState EndpointTable::FindLimitState(const Entry& entry) const {
  const auto found = concurrency_.Find(entry.description.id);
  std::uint32_t limit = found.value_or(std::max<std::uint32_t>(entry.description.slots, 1));
  if (found && !IsEngine(entry)) {
    // Calls of other daemons at plain services are not reported, so each uses an equal share.
    const auto daemons = static_cast<std::uint32_t>(remote_.size() + 1);
    limit = std::max<std::uint32_t>(1, *found / daemons);
  }
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
    double score =
        load + FailureRate(entry, limited, now) * options_.failure_penalty + jitter(random);
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
        ExpectedDelay(service, entry, limited, now) + jitter(random) +
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
                                    bool limited,
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
  delay += FailureRate(entry, limited, now) * static_cast<double>(costs.failure.count());
  if (entry.avoid_until > now) {
    delay += kAvoidedDelay;
  }
  return delay;
}

}  // namespace acaciaspring::gateway
