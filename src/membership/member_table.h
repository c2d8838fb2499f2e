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

/// @brief One entry of the member table.
struct Entry {
  /// The state is derived from liveness and status by MemberTable::Refresh.
  Member member;
  Liveness liveness = Liveness::kAlive;
  /// Time of the last liveness change.
  MonotonicTime since;
  Status status;
  /// Zones whose members failed to reach this one since it was last alive.
  std::vector<AvailabilityZone> confirming_zones;
  ReplayWindow replay;
  /// The VM list causes no early probe before this time.
  MonotonicTime next_hinted_probe;
  std::uint64_t digest = 0;

  bool leaving() const { return (status.flags & Status::kLeaving) != 0; }
  /// @brief Adds a zone; false if it was present.
  bool AddConfirmingZone(const AvailabilityZone& zone);
};

/// @brief What an update changed; determines what is disseminated.
struct Change {
  /// The liveness, incarnation, refutation or set of confirming zones has changed.
  bool liveness = false;
  /// The flags of the status have changed.
  bool flags = false;
  /// The revision has changed.
  bool revision = false;
  /// The member was unknown or dead.
  bool joined = false;
  bool started_leaving = false;
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
  std::size_t live_peer_count() const { return entries_.size() - 1 - dead_.size(); }
  const std::set<DaemonId>& suspects() const { return suspects_; }
  const std::set<DaemonId>& dead() const { return dead_; }

  /// @brief Merges an update about another member.
  Change Apply(const Update& update, MonotonicTime now);
  /// @brief Merges a status if its version is higher than the known one.
  Change ApplyStatus(Entry& entry, const Status& status);
  /// @brief Starts a suspicion or adds a confirming zone; true if anything changed.
  bool Suspect(Entry& entry, const AvailabilityZone& zone, MonotonicTime now);
  void MarkDead(Entry& entry, MonotonicTime now);
  /// @brief Marks a member that refuted a suspicion or death in the same run as alive.
  void MarkAlive(Entry& entry, std::uint32_t refutation, MonotonicTime now);
  Entry& Insert(const Update& alive, MonotonicTime now);
  void Erase(const DaemonId& id);
  /// @brief Recomputes the derived state and the digest of an entry. Must be called after every
  /// change of an entry made outside this class.
  void Refresh(Entry& entry);
  /// @brief Extends all running suspicions by the time for which this process was paused.
  void DelaySuspicions(Duration pause);

  /// @brief Builds an update of the given kind from an entry.
  static Update MakeUpdate(const Entry& entry, UpdateKind kind);
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
