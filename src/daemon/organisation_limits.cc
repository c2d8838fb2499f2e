#include "src/daemon/organisation_limits.h"

#include <algorithm>

namespace acaciaspring::daemon {

namespace {

std::uint32_t ToMs(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

OrganisationLimits::OrganisationLimits(Context context, const Cluster& cluster)
    : context_(context), cluster_(cluster) {}

OrganisationLimit OrganisationLimits::LimitOf(const OrganisationId& organisation) const {
  OrganisationLimit limit;
  const auto found = context_.document.organisations.find(organisation);
  if (found != context_.document.organisations.end()) {
    limit.calls_per_second = found->second.calls_per_second;
    limit.burst = 2 * found->second.calls_per_second;
    limit.concurrency = found->second.max_concurrent_calls;
  }
  return limit;
}

void OrganisationLimits::OnConfiguration() {
  for (auto& [organisation, grantor] : grantors_) {
    grantor->SetLimit(LimitOf(organisation), context_.loop.Now());
  }
}

std::optional<NotRun> OrganisationLimits::TryStart(const OrganisationId& organisation) {
  LimitHolder& holder = holders_[organisation];
  auto refused = holder.TryStart(context_.loop.Now());
  RequestGrantIfDue(organisation, holder);
  return refused;
}

void OrganisationLimits::End(const OrganisationId& organisation) {
  holders_[organisation].End();
}

void OrganisationLimits::Tick() {
  for (auto& [organisation, holder] : holders_) {
    RequestGrantIfDue(organisation, holder);
  }
}

void OrganisationLimits::RequestGrantIfDue(const OrganisationId& organisation,
                                           LimitHolder& holder) {
  const auto limiter = cluster_.placement().Limiter(organisation);
  const auto channel = limiter.has_value() ? context_.peers.ChannelTo(*limiter) : std::nullopt;
  if (!channel.has_value()) {
    return;
  }
  if (const auto request = holder.NextRequest(context_.loop.Now())) {
    context_.peers.Send(
        *channel,
        wire::LimitRequest{organisation, context_.settings.daemon, request->sequence,
                           request->wanted_calls, request->wanted_concurrency, request->running});
  }
}

void OrganisationLimits::OnRequest(ChannelId channel, const wire::LimitRequest& request) {
  if (!context_.document.organisations.contains(request.organisation)) {
    return;
  }
  auto& grantor = grantors_[request.organisation];
  if (grantor == nullptr) {
    grantor = std::make_unique<LimitGrantor>(LimitOf(request.organisation), context_.loop.Now());
  }
  const GrantRequest grant_request{request.sequence, request.wanted_calls,
                                   request.wanted_concurrency, request.running};
  const LimitGrant grant = grantor->Grant(request.holder, grant_request, context_.loop.Now());
  context_.peers.Send(channel, wire::LimitGranted{request.organisation, grant.sequence, grant.calls,
                                                  grant.concurrency, ToMs(grant.valid_for),
                                                  ToMs(grant.retry_after)});
}

void OrganisationLimits::OnGranted(const wire::LimitGranted& granted) {
  LimitGrant grant;
  grant.sequence = granted.sequence;
  grant.calls = granted.calls;
  grant.concurrency = granted.concurrency;
  grant.valid_for = std::chrono::milliseconds(granted.valid_for_ms);
  grant.retry_after = std::chrono::milliseconds(granted.retry_after_ms);
  holders_[granted.organisation].OnGrant(grant, context_.loop.Now());
}

}  // namespace acaciaspring::daemon
