#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_LOG_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_LOG_H_

#include <string>

#include "acaciaspring/telemetry.h"
#include "src/gateway/rate_limits.h"

namespace acaciaspring::gateway {

/// @brief Logs a change of a limit. `source` is "response", the daemon that reported it, or
/// "expired".
void LogRateLimitChange(telemetry::EventLog& events,
                        const RateLimitChange& change,
                        const std::string& source);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_LOG_H_
