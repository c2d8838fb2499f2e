#ifndef ACACIASPRING_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define ACACIASPRING_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/membership.h"
#include "src/membership/messages.h"
#include "src/membership/replay_window.h"

namespace acaciaspring::membership {

enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead };

/// @brief One row of the member table.
struct Entry {
  /// Its state is derived from liveness and status by MemberTable::Refresh.
  Member member;
  Liveness liveness = Liveness::kAlive;
  /// When the liveness last changed.
  MonotonicTime since;
  Status status;
  /// Zones whose members failed to reach this one since it was last alive.
  std::vector<AvailabilityZone> confirmed;
  ReplayWindow replay;
  /// No early probe because of the VM list before this time.
  MonotonicTime next_hint;
  std::uint64_t digest = 0;

  bool leaving() const { return (status.flags & Status::kLeaving) != 0; }
  /// @brief Adds a zone; false if it was present.
  bool Confirm(const AvailabilityZone& zone);
};

/// @brief What an update changed; tells what has to be spread.
struct Change {
  /// Liveness, incarnation, refutation or the set of confirming zones.
  bool liveness = false;
  /// Flags of the status.
  bool flags = false;
  /// Only the revision.
  bool revision = false;
  /// The member was unknown or dead.
  bool joined = false;
  /// The member has started to leave.
  bool left = false;
};

/// @brief All known members and a digest of those that are not dead.
class MemberTable {
 public:
  explicit MemberTable(DaemonId self) : self_(std::move(self)) {}

  Entry* Find(const DaemonId& id);
  const Entry* Find(const DaemonId& id) const;
  Entry& self() { return entries_.at(self_); }
  const Entry& self() const { return entries_.at(self_); }
  const std::map<DaemonId, Entry>& entries() const { return entries_; }
  /// @brief Number of members other than this daemon that are not dead.
  std::size_t living_peers() const { return entries_.size() - 1 - dead_.size(); }
  const std::set<DaemonId>& suspects() const { return suspects_; }
  const std::set<DaemonId>& dead() const { return dead_; }

  /// @brief Merges news about another member.
  Change Apply(const Update& update, MonotonicTime now);
  /// @brief Merges the status that a member stated itself.
  Change ApplyStatus(Entry& entry, const Status& status);
  /// @brief Starts or confirms a suspicion; true if anything changed.
  bool Suspect(Entry& entry, const AvailabilityZone& zone, MonotonicTime now);
  void MarkDead(Entry& entry, MonotonicTime now);
  /// @brief The member refuted a suspicion in the same run.
  void Revive(Entry& entry, std::uint32_t refutation, MonotonicTime now);
  Entry& Insert(const Update& alive, MonotonicTime now);
  void Erase(const DaemonId& id);
  /// @brief Must follow every change of an entry that was made outside this class.
  void Refresh(Entry& entry);
  /// @brief Moves all running suspicions later, after this process was paused.
  void DelaySuspicions(Duration gap);

  /// @brief The update that states everything about a member that is not dead, or its death.
  static Update Describe(const Entry& entry, UpdateKind kind);
  std::uint64_t digest() const;
  const std::array<std::uint64_t, kDigestBuckets>& buckets() const { return buckets_; }
  static std::size_t BucketOf(const DaemonId& id);
  std::uint64_t version() const { return version_; }
  const std::vector<Member>& members() const;

 private:
  Change Replace(Entry& entry, const Update& alive, MonotonicTime now);
  void SetLiveness(Entry& entry, Liveness liveness, MonotonicTime now);

  DaemonId self_;
  std::map<DaemonId, Entry> entries_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::set<DaemonId> suspects_;
  std::set<DaemonId> dead_;
  std::uint64_t version_ = 0;
  mutable std::vector<Member> members_;
  mutable bool members_stale_ = true;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_MEMBER_TABLE_H_
