#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMIT_LOG_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMIT_LOG_H_

#include "src/gateway/context.h"

namespace acaciaspring::gateway {

/// @brief Writes the log lines and metrics of endpoints' concurrency limits.
class EndpointLimitLog {
 public:
  explicit EndpointLimitLog(Context& context) : context_(context) {}
  /// @brief Called with each heartbeat.
  void Update();

 private:
  Context& context_;
  bool enabled_ = false;
  std::uint64_t counted_moves_ = 0;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMIT_LOG_H_
