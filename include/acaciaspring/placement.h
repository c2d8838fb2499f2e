#ifndef ACACIASPRING_PLACEMENT_H_
#define ACACIASPRING_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/membership.h"

namespace acaciaspring::placement {

/// @brief True for members that may own shards: alive or suspected, and ready. A suspected member
/// counts because most suspicions are refuted.
bool IsEligible(const membership::Member& member);

struct EndpointLocation {
  EndpointId endpoint;
  AvailabilityZone zone;
  membership::Region region;
  bool operator==(const EndpointLocation&) const = default;
};

/// @brief Assigns shards, endpoints and organisations to eligible members by rendezvous hashing.
/// The same member list gives the same result on every daemon. Results are cached until the
/// eligible members change. Move-only.
class Placement {
 public:
  /// @brief Applies the current member list; inexpensive if the eligible members are unchanged.
  void Update(const std::vector<membership::Member>& members);
  /// @brief Member that should own the shard, or nullopt if no member is eligible.
  std::optional<DaemonId> PreferredOwner(ShardId shard) const;
  /// @brief Member that dispatches the calls of the endpoint: a member of its zone or, if there is
  /// none, of its region; nullopt if the region has no eligible member.
  std::optional<DaemonId> Dispatcher(const EndpointLocation& location) const;
  /// @brief Member that grants an organisation's rate and concurrency, or nullopt if no member is
  /// eligible.
  std::optional<DaemonId> Limiter(const OrganisationId& organisation) const;
  /// @brief Incremented whenever the eligible members change.
  std::uint64_t version() const { return version_; }
  std::size_t eligible_count() const { return candidates_.size(); }

 private:
  struct Candidate {
    DaemonId id;
    AvailabilityZone zone;
    membership::Region region;
    std::uint64_t hash = 0;
    bool operator==(const Candidate&) const = default;
  };
  struct CachedDispatcher {
    EndpointLocation location;
    std::optional<DaemonId> dispatcher;
  };
  struct Best {
    std::uint64_t score = 0;
    const Candidate* candidate = nullptr;
  };
  static std::uint64_t ComputeScore(const Candidate& candidate, std::uint64_t key);
  static bool IsBetter(const Candidate& candidate, std::uint64_t score, const Best& best);
  void RemoveCandidate(const DaemonId& id);
  void AddCandidate(std::unique_ptr<Candidate> candidate);

  /// Sorted by id. Allocated separately, because Best::candidate points to the candidates.
  std::vector<std::unique_ptr<Candidate>> candidates_;
  std::vector<Best> shards_ = std::vector<Best>(kShardCount);
  mutable std::unordered_map<EndpointId, CachedDispatcher> dispatchers_;
  mutable std::unordered_map<OrganisationId, std::optional<DaemonId>> limiters_;
  std::uint64_t version_ = 0;
};

/// @brief Owner of a shard according to the replayed log.
struct ShardOwner {
  DaemonId owner;
  Incarnation incarnation;
  Epoch epoch;
  bool released = false;
};

/// @brief Returns the owner of a shard, or nullopt if the shard has never been claimed.
using OwnerLookup = std::function<std::optional<ShardOwner>(ShardId)>;
using InFlightLookup = std::function<bool(ShardId)>;

struct PlannerOptions {
  DaemonId self;
  Incarnation incarnation;
  /// The eligible members must be unchanged for this time before a shard is claimed or handed over.
  Duration settle_time = std::chrono::seconds(2);
  /// Minimum time between the claim of a shard and its handover, unless the daemon is leaving.
  Duration min_ownership_time = std::chrono::seconds(10);
  /// Limits the log appends for claims, and separately those for releases; one batch is one append.
  /// The whole system can do several hundred appends a second.
  double max_batches_per_second = 1.0;
  /// A claim or release that does not appear in the log within this time is planned again.
  Duration pending_timeout = std::chrono::seconds(30);
  /// An owner that is considered dead but has claimed shards since it became unreachable is alive
  /// on the other side of a partition. For this time after its last claim, none of its shards is
  /// claimed.
  Duration contested_claim_delay = std::chrono::minutes(2);
};

struct ShardPlan {
  /// Shards to claim with one ShardsClaimed record.
  std::vector<ShardId> claim;
  /// Shards whose calls must no longer be started; only those stopped since the last plan.
  std::vector<ShardId> stop;
  /// Shards whose handover is cancelled; calls may start again.
  std::vector<ShardId> resume;
  /// Shards to release with one ShardsReleased record.
  std::vector<ShardId> release;
};

/// @brief Decides when this daemon claims, drains and releases shards. Performs no I/O.
class ShardPlanner {
 public:
  explicit ShardPlanner(PlannerOptions options);
  ~ShardPlanner();
  ShardPlanner(ShardPlanner&&) noexcept;
  ShardPlanner& operator=(ShardPlanner&&) noexcept;

  /// @brief Returns the next steps. Must be called once or a few times per second, and only after
  /// the log has been replayed up to its end: otherwise an old claim looks like a new one.
  /// `placement` must have been updated with `members` already. The caller appends the returned
  /// claims and releases.
  ShardPlan Plan(MonotonicTime now,
                 const std::vector<membership::Member>& members,
                 const Placement& placement,
                 const OwnerLookup& owner_of,
                 const InFlightLookup& in_flight);
  /// @brief Reports that the append of a claim or release has failed permanently, so that it is
  /// planned again.
  void AppendFailed(const std::vector<ShardId>& shards);
  /// @brief True from the stop of a shard until the shard is resumed, or released and claimed
  /// again. A daemon starts calls only for shards that it owns and that are not stopped.
  bool IsStopped(ShardId shard) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::placement

#endif  // ACACIASPRING_PLACEMENT_H_
