#include "src/gateway/rate_limit_log.h"

namespace acaciaspring::gateway {

namespace {

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

void LogRateLimitChange(telemetry::EventLog& events,
                        const RateLimitChange& change,
                        const std::string& source) {
  events.Write("endpoint_limit", {{"endpoint", change.endpoint.value()},
                                  {"per_second", FormatRateLimit(change.current)},
                                  {"former_per_second", FormatRateLimit(change.former)},
                                  {"source", source},
                                  {"age_ms", Milliseconds(change.age)},
                                  {"share", FormatRateLimit(change.share.fraction)},
                                  {"users", std::int64_t{change.share.users}},
                                  {"own_attempts", static_cast<std::int64_t>(change.attempts)},
                                  {"period_ms", Milliseconds(change.period)}});
}

}  // namespace acaciaspring::gateway
