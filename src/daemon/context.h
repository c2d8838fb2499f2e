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

/// @brief What the roles of one daemon share. The daemon owns all of it.
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
  /// The configuration in force; empty before the first one.
  const config::Document& document;
};

net::Address ToAddress(const config::SocketAddress& address);
telemetry::SpanTime SpanNow();
/// @brief Starts a span under the caller's traceparent, if that is well-formed.
telemetry::Span StartSpan(const std::string& name, const std::string& traceparent);
/// @brief Ends a span with the outcome as attributes.
void FinishSpan(telemetry::Tracer& tracer, telemetry::Span span, const Outcome& outcome);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CONTEXT_H_
