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

/// @brief Identifies a prompt prefix in KV caches: the message history of one program.
using PrefixId = StrongNumber<struct PrefixIdTag>;
PrefixId PrefixOfProgram(const ProgramId& program);

/// @brief An endpoint that has part of a prefix in its KV cache.
struct CacheHolder {
  EndpointId endpoint;
  TokenCount tokens;
  /// Factor that weights `tokens`: 1, or less after a gap in the endpoint's cache events.
  double confidence = 1;
};

/// @brief A cache event reported by an endpoint: its cache now has `tokens` of the prefix, 0 after
/// an eviction.
struct CacheEvent {
  std::uint64_t sequence = 0;
  PrefixId prefix;
  TokenCount tokens;
};

struct CacheIndexOptions {
  /// Maximum number of prefixes; the least recently used one is evicted first.
  std::size_t capacity = 100'000;
  /// Maximum number of endpoints per prefix; the one with the earliest expiry is replaced first.
  std::size_t holders_per_prefix = 4;
  Duration entry_ttl = std::chrono::minutes(10);
  /// Prefixes that each update checks for expired entries.
  std::size_t prefixes_per_sweep = 2;
  /// Confidence of entries that were stored before a gap in the event sequence.
  double confidence_after_gap = 0.5;
};

/// @brief Records which endpoints have how many tokens of a prefix in their cache; the number of
/// prefixes and of endpoints per prefix is bounded.
///
/// The sources are completions of this daemon's calls and cache events of the endpoints. A gap in
/// an endpoint's event sequence lowers the confidence of all entries stored for it before the gap.
class CacheIndex {
 public:
  explicit CacheIndex(CacheIndexOptions options = {});

  /// @brief Records that a call on `endpoint` left `tokens` of the prefix in its cache.
  void OnCompletion(const EndpointId& endpoint,
                    PrefixId prefix,
                    TokenCount tokens,
                    MonotonicTime now);
  /// @brief Applies an event. Ignores it unless its sequence number exceeds the last applied one.
  void OnEvent(const EndpointId& endpoint, const CacheEvent& event, MonotonicTime now);
  /// @brief Appends the unexpired holders of the prefix to `holders`.
  void FindHolders(PrefixId prefix, MonotonicTime now, std::vector<CacheHolder>& holders);
  /// @brief Removes the prefix of a program that has ended.
  void RemovePrefix(PrefixId prefix);
  /// @brief Invalidates all entries of an endpoint that left or restarted with an empty cache, and
  /// expects its event sequence to start again at 1.
  void InvalidateEndpoint(const EndpointId& endpoint);
  /// @brief Sequence number expected for the endpoint's next event; 1 before the first event.
  std::uint64_t NextSequence(const EndpointId& endpoint) const;
  std::size_t size() const { return prefixes_.size(); }

 private:
  struct Entry {
    std::uint32_t endpoint = 0;
    std::uint32_t generation = 0;
    std::uint32_t gaps_when_stored = 0;
    TokenCount tokens;
    MonotonicTime expiry{};
  };
  struct Prefix {
    std::vector<Entry> entries;
    std::list<PrefixId>::iterator recency;
  };
  struct Endpoint {
    EndpointId id;
    /// Incremented by InvalidateEndpoint(); entries of an older generation are stale.
    std::uint32_t generation = 0;
    /// Number of gaps seen in the event sequence; entries stored under a lower number have reduced
    /// confidence.
    std::uint32_t gaps = 0;
    std::uint64_t last_sequence = 0;
  };

  std::uint32_t FindOrAddEndpoint(const EndpointId& endpoint);
  void Store(std::uint32_t endpoint, PrefixId prefix, TokenCount tokens, MonotonicTime now);
  void EraseEntry(std::uint32_t endpoint, PrefixId prefix);
  bool IsStale(const Entry& entry, MonotonicTime now) const;
  void Erase(std::unordered_map<PrefixId, Prefix>::iterator prefix);
  void Sweep(MonotonicTime now);

  CacheIndexOptions options_;
  std::unordered_map<PrefixId, Prefix> prefixes_;
  /// Most recently used first; the sweep moves from the back to the front.
  std::list<PrefixId> recency_;
  std::list<PrefixId>::iterator sweep_cursor_;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<EndpointId, std::uint32_t> endpoint_indices_;
};

/// @brief A part of a prompt. Programs share the leading parts; the last part belongs to one
/// request or session.
struct PromptPart {
  PrefixId id;
  TokenCount tokens;
};

/// @brief A prefix that the prompts of several programs have in common.
struct SharedPrefix {
  PrefixId id;
  TokenCount tokens;
};

/// @brief Returns the shortest prefix with at least half of the tokens before the last part; none
/// if the prompt has fewer than two parts.
std::optional<SharedPrefix> FindSharedPrefix(std::span<const PromptPart> parts);

struct HomeSetOptions {
  /// Part of a zone's endpoints that is in the set of a prefix, relative to the prefix's share of
  /// the requests.
  double headroom = 2;
  /// Minimum number of endpoints of a set in each zone.
  std::uint32_t min_size = 2;
  /// Fraction of an endpoint's KV memory that shared prefixes may occupy.
  double max_memory_share = 0.5;
  /// Time constant of the moving average of the demand.
  Duration demand_window = std::chrono::seconds(30);
  /// Maximum number of prefixes with recorded demand; the least demanded one is removed first.
  std::size_t max_prefixes = 1024;
};

struct HomeSetMember {
  EndpointId endpoint;
  AvailabilityZone zone;
};

/// @brief Assigns each shared prefix a set of endpoints of one service, so that an endpoint reads
/// and caches few prefixes.
///
/// Endpoints are ranked by rendezvous hashing, so that all daemons get nested sets without an
/// exchange of messages, and a change of the endpoints affects few sets.
class HomeSets {
 public:
  HomeSets() = default;
  explicit HomeSets(HomeSetOptions options);
  /// @brief Sets the endpoints that accept requests.
  void SetMembers(const std::vector<HomeSetMember>& members);
  /// @brief Sets the KV memory of one endpoint; 0 if it is unknown.
  void SetMemory(TokenCount memory) { memory_ = memory; }
  /// @brief Counts a request as demand for the prefix.
  void OnRequest(const SharedPrefix& prefix, MonotonicTime now);
  /// @brief True if each endpoint can cache all prefixes with recent demand, so that no sets are
  /// needed. Also if the memory is unknown.
  bool AllPrefixesFit(MonotonicTime now);
  /// @brief Sets `is_member`, for each endpoint in the order of SetMembers(), to whether it is in
  /// the set of the prefix.
  void FindMembers(PrefixId prefix, MonotonicTime now, std::vector<bool>& is_member);

 private:
  struct Member {
    std::uint64_t hash = 0;
    std::uint32_t zone = 0;
  };
  struct Demand {
    double weight = 0;
    TokenCount tokens;
    MonotonicTime updated{};
  };

  /// @brief Sums over all prefixes.
  struct Totals {
    MonotonicTime updated{};
    double weight = 0;
    double weighted_tokens = 0;
    /// Tokens of the prefixes with recent demand.
    double recent_tokens = 0;
  };

  const Totals& UpdatedTotals(MonotonicTime now);
  void Update(Demand& demand, MonotonicTime now) const;
  void RemoveLeastDemanded(MonotonicTime now);
  double Headroom(MonotonicTime now);
  /// Rank of each member in its zone.
  const std::vector<std::uint32_t>& Ranks(PrefixId prefix);

  HomeSetOptions options_ = {};
  TokenCount memory_;
  std::vector<Member> members_;
  std::vector<std::uint32_t> zone_sizes_;
  Demand total_;
  /// Absent if a prefix was added since the last update.
  std::optional<Totals> totals_;
  std::unordered_map<PrefixId, Demand> demands_;
  /// Ranks by prefix; cleared when the members change.
  std::unordered_map<PrefixId, std::vector<std::uint32_t>> ranks_;
};

/// @brief Speed of an endpoint. For a plain service, which generates no tokens, the token rates and
/// intervals are 0.
struct EndpointSpeed {
  double prefill_tokens_per_second = 0;
  /// Time per output token of a stream while no other stream runs.
  Duration token_interval{};
  /// Increase of the time per output token for each further running stream.
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

/// @brief Number of priority class ranks that placement distinguishes; a sender of load reports
/// counts calls of higher ranks under the last one.
inline constexpr std::size_t kNumRanks = 8;
using RankCounts = std::array<std::uint32_t, kNumRanks>;

/// @brief Load of an endpoint at `sampled_at`, which is earlier than the arrival of the report.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Calls, by rank, that do not delay a more urgent call: waiting calls, which it overtakes, and
  /// running calls that may be paused for it (see CountPausable()). All 0 if unknown.
  RankCounts yielding_by_rank{};
  TokenCount kv_used{};
  TokenCount kv_capacity{};
  bool leaving = false;
  MonotonicTime sampled_at;
};

/// @brief A call for which an endpoint is to be chosen.
struct RoutingRequest {
  ServiceId service;
  /// Zone of the daemon that will dispatch the call.
  AvailabilityZone zone{};
  /// Rank of the call's priority class, 0 for the most urgent one.
  std::uint32_t rank = 0;
  /// Prefix of the program's history; none for calls to plain services.
  std::optional<PrefixId> program_prefix{};
  TokenCount prompt{};
  TokenCount expected_output{};
  /// Expected service time of a call to a plain service.
  Duration expected_duration{};
  /// Endpoints on which this call has already failed.
  std::vector<EndpointId> excluded{};
};

struct EndpointChooserOptions {
  /// Endpoints drawn at random per call, in addition to the holders of its prefix.
  std::size_t random_candidates = 2;
  /// Weight of the delay that the prefill of a new call causes to running calls, relative to the
  /// prefill time itself.
  double prefill_interference = 1;
  /// Added to the expected finish time on an endpoint in another zone.
  Duration zone_penalty = std::chrono::milliseconds(2);
  /// Weight of a new sample in the moving average of an endpoint's service time.
  double service_time_weight = 0.05;
  /// Mean service time of an endpoint before its first sample.
  Duration initial_service_time = std::chrono::seconds(1);
  bool use_cache_index = true;
  /// Corrects load reports for the calls that this chooser started or finished after the sampling
  /// time.
  bool correct_reports = true;
  /// Leaves out calls that yield to the rank of the new call (LoadReport::yielding_by_rank).
  bool use_ranks = true;
};

struct EndpointChoice {
  EndpointId endpoint;
  Duration expected_wait{};
  Duration expected_finish{};
  TokenCount expected_cached;
};

/// @brief Identifies one call that was placed by a chooser and has not finished; set by the caller.
using InFlightId = StrongNumber<struct InFlightIdTag>;

/// @brief Chooses the endpoint with the earliest expected finish time among the holders of the
/// call's prefix and a few random endpoints. The time per choice does not depend on the number of
/// endpoints unless all random candidates are excluded.
class EndpointChooser {
 public:
  explicit EndpointChooser(EndpointChooserOptions options = {}, CacheIndexOptions cache = {});

  /// @brief Adds an endpoint, or replaces its description and keeps its load.
  void SetEndpoint(const EndpointDescription& endpoint);
  void RemoveEndpoint(const EndpointId& endpoint);
  /// @brief Sets whether the endpoint is leaving; a leaving endpoint gets no new calls.
  void SetLeaving(const EndpointId& endpoint, bool leaving);
  /// @brief Applies a report unless one with a later sampling time has been applied.
  void OnLoad(const EndpointId& endpoint, const LoadReport& report);

  /// @return none if no available endpoint serves the call.
  std::optional<EndpointChoice> Choose(const RoutingRequest& request,
                                       MonotonicTime now,
                                       std::mt19937_64& random);
  /// @brief Records that the call was sent to the endpoint of `choice`.
  void OnStarted(InFlightId call,
                 const RoutingRequest& request,
                 const EndpointChoice& choice,
                 MonotonicTime now);
  void OnFirstToken(InFlightId call, MonotonicTime now);
  /// @brief Records that the call ended. `cached` is the number of prefix tokens that stay in the
  /// endpoint's cache, 0 if unknown.
  void OnFinished(InFlightId call, TokenCount cached, MonotonicTime now);

  CacheIndex& cache() { return cache_; }
  std::size_t endpoint_count() const { return endpoint_indices_.size(); }

 private:
  struct InFlightChange {
    MonotonicTime at;
    std::uint32_t count;
  };
  struct State {
    EndpointDescription description;
    LoadReport report;
    bool present = false;
    bool leaving = false;
    /// Calls of this chooser in flight.
    std::uint32_t in_flight = 0;
    /// Value of `in_flight` when `report` was sampled.
    std::uint32_t in_flight_at_report = 0;
    /// Uncached prompt tokens of calls in flight that have no first token yet.
    double pending_prefill = 0;
    double mean_service_us = 0;
    /// Values of `in_flight` since the last report was sampled, oldest first.
    std::deque<InFlightChange> in_flight_changes;
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

  void RemoveFromServing(std::uint32_t endpoint);
  void AddToServing(std::uint32_t endpoint);
  void RecordInFlight(State& state, MonotonicTime now);
  void AddCandidate(const RoutingRequest& request, std::uint32_t endpoint, double cached);
  void AddHolders(const RoutingRequest& request, MonotonicTime now);
  void AddRandom(const RoutingRequest& request,
                 const std::vector<std::uint32_t>& serving,
                 std::mt19937_64& random);
  /// Returns the number of running and waiting calls, and how many of them yield to a call of
  /// `rank`.
  std::pair<double, double> EstimateLoad(const State& state, std::uint32_t rank) const;
  EndpointChoice Estimate(const RoutingRequest& request, const Candidate& candidate) const;

  EndpointChooserOptions options_;
  CacheIndex cache_;
  std::vector<State> states_;
  std::unordered_map<EndpointId, std::uint32_t> endpoint_indices_;
  std::vector<std::uint32_t> free_indices_;
  /// Indices of the endpoints that accept new calls, by service.
  std::unordered_map<ServiceId, std::vector<std::uint32_t>> serving_;
  std::unordered_map<InFlightId, InFlight> in_flight_;
  std::vector<Candidate> candidates_;
  std::vector<CacheHolder> holders_;
};

/// @brief Treatment of a program's KV cache while the program waits for a tool call.
enum class PauseAction : std::uint8_t { kKeep, kExport, kDrop };

struct PauseContext {
  /// The tool that the program waits for.
  ServiceId tool;
  /// Tokens of the program in the KV cache.
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
  /// For kKeep: the KV cache is released if the pause lasts longer than this.
  Duration release_after{};
};

struct PausePolicyOptions {
  /// Assumed pause for a service without samples.
  Duration initial_pause = std::chrono::seconds(5);
  /// Factor applied to the weight of all older samples when a new one arrives.
  double sample_decay = 0.98;
  /// Utilisation of KV memory up to which keeping a cache costs nothing.
  double free_utilisation = 0.5;
  /// Cost, in seconds of prefill, of keeping the whole KV memory occupied for one second while it
  /// is full.
  double full_memory_cost = 1.0;
  /// Services with a history; pauses of further services are not recorded.
  std::size_t max_services = 1024;
};

/// @brief Decides by expected cost whether the KV cache of a paused program is kept, exported or
/// dropped.
class PausePolicy {
 public:
  explicit PausePolicy(PausePolicyOptions options = {});
  PauseDecision Decide(const PauseContext& context) const;
  void OnPauseEnded(const ServiceId& tool, Duration pause);
  /// @brief Weighted mean of the recorded pauses of the service, or the initial pause if none.
  Duration ExpectedPause(const ServiceId& tool) const;

 private:
  static constexpr std::size_t kBuckets = 32;
  struct History {
    /// Weighted number and sum of pauses; bucket i counts pauses of 2^(i-1) to 2^i ms.
    std::array<double, kBuckets> count{};
    std::array<double, kBuckets> seconds{};
  };
  const History& HistoryOf(const ServiceId& tool) const;

  PausePolicyOptions options_;
  std::unordered_map<ServiceId, History> services_;
  History initial_;
};

/// @brief Demand for one model and the size of its weights.
struct ModelDemand {
  ModelId model;
  /// Cost per second of the requested calls, in units of an output token.
  double cost_per_second = 0;
  double weight_bytes = 0;
};

struct EndpointAssignment {
  EndpointId endpoint;
  /// The model that the endpoint serves or was last ordered to serve.
  ModelId model;
  /// Cost that the endpoint can serve per second, in units of an output token.
  double cost_per_second = 1;
  MonotonicTime assigned_at;
  /// An order is pending or the endpoint is leaving.
  bool busy = false;
};

/// @brief An order that tells an endpoint to load and serve a model.
struct PlannedOrder {
  EndpointId endpoint;
  ModelId model;
};

struct OrderPlannerOptions {
  /// Utilisation above which a model gets another endpoint.
  double high_utilisation = 0.9;
  /// Utilisation below which a model must remain after it loses an endpoint.
  double low_utilisation = 0.7;
  /// Minimum time between two orders to one endpoint.
  Duration min_dwell = std::chrono::minutes(2);
  /// Token bucket for loads from the weight store: refill rate and capacity.
  double store_bytes_per_second = 1e9;
  double store_burst_bytes = 60e9;
  /// Time constant of the moving average of demand.
  Duration demand_window = std::chrono::minutes(1);
  /// Minimum number of endpoints of a model with demand.
  std::size_t min_endpoints_per_model = 1;
};

/// @brief Plans which model each endpoint should serve.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderPlannerOptions options = {});
  /// @return orders to send now; the loads that they cause stay within the rate of the weight
  /// store.
  std::vector<PlannedOrder> Plan(std::span<const ModelDemand> demand,
                                 std::span<const EndpointAssignment> endpoints,
                                 MonotonicTime now);

 private:
  struct SmoothedDemand {
    double cost_per_second = 0;
    MonotonicTime updated;
  };
  double Smooth(const ModelDemand& demand, MonotonicTime now);

  OrderPlannerOptions options_;
  std::map<ModelId, SmoothedDemand> smoothed_demand_;
  double store_budget_bytes_;
  std::optional<MonotonicTime> last_refill_;
};

/// @brief What a daemon may use, as its settings say. 0 stands for an unknown value.
struct DaemonCapacity {
  /// In cores.
  double processor_share = 0;
  std::uint64_t memory_bytes = 0;
  std::uint64_t link_bits_per_second = 0;
  bool operator==(const DaemonCapacity&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(processor_share, memory_bytes, link_bits_per_second);
  }
};

/// @brief Load that a daemon with this capacity can take, in cores: the least of what processor,
/// link and memory allow. 0 if the processor share is unknown or invalid.
double LoadCapacity(const DaemonCapacity& capacity);

/// @brief A registered daemon, seen as a possible entry point for callers.
struct EntryPointCandidate {
  AvailabilityZone zone = {};
  bool ready = false;
  DaemonCapacity capacity = {};
  /// Factor from 0.1 to 1 that the daemon derives from its own measurements.
  double correction = 1;
  /// Time since the correction was received.
  Duration correction_age = Duration::zero();
};

struct EntryPointOptions {
  std::size_t max_addresses = 64;
  /// Minimum size of an answer while as many daemons are ready.
  std::size_t min_addresses = 2;
  /// Older corrections are ignored.
  Duration max_correction_age = std::chrono::seconds(5);
  /// Ratio of the processor shares from which on the answers are weighted.
  double unequal_ratio = 3;
  /// The daemons of a zone that has lost others may have this multiple of the mean utilisation
  /// before callers of the zone are sent to other zones.
  double max_relative_utilisation = 4.0 / 3;
  /// Least weight of a daemon, relative to the strongest ready one.
  double min_relative_weight = 0.02;
};

/// @brief True if the processor shares of the ready daemons differ by the ratio in the options or
/// more. Daemons whose share is unknown are left out.
bool UnequalProcessors(std::span<const EntryPointCandidate> candidates,
                       const EntryPointOptions& options = {});

/// @brief Chooses the daemons that one answer of the entry point directory names, as indexes into
/// `candidates`. `seed` should differ between answers; it has no effect unless
/// UnequalProcessors().
std::vector<std::size_t> SelectEntryPoints(const AvailabilityZone& caller_zone,
                                           std::span<const EntryPointCandidate> candidates,
                                           std::uint64_t seed,
                                           const EntryPointOptions& options = {});

}  // namespace acaciaspring

#endif  // ACACIASPRING_ROUTING_H_
