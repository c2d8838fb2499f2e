#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "acaciaspring/routing.h"
#include "src/gateway/endpoint_limits.h"
#include "src/gateway/leaving_endpoints.h"
#include "src/gateway/permit_queue.h"
#include "src/gateway/rate_limits.h"

namespace acaciaspring::gateway {

/// @brief Number of calls in flight by endpoint.
using InFlightCounts = std::vector<std::pair<EndpointId, std::uint32_t>>;

/// @brief Expected delays by which engines are compared for a prompt.
struct PromptCosts {
  /// Delay that one running call and the prompts of its successors cause to another.
  Duration per_running_call = std::chrono::milliseconds(10);
  /// Time to read a token that is not cached.
  std::chrono::duration<double, std::micro> per_uncached_token{10};
  /// Cost of another zone: latency, and bytes between zones.
  Duration other_zone = std::chrono::milliseconds(15);
  /// Duration of a call before the first one is measured.
  Duration initial_call_duration = std::chrono::milliseconds(300);
  /// Delay equivalent to a failure rate of 1.
  Duration failure = std::chrono::seconds(1);
  /// Weight of the latest call in the moving averages of durations and of token intervals.
  double measurement_weight = 0.05;
  /// Time after which a measured token interval counts little, so that a recovered engine is used
  /// again.
  Duration interval_validity = std::chrono::seconds(30);
};

struct EndpointTableOptions {
  /// This daemon.
  DaemonId self = {};
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
  /// Load that moving a session away from its endpoint must save above max_sticky_load, because the
  /// next endpoint has to read the prompt again.
  double session_move_penalty = 0.5;
  /// Costs, in expected delay of a program, that the choice of an engine for a prompt compares.
  PromptCosts prompt = {};
  HomeSetOptions home_sets = {};
  RateLimitsOptions rate_limits = {};
  /// How long after its last call a service counts as called by this daemon.
  Duration demand_validity = std::chrono::seconds(30);
  /// Limit the calls in flight at endpoints that start or recover.
  bool limit_concurrency = false;
  /// Time in which the failure rate of an endpoint with a concurrency limit decays after it has
  /// been avoided. The limit bounds the cost of further failures, and without calls no response
  /// could show that it has recovered.
  Duration failure_decay = std::chrono::seconds(2);
  EndpointLimitsOptions concurrency_limits = {};
};

struct EndpointQuery {
  ServiceId service = {};
  /// Endpoint of the session's previous call; may be empty.
  EndpointId preferred = {};
  std::vector<EndpointId> excluded = {};
  Prompt prompt = {};
};

/// @brief Measured times of a completed stream.
struct StreamTimes {
  /// From the request to the end of the response.
  Duration duration{};
  /// From the first to the last event.
  Duration streaming{};
  std::uint32_t events = 0;
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
  explicit EndpointTable(AvailabilityZone zone, const EndpointTableOptions& options = {})
      : zone_(std::move(zone)),
        options_(options),
        limits_({.id = options.self, .zone = zone_}, options.rate_limits),
        concurrency_(options.concurrency_limits) {
    concurrency_.Enable(options.limit_concurrency, {}, {});
  }

  /// @brief Returns the endpoints that had said that they leave and have been started anew.
  std::vector<ReturnedEndpoint> SetEndpoints(std::vector<RegisteredEndpoint> endpoints,
                                             MonotonicTime now = {});
  /// @brief Gives the endpoint no more calls until it is started anew. Returns a notice for the
  /// first word of a start.
  std::optional<LeavingNotice> OnLeaving(const LeavingWord& word);
  bool IsLeaving(const EndpointId& endpoint, std::int64_t started_at_ms) const {
    return leaving_.Contains(endpoint, started_at_ms);
  }
  /// @brief Number of endpoints of a service that are registered as ready and have said that they
  /// leave.
  std::size_t PassedOver(const ServiceId& service) const;
  /// @brief True if there are such endpoints and no others.
  bool AllLeave(const ServiceId& service) const {
    return PassedOver(service) > 0 && !services_.contains(service);
  }
  /// @brief Sets the KV memory of each engine of a service.
  void SetEngineMemory(const ServiceId& service, TokenCount memory);
  /// @brief Replaces the counts of calls that another daemon has in flight.
  void SetRemoteCounts(const DaemonId& daemon, const InFlightCounts& counts);
  void ForgetDaemon(const DaemonId& daemon);
  /// @brief Own calls in flight at engines. Calls of plain services end before other daemons could
  /// use their counts.
  InFlightCounts OwnCounts() const;
  /// @brief Increases with each change of OwnCounts().
  std::uint64_t own_changes() const { return own_changes_; }

  /// @brief Null if the endpoint is not registered.
  const RegisteredEndpoint* Find(const EndpointId& endpoint) const;
  /// @brief Null if no endpoint can take the call.
  const RegisteredEndpoint* Choose(const EndpointQuery& query,
                                   MonotonicTime now,
                                   std::mt19937_64& random);
  /// @brief Counts a new call as demand for its shared prefix.
  void OnDemand(const ServiceId& service, const SharedPrefix& prefix, MonotonicTime now);
  void OnStreamCompleted(const EndpointId& endpoint, const StreamTimes& times, MonotonicTime now);
  /// @brief Applies the rate limit that a response of the endpoint names, or that it names none.
  std::optional<RateLimitChange> OnRateLimit(const EndpointId& endpoint,
                                             std::optional<double> per_second,
                                             MonotonicTime now);
  /// @brief Applies the report of another daemon.
  std::optional<RateLimitChange> OnRateLimitReport(const RateLimitReport& report,
                                                   MonotonicTime now);
  /// @brief When a permit is expected for a call that found no endpoint. Empty if rate limits are
  /// not the reason.
  std::optional<PermitForecast> ForecastPermit(const EndpointQuery& query, MonotonicTime now) const;
  /// @brief Services that this daemon has called recently.
  std::set<ServiceId> OwnDemand(MonotonicTime now) const;
  RateLimits& rate_limits() { return limits_; }
  const RateLimits& rate_limits() const { return limits_; }
  void OnStarted(const EndpointId& endpoint, MonotonicTime now);
  /// @brief `duration` is the time since the start of the attempt.
  void OnFinished(const EndpointId& endpoint,
                  AttemptResult result,
                  MonotonicTime now,
                  Duration duration = {});

  void EnableConcurrencyLimits(bool enabled, MonotonicTime now);
  /// @brief The first event of a stream, or the head of another successful response, arrived.
  void OnFirstEvent(const EndpointId& endpoint, Duration time, MonotonicTime now);
  /// @brief Applies the concurrency limits that another daemon reports.
  void OnConcurrencyReports(const std::vector<EndpointLimitReport>& reports, MonotonicTime now);
  /// @brief Raises limits that are out of date because only other daemons call the endpoint.
  void UpdateConcurrencyLimits(MonotonicTime now);
  EndpointLimits& concurrency_limits() { return concurrency_; }
  const EndpointLimits& concurrency_limits() const { return concurrency_; }
  /// @brief Calls that were sent elsewhere because their endpoint was at its concurrency limit.
  std::uint64_t moved_calls() const { return moved_calls_; }

  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    RegisteredEndpoint description;
    /// The endpoint has said that it leaves.
    bool leaving = false;
    std::uint32_t own_in_flight = 0;
    std::uint32_t remote_in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    double failure_rate = 0;
    MonotonicTime avoid_until;
    /// Moving average of the time between two events of a stream; 0 before the first one.
    double event_interval_us = 0;
    std::uint32_t streams_measured = 0;
    MonotonicTime interval_updated;
  };
  /// @brief Which permits of an engine's rate limit a call may use that has no session there.
  enum class PermitUse : std::uint8_t {
    /// Permits that the sessions at the engine do not need. A session that moved in with one of
    /// their permits would move on at its next call, and each move reads its prompt again.
    kSpareForNewSessions,
    kAny,
  };
  struct ServiceEntry {
    std::vector<EndpointId> endpoints = {};
    HomeSets home_sets = {};
    /// Moving averages; 0 before the first completed stream.
    double call_duration_us = 0;
    double streaming_us = 0;
    double event_interval_us = 0;
    std::uint32_t calls_measured = 0;
    /// When this daemon last looked for an endpoint.
    std::optional<MonotonicTime> called_at = {};
    std::uint32_t streams_measured = 0;
  };

  /// @brief What an endpoint's concurrency limit means for the choice.
  struct LimitState {
    bool reached = false;
    /// Calls in flight relative to the limit, or to the slots.
    double relative_load = 0;
  };

  double Load(const Entry& entry) const;
  /// @brief Failure rate for the choice. `limited` if limits are in force in the service.
  double FailureRate(const Entry& entry, bool limited, MonotonicTime now) const;
  /// @brief An endpoint without a limit counts as limited by its slots.
  LimitState FindLimitState(const Entry& entry) const;
  bool Usable(const Entry& entry,
              const EndpointQuery& query,
              PermitUse use,
              MonotonicTime now) const;
  /// @brief Usable apart from the rate limit.
  static bool Eligible(const Entry& entry, const EndpointQuery& query);
  const RegisteredEndpoint* ChooseByLoad(const ServiceEntry& service,
                                         const EndpointQuery& query,
                                         PermitUse use,
                                         MonotonicTime now,
                                         std::mt19937_64& random);
  const RegisteredEndpoint* ChooseForPrompt(ServiceEntry& service,
                                            const EndpointQuery& query,
                                            PermitUse use,
                                            MonotonicTime now,
                                            std::mt19937_64& random);
  /// @brief Expected delay of a prompt on the endpoint, in microseconds, apart from reading it.
  double ExpectedDelay(const ServiceEntry& service,
                       const Entry& entry,
                       bool limited,
                       MonotonicTime now) const;
  void UpdateServices();
  bool IsEngine(const Entry& entry) const;

  AvailabilityZone zone_;
  EndpointTableOptions options_;
  std::unordered_map<EndpointId, Entry> endpoints_;
  /// Services with a usable endpoint.
  std::unordered_map<ServiceId, ServiceEntry> services_;
  LeavingEndpoints leaving_;
  /// See PassedOver; services with none are absent.
  std::unordered_map<ServiceId, std::size_t> passed_over_;
  std::unordered_map<ServiceId, TokenCount> engine_memory_;
  RateLimits limits_;
  EndpointLimits concurrency_;
  std::uint64_t moved_calls_ = 0;
  std::uint64_t own_changes_ = 0;
  std::unordered_map<DaemonId, InFlightCounts> remote_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_TABLE_H_
