#include <algorithm>
#include <unordered_map>
#include <utility>

#include "acaciaspring/placement.h"

namespace acaciaspring::placement {

using membership::Member;
using membership::MemberState;

namespace {

// Time for which an unreachable daemon is remembered, in multiples of contested_claim_delay.
constexpr int kPeerRetentionFactor = 10;

}  // namespace

struct ShardPlanner::Impl {
  enum class Pending : std::uint8_t { kNothing, kClaim, kRelease };

  struct Shard {
    /// Last owner read from the log.
    std::optional<ShardOwner> owner;
    MonotonicTime owner_since;
    Pending pending = Pending::kNothing;
    MonotonicTime pending_since;
    bool stopped = false;
  };

  /// @brief State of another daemon as observed over time.
  struct Peer {
    Incarnation incarnation;
    MemberState state = MemberState::kDead;
    bool ready = false;
    /// Start of the time in which the daemon has been suspected or dead without a break; empty
    /// while it is reachable.
    std::optional<MonotonicTime> unreachable_since;
    std::optional<MonotonicTime> last_claim;
  };

  explicit Impl(PlannerOptions planner_options)
      : options(std::move(planner_options)), shards(kShardCount) {}

  void ObserveMembers(MonotonicTime now, const std::vector<Member>& members);
  void ObserveOwner(MonotonicTime now, Shard& shard, std::optional<ShardOwner> owner);
  bool OwnsUnreleased(const Shard& shard) const;
  bool IsContested(MonotonicTime now, const Peer& peer) const;
  bool IsClaimable(MonotonicTime now, const Shard& shard) const;
  bool ShouldHandOver(MonotonicTime now,
                      const Shard& shard,
                      const std::optional<DaemonId>& preferred) const;
  bool CanReceive(const std::optional<DaemonId>& preferred) const;
  void PlanOwned(MonotonicTime now,
                 ShardId id,
                 const std::optional<DaemonId>& preferred,
                 const InFlightLookup& in_flight,
                 ShardPlan& plan);
  bool IsAppendAllowed(MonotonicTime now, const std::optional<MonotonicTime>& last) const;
  void FinishPlan(MonotonicTime now, ShardPlan& plan);

  PlannerOptions options;
  std::vector<Shard> shards;
  std::unordered_map<DaemonId, Peer> peers;
  std::optional<std::uint64_t> placement_version;
  MonotonicTime stable_since;
  std::optional<MonotonicTime> last_claim;
  std::optional<MonotonicTime> last_release;
  bool stable = false;
  bool leaving = false;
};

void ShardPlanner::Impl::ObserveMembers(MonotonicTime now, const std::vector<Member>& members) {
  for (auto& [id, peer] : peers) {
    // Overwritten below for daemons in the current member list.
    peer.state = MemberState::kDead;
    peer.ready = false;
  }
  for (const Member& member : members) {
    Peer& peer = peers[member.id];
    peer.incarnation = member.incarnation;
    peer.state = member.state;
    peer.ready = member.ready;
  }
  for (auto& [id, peer] : peers) {
    if (peer.state != MemberState::kSuspect && peer.state != MemberState::kDead) {
      peer.unreachable_since.reset();
    } else if (!peer.unreachable_since.has_value()) {
      peer.unreachable_since = now;
    }
  }
  // Erases daemons that have been unreachable for a long time; an owner without an entry counts as
  // dead.
  std::erase_if(peers, [&](const auto& item) {
    const auto& since = item.second.unreachable_since;
    return since.has_value() &&
           now - *since >= options.contested_claim_delay * kPeerRetentionFactor;
  });
  const auto self = peers.find(options.self);
  leaving = self != peers.end() && self->second.state == MemberState::kLeaving;
}

void ShardPlanner::Impl::ObserveOwner(MonotonicTime now,
                                      Shard& shard,
                                      std::optional<ShardOwner> owner) {
  const Epoch before = shard.owner.has_value() ? shard.owner->epoch : Epoch();
  const bool was_released = shard.owner.has_value() && shard.owner->released;
  const bool claimed = owner.has_value() && owner->epoch != before;
  const bool released = owner.has_value() && owner->released && !was_released;
  if (claimed) {
    shard.owner_since = now;
    shard.stopped = false;
    peers[owner->owner].last_claim = now;
  }
  if (claimed || released) {
    shard.pending = Pending::kNothing;
  } else if (shard.pending != Pending::kNothing &&
             now - shard.pending_since >= options.pending_timeout) {
    shard.pending = Pending::kNothing;
  }
  shard.owner = std::move(owner);
}

bool ShardPlanner::Impl::OwnsUnreleased(const Shard& shard) const {
  return shard.owner.has_value() && shard.owner->owner == options.self &&
         shard.owner->incarnation == options.incarnation && !shard.owner->released;
}

bool ShardPlanner::Impl::IsContested(MonotonicTime now, const Peer& peer) const {
  // A claim observed within settle_time after the owner became unreachable may have been appended
  // before that.
  return peer.last_claim.has_value() && peer.unreachable_since.has_value() &&
         *peer.last_claim > *peer.unreachable_since + options.settle_time &&
         now - *peer.last_claim < options.contested_claim_delay;
}

bool ShardPlanner::Impl::IsClaimable(MonotonicTime now, const Shard& shard) const {
  if (!shard.owner.has_value() || shard.owner->released) {
    return true;
  }
  if (shard.owner->owner == options.self) {
    return shard.owner->incarnation < options.incarnation;
  }
  const auto found = peers.find(shard.owner->owner);
  if (found == peers.end()) {
    return true;
  }
  const Peer& peer = found->second;
  if (peer.state == MemberState::kDead) {
    return !IsContested(now, peer);
  }
  return shard.owner->incarnation < peer.incarnation;
}

bool ShardPlanner::Impl::CanReceive(const std::optional<DaemonId>& preferred) const {
  if (!preferred.has_value() || *preferred == options.self) {
    return false;
  }
  const auto found = peers.find(*preferred);
  return found != peers.end() && found->second.state == MemberState::kAlive && found->second.ready;
}

bool ShardPlanner::Impl::ShouldHandOver(MonotonicTime now,
                                        const Shard& shard,
                                        const std::optional<DaemonId>& preferred) const {
  if (leaving) {
    return true;
  }
  if (!CanReceive(preferred)) {
    return false;
  }
  // A stopped shard continues to drain while the eligible members are still changing.
  return shard.stopped || (stable && now - shard.owner_since >= options.min_ownership_time);
}

void ShardPlanner::Impl::PlanOwned(MonotonicTime now,
                                   ShardId id,
                                   const std::optional<DaemonId>& preferred,
                                   const InFlightLookup& in_flight,
                                   ShardPlan& plan) {
  Shard& shard = shards[id.value()];
  if (shard.pending == Pending::kRelease) {
    return;
  }
  if (!ShouldHandOver(now, shard, preferred)) {
    if (shard.stopped) {
      shard.stopped = false;
      plan.resume.push_back(id);
    }
    return;
  }
  if (!shard.stopped) {
    plan.stop.push_back(id);
  } else if (!in_flight(id)) {
    plan.release.push_back(id);
  }
}

bool ShardPlanner::Impl::IsAppendAllowed(MonotonicTime now,
                                         const std::optional<MonotonicTime>& last) const {
  const std::chrono::duration<double> interval(1.0 / options.max_batches_per_second);
  return !last.has_value() || now - *last >= interval;
}

void ShardPlanner::Impl::FinishPlan(MonotonicTime now, ShardPlan& plan) {
  const auto mark_pending = [&](const std::vector<ShardId>& ids, Pending pending) {
    for (const ShardId id : ids) {
      shards[id.value()].pending = pending;
      shards[id.value()].pending_since = now;
    }
  };
  if (!plan.claim.empty() && IsAppendAllowed(now, last_claim)) {
    last_claim = now;
    mark_pending(plan.claim, Pending::kClaim);
  } else {
    plan.claim.clear();
  }
  if (!plan.release.empty() && IsAppendAllowed(now, last_release)) {
    last_release = now;
    mark_pending(plan.release, Pending::kRelease);
  } else {
    plan.release.clear();
  }
  // The caller stops the shards of this plan when it receives it, so only the next plan may release
  // them.
  for (const ShardId id : plan.stop) {
    shards[id.value()].stopped = true;
  }
}

ShardPlanner::ShardPlanner(PlannerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
ShardPlanner::~ShardPlanner() = default;
ShardPlanner::ShardPlanner(ShardPlanner&&) noexcept = default;
ShardPlanner& ShardPlanner::operator=(ShardPlanner&&) noexcept = default;

ShardPlan ShardPlanner::Plan(MonotonicTime now,
                             const std::vector<Member>& members,
                             const Placement& placement,
                             const OwnerLookup& owner_of,
                             const InFlightLookup& in_flight) {
  Impl& impl = *impl_;
  impl.ObserveMembers(now, members);
  if (impl.placement_version != placement.version()) {
    impl.placement_version = placement.version();
    impl.stable_since = now;
  }
  impl.stable = now - impl.stable_since >= impl.options.settle_time;
  ShardPlan plan;
  // All claims are observed before the first decision, because a claim can show that an owner
  // considered dead is alive.
  for (std::size_t index = 0; index < kShardCount; ++index) {
    const ShardId id(static_cast<std::uint16_t>(index));
    impl.ObserveOwner(now, impl.shards[index], owner_of(id));
  }
  for (std::size_t index = 0; index < kShardCount; ++index) {
    const ShardId id(static_cast<std::uint16_t>(index));
    Impl::Shard& shard = impl.shards[index];
    const std::optional<DaemonId> preferred = placement.PreferredOwner(id);
    if (impl.OwnsUnreleased(shard)) {
      impl.PlanOwned(now, id, preferred, in_flight, plan);
    } else if (impl.stable && !impl.leaving && preferred == impl.options.self &&
               shard.pending == Impl::Pending::kNothing && impl.IsClaimable(now, shard)) {
      plan.claim.push_back(id);
    }
  }
  impl.FinishPlan(now, plan);
  return plan;
}

void ShardPlanner::AppendFailed(const std::vector<ShardId>& shards) {
  for (const ShardId id : shards) {
    impl_->shards[id.value()].pending = Impl::Pending::kNothing;
  }
}

bool ShardPlanner::IsStopped(ShardId shard) const {
  return impl_->shards[shard.value()].stopped;
}

}  // namespace acaciaspring::placement
