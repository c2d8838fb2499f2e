#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief Number of calls in flight by endpoint.
using InFlightCounts = std::vector<std::pair<EndpointId, std::uint32_t>>;

struct EndpointTableOptions {
  /// How long an endpoint is avoided after a failure; doubles with each consecutive one.
  Duration first_avoidance = std::chrono::milliseconds(250);
  Duration max_avoidance = std::chrono::seconds(4);
  /// Weight of the latest call in the moving average of an endpoint's failure rate.
  double failure_weight = 0.2;
  /// Load, as a fraction of the slots, that choosing an endpoint in another zone must save.
  double zone_penalty = 0.15;
  /// Load equivalent to a failure rate of 1.
  double failure_penalty = 3.0;
  /// Load below which a session stays at the endpoint that has its prefix cached.
  double max_sticky_load = 0.9;
};

struct EndpointQuery {
  ServiceId service = {};
  /// Endpoint of the session's previous call; may be empty.
  EndpointId preferred = {};
  std::vector<EndpointId> excluded = {};
};

/// @brief Result of an attempt, as far as it indicates the health of the endpoint.
enum class AttemptResult : std::uint8_t {
  kSucceeded,
  /// The endpoint rejected the call without executing it.
  kRejected,
  /// No response, an incomplete one, or a server error.
  kFailed,
  /// Cancelled by this daemon.
  kCancelled,
};

/// @brief Tracks load and health of the endpoints of all services and chooses an endpoint for each
/// call.
class EndpointTable {
 public:
  explicit EndpointTable(AvailabilityZone zone, EndpointTableOptions options = {})
      : zone_(std::move(zone)), options_(options) {}

  void SetEndpoints(std::vector<RegisteredEndpoint> endpoints);
  /// @brief Replaces the counts of calls that another daemon has in flight.
  void SetRemoteCounts(const DaemonId& daemon, const InFlightCounts& counts);
  void ForgetDaemon(const DaemonId& daemon);
  InFlightCounts OwnCounts() const;

  /// @brief Null if no endpoint can take the call.
  const RegisteredEndpoint* Choose(const EndpointQuery& query,
                                   MonotonicTime now,
                                   std::mt19937_64& random) const;
  void OnStarted(const EndpointId& endpoint);
  void OnFinished(const EndpointId& endpoint, AttemptResult result, MonotonicTime now);

  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    RegisteredEndpoint description;
    std::uint32_t own_in_flight = 0;
    std::uint32_t remote_in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    double failure_rate = 0;
    MonotonicTime avoid_until;
  };

  double Load(const Entry& entry) const;
  bool Usable(const Entry& entry, const EndpointQuery& query) const;

  AvailabilityZone zone_;
  EndpointTableOptions options_;
  std::unordered_map<EndpointId, Entry> endpoints_;
  std::unordered_map<ServiceId, std::vector<EndpointId>> by_service_;
  std::unordered_map<DaemonId, InFlightCounts> remote_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_
