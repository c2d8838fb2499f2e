#include "src/gateway/endpoint_limit_log.h"

#include <string>
#include <utility>

namespace acaciaspring::gateway {

namespace {

std::string Describe(EndpointLimitCause cause) {
  switch (cause) {
    case EndpointLimitCause::kStarted:
      return "started";
    case EndpointLimitCause::kFailures:
      return "failures";
    case EndpointLimitCause::kReported:
      return "reported";
    case EndpointLimitCause::kReachedSlots:
      return "reached_slots";
    case EndpointLimitCause::kGone:
      return "gone";
    case EndpointLimitCause::kDisabled:
      return "disabled";
  }
  return "unknown";
}

}  // namespace

void EndpointLimitLog::Update() {
  EndpointTable& endpoints = context_.endpoints;
  const bool was_enabled = std::exchange(enabled_, endpoints.concurrency_limits().enabled());
  if (!enabled_ && !was_enabled) {
    return;
  }
  endpoints.UpdateConcurrencyLimits(context_.loop.Now());
  for (const EndpointLimitChange& change : endpoints.concurrency_limits().TakeChanges()) {
    context_.events.Write(
        "concurrency_limit",
        {{"endpoint", change.endpoint.value()},
         {"started_at_ms", change.started_at_ms},
         {"state", change.ended ? "ended" : "begun"},
         {"limit", static_cast<std::int64_t>(change.limit)},
         {"cause", Describe(change.cause)},
         {"duration_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(change.duration).count()}});
  }
  const std::uint64_t moves = endpoints.moved_calls();
  context_.metrics
      .GetCounter("acaciaspring_concurrency_limit_moves_total",
                  "Calls that were sent to another endpoint because of a concurrency limit")
      .Increment(moves - std::exchange(counted_moves_, moves));
  context_.metrics
      .GetGauge("acaciaspring_concurrency_limits", "Endpoints with a concurrency limit in force")
      .Set(static_cast<double>(endpoints.concurrency_limits().size()));
}

}  // namespace acaciaspring::gateway
