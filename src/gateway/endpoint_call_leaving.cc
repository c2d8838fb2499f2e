#include "src/gateway/endpoint_call.h"
#include "src/gateway/leaving_notice.h"

namespace acaciaspring::gateway {

namespace {

// The registry, which is read twice a second, may list a new endpoint by then.
constexpr std::uint32_t kRetryAfterMs = 500;
constexpr std::size_t kMaxLoggedText = 64;

}  // namespace

void EndpointCall::ReadLeaving() {
  const std::string& name = context_.options.headers.leaving;
  const std::string text(net::FindHeader(response_headers_, name));
  const bool leaving = SaysLeaving(response_headers_, name);
  std::erase_if(response_headers_, [&](const auto& header) { return header.first == name; });
  if (status_ == 421) {
    // A different endpoint responds at the address of the chosen one.
    return;
  }
  if (leaving) {
    LearnLeaving(context_, plan_.id, endpoint_, endpoint_started_at_ms_);
    response_headers_.emplace_back(name, FormatRelayedLeaving(endpoint_, endpoint_started_at_ms_));
  } else if (!text.empty()) {
    context_.events.Write("invalid_endpoint_leaving", {{"id", plan_.id.value()},
                                                       {"endpoint", endpoint_.value()},
                                                       {"text", text.substr(0, kMaxLoggedText)}});
  }
}

void EndpointCall::CloseIdleIfLeaving() {
  if (context_.endpoints.IsLeaving(endpoint_, endpoint_started_at_ms_)) {
    context_.client.CloseIdleConnections(endpoint_address_);
  }
}

void EndpointCall::CountPassedOver() const {
  if (context_.endpoints.PassedOver(plan_.service) > 0) {
    context_.metrics
        .GetCounter(
            "acaciaspring_leaving_endpoint_choices_total",
            "Choices that left out a registered endpoint because it had said that it leaves")
        .Increment();
  }
}

bool EndpointCall::RefuseIfAllLeave() {
  if (context_.endpoints.PassedOver(plan_.service) == 0 ||
      context_.endpoints.ForecastPermit(MakeQuery(), context_.loop.Now())) {
    return false;
  }
  FinishWithoutEndpoint();
  return true;
}

void EndpointCall::FinishWithoutEndpoint() {
  if (context_.endpoints.AllLeave(plan_.service)) {
    FinishLater(NotRun{.reason = NotRunReason::kEndpointsLeave, .retry_after_ms = kRetryAfterMs});
    return;
  }
  FinishLater(NotRun{.reason = tried_endpoints_.empty() ? NotRunReason::kNoEndpoint
                                                        : NotRunReason::kOverloaded});
}

}  // namespace acaciaspring::gateway
