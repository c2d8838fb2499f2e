#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/gateway/newest_entries.h"

namespace acaciaspring::gateway {

/// @brief The endpoints to use, as read from a registry that can be unavailable for a while and can
/// list outdated entries. Entries missing after an outage may have expired during it, so they are
/// kept for a grace period.
class EndpointRegistry {
 public:
  /// @brief Sets the complete contents of the registry, as just read. Returns the entries that are
  /// found to be outdated.
  std::vector<OutdatedEntry> Update(const std::vector<RegisteredEndpoint>& listed,
                                    MonotonicTime now);
  /// @brief What another daemon needs to recognise outdated entries.
  std::vector<SeenEndpoint> Seen(MonotonicTime now) const { return newest_.Seen(now); }
  /// @brief Adds what another daemon has seen, and applies it to the contents as last read.
  std::vector<OutdatedEntry> Learn(const std::vector<SeenEndpoint>& seen, MonotonicTime now);
  /// @brief The endpoints to use at `now`.
  std::vector<RegisteredEndpoint> Endpoints(MonotonicTime now) const;
  /// @brief When entries that are still missing after an outage are dropped; absent outside a grace
  /// period.
  std::optional<MonotonicTime> GracePeriodEnd(MonotonicTime now) const;

 private:
  bool InGracePeriod(MonotonicTime now) const { return now < grace_period_end_; }
  /// @brief Sets the endpoints to use from the contents as last read.
  std::vector<OutdatedEntry> ApplyContents(MonotonicTime now);

  /// Contents of the registry, as last read.
  std::vector<RegisteredEndpoint> contents_;
  NewestEntries newest_;
  /// The newest entries of the endpoints in `contents_`.
  std::vector<RegisteredEndpoint> listed_;
  /// Entries that were known before the outage and have not been listed since.
  std::unordered_map<EndpointId, RegisteredEndpoint> missing_;
  std::optional<MonotonicTime> last_read_at_;
  MonotonicTime grace_period_end_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_REGISTRY_H_
