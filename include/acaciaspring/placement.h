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

/// @brief True for members that may own shards: not dead, not leaving and ready. A suspected member
/// counts, because most suspicions are refuted.
bool IsEligible(const membership::Member& member);

struct EndpointLocation {
  EndpointId endpoint;
  AvailabilityZone zone;
  membership::Region region;
  bool operator==(const EndpointLocation&) const = default;
};

/// @brief Rendezvous hash over the eligible members. Equal member lists give equal answers on every
/// daemon. Answers are cached until the list changes. Move-only.
class Placement {
 public:
  /// @brief Takes the current member list; cheap when no eligible member came or went.
  void Update(const std::vector<membership::Member>& members);
  /// @brief Nothing when no member is eligible.
  std::optional<DaemonId> PreferredOwner(ShardId shard) const;
  /// @brief Among the members of the endpoint's zone or, if there are none, of its region; nothing
  /// when the region has none.
  std::optional<DaemonId> Dispatcher(const EndpointLocation& location) const;
  /// @brief Keeper of the rate and concurrency grants of an organisation.
  std::optional<DaemonId> Limiter(const OrganisationId& organisation) const;
  /// @brief Grows whenever the eligible members change.
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
  static std::uint64_t Score(const Candidate& candidate, std::uint64_t key);
  static bool Beats(const Candidate& challenger, std::uint64_t score, const Best& best);
  void RemoveCandidate(const DaemonId& id);
  void AddCandidate(std::unique_ptr<Candidate> candidate);

  /// Sorted by id; the addresses of the candidates are stable.
  std::vector<std::unique_ptr<Candidate>> candidates_;
  std::vector<Best> shards_ = std::vector<Best>(kShardCount);
  mutable std::unordered_map<EndpointId, CachedDispatcher> dispatchers_;
  mutable std::unordered_map<OrganisationId, std::optional<DaemonId>> limiters_;
  std::uint64_t version_ = 0;
};

/// @brief Owner of a shard as the fold of the log states it.
struct ShardOwner {
  DaemonId owner;
  Incarnation incarnation;
  Epoch epoch;
  bool released = false;
};

/// @brief Nothing for a shard that has never been claimed.
using OwnerLookup = std::function<std::optional<ShardOwner>(ShardId)>;
using InFlightLookup = std::function<bool(ShardId)>;

struct PlannerOptions {
  DaemonId self;
  Incarnation incarnation;
  /// The eligible members must not have changed for this time before a claim or a hand-over.
  Duration settle_time = std::chrono::seconds(2);
  /// A shard that was just claimed is not handed over for this time, unless the daemon leaves.
  Duration min_ownership = std::chrono::seconds(10);
  /// Limits the log appends for claims and for releases (one batch is one append). The whole system
  /// has several hundred appends a second.
  double max_batches_per_second = 1.0;
  /// A claim or release that the log has not decided after this time is repeated.
  Duration pending_timeout = std::chrono::seconds(30);
  /// An owner that looks dead but has claimed shards since it became unreachable is alive on the
  /// other side of a partition; nothing is claimed from it for this time after its last claim.
  Duration contested_hold = std::chrono::minutes(2);
};

struct ShardPlan {
  /// Append one ShardsClaimed.
  std::vector<ShardId> claim;
  /// Start no more calls of these shards; newly stopped since the last plan.
  std::vector<ShardId> stop;
  /// Calls may start again: the hand-over is off.
  std::vector<ShardId> resume;
  /// Append one ShardsReleased.
  std::vector<ShardId> release;
};

/// @brief Decides when this daemon claims, drains and releases shards. No I/O.
class ShardPlanner {
 public:
  explicit ShardPlanner(PlannerOptions options);
  ~ShardPlanner();
  ShardPlanner(ShardPlanner&&) noexcept;
  ShardPlanner& operator=(ShardPlanner&&) noexcept;

  /// @brief Call once or a few times per second, and only after the fold has caught up with the
  /// log: an old claim must not look like a new one. `placement` is updated with `members` already.
  /// The caller appends the claims and releases that it gets back.
  ShardPlan Plan(MonotonicTime now,
                 const std::vector<membership::Member>& members,
                 const Placement& placement,
                 const OwnerLookup& owner_of,
                 const InFlightLookup& in_flight);
  /// @brief The append of a claim or release failed for good and is planned again.
  void AppendFailed(const std::vector<ShardId>& shards);
  /// @brief True from the stop of a shard until it is released and claimed again, or resumed. A
  /// daemon starts calls only for shards that it owns and that are not stopped.
  bool IsStopped(ShardId shard) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::placement

#endif  // ACACIASPRING_PLACEMENT_H_
