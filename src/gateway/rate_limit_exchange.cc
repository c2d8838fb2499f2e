#include "src/gateway/rate_limit_exchange.h"

#include <algorithm>
#include <utility>

#include "src/gateway/rate_limit_log.h"

namespace acaciaspring::gateway {

namespace {

// Bounds the state that a malformed message can create.
constexpr std::size_t kMaxServices = 4096;

}  // namespace

void RateLimitExchange::SetMembers(const std::vector<Member>& members) {
  presence_.SetMembers(members, context_.loop.Now());
  UpdatePresence();
}

void RateLimitExchange::OnHeard(const DaemonId& daemon) {
  presence_.OnHeard(daemon, context_.loop.Now());
}

void RateLimitExchange::UpdatePresence() {
  const MonotonicTime now = context_.loop.Now();
  context_.endpoints.rate_limits().SetDaemons(presence_.Present(now), now);
}

void RateLimitExchange::OnDemand(const DaemonId& daemon, const PeerDemand& demand) {
  const std::size_t count = std::min(demand.services.size(), kMaxServices);
  context_.endpoints.rate_limits().SetDemand(
      daemon, std::set<ServiceId>(demand.services.begin(), demand.services.begin() + count),
      context_.loop.Now());
}

void RateLimitExchange::OnReports(const DaemonId& daemon, const PeerRateLimits& limits) {
  for (const RateLimitReport& report : limits.reports) {
    const auto change = context_.endpoints.OnRateLimitReport(report, context_.loop.Now());
    if (change) {
      LogRateLimitChange(context_.events, *change, daemon.value());
    }
  }
}

PeerDemand RateLimitExchange::MakeDemand() const {
  return {.services = {sent_demand_.begin(), sent_demand_.end()}};
}

void RateLimitExchange::Greet(const SendFunction& send_to_daemon) {
  send_to_daemon(MakeDemand());
  PeerRateLimits limits{.reports =
                            context_.endpoints.rate_limits().OwnReports(context_.loop.Now())};
  if (!limits.reports.empty()) {
    send_to_daemon(std::move(limits));
  }
}

void RateLimitExchange::Update(const SendFunction& send_to_all) {
  const MonotonicTime now = context_.loop.Now();
  RateLimits& limits = context_.endpoints.rate_limits();
  UpdatePresence();
  for (const RateLimitChange& change : limits.Expire(now)) {
    LogRateLimitChange(context_.events, change, "expired");
  }
  std::set<ServiceId> demand = context_.endpoints.OwnDemand(now);
  if (demand != sent_demand_) {
    sent_demand_ = std::move(demand);
    send_to_all(MakeDemand());
  }
  PeerRateLimits reports{.reports = limits.TakeReports(now)};
  if (!reports.reports.empty()) {
    send_to_all(std::move(reports));
  }
  context_.metrics.GetGauge("acaciaspring_limited_endpoints", "Endpoints that name a rate limit")
      .Set(static_cast<double>(limits.size()));
}

}  // namespace acaciaspring::gateway
