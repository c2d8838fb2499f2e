#ifndef ACACIASPRING_ROUTING_H_
#define ACACIASPRING_ROUTING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring {

/// @brief Identifies a cached prompt prefix: the history of a program.
using PrefixId = StrongNumber<struct PrefixIdTag>;
PrefixId PrefixOfProgram(const ProgramId& program);

/// @brief One endpoint's cached part of a prefix.
struct CacheHolder {
  EndpointId endpoint;
  TokenCount tokens;
  /// 1 for a confirmed entry; lower after a gap in the endpoint's cache events.
  double confidence = 1;
};

/// @brief A cache event as reported by an endpoint: it now holds `tokens` of the prefix (0: none).
struct CacheEvent {
  std::uint64_t sequence = 0;
  PrefixId prefix;
  TokenCount tokens;
};

struct CacheIndexOptions {
  /// Prefixes in the index; the least recently used one is dropped first.
  std::size_t capacity = 100'000;
  /// Endpoints kept per prefix; the one with the earliest expiry is replaced first.
  std::size_t holders_per_prefix = 4;
  Duration entry_ttl = std::chrono::minutes(10);
  /// Prefixes that the sweep visits per update.
  std::size_t sweep_step = 2;
  /// Confidence of entries that were learned before a gap.
  double confidence_after_gap = 0.5;
};

/// @brief Which endpoint holds how many tokens of a prefix, in bounded memory.
///
/// Fed by the completions of own calls and by cache events. A gap in the event sequence lowers the
/// confidence of everything learned about that endpoint before the gap.
class CacheIndex {
 public:
  explicit CacheIndex(CacheIndexOptions options = {});

  /// @brief Records that a call on `endpoint` left `tokens` of the prefix in its cache.
  void OnCompletion(const EndpointId& endpoint,
                    PrefixId prefix,
                    TokenCount tokens,
                    MonotonicTime now);
  /// @brief Applies an event; one that is not newer than the last is ignored.
  void OnEvent(const EndpointId& endpoint, const CacheEvent& event, MonotonicTime now);
  /// @brief Appends the unexpired holders of the prefix to `holders`.
  void FindHolders(PrefixId prefix, MonotonicTime now, std::vector<CacheHolder>& holders);
  /// @brief Forgets an ended program.
  void RemovePrefix(PrefixId prefix);
  /// @brief Forgets an endpoint that left or restarted with an empty cache.
  void ForgetEndpoint(const EndpointId& endpoint);
  /// @brief Sequence from which the endpoint's next events are expected; 1 before the first.
  std::uint64_t NextSequence(const EndpointId& endpoint) const;
  std::size_t size() const { return prefixes_.size(); }

 private:
  struct Entry {
    std::uint32_t endpoint = 0;
    std::uint32_t generation = 0;
    std::uint32_t gap = 0;
    TokenCount tokens;
    MonotonicTime deadline{};
  };
  struct Prefix {
    std::vector<Entry> entries;
    std::list<PrefixId>::iterator recency;
  };
  struct Endpoint {
    EndpointId id;
    /// Entries of an older generation are void.
    std::uint32_t generation = 0;
    /// Entries learned under an older gap count are uncertain.
    std::uint32_t gaps = 0;
    std::uint64_t last_sequence = 0;
  };

  std::uint32_t IndexOf(const EndpointId& endpoint);
  void Store(std::uint32_t endpoint, PrefixId prefix, TokenCount tokens, MonotonicTime now);
  void EraseEntry(std::uint32_t endpoint, PrefixId prefix);
  bool Void(const Entry& entry, MonotonicTime now) const;
  void Erase(std::unordered_map<PrefixId, Prefix>::iterator prefix);
  void Sweep(MonotonicTime now);

  CacheIndexOptions options_;
  std::unordered_map<PrefixId, Prefix> prefixes_;
  /// Most recently used first; the sweep walks it from the back.
  std::list<PrefixId> recency_;
  std::list<PrefixId>::iterator cursor_;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<EndpointId, std::uint32_t> index_;
};

/// @brief Speed of an endpoint. A plain service leaves the token rates at 0.
struct EndpointSpeed {
  double prefill_tokens_per_second = 0;
  /// Time per output token of a stream that runs alone.
  Duration token_interval{};
  /// What each further running stream adds to the time per output token.
  Duration token_interval_per_stream{};
  std::uint32_t concurrency = 1;
};

struct EndpointDescription {
  EndpointId id;
  AvailabilityZone zone;
  /// Models (for engines) or service names (for plain services) that the endpoint serves.
  std::vector<ServiceId> services;
  EndpointSpeed speed;
};

/// @brief Ranks of priority classes that placement tells apart; higher ones count as the last.
inline constexpr std::size_t kRanks = 8;
using RankCounts = std::array<std::uint32_t, kRanks>;

/// @brief A load report; it describes the endpoint at `sampled_at`, not at its arrival.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Calls by rank that give way to more urgent ones: waiting calls, and running ones that may be
  /// paused (see CountPausable()). All 0 if the sender doesn't know.
  RankCounts yielding_by_rank{};
  TokenCount kv_used{};
  TokenCount kv_capacity{};
  bool leaving = false;
  MonotonicTime sampled_at;
};

/// @brief One call to place.
struct RoutingRequest {
  ServiceId service;
  /// Zone of the daemon that will dispatch the call.
  AvailabilityZone zone{};
  /// Rank of the call's priority class, 0 for the most urgent one.
  std::uint32_t rank = 0;
  /// History of the program; none for plain services.
  std::optional<PrefixId> program_prefix{};
  TokenCount prompt{};
  TokenCount expected_output{};
  /// Expected service time of a call to a plain service.
  Duration expected_duration{};
  /// Endpoints that already failed this call.
  std::vector<EndpointId> excluded{};
};

struct EndpointChooserOptions {
  std::size_t random_candidates = 2;
  /// Delay of the calls that already run, per prefill time of a new call, that counts as its cost.
  double prefill_interference = 1;
  Duration zone_penalty = std::chrono::milliseconds(2);
  /// Weight of a new sample in the mean service time of an endpoint.
  double service_time_weight = 0.05;
  Duration initial_service_time = std::chrono::seconds(1);
  bool use_cache_index = true;
  bool correct_reports = true;
  bool use_ranks = true;
};

struct EndpointChoice {
  EndpointId endpoint;
  Duration expected_wait{};
  Duration expected_finish{};
  TokenCount expected_cached;
};

/// @brief Identifies one call that the chooser's owner has in flight.
using InFlightId = StrongNumber<struct InFlightIdTag>;

/// @brief Places calls by expected finish time among the holders of their prefix and a few random
/// endpoints; the cost of a choice doesn't grow with the number of endpoints.
class EndpointChooser {
 public:
  explicit EndpointChooser(EndpointChooserOptions options = {}, CacheIndexOptions cache = {});

  /// @brief Adds an endpoint or replaces its description; its load is kept.
  void SetEndpoint(const EndpointDescription& endpoint);
  void RemoveEndpoint(const EndpointId& endpoint);
  /// @brief A leaving endpoint gets no new calls.
  void SetLeaving(const EndpointId& endpoint, bool leaving);
  /// @brief Takes over a report unless a later sample is known.
  void OnLoad(const EndpointId& endpoint, const LoadReport& report);

  /// @return none if no endpoint that serves the call is available.
  std::optional<EndpointChoice> Choose(const RoutingRequest& request,
                                       MonotonicTime now,
                                       std::mt19937_64& random);
  /// @brief The call was sent to the endpoint of `choice`.
  void OnStarted(InFlightId call,
                 const RoutingRequest& request,
                 const EndpointChoice& choice,
                 MonotonicTime now);
  void OnFirstToken(InFlightId call, MonotonicTime now);
  /// @brief The call ended; `cached` is the prefix that stays in the endpoint's cache, 0 if
  /// unknown.
  void OnFinished(InFlightId call, TokenCount cached, MonotonicTime now);

  CacheIndex& cache() { return cache_; }
  std::size_t endpoint_count() const { return index_.size(); }

 private:
  struct CountChange {
    MonotonicTime at;
    std::uint32_t count;
  };
  struct State {
    EndpointDescription description;
    LoadReport report;
    bool present = false;
    bool leaving = false;
    /// Own calls in flight.
    std::uint32_t own = 0;
    std::uint32_t own_at_report = 0;
    /// Prompt tokens of own calls that have no first token yet.
    double pending_prefill = 0;
    double mean_service_us = 0;
    /// Own calls in flight over time since the last report.
    std::deque<CountChange> changes;
  };
  struct InFlight {
    std::uint32_t endpoint = 0;
    double pending_prefill = 0;
    MonotonicTime started;
    std::optional<MonotonicTime> first_token;
    Duration prefill{};
    std::optional<PrefixId> program_prefix;
  };
  struct Candidate {
    std::uint32_t endpoint = 0;
    double cached = 0;
  };

  void Unlist(std::uint32_t endpoint);
  void List(std::uint32_t endpoint);
  void RecordCount(State& state, MonotonicTime now);
  void AddCandidate(const RoutingRequest& request, std::uint32_t endpoint, double cached);
  void AddHolders(const RoutingRequest& request, MonotonicTime now);
  void AddRandom(const RoutingRequest& request,
                 const std::vector<std::uint32_t>& serving,
                 std::mt19937_64& random);
  /// Running and waiting calls, and those of them that give way to a call of `rank`.
  std::pair<double, double> Load(const State& state, std::uint32_t rank) const;
  EndpointChoice Estimate(const RoutingRequest& request, const Candidate& candidate) const;

  EndpointChooserOptions options_;
  CacheIndex cache_;
  std::vector<State> states_;
  std::unordered_map<EndpointId, std::uint32_t> index_;
  std::vector<std::uint32_t> free_;
  /// Endpoints that accept calls, by service.
  std::unordered_map<ServiceId, std::vector<std::uint32_t>> serving_;
  std::unordered_map<InFlightId, InFlight> in_flight_;
  std::vector<Candidate> candidates_;
  std::vector<CacheHolder> holders_;
};

/// @brief What happens to a program's KV cache while the program waits for a tool.
enum class PauseAction : std::uint8_t { kKeep, kExport, kDrop };

struct PauseContext {
  /// The tool that the program waits for.
  ServiceId tool;
  /// Tokens whose KV cache is held.
  TokenCount cached;
  TokenCount kv_used;
  TokenCount kv_capacity;
  double prefill_tokens_per_second = 1;
  /// 0 if the endpoint cannot export.
  double export_tokens_per_second = 0;
  double import_tokens_per_second = 0;
};

struct PauseDecision {
  PauseAction action = PauseAction::kKeep;
  /// For kKeep: the hold is released if the pause lasts longer than this.
  Duration release_after{};
};

struct PausePolicyOptions {
  /// Assumed mean pause of a service without samples.
  Duration initial_pause = std::chrono::seconds(5);
  /// Weight of old samples when a new one arrives.
  double memory = 0.98;
  /// Share of used memory below which a hold costs nothing.
  double free_below = 0.5;
  /// Price of holding the whole memory for a second when it is full, in seconds of prefill.
  double full_price = 1.0;
  std::size_t max_services = 1024;
};

/// @brief Keeps, exports or drops the KV cache of a paused program by expected cost.
class PausePolicy {
 public:
  explicit PausePolicy(PausePolicyOptions options = {});
  PauseDecision Decide(const PauseContext& context) const;
  void OnPauseEnded(const ServiceId& tool, Duration pause);
  /// @brief Mean of the pauses seen for the service.
  Duration ExpectedPause(const ServiceId& tool) const;

 private:
  static constexpr std::size_t kBuckets = 32;
  struct History {
    /// Weighted count and sum of pauses by power of two of milliseconds.
    std::array<double, kBuckets> count{};
    std::array<double, kBuckets> seconds{};
  };
  const History& HistoryOf(const ServiceId& tool) const;

  PausePolicyOptions options_;
  std::unordered_map<ServiceId, History> services_;
  History initial_;
};

/// @brief Demand for one model and what loading it costs.
struct ModelDemand {
  ModelId model;
  /// Output-token cost per second that callers ask for.
  double cost_per_second = 0;
  double weight_bytes = 0;
};

struct EndpointAssignment {
  EndpointId endpoint;
  /// The model that the endpoint serves or was last ordered to serve.
  ModelId model;
  double cost_per_second = 1;
  MonotonicTime assigned_at;
  /// An order is pending or the endpoint is leaving.
  bool busy = false;
};

struct PlannedOrder {
  EndpointId endpoint;
  ModelId model;
};

struct OrderPlannerOptions {
  /// A model with utilisation above this gets another endpoint.
  double high_utilisation = 0.9;
  /// An endpoint is taken only from a model that stays below this without it.
  double low_utilisation = 0.7;
  /// Shortest time between two orders for one endpoint.
  Duration min_dwell = std::chrono::minutes(2);
  /// Rate of the weight store and the bytes that may be saved up.
  double store_bytes_per_second = 1e9;
  double store_burst_bytes = 60e9;
  /// Span over which demand is averaged.
  Duration demand_window = std::chrono::minutes(1);
  std::size_t min_endpoints_per_model = 1;
};

/// @brief Plans which model each endpoint should serve.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderPlannerOptions options = {});
  /// @return orders that may be sent now; the loads they cause are within the rate of the store.
  std::vector<PlannedOrder> Plan(std::span<const ModelDemand> demand,
                                 std::span<const EndpointAssignment> endpoints,
                                 MonotonicTime now);

 private:
  struct Smoothed {
    double cost_per_second = 0;
    MonotonicTime updated;
  };
  double Smooth(const ModelDemand& demand, MonotonicTime now);

  OrderPlannerOptions options_;
  std::map<ModelId, Smoothed> demand_;
  double store_bytes_;
  std::optional<MonotonicTime> refilled_;
};

}  // namespace acaciaspring

#endif  // ACACIASPRING_ROUTING_H_
