#include "src/gateway/permit_exchange.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Messages to one daemon are collected for this long.
constexpr Duration kBatchPeriod = std::chrono::milliseconds(5);
constexpr Duration kBatchDelay = std::chrono::milliseconds(1);
constexpr Duration kIdlePeriod = std::chrono::milliseconds(50);
// A process that has ended refuses connections within a round trip; a host that is cut off does not
// answer at all.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(300);
constexpr Duration kRefusalLogPeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxLabels = 100;

}  // namespace

PermitExchange::PermitExchange(net::Loop& loop,
                               telemetry::EventLog& events,
                               telemetry::Registry& metrics,
                               const GatewayOptions& options)
    : loop_(loop), events_(events), metrics_(metrics) {
  if (options.limit_tolerance) {
    // Incarnations increase with every start by at least the microseconds that have passed.
    limits_ = std::make_unique<organisations::RequestLimits>(
        organisations::RequestLimitsOptions{.self = options.self.id,
                                            .session = options.self.incarnation.value() + 1,
                                            .tolerance = *options.limit_tolerance});
  }
}

void PermitExchange::Join(PermitExchangeLinks links) {
  links_ = std::move(links);
  Hasten();
}

void PermitExchange::SetOrganisations(
    const std::vector<organisations::Organisation>& organisations) {
  if (limits_ != nullptr) {
    const bool was_active = limits_->active();
    limits_->SetOrganisations(organisations, net::Loop::BootNow());
    if (was_active || limits_->active()) {
      Hasten();
    }
  }
}

void PermitExchange::SetMembers(const std::vector<Member>& members) {
  if (limits_ == nullptr) {
    return;
  }
  std::vector<DaemonId> ids;
  for (const Member& member : members) {
    ids.push_back(member.id);
  }
  limits_->SetMembers(ids, net::Loop::BootNow());
}

void PermitExchange::OnHeard(const DaemonId& daemon) {
  if (limits_ != nullptr) {
    limits_->OnHeard(daemon, net::Loop::BootNow());
  }
}

void PermitExchange::OnConnected(const DaemonId& daemon) {
  if (limits_ != nullptr) {
    limits_->OnConnected(daemon);
    if (active()) {
      Step();
    }
  }
}

void PermitExchange::OnExited(const Member& member) {
  if (limits_ == nullptr) {
    return;
  }
  checks_[member.id] = std::make_unique<net::ConnectCheck>(
      loop_, member.peer_address, kCheckTimeout, [this, id = member.id](net::ConnectResult result) {
        loop_.Post([check = std::shared_ptr<net::ConnectCheck>(std::move(checks_[id]))] {});
        checks_.erase(id);
        if (result == net::ConnectResult::kRefused) {
          limits_->OnEnded(id, net::Loop::BootNow());
          Hasten();
        }
      });
}

bool PermitExchange::OnMessage(const DaemonId& daemon, const PeerMessage& message) {
  const auto* request = std::get_if<PeerPermitRequest>(&message);
  const auto* grant = std::get_if<PeerPermitGrant>(&message);
  if (request == nullptr && grant == nullptr) {
    return false;
  }
  if (limits_ == nullptr) {
    return true;
  }
  if (request != nullptr) {
    limits_->OnRequest(daemon, *request, net::Loop::BootNow());
  } else {
    limits_->OnGrant(daemon, *grant, net::Loop::BootNow());
  }
  Hasten();
  return true;
}

bool PermitExchange::HasLimit(const OrganisationId& organisation) const {
  return limits_ != nullptr && limits_->HasLimit(organisation);
}

organisations::PermitDecision PermitExchange::Acquire(const OrganisationId& organisation,
                                                      organisations::PermitUse use,
                                                      Duration remaining,
                                                      OnDecision on_decision) {
  const BootTime now = net::Loop::BootNow();
  metrics_
      .GetCounter("acaciaspring_organisation_requests_total",
                  "Attempts for which a permit of an organisation was requested",
                  {{"organisation", Label(organisation)}})
      .Increment();
  auto decision = limits_->Acquire(organisation, use, now + remaining, now);
  if (const auto* waits = std::get_if<organisations::PermitWaits>(&decision)) {
    waiters_[waits->ticket] = {.organisation = organisation, .on_decision = std::move(on_decision)};
    Hasten();
  } else {
    CountRefusal(organisation, decision);
    if (limits_->busy()) {
      Hasten();
    }
  }
  return decision;
}

void PermitExchange::Cancel(organisations::PermitTicket ticket) {
  waiters_.erase(ticket);
  limits_->Cancel(ticket);
  Hasten();
}

void PermitExchange::Return(const organisations::Permit& permit) {
  limits_->Return(permit);
  Hasten();
}

void PermitExchange::CountUsed(const OrganisationId& organisation) {
  metrics_
      .GetCounter("acaciaspring_organisation_permits_total",
                  "Permits of an organisation used for attempts that an endpoint may execute",
                  {{"organisation", Label(organisation)}})
      .Increment();
}

void PermitExchange::Hasten() {
  const BootTime now = net::Loop::BootNow();
  Schedule(
      std::max(kBatchDelay, std::chrono::duration_cast<Duration>(last_step_ + kBatchPeriod - now)));
}

void PermitExchange::Schedule(Duration delay) {
  const BootTime due = net::Loop::BootNow() + delay;
  if (limits_ == nullptr || due >= step_due_) {
    return;
  }
  step_due_ = due;
  timer_ = loop_.After(delay, [this] { Step(); });
}

void PermitExchange::Step() {
  const BootTime now = net::Loop::BootNow();
  step_due_ = BootTime::max();
  last_step_ = now;
  if (links_.send && active()) {
    limits_->SetReady(links_.ready_daemons(), links_.self_ready(), links_.longest_period());
  }
  organisations::RequestLimitsOutput output = limits_->Step(now);
  for (const auto& [daemon, request] : output.requests) {
    links_.send(daemon, request);
  }
  for (const auto& [daemon, grant] : output.grants) {
    links_.send(daemon, grant);
  }
  LogChanges(output);
  for (const auto& [ticket, decision] : output.decisions) {
    const auto waiter = waiters_.extract(ticket);
    if (!waiter.empty()) {
      CountRefusal(waiter.mapped().organisation, decision);
      waiter.mapped().on_decision(decision);
    }
  }
  if (limits_->active()) {
    Schedule(limits_->busy() ? kBatchPeriod : kIdlePeriod);
  }
}

void PermitExchange::LogChanges(const organisations::RequestLimitsOutput& output) {
  for (const auto& change : output.changes) {
    events_.Write("limit_grantor",
                  {{"former", change.former.value()},
                   {"current", change.current.value()},
                   {"organisations", std::int64_t{change.organisations}},
                   {"daemons", static_cast<std::int64_t>(limits_->daemons(net::Loop::BootNow()))}});
  }
}

void PermitExchange::CountRefusal(const OrganisationId& organisation,
                                  const organisations::PermitDecision& decision) {
  const bool denied = std::holds_alternative<organisations::PermitDenied>(decision);
  if (!denied && !std::holds_alternative<organisations::PermitUnanswered>(decision)) {
    return;
  }
  if (refusals_.empty()) {
    refusal_timer_ = loop_.After(kRefusalLogPeriod, [this] { LogRefusals(); });
  }
  Refusals& refusals = refusals_[organisation];
  ++(denied ? refusals.denied : refusals.unanswered);
  metrics_
      .GetCounter("acaciaspring_organisation_refusals_total",
                  "Attempts without a permit of their organisation, by reason",
                  {{"organisation", Label(organisation)},
                   {"reason", std::string(ToString(denied ? NotRunReason::kOrganisationLimited
                                                          : NotRunReason::kLimitUnknown))}})
      .Increment();
}

void PermitExchange::LogRefusals() {
  for (const auto& [organisation, refusals] : std::exchange(refusals_, {})) {
    events_.Write("organisation_refused", {{"organisation", organisation.value()},
                                           {"denied", refusals.denied},
                                           {"unanswered", refusals.unanswered}});
  }
}

std::string PermitExchange::Label(const OrganisationId& organisation) {
  if (!labelled_.contains(organisation)) {
    if (labelled_.size() >= kMaxLabels) {
      return "other";
    }
    labelled_.insert(organisation);
  }
  return organisation.value();
}

}  // namespace acaciaspring::gateway
