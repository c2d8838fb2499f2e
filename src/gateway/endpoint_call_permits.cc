#include <random>
#include <utility>

#include "src/gateway/endpoint_call.h"

namespace acaciaspring::gateway {

namespace {

// The shares of an organisation have a new grantor within 1.6 s, mostly at once.
constexpr std::uint32_t kMinUnknownRetryMs = 300;
constexpr std::uint32_t kMaxUnknownRetryMs = 1300;

}  // namespace

bool EndpointCall::HasOrganisationPermit() {
  if (!plan_.credential || !context_.permits.HasLimit(plan_.credential->organisation)) {
    return true;
  }
  if (permit_ && net::Loop::BootNow() < permit_->use_until) {
    return true;
  }
  ReleasePermit();
  const organisations::PermitDecision decision = context_.permits.Acquire(
      plan_.credential->organisation,
      plan_.program_started ? organisations::PermitUse::kStartedProgram
                            : organisations::PermitUse::kOther,
      std::chrono::duration_cast<Duration>(plan_.deadline - context_.loop.Now()),
      [weak = weak_from_this()](const organisations::PermitDecision& decided) {
        if (const auto self = weak.lock()) {
          self->permit_ticket_.reset();
          self->OnPermitDecision(decided);
        }
      });
  if (const auto* permit = std::get_if<organisations::Permit>(&decision)) {
    permit_ = *permit;
    return true;
  }
  OnPermitDecision(decision);
  return false;
}

void EndpointCall::OnPermitDecision(const organisations::PermitDecision& decision) {
  std::visit(
      Overloaded{[&](const organisations::Permit& permit) {
                   permit_ = permit;
                   // Repeats the checks, because time has passed.
                   Attempt();
                 },
                 [&](const organisations::PermitWaits& waits) { permit_ticket_ = waits.ticket; },
                 [&](const organisations::PermitDenied& denied) {
                   const auto retry_after =
                       std::chrono::ceil<std::chrono::milliseconds>(denied.retry_after).count();
                   FinishLater(NotRun{.reason = NotRunReason::kOrganisationLimited,
                                      .retry_after_ms = static_cast<std::uint32_t>(retry_after)});
                 },
                 [&](const organisations::PermitUnanswered&) {
                   std::uniform_int_distribution<std::uint32_t> spread(kMinUnknownRetryMs,
                                                                       kMaxUnknownRetryMs);
                   FinishLater(NotRun{.reason = NotRunReason::kLimitUnknown,
                                      .retry_after_ms = spread(context_.random)});
                 }},
      decision);
}

bool EndpointCall::RestartIfPermitExpired() {
  if (!permit_ || net::Loop::BootNow() < permit_->use_until) {
    return false;
  }
  StopWaiting();
  // Posted, because the queue of waiting calls must not change while it starts calls.
  context_.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock(); self != nullptr && !self->done_) {
      self->Attempt();
    }
  });
  return true;
}

void EndpointCall::KeepPermit() {
  permit_ = std::exchange(attempt_permit_, std::nullopt);
}

void EndpointCall::ReleasePermit() {
  if (permit_ticket_) {
    context_.permits.Cancel(*std::exchange(permit_ticket_, std::nullopt));
  }
  if (permit_) {
    context_.permits.Return(*std::exchange(permit_, std::nullopt));
  }
}

}  // namespace acaciaspring::gateway
