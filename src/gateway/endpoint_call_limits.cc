#include <utility>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/rate_limit_log.h"

namespace acaciaspring::gateway {

void EndpointCall::Wait(const WaitForPermit& wait, const PermitForecast& forecast) {
  const MonotonicTime now = context_.loop.Now();
  LogRateLimited("waits", forecast.WaitFrom(now));
  ticket_ = context_.waiting_calls.Add(plan_.service, plan_.priority, [weak = weak_from_this()] {
    const auto self = weak.lock();
    return self == nullptr || self->RefuseIfQuarantined() || self->RefuseIfKeyInvalid() ||
           self->RestartIfPermitExpired() || self->TryAttempt() || self->RefuseIfAllLeave();
  });
  attempt_timer_ =
      context_.loop.After(std::chrono::duration_cast<Duration>(wait.until - now), [this] {
        const auto self = shared_from_this();
        StopWaiting();
        const auto current = context_.endpoints.ForecastPermit(MakeQuery(), context_.loop.Now());
        FinishRateLimited(current ? current->WaitFrom(context_.loop.Now()) : Duration(0));
      });
}

void EndpointCall::StopWaiting() {
  if (ticket_) {
    attempt_timer_.Cancel();
    context_.waiting_calls.Remove(*std::exchange(ticket_, std::nullopt));
  }
}

void EndpointCall::FinishRateLimited(Duration retry_after) {
  LogRateLimited("refused", retry_after);
  const auto retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  FinishLater(NotRun{.reason = NotRunReason::kRateLimited,
                     .retry_after_ms = static_cast<std::uint32_t>(retry_after_ms)});
}

void EndpointCall::LogRateLimited(const std::string& decision, Duration expected) const {
  context_.events.Write(
      "rate_limited",
      {{"id", plan_.id.value()},
       {"service", plan_.service.value()},
       {"decision", decision},
       {"expected_ms", std::chrono::duration_cast<std::chrono::milliseconds>(expected).count()},
       {"waiting_calls", static_cast<std::int64_t>(context_.waiting_calls.queue().size())},
       {"limited_endpoints", static_cast<std::int64_t>(context_.endpoints.rate_limits().size())}});
  context_.metrics
      .GetCounter("acaciaspring_rate_limited_calls_total",
                  "Calls that found all endpoints at their rate limits, by decision",
                  {{"decision", decision}})
      .Increment();
}

void EndpointCall::ReadRateLimit(const net::Headers& headers) {
  if (status_ == 421) {
    // A different endpoint responds at the address of the chosen one.
    return;
  }
  const std::string_view text = net::FindHeader(headers, context_.options.headers.rate_limit);
  const std::optional<double> limit = ParseRateLimit(text);
  if (!limit && !text.empty()) {
    context_.events.Write("invalid_endpoint_limit", {{"id", plan_.id.value()},
                                                     {"endpoint", endpoint_.value()},
                                                     {"text", std::string(text.substr(0, 64))}});
    return;
  }
  if (!limit && rejected_) {
    // Only a response to a request that was executed shows that there is no limit.
    return;
  }
  if (const auto change = context_.endpoints.OnRateLimit(endpoint_, limit, context_.loop.Now())) {
    LogRateLimitChange(context_.events, *change, "response");
  }
}

}  // namespace acaciaspring::gateway
