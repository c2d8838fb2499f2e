#include <algorithm>
#include <map>

#include "acaciaspring/organisations.h"
#include "src/organisations/daemon_presence.h"
#include "src/organisations/permit_grantor.h"
#include "src/organisations/permit_holder.h"
#include "src/organisations/share_lessor.h"

namespace acaciaspring::organisations {

namespace {

// The rest of the tolerance covers permits that are used late, and grantors that take over.
constexpr double kServedPartOfTolerance = 0.7;

// A lease outlasts two heartbeats of which one is late.
constexpr int kHeartbeatsPerLease = 3;
constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(50);

}  // namespace

struct RequestLimits::Impl {
  explicit Impl(RequestLimitsOptions limits_options)
      : options(std::move(limits_options)),
        session(options.session),
        lease(options.min_lease),
        presence(options.self),
        grantor(options.tolerance),
        holder(options.self, options.tolerance) {
    sessions[options.self] = session;
  }

  /// @brief Begins a new session if this daemon has been suspended since the last call. Messages
  /// that have arrived in the meantime tell nothing about the present.
  void Advance(BootTime now);
  /// @brief Returns false if the message belongs to a former session.
  bool Accept(const DaemonId& from,
              std::uint64_t from_session,
              std::uint64_t to_session,
              BootTime now);
  void Maintain(BootTime now);
  void ChooseGrantors();
  void SendLeases(BootTime now);
  void SendWants(BootTime now);
  void AskSelf(const PermitWant& want, BootTime now);
  void Deliver(const std::vector<PermitGrantor::Answer>& answers, BootTime now);
  PermitRequest& RequestFor(const DaemonId& daemon, BootTime now);
  PermitGrant& GrantFor(const DaemonId& daemon);

  RequestLimitsOptions options;
  std::uint64_t session;
  Duration lease;
  std::unordered_map<OrganisationId, RequestLimit> limits;
  DaemonPresence presence;
  PermitGrantor grantor;
  ShareLessor lessor;
  PermitHolder holder;
  std::unordered_map<DaemonId, std::uint64_t> sessions;
  std::vector<DaemonId> ready;
  bool self_ready = false;
  std::vector<DaemonId> candidates;
  bool limits_changed = false;
  std::unordered_map<OrganisationId, DaemonId> chosen;
  std::map<DaemonId, PermitRequest> requests;
  std::map<std::pair<DaemonId, std::int64_t>, PermitGrant> grants;
  std::map<std::pair<DaemonId, DaemonId>, std::uint32_t> changes;
  std::optional<BootTime> last_call;
  BootTime maintained_at;
  bool maintenance_due = true;
};

void RequestLimits::Impl::Advance(BootTime now) {
  if (limits.empty()) {
    last_call.reset();
    return;
  }
  const bool suspended = last_call && now - *last_call > options.lease_margin;
  last_call = last_call ? std::max(*last_call, now) : now;
  if (!suspended) {
    return;
  }
  sessions[options.self] = ++session;
  grantor.Clear(now);
  holder.OnSuspended();
  requests.clear();
  grants.clear();
  for (const auto& [daemon, known] : sessions) {
    if (daemon != options.self) {
      GrantFor(daemon);
      // The leases carry the session.
      lessor.OnConnected(daemon);
    }
  }
  maintenance_due = true;
}

PermitRequest& RequestLimits::Impl::RequestFor(const DaemonId& daemon, BootTime now) {
  PermitRequest& request = requests[daemon];
  request.session = session;
  request.to_session = sessions[daemon];
  request.sent_us = now.time_since_epoch().count();
  return request;
}

PermitGrant& RequestLimits::Impl::GrantFor(const DaemonId& daemon) {
  PermitGrant& grant = grants[{daemon, 0}];
  const auto known = sessions.find(daemon);
  grant.session = session;
  grant.to_session = known == sessions.end() ? 0 : known->second;
  grant.lease_sequence = grantor.LeaseSequence(daemon);
  return grant;
}

bool RequestLimits::Impl::Accept(const DaemonId& from,
                                 std::uint64_t from_session,
                                 std::uint64_t to_session,
                                 BootTime now) {
  Advance(now);
  std::uint64_t& known = sessions[from];
  if (from_session < known) {
    return false;
  }
  if (from_session > known) {
    known = from_session;
    grantor.Forget(from);
    maintenance_due = true;
  }
  presence.OnHeard(from, now);
  if (to_session == session) {
    return true;
  }
  if (to_session != 0) {
    // The sender does not know this session yet.
    GrantFor(from);
  }
  return false;
}

void RequestLimits::Impl::ChooseGrantors() {
  std::vector<DaemonId> current;
  for (const DaemonId& daemon : ready) {
    if (sessions.contains(daemon) && presence.HeardWithin(daemon, lease, *last_call)) {
      current.push_back(daemon);
    }
  }
  if (self_ready || current.empty()) {
    current.push_back(options.self);
  }
  std::sort(current.begin(), current.end());
  if (current != candidates || limits_changed) {
    candidates = std::move(current);
    limits_changed = false;
    for (const auto& [organisation, limit] : limits) {
      DaemonId best = ChooseGrantor(organisation, candidates);
      DaemonId& former = chosen[organisation];
      if (former != best) {
        ++changes[{former, best}];
        former = std::move(best);
      }
    }
  }
  for (const auto& [organisation, daemon] : chosen) {
    holder.SetGrantor(organisation, daemon, sessions.at(daemon));
  }
}

void RequestLimits::Impl::SendLeases(BootTime now) {
  const GrantorView view{
      .self = options.self,
      .chosen = chosen,
      .sessions = sessions,
      .has_ended = [this](const DaemonId& daemon) { return presence.HasEnded(daemon); },
      .daemons = static_cast<std::uint32_t>(presence.Count(now)),
      .lease = lease,
      .margin = options.lease_margin};
  for (const ShareLessor::Leases& leases : lessor.Update(view, now)) {
    const bool local = leases.grantor == options.self;
    PermitRequest own;
    PermitRequest& request = local ? own : RequestFor(leases.grantor, now);
    request.has_leases = true;
    request.lease_sequence = leases.sequence;
    request.daemons = view.daemons;
    request.lease_us = lease.count();
    request.leases = leases.organisations;
    if (local) {
      grantor.SetLeases(options.self, own, now);
    }
  }
}

void RequestLimits::Impl::Maintain(BootTime now) {
  maintenance_due = false;
  maintained_at = now;
  if (!presence.members_known()) {
    return;
  }
  ChooseGrantors();
  grantor.OnHeard(options.self, now);
  SendLeases(now);
  grantor.Expire(now);
}

void RequestLimits::Impl::Deliver(const std::vector<PermitGrantor::Answer>& answers, BootTime now) {
  for (const PermitGrantor::Answer& answer : answers) {
    if (answer.holder == options.self) {
      holder.OnAnswer(options.self, BootTime(Duration(answer.asked_us)), answer.answer, now);
    } else {
      PermitGrant& grant = grants[{answer.holder, answer.asked_us}];
      grant.session = session;
      grant.to_session = sessions[answer.holder];
      grant.asked_us = answer.asked_us;
      grant.lease_sequence = grantor.LeaseSequence(answer.holder);
      grant.answers.push_back(answer.answer);
    }
  }
}

void RequestLimits::Impl::AskSelf(const PermitWant& want, BootTime now) {
  std::vector<PermitGrantor::Answer> answers;
  grantor.OnWant(options.self, now.time_since_epoch().count(), want, now, answers);
  Deliver(answers, now);
}

void RequestLimits::Impl::SendWants(BootTime now) {
  for (auto& [daemon, wants] : holder.TakeWants(now)) {
    if (daemon == options.self) {
      for (const PermitWant& want : wants) {
        AskSelf(want, now);
      }
    } else {
      RequestFor(daemon, now).wants = std::move(wants);
    }
  }
}

RequestLimits::RequestLimits(RequestLimitsOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

RequestLimits::~RequestLimits() = default;

RequestLimit EnforcedLimit(const RequestLimit& limit, const LimitTolerance& tolerance) {
  const double factor = 1 + tolerance.over * kServedPartOfTolerance;
  return {.per_second = limit.per_second * factor,
          .burst = limit.burst * factor + tolerance.slack * kServedPartOfTolerance};
}

void RequestLimits::SetOrganisations(const std::vector<Organisation>& organisations, BootTime now) {
  std::unordered_map<OrganisationId, RequestLimit> limits;
  std::set<OrganisationId> limited;
  for (const Organisation& organisation : organisations) {
    if (organisation.limit) {
      limits[organisation.id] = EnforcedLimit(*organisation.limit, impl_->options.tolerance);
      limited.insert(organisation.id);
    }
  }
  const bool has_new = std::any_of(limits.begin(), limits.end(), [this](const auto& limit) {
    return !impl_->limits.contains(limit.first);
  });
  std::erase_if(impl_->chosen, [&](const auto& entry) { return !limits.contains(entry.first); });
  impl_->limits = limits;
  impl_->limits_changed = true;
  impl_->maintenance_due = true;
  impl_->grantor.SetLimits(limits, now);
  impl_->holder.SetLimits(limits);
  impl_->lessor.SetOrganisations(limited);
  for (const auto& [daemon, session] : impl_->sessions) {
    if (has_new && daemon != impl_->options.self) {
      impl_->GrantFor(daemon).send_leases = true;
    }
  }
}

bool RequestLimits::active() const {
  return !impl_->limits.empty();
}

bool RequestLimits::HasLimit(const OrganisationId& organisation) const {
  return impl_->limits.contains(organisation);
}

void RequestLimits::SetMembers(const std::vector<DaemonId>& members, BootTime now) {
  impl_->presence.SetMembers(members, now);
  impl_->maintenance_due = true;
}

void RequestLimits::OnHeard(const DaemonId& daemon, BootTime now) {
  impl_->presence.OnHeard(daemon, now);
  if (active()) {
    impl_->Advance(now);
    impl_->grantor.OnHeard(daemon, now);
  }
}

void RequestLimits::OnEnded(const DaemonId& daemon, BootTime now) {
  impl_->Advance(now);
  impl_->presence.OnEnded(daemon);
  impl_->grantor.Forget(daemon);
  impl_->maintenance_due = true;
}

void RequestLimits::SetReady(const std::vector<DaemonId>& ready,
                             bool self_ready,
                             Duration heartbeat_period) {
  impl_->ready = ready;
  impl_->self_ready = self_ready;
  impl_->lease = std::max(impl_->options.min_lease, heartbeat_period * kHeartbeatsPerLease);
}

void RequestLimits::OnConnected(const DaemonId& daemon) {
  impl_->GrantFor(daemon);
  if (impl_->sessions.contains(daemon)) {
    impl_->lessor.OnConnected(daemon);
  }
  impl_->holder.OnConnected(daemon);
  impl_->maintenance_due = true;
}

void RequestLimits::OnRequest(const DaemonId& from, const PermitRequest& request, BootTime now) {
  if (!impl_->Accept(from, request.session, request.to_session, now)) {
    return;
  }
  impl_->grantor.OnHeard(from, now);
  if (request.has_leases) {
    impl_->grantor.SetLeases(from, request, now);
    impl_->GrantFor(from);
  }
  std::vector<PermitGrantor::Answer> answers;
  for (const PermitWant& want : request.wants) {
    impl_->grantor.OnWant(from, request.sent_us, want, now, answers);
  }
  impl_->Deliver(answers, now);
}

void RequestLimits::OnGrant(const DaemonId& from, const PermitGrant& grant, BootTime now) {
  if (!impl_->Accept(from, grant.session, grant.to_session, now)) {
    return;
  }
  impl_->grantor.OnHeard(from, now);
  impl_->lessor.OnApplied(from, grant.lease_sequence);
  if (grant.send_leases) {
    impl_->lessor.OnConnected(from);
    impl_->maintenance_due = true;
  }
  for (const PermitAnswer& answer : grant.answers) {
    impl_->holder.OnAnswer(from, BootTime(Duration(grant.asked_us)), answer, now);
  }
}

PermitDecision RequestLimits::Acquire(const OrganisationId& organisation,
                                      PermitUse use,
                                      BootTime deadline,
                                      BootTime now) {
  if (!HasLimit(organisation)) {
    return Permit{.organisation = organisation};
  }
  impl_->Advance(now);
  const PermitDecision decision = impl_->holder.Acquire(organisation, use, deadline, now);
  const auto* waits = std::get_if<PermitWaits>(&decision);
  if (waits == nullptr || impl_->holder.GrantorOf(organisation) != impl_->options.self) {
    return decision;
  }
  if (const auto want = impl_->holder.TakeWant(organisation, now)) {
    impl_->AskSelf(*want, now);
  }
  return impl_->holder.TakeDecision(waits->ticket).value_or(decision);
}

void RequestLimits::Cancel(PermitTicket ticket) {
  impl_->holder.Cancel(ticket);
}

void RequestLimits::Return(const Permit& permit) {
  impl_->holder.Return(permit);
}

RequestLimitsOutput RequestLimits::Step(BootTime now) {
  RequestLimitsOutput output;
  if (!active()) {
    impl_->requests.clear();
    impl_->grants.clear();
    for (auto& decision : impl_->holder.TakeDecisions()) {
      output.decisions.push_back(std::move(decision));
    }
    return output;
  }
  impl_->Advance(now);
  if (impl_->maintenance_due || now - impl_->maintained_at >= kMaintenancePeriod) {
    impl_->Maintain(now);
  }
  std::vector<PermitGrantor::Answer> answers;
  impl_->grantor.Distribute(now, answers);
  impl_->Deliver(answers, now);
  impl_->holder.Expire(now);
  impl_->SendWants(now);
  for (auto& [daemon, request] : std::exchange(impl_->requests, {})) {
    output.requests.emplace_back(daemon, std::move(request));
  }
  for (auto& [key, grant] : std::exchange(impl_->grants, {})) {
    output.grants.emplace_back(key.first, std::move(grant));
  }
  output.decisions = impl_->holder.TakeDecisions();
  for (const auto& [daemons, count] : std::exchange(impl_->changes, {})) {
    output.changes.push_back(
        {.former = daemons.first, .current = daemons.second, .organisations = count});
  }
  return output;
}

bool RequestLimits::busy() const {
  return impl_->holder.busy() || impl_->grantor.has_wants() || impl_->maintenance_due ||
         !impl_->requests.empty() || !impl_->grants.empty();
}

std::size_t RequestLimits::daemons(BootTime now) const {
  return impl_->presence.Count(now);
}

}  // namespace acaciaspring::organisations
