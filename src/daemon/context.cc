#include "src/daemon/context.h"

#include <utility>

namespace acaciaspring::daemon {

net::Address ToAddress(const config::SocketAddress& address) {
  return net::Address{address.ip, address.port};
}

telemetry::SpanTime SpanNow() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

telemetry::Span StartSpan(const std::string& name, const std::string& traceparent) {
  return telemetry::Tracer::Start(name, telemetry::ParseTraceparent(traceparent), SpanNow());
}

void FinishSpan(telemetry::Tracer& tracer, telemetry::Span span, const Outcome& outcome) {
  span.attributes.emplace_back("outcome", std::string(KindName(outcome)));
  if (!std::holds_alternative<Completed>(outcome)) {
    span.attributes.emplace_back("reason", std::string(ReasonName(outcome)));
    span.status = telemetry::SpanStatus::kError;
  }
  tracer.Finish(std::move(span), SpanNow());
}

}  // namespace acaciaspring::daemon
