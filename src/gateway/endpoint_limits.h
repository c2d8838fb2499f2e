#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMITS_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMITS_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/scheduling/concurrency_limit.h"

namespace acaciaspring::gateway {

/// @brief What a daemon's own responses say of the concurrency limit of an endpoint.
struct EndpointLimitReport {
  EndpointId endpoint = {};
  /// Run of the endpoint that responded.
  std::int64_t started_at_ms = 0;
  /// 0 if the limit has ended.
  double limit = 0;
  /// Time since the response.
  std::int64_t age_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, started_at_ms, limit, age_us);
  }
};

/// @brief Why a limit began or ended.
enum class EndpointLimitCause : std::uint8_t {
  kStarted,
  kFailures,
  kReported,
  kReachedSlots,
  /// The endpoint is no longer listed, or this run of it has ended.
  kGone,
  kDisabled,
};

/// @brief Begin or end of a limit, for the log.
struct EndpointLimitChange {
  EndpointId endpoint = {};
  std::int64_t started_at_ms = 0;
  bool ended = false;
  double limit = 0;
  EndpointLimitCause cause = {};
  /// How long a limit that has ended was in force.
  Duration duration{};
};

struct EndpointLimitsOptions {
  ConcurrencyLimitOptions limit = {};
  /// Consecutive failures that begin a limit. A single one may be the request's fault.
  std::uint32_t failures_before_limit = 2;
  /// Own observations that are older than this are not reported any more.
  Duration report_age = std::chrono::seconds(2);
  /// Reports sent with one status, and those read from one.
  std::size_t max_reports = 32;
  /// After this time without an observation, a limit that the calls of other daemons have reached
  /// doubles: this daemon sends no calls that could raise it.
  Duration raise_after = std::chrono::seconds(5);
  /// Reports don't renew a limit that has ended here within this time. Other daemons see its end a
  /// little later.
  Duration settling = std::chrono::seconds(3);
};

/// @brief Limits on the concurrent calls of endpoints that have just started or that respond again
/// after failures.
class EndpointLimits {
 public:
  explicit EndpointLimits(EndpointLimitsOptions options = {}) : options_(options) {}

  /// @brief Without limits, nothing is recorded. `listed` are the endpoints that run already.
  void Enable(bool enabled, const std::vector<RegisteredEndpoint>& listed, MonotonicTime now);
  bool enabled() const { return enabled_; }
  /// @brief Sets the complete list of endpoints. Starts that are new since the first list begin
  /// with a limit.
  void OnListed(const std::vector<RegisteredEndpoint>& endpoints, MonotonicTime now);

  void OnFirstEvent(const EndpointId& endpoint, Duration time, MonotonicTime now);
  /// @brief Returns whether the endpoint had a limit.
  bool OnCompleted(const EndpointId& endpoint, Duration call_duration, MonotonicTime now);
  void OnRejected(const EndpointId& endpoint, Duration call_duration, MonotonicTime now);
  void OnFailed(const EndpointId& endpoint, Duration call_duration, MonotonicTime now);
  /// @brief Applies a report of another daemon unless this one has a newer observation.
  /// Returns whether it was applied.
  bool OnReport(const EndpointLimitReport& report, MonotonicTime now);
  /// @brief Raises a limit that the calls of other daemons have reached, if it is out of date.
  void OnReachedByOthers(const EndpointId& endpoint, MonotonicTime now);

  /// @brief The newest own observations of limits, for the other daemons.
  std::vector<EndpointLimitReport> MakeReports(MonotonicTime now) const;
  /// @brief Changes since the last call, for the log.
  std::vector<EndpointLimitChange> TakeChanges();

  /// @brief Number of limits in force.
  std::size_t size() const { return active_; }
  bool InForce(const ServiceId& service) const { return active_by_service_.contains(service); }
  /// @brief Empty if the endpoint has no limit.
  std::optional<std::uint32_t> Find(const EndpointId& endpoint) const;

 private:
  struct Active {
    ConcurrencyLimit limit;
    MonotonicTime since;
  };
  /// One start of an endpoint.
  struct Run {
    std::int64_t started_at_ms = 0;
    net::Address address = {};
    ServiceId service = {};
    std::uint32_t slots = 1;
    bool listed = true;
    std::optional<Active> active = {};
    std::uint32_t consecutive_failures = 0;
    /// Time of the newest information, and of the newest own observation.
    std::optional<MonotonicTime> observed_at = {};
    std::optional<MonotonicTime> own_observed_at = {};
    /// The endpoint responded to the last own call. A failure may have its cause on the path from
    /// this daemon, so it is no information for others.
    bool responds = false;
    std::optional<MonotonicTime> ended_at = {};
  };

  Run* FindRun(const EndpointId& endpoint);
  void Begin(const EndpointId& id, Run& run, EndpointLimitCause cause, MonotonicTime now);
  void End(const EndpointId& id, Run& run, EndpointLimitCause cause, MonotonicTime now);
  void EndIfReached(const EndpointId& id, Run& run, MonotonicTime now);
  void OnOwnObservation(Run& run, bool responds, MonotonicTime now);
  void Log(EndpointLimitChange change);

  EndpointLimitsOptions options_;
  bool enabled_ = false;
  bool listed_before_ = false;
  std::unordered_map<EndpointId, Run> runs_;
  std::unordered_map<ServiceId, BestTime> best_times_;
  std::unordered_map<ServiceId, std::size_t> active_by_service_;
  std::size_t active_ = 0;
  std::vector<EndpointLimitChange> changes_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_LIMITS_H_
