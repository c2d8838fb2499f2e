#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMITS_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMITS_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/gateway/member_presence.h"
#include "src/gateway/rate_limit.h"
#include "src/gateway/rate_limit_share.h"

namespace acaciaspring::gateway {

/// @brief What a daemon knows of an endpoint's rate limit.
struct RateLimitReport {
  EndpointId endpoint = {};
  /// Run of the endpoint that named the limit.
  std::int64_t started_at_ms = 0;
  /// False if the endpoint no longer names a limit.
  bool limited = false;
  /// Requests per second from all daemons together.
  double per_second = 0;
  /// Time since the response that showed this.
  std::int64_t age_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, started_at_ms, limited, per_second, age_us);
  }
};

/// @brief A change of the rate limit of an endpoint, for the log.
struct RateLimitChange {
  EndpointId endpoint = {};
  /// Requests per second; empty if there is no limit.
  std::optional<double> former = {};
  std::optional<double> current = {};
  /// Age of the information that caused the change.
  Duration age{};
  RateLimitShare share = {};
  /// Own attempts since the former change, and the time since then.
  std::uint64_t attempts = 0;
  Duration period{};
};

struct RateLimitsOptions {
  RateLimitOptions limit = {};
  /// Relative change of a limit that other daemons are told of.
  double reported_change = 0.05;
  /// Period in which a daemon that calls the endpoint repeats the limit to all others.
  Duration repeat_period = std::chrono::seconds(10);
  /// A limit that no response has confirmed for this long ends.
  Duration validity = std::chrono::seconds(30);
};

/// @brief Rate limits of endpoints, and the permits of this daemon to send requests to them.
///
/// An endpoint names one limit for all daemons. The daemons report limits to each other, and each
/// uses a share that it computes from the daemons that are present and call the service.
class RateLimits {
 public:
  explicit RateLimits(ShareCandidate self = {}, RateLimitsOptions options = {});

  /// @brief Sets the daemons that share the limits.
  void SetDaemons(PresentDaemons daemons, MonotonicTime now);
  /// @brief Sets the services that another daemon calls. Without this it counts as calling all.
  void SetDemand(const DaemonId& daemon, std::set<ServiceId> services, MonotonicTime now);
  /// @brief Sets whether the endpoints of a service cache the prompts of sessions.
  void SetKeepsSessions(const ServiceId& service, bool keeps_sessions);
  /// @brief Forgets the limit of an earlier run of the endpoint. The limit of an endpoint that is
  /// not listed for a while, for example because the registry is unavailable, is kept until it
  /// expires.
  void OnListed(const RegisteredEndpoint& endpoint);

  /// @brief Applies the limit that a response of the endpoint names, or that it names none.
  std::optional<RateLimitChange> OnResponse(const RegisteredEndpoint& endpoint,
                                            std::optional<double> per_second,
                                            MonotonicTime now);
  /// @brief Applies the report of another daemon unless newer information is known.
  std::optional<RateLimitChange> OnReport(const RegisteredEndpoint& endpoint,
                                          const RateLimitReport& report,
                                          MonotonicTime now);
  /// @brief Ends limits that have not been confirmed and removes those that have recovered.
  std::vector<RateLimitChange> Expire(MonotonicTime now);
  /// @brief Reports to send to all other daemons.
  std::vector<RateLimitReport> TakeReports(MonotonicTime now);
  /// @brief Reports for a daemon that has just connected.
  std::vector<RateLimitReport> OwnReports(MonotonicTime now) const;

  bool empty() const { return limits_.empty(); }
  std::size_t size() const { return limits_.size(); }
  bool HasPermit(const EndpointId& endpoint, MonotonicTime now) const;
  /// @brief See RateLimit::HasSpare().
  bool HasSpare(const EndpointId& endpoint, MonotonicTime now) const;
  void Take(const EndpointId& endpoint, MonotonicTime now);
  /// @brief Null if the endpoint names no limit.
  const RateLimit* Find(const EndpointId& endpoint) const;

 private:
  struct Entry {
    RateLimit limit;
    ServiceId service = {};
    AvailabilityZone zone = {};
    std::int64_t started_at_ms = 0;
    RateLimitShare share = {};
    /// Time of the response that showed the limit.
    MonotonicTime observed_at = {};
    /// The response was one to this daemon.
    bool own = false;
    /// The limit as all daemons know it.
    std::optional<double> reported = {};
    bool report_due = false;
    MonotonicTime reported_at = {};
    MonotonicTime changed_at = {};
    std::uint64_t attempts = 0;
  };

  Entry& Insert(const RegisteredEndpoint& endpoint, double per_second, MonotonicTime now);
  RateLimitChange Change(const EndpointId& id,
                         Entry& entry,
                         std::optional<double> per_second,
                         MonotonicTime now);
  void UpdateShare(const EndpointId& id, Entry& entry, MonotonicTime now);
  void UpdateShares(MonotonicTime now);
  bool IsSignificant(const std::optional<double>& former,
                     const std::optional<double>& current) const;
  static RateLimitReport MakeReport(const EndpointId& id, const Entry& entry, MonotonicTime now);

  ShareCandidate self_;
  RateLimitsOptions options_;
  PresentDaemons daemons_;
  std::unordered_map<DaemonId, std::set<ServiceId>> demand_;
  std::set<ServiceId> session_services_;
  std::unordered_map<EndpointId, Entry> limits_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMITS_H_
