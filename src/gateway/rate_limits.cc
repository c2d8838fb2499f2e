#include "src/gateway/rate_limits.h"

#include <cmath>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Daemons on the other side of a partition may divide the whole limit among themselves. With half
// of their former shares, those on this side add no more than half of the limit.
constexpr double kIsolatedShare = 0.5;

// Permits at hand when an endpoint names its first limit: between none and one, different for each
// daemon, so that the daemons do not send their first requests at the same time.
double InitialPermits(const EndpointId& endpoint, const DaemonId& self) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(Hash64(self.value(), ~Hash64(endpoint.value()))) / kRange;
}

}  // namespace

RateLimits::RateLimits(ShareCandidate self, RateLimitsOptions options)
    : self_(std::move(self)), options_(options) {}

void RateLimits::SetDaemons(PresentDaemons daemons, MonotonicTime now) {
  if (daemons == daemons_) {
    return;
  }
  daemons_ = std::move(daemons);
  std::set<DaemonId> present;
  for (const ShareCandidate& daemon : daemons_.others) {
    present.insert(daemon.id);
  }
  std::erase_if(demand_, [&](const auto& demand) { return !present.contains(demand.first); });
  UpdateShares(now);
}

void RateLimits::SetDemand(const DaemonId& daemon,
                           std::set<ServiceId> services,
                           MonotonicTime now) {
  demand_[daemon] = std::move(services);
  UpdateShares(now);
}

void RateLimits::SetKeepsSessions(const ServiceId& service, bool keeps_sessions) {
  if (keeps_sessions) {
    session_services_.insert(service);
  } else {
    session_services_.erase(service);
  }
}

void RateLimits::OnListed(const RegisteredEndpoint& endpoint) {
  const auto found = limits_.find(endpoint.id);
  if (found != limits_.end() && found->second.started_at_ms != endpoint.started_at_ms) {
    limits_.erase(found);
  }
}

void RateLimits::UpdateShares(MonotonicTime now) {
  for (auto& [id, entry] : limits_) {
    UpdateShare(id, entry, now);
  }
}

void RateLimits::UpdateShare(const EndpointId& id, Entry& entry, MonotonicTime now) {
  std::vector<ShareCandidate> callers;
  for (const ShareCandidate& daemon : daemons_.others) {
    const auto demand = demand_.find(daemon.id);
    if (demand == demand_.end() || demand->second.contains(entry.service)) {
      callers.push_back(daemon);
    }
  }
  entry.share = FindRateLimitShare({.id = id,
                                    .zone = entry.zone,
                                    .per_second = entry.limit.base_per_second(),
                                    .keeps_sessions = session_services_.contains(entry.service)},
                                   callers, self_);
  if (daemons_.isolated) {
    entry.share.fraction *= kIsolatedShare;
  }
  entry.limit.SetShare(entry.share.fraction, entry.share.burst, now);
}

RateLimits::Entry& RateLimits::Insert(const RegisteredEndpoint& endpoint,
                                      double per_second,
                                      MonotonicTime now) {
  return limits_
      .insert_or_assign(endpoint.id,
                        Entry{.limit = RateLimit(per_second, InitialPermits(endpoint.id, self_.id),
                                                 now, options_.limit),
                              .service = endpoint.service,
                              .zone = endpoint.zone,
                              .started_at_ms = endpoint.started_at_ms,
                              .changed_at = now})
      .first->second;
}

RateLimitChange RateLimits::Change(const EndpointId& id,
                                   Entry& entry,
                                   std::optional<double> per_second,
                                   MonotonicTime now) {
  const std::optional<double> former = entry.limit.limit();
  entry.limit.SetLimit(per_second, now);
  UpdateShare(id, entry, now);
  return {
      .endpoint = id,
      .former = former,
      .current = per_second,
      .age = std::chrono::duration_cast<Duration>(now - entry.observed_at),
      .share = entry.share,
      .attempts = std::exchange(entry.attempts, 0),
      .period = std::chrono::duration_cast<Duration>(now - std::exchange(entry.changed_at, now))};
}

bool RateLimits::IsSignificant(const std::optional<double>& former,
                               const std::optional<double>& current) const {
  if (!former || !current) {
    return former.has_value() != current.has_value();
  }
  return std::abs(*current - *former) > options_.reported_change * *former;
}

std::optional<RateLimitChange> RateLimits::OnResponse(const RegisteredEndpoint& endpoint,
                                                      std::optional<double> per_second,
                                                      MonotonicTime now) {
  auto found = limits_.find(endpoint.id);
  if (found == limits_.end()) {
    if (!per_second) {
      return std::nullopt;
    }
    Entry& entry = Insert(endpoint, *per_second, now);
    entry.observed_at = now;
    entry.own = true;
    entry.report_due = true;
    RateLimitChange change = Change(endpoint.id, entry, per_second, now);
    change.former = std::nullopt;
    return change;
  }
  Entry& entry = found->second;
  entry.observed_at = now;
  entry.own = true;
  if (entry.limit.limit() == per_second) {
    return std::nullopt;
  }
  entry.report_due = entry.report_due || IsSignificant(entry.reported, per_second);
  return Change(endpoint.id, entry, per_second, now);
}

std::optional<RateLimitChange> RateLimits::OnReport(const RegisteredEndpoint& endpoint,
                                                    const RateLimitReport& report,
                                                    MonotonicTime now) {
  const MonotonicTime observed_at = now - std::max(Duration(report.age_us), Duration(0));
  const bool is_valid = std::isfinite(report.per_second) && report.per_second >= 0;
  if (!is_valid || report.started_at_ms != endpoint.started_at_ms ||
      observed_at + options_.validity <= now) {
    return std::nullopt;
  }
  const std::optional<double> per_second =
      report.limited ? std::optional<double>(report.per_second) : std::nullopt;
  auto found = limits_.find(endpoint.id);
  const bool is_new = found == limits_.end();
  if (is_new && !per_second) {
    return std::nullopt;
  }
  if (!is_new && found->second.limit.limit() == per_second) {
    // All daemons have this report, so none needs to repeat it for now.
    found->second.reported = per_second;
    found->second.reported_at = now;
  }
  if (!is_new && observed_at <= found->second.observed_at) {
    return std::nullopt;
  }
  Entry& entry = is_new ? Insert(endpoint, *per_second, now) : found->second;
  entry.observed_at = observed_at;
  entry.own = false;
  entry.reported = per_second;
  entry.report_due = false;
  entry.reported_at = now;
  if (!is_new && entry.limit.limit() == per_second) {
    return std::nullopt;
  }
  RateLimitChange change = Change(endpoint.id, entry, per_second, now);
  if (is_new) {
    change.former = std::nullopt;
  }
  return change;
}

std::vector<RateLimitChange> RateLimits::Expire(MonotonicTime now) {
  std::erase_if(limits_, [&](const auto& limit) { return limit.second.limit.Recovered(now); });
  std::vector<RateLimitChange> changes;
  for (auto& [id, entry] : limits_) {
    if (entry.limit.limit() && now - entry.observed_at >= options_.validity) {
      changes.push_back(Change(id, entry, std::nullopt, now));
    }
  }
  return changes;
}

RateLimitReport RateLimits::MakeReport(const EndpointId& id,
                                       const Entry& entry,
                                       MonotonicTime now) {
  return {.endpoint = id,
          .started_at_ms = entry.started_at_ms,
          .limited = entry.limit.limit().has_value(),
          .per_second = entry.limit.limit().value_or(0),
          .age_us = std::chrono::duration_cast<Duration>(now - entry.observed_at).count()};
}

std::vector<RateLimitReport> RateLimits::TakeReports(MonotonicTime now) {
  std::vector<RateLimitReport> reports;
  for (auto& [id, entry] : limits_) {
    // For daemons that do not call the endpoint. Whoever repeats first does so for all.
    const bool is_repeat = entry.own && entry.limit.limit() &&
                           entry.observed_at > entry.reported_at &&
                           now - entry.reported_at >= options_.repeat_period;
    if (entry.report_due || is_repeat) {
      reports.push_back(MakeReport(id, entry, now));
      entry.reported = entry.limit.limit();
      entry.report_due = false;
      entry.reported_at = now;
    }
  }
  return reports;
}

std::vector<RateLimitReport> RateLimits::OwnReports(MonotonicTime now) const {
  std::vector<RateLimitReport> reports;
  for (const auto& [id, entry] : limits_) {
    if (entry.own) {
      reports.push_back(MakeReport(id, entry, now));
    }
  }
  return reports;
}

bool RateLimits::HasPermit(const EndpointId& endpoint, MonotonicTime now) const {
  const RateLimit* limit = Find(endpoint);
  return limit == nullptr || limit->HasPermit(now);
}

bool RateLimits::HasSpare(const EndpointId& endpoint, MonotonicTime now) const {
  const RateLimit* limit = Find(endpoint);
  return limit == nullptr || limit->HasSpare(now);
}

void RateLimits::Take(const EndpointId& endpoint, MonotonicTime now) {
  if (const auto found = limits_.find(endpoint); found != limits_.end()) {
    found->second.limit.Take(now);
    ++found->second.attempts;
  }
}

const RateLimit* RateLimits::Find(const EndpointId& endpoint) const {
  const auto found = limits_.find(endpoint);
  return found == limits_.end() ? nullptr : &found->second.limit;
}

}  // namespace acaciaspring::gateway
