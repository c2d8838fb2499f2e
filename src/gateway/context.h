#ifndef ACACIASPRING_SRC_GATEWAY_CONTEXT_H_
#define ACACIASPRING_SRC_GATEWAY_CONTEXT_H_

#include <random>
#include <string>

#include "acaciaspring/gateway.h"
#include "acaciaspring/telemetry.h"
#include "src/gateway/buffer_monitor.h"
#include "src/gateway/crash_monitor.h"
#include "src/gateway/endpoint_table.h"
#include "src/gateway/permit_exchange.h"
#include "src/gateway/waiting_calls.h"

namespace acaciaspring::gateway {

/// @brief Objects shared by the components of a gateway.
struct Context {
  Context(net::Loop& event_loop, const GatewayOptions& gateway_options)
      : loop(event_loop),
        options(gateway_options),
        // Endpoints with a shorter idle limit announce it in the keep-alive header.
        client(event_loop, {.pool_capacity = 64, .pool_idle_timeout = std::chrono::seconds(10)}),
        endpoints(gateway_options.self.zone,
                  {.self = gateway_options.self.id,
                   .limit_concurrency = gateway_options.limit_concurrency}),
        waiting_calls(event_loop),
        caller_keys(gateway_options.caller_keys),
        random(Hash64(gateway_options.self.id.value(), gateway_options.self.incarnation.value())) {}

  net::Loop& loop;
  GatewayOptions options;
  net::HttpClient client;
  EndpointTable endpoints;
  WaitingCalls waiting_calls;
  organisations::CallerKeys caller_keys;
  std::mt19937_64 random;
  /// Secret of the cluster, for the fingerprints of requests.
  std::string fingerprint_key;
  telemetry::EventLog events;
  telemetry::Registry metrics;
  CrashMonitor crashes{loop, events, metrics};
  PermitExchange permits{loop, events, metrics, options};
  BufferMonitor buffers{loop, options.memory_bytes, events, metrics};
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CONTEXT_H_
