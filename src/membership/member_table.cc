#include "src/membership/member_table.h"

#include <algorithm>
#include <string>

namespace acaciaspring::membership {

namespace {

std::uint64_t DigestOf(const Entry& entry) {
  if (entry.liveness == Liveness::kDead) {
    return 0;
  }
  // The digest excludes the revision: a new revision reaches all members at about the same time and
  // would cause a burst of syncs.
  const std::string encoded_state = wire::Encode(entry.member.incarnation) +
                                    wire::Encode(entry.member.refutation) +
                                    wire::Encode(entry.status.flags);
  return Hash64(entry.member.id.value(), Hash64(encoded_state));
}

MemberState StateOf(const Entry& entry) {
  if (entry.liveness == Liveness::kDead) {
    return MemberState::kDead;
  }
  if (entry.leaving()) {
    return MemberState::kLeaving;
  }
  return entry.liveness == Liveness::kSuspect ? MemberState::kSuspect : MemberState::kAlive;
}

}  // namespace

bool Entry::AddConfirmingZone(const AvailabilityZone& zone) {
  if (confirming_zones.size() >= kMaxZones ||
      std::find(confirming_zones.begin(), confirming_zones.end(), zone) != confirming_zones.end()) {
    return false;
  }
  confirming_zones.push_back(zone);
  return true;
}

Entry* MemberTable::Find(const DaemonId& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

const Entry* MemberTable::Find(const DaemonId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::size_t MemberTable::BucketOf(const DaemonId& id) {
  return Hash64(id.value()) % kDigestBuckets;
}

std::uint64_t MemberTable::digest() const {
  std::uint64_t combined = 0;
  for (const std::uint64_t bucket : buckets_) {
    combined ^= bucket;
  }
  return combined;
}

void MemberTable::Refresh(Entry& entry) {
  Member& member = entry.member;
  const MemberState state = StateOf(entry);
  const bool ready = (entry.status.flags & Status::kReady) != 0;
  const std::uint64_t digest = DigestOf(entry);
  if (state != member.state || ready != member.ready || digest != entry.digest) {
    ++version_;
  }
  member.state = state;
  member.ready = ready;
  member.revision = entry.status.revision;
  buckets_[BucketOf(member.id)] ^= entry.digest ^ digest;
  entry.digest = digest;
  members_stale_ = true;
}

void MemberTable::SetLiveness(Entry& entry, Liveness liveness, MonotonicTime now) {
  suspects_.erase(entry.member.id);
  dead_.erase(entry.member.id);
  if (liveness == Liveness::kSuspect) {
    suspects_.insert(entry.member.id);
  } else if (liveness == Liveness::kDead) {
    dead_.insert(entry.member.id);
  }
  entry.liveness = liveness;
  entry.since = now;
}

Entry& MemberTable::Insert(const Update& alive, MonotonicTime now) {
  Entry& entry = entries_[alive.id];
  entry.member.id = alive.id;
  Replace(entry, alive, now);
  return entry;
}

void MemberTable::Erase(const DaemonId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.liveness != Liveness::kDead) {
    return;
  }
  dead_.erase(id);
  entries_.erase(found);
  ++version_;
  members_stale_ = true;
}

Change MemberTable::Replace(Entry& entry, const Update& alive, MonotonicTime now) {
  Change change;
  change.liveness = true;
  change.joined = entry.liveness == Liveness::kDead;
  if (entry.member.incarnation != alive.incarnation) {
    entry.replay = ReplayWindow();
  }
  entry.member.incarnation = alive.incarnation;
  entry.member.refutation = alive.refutation;
  entry.member.peer = Unpack(alive.profile.peer);
  entry.member.http = Unpack(alive.profile.http);
  entry.member.zone = alive.profile.zone;
  entry.member.region = alive.profile.region;
  entry.status = alive.status;
  entry.confirming_zones.clear();
  SetLiveness(entry, Liveness::kAlive, now);
  Refresh(entry);
  return change;
}

void MemberTable::MarkAlive(Entry& entry, std::uint32_t refutation, MonotonicTime now) {
  entry.member.refutation = refutation;
  entry.confirming_zones.clear();
  SetLiveness(entry, Liveness::kAlive, now);
  Refresh(entry);
}

bool MemberTable::Suspect(Entry& entry, const AvailabilityZone& zone, MonotonicTime now) {
  if (entry.liveness == Liveness::kDead || !entry.AddConfirmingZone(zone)) {
    return false;
  }
  if (entry.liveness == Liveness::kAlive) {
    SetLiveness(entry, Liveness::kSuspect, now);
    Refresh(entry);
  }
  return true;
}

void MemberTable::MarkDead(Entry& entry, MonotonicTime now) {
  SetLiveness(entry, Liveness::kDead, now);
  Refresh(entry);
}

Change MemberTable::ApplyStatus(Entry& entry, const Status& status) {
  Change change;
  if (status.version <= entry.status.version) {
    return change;
  }
  const bool was_leaving = entry.leaving();
  change.flags = status.flags != entry.status.flags;
  change.revision = status.revision != entry.status.revision;
  entry.status = status;
  change.started_leaving = entry.leaving() && !was_leaving;
  Refresh(entry);
  return change;
}

Change MemberTable::Apply(const Update& update, MonotonicTime now) {
  Entry* entry = Find(update.id);
  const bool alive = update.Is(UpdateKind::kAlive);
  if (entry == nullptr) {
    // Only kAlive contains the profile. A death of an unknown member is ignored: storing it would
    // let deaths circulate forever after dead_retention.
    if (alive) {
      Insert(update, now);
      return Change{.liveness = true, .joined = true};
    }
    return {};
  }
  Member& member = entry->member;
  if (update.incarnation != member.incarnation) {
    return alive && update.incarnation > member.incarnation ? Replace(*entry, update, now)
                                                            : Change{};
  }
  Change change;
  if (alive || update.Is(UpdateKind::kStatus)) {
    change = ApplyStatus(*entry, update.status);
    if (alive && update.refutation > member.refutation) {
      change.joined = entry->liveness == Liveness::kDead;
      change.liveness = true;
      MarkAlive(*entry, update.refutation, now);
    }
    return change;
  }
  if (update.refutation < member.refutation) {
    return change;
  }
  if (update.refutation > member.refutation) {
    change.liveness = true;
    change.joined = entry->liveness == Liveness::kDead;
    MarkAlive(*entry, update.refutation, now);
  }
  // A death declared by another member is merged as a suspicion with its confirming zones: when a
  // partition heals, each side considers members dead that are alive on the other side, and these
  // need the suspicion time to refute.
  for (const AvailabilityZone& zone : update.zones) {
    change.liveness = Suspect(*entry, zone, now) || change.liveness;
  }
  return change;
}

void MemberTable::DelaySuspicions(Duration pause) {
  for (const DaemonId& id : suspects_) {
    entries_.at(id).since += pause;
  }
}

Update MemberTable::MakeUpdate(const Entry& entry, UpdateKind kind) {
  Update update;
  update.id = entry.member.id;
  update.incarnation = entry.member.incarnation;
  update.refutation = entry.member.refutation;
  update.kind = static_cast<std::uint8_t>(kind);
  if (kind == UpdateKind::kAlive) {
    update.profile = Profile{Pack(entry.member.peer), Pack(entry.member.http), entry.member.zone,
                             entry.member.region};
  }
  if (kind == UpdateKind::kAlive || kind == UpdateKind::kStatus) {
    update.status = entry.status;
  } else {
    update.zones = entry.confirming_zones;
  }
  return update;
}

const std::vector<Member>& MemberTable::members() const {
  if (members_stale_) {
    members_.clear();
    members_.reserve(entries_.size());
    members_.push_back(self().member);
    for (const auto& [id, entry] : entries_) {
      if (id != self_) {
        members_.push_back(entry.member);
      }
    }
    members_stale_ = false;
  }
  return members_;
}

}  // namespace acaciaspring::membership
