#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief The endpoints to use, as read from a registry that can be unavailable for a while.
/// Entries missing after an outage may have expired during it, so they are kept for a grace period.
class EndpointRegistry {
 public:
  /// @brief Sets the complete contents of the registry, as just read.
  void Update(const std::vector<RegisteredEndpoint>& listed, MonotonicTime now);
  /// @brief The endpoints to use at `now`.
  std::vector<RegisteredEndpoint> Endpoints(MonotonicTime now) const;
  /// @brief When entries that are still missing after an outage are dropped; absent outside a grace
  /// period.
  std::optional<MonotonicTime> GracePeriodEnd(MonotonicTime now) const;

 private:
  bool InGracePeriod(MonotonicTime now) const { return now < grace_period_end_; }

  std::vector<RegisteredEndpoint> listed_;
  /// Entries that were known before the outage and have not been listed since.
  std::unordered_map<EndpointId, RegisteredEndpoint> missing_;
  std::optional<MonotonicTime> last_read_at_;
  MonotonicTime grace_period_end_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
