#ifndef ACACIASPRING_SRC_DAEMON_CONTEXT_H_
#define ACACIASPRING_SRC_DAEMON_CONTEXT_H_

#include <random>
#include <string>

#include "acaciaspring/config.h"
#include "acaciaspring/journal.h"
#include "acaciaspring/net.h"
#include "acaciaspring/telemetry.h"
#include "src/daemon/peer_network.h"

namespace acaciaspring::daemon {

/// @brief Objects that the roles of one daemon share; owned by the daemon.
struct Context {
  net::Loop& loop;
  const config::Settings& settings;
  Incarnation incarnation;
  net::HttpClient& http;
  journal::Journal& journal;
  PeerNetwork& peers;
  telemetry::Registry& metrics;
  telemetry::Tracer& tracer;
  std::mt19937_64& random;
  /// The configuration in force; empty until the first one is applied.
  const config::Document& document;
};

net::Address ToAddress(const config::SocketAddress& address);
telemetry::SpanTime SpanNow();
/// @brief Starts a span as a child of `traceparent`, or a root span if that is malformed.
telemetry::Span StartSpan(const std::string& name, const std::string& traceparent);
/// @brief Ends a span and adds the outcome as attributes.
void FinishSpan(telemetry::Tracer& tracer, telemetry::Span span, const Outcome& outcome);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CONTEXT_H_
