#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief Which endpoints exist, from what is read of a register that may be away for a while.
class EndpointRegistry {
 public:
  /// @brief The whole register as it was just read.
  void Update(const std::vector<RegisteredEndpoint>& listed, MonotonicTime now);
  /// @brief The endpoints to use.
  std::vector<RegisteredEndpoint> Endpoints(MonotonicTime now) const;
  /// @brief When entries that are still missing after an outage count as gone; none if it is over.
  std::optional<MonotonicTime> GracePeriodEnd(MonotonicTime now) const;

 private:
  bool InGracePeriod(MonotonicTime now) const { return now < grace_period_end_; }

  std::vector<RegisteredEndpoint> listed_;
  /// Entries that were known before the outage and are not listed since.
  std::unordered_map<EndpointId, RegisteredEndpoint> missing_;
  std::optional<MonotonicTime> last_read_at_;
  MonotonicTime grace_period_end_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
