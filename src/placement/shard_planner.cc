#include <algorithm>
#include <unordered_map>
#include <utility>

#include "acaciaspring/placement.h"

namespace acaciaspring::placement {

using membership::Member;
using membership::MemberState;

namespace {

// How long a daemon that is gone is remembered, in units of contested_hold.
constexpr int kForgetHolds = 10;

}  // namespace

struct ShardPlanner::Impl {
  enum class Pending : std::uint8_t { kNothing, kClaim, kRelease };

  struct Shard {
    /// Last ownership seen in the log.
    std::optional<ShardOwner> owner;
    MonotonicTime owner_since;
    Pending pending = Pending::kNothing;
    MonotonicTime pending_since;
    bool stopped = false;
  };

  /// @brief What is known of another daemon over time.
  struct Peer {
    Incarnation incarnation;
    MemberState state = MemberState::kDead;
    bool ready = false;
    /// Since when the daemon has not been in state alive; nothing while it is.
    std::optional<MonotonicTime> unreachable_since;
    std::optional<MonotonicTime> last_claim;
  };

  explicit Impl(PlannerOptions given) : options(std::move(given)), shards(kShardCount) {}

  void ObserveMembers(MonotonicTime now, const std::vector<Member>& members);
  void ObserveOwner(MonotonicTime now, Shard& shard, std::optional<ShardOwner> owner);
  bool OwnsUnreleased(const Shard& shard) const;
  bool IsContested(MonotonicTime now, const Peer& peer) const;
  bool IsFree(MonotonicTime now, const Shard& shard) const;
  bool ShouldHandOver(MonotonicTime now,
                      const Shard& shard,
                      const std::optional<DaemonId>& preferred) const;
  bool CanReceive(const std::optional<DaemonId>& preferred) const;
  void PlanOwned(MonotonicTime now,
                 ShardId id,
                 const std::optional<DaemonId>& preferred,
                 const InFlightLookup& in_flight,
                 ShardPlan& plan);
  bool MayAppend(MonotonicTime now, const std::optional<MonotonicTime>& last) const;
  void Commit(MonotonicTime now, ShardPlan& plan);

  PlannerOptions options;
  std::vector<Shard> shards;
  std::unordered_map<DaemonId, Peer> peers;
  std::optional<std::uint64_t> placement_version;
  MonotonicTime stable_since;
  std::optional<MonotonicTime> last_claim;
  std::optional<MonotonicTime> last_release;
  bool settled = false;
  bool leaving = false;
};

void ShardPlanner::Impl::ObserveMembers(MonotonicTime now, const std::vector<Member>& members) {
  for (auto& [id, peer] : peers) {
    // Overwritten below for those that are still listed.
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
  // Daemons that are long gone; an owner without an entry counts as dead.
  std::erase_if(peers, [&](const auto& item) {
    const auto& since = item.second.unreachable_since;
    return since.has_value() && now - *since >= options.contested_hold * kForgetHolds;
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
  // A claim that is seen shortly after the owner became unreachable may have been appended before.
  return peer.last_claim.has_value() && peer.unreachable_since.has_value() &&
         *peer.last_claim > *peer.unreachable_since + options.settle_time &&
         now - *peer.last_claim < options.contested_hold;
}

bool ShardPlanner::Impl::IsFree(MonotonicTime now, const Shard& shard) const {
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
  // Once stopped, a shard goes on draining while the view settles again.
  return shard.stopped || (settled && now - shard.owner_since >= options.min_ownership);
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

bool ShardPlanner::Impl::MayAppend(MonotonicTime now,
                                   const std::optional<MonotonicTime>& last) const {
  const std::chrono::duration<double> gap(1.0 / options.max_batches_per_second);
  return !last.has_value() || now - *last >= gap;
}

void ShardPlanner::Impl::Commit(MonotonicTime now, ShardPlan& plan) {
  const auto mark = [&](const std::vector<ShardId>& ids, Pending pending) {
    for (const ShardId id : ids) {
      shards[id.value()].pending = pending;
      shards[id.value()].pending_since = now;
    }
  };
  if (!plan.claim.empty() && MayAppend(now, last_claim)) {
    last_claim = now;
    mark(plan.claim, Pending::kClaim);
  } else {
    plan.claim.clear();
  }
  if (!plan.release.empty() && MayAppend(now, last_release)) {
    last_release = now;
    mark(plan.release, Pending::kRelease);
  } else {
    plan.release.clear();
  }
  // The caller stops the shard on this plan, so the next plan may release it at the earliest.
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
  impl.settled = now - impl.stable_since >= impl.options.settle_time;
  ShardPlan plan;
  // All claims are observed before the first decision: one of them can show that an owner lives.
  for (std::size_t number = 0; number < kShardCount; ++number) {
    const ShardId id(static_cast<std::uint16_t>(number));
    impl.ObserveOwner(now, impl.shards[number], owner_of(id));
  }
  for (std::size_t number = 0; number < kShardCount; ++number) {
    const ShardId id(static_cast<std::uint16_t>(number));
    Impl::Shard& shard = impl.shards[number];
    const std::optional<DaemonId> preferred = placement.PreferredOwner(id);
    if (impl.OwnsUnreleased(shard)) {
      impl.PlanOwned(now, id, preferred, in_flight, plan);
    } else if (impl.settled && !impl.leaving && preferred == impl.options.self &&
               shard.pending == Impl::Pending::kNothing && impl.IsFree(now, shard)) {
      plan.claim.push_back(id);
    }
  }
  impl.Commit(now, plan);
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
