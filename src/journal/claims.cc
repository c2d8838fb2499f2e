#include <algorithm>

#include "src/journal/program_rules.h"
#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

bool IsWriter(const RecordPlace& place, const DaemonId& owner, Incarnation incarnation) {
  return place.id.daemon == owner && place.id.incarnation == incarnation;
}

Offset AsOffset(Epoch epoch) {
  return Offset(epoch.value());
}

/// The former owner may have spent what was authorised without having recorded it.
void SpendAuthorisedOfShard(StateData& data, ShardId shard) {
  const auto index = data.shard_index.find(shard);
  if (index == data.shard_index.end()) {
    return;
  }
  for (const ProgramId& id : index->second) {
    SpendAuthorisedAmount(data.programs.at(id).program);
  }
}

void TakeShard(StateData& data,
               const RecordPlace& place,
               const ShardsClaimed& record,
               ShardId shard,
               Offset touched_before) {
  ShardEntry& entry = data.Shard(shard);
  if (entry.known && !entry.owner.released) {
    SpendAuthorisedOfShard(data, shard);
  }
  if (record.observed >= touched_before) {
    entry.needed = std::max(entry.needed, record.observed + Offset(1));
  }
  entry.known = true;
  entry.owner = ShardOwner{record.owner, record.incarnation, Epoch(place.offset.value()), false};
}

bool Holds(const ShardEntry& entry, const ClaimCheckpoint& record, Epoch epoch) {
  return entry.owner == ShardOwner{record.owner, record.incarnation, epoch, false};
}

}  // namespace

void TouchShards(StateData& data, const RecordPlace& place, const ShardSet& shards) {
  for (const ShardId shard : shards.Members()) {
    data.Shard(shard).touched = place.offset;
  }
}

std::optional<Rejected> CheckOwner(StateData& data,
                                   const RecordPlace& place,
                                   ShardId shard,
                                   Epoch epoch) {
  const ShardEntry& entry = data.Shard(shard);
  if (!entry.known) {
    return Rejected{data.started_late() ? RejectReason::kUndecided : RejectReason::kStaleEpoch};
  }
  if (entry.owner.epoch != epoch) {
    return Rejected{RejectReason::kStaleEpoch};
  }
  if (entry.owner.released || !IsWriter(place, entry.owner.daemon, entry.owner.incarnation)) {
    return Rejected{RejectReason::kNotOwner};
  }
  return std::nullopt;
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ShardsClaimed& record) {
  if (!IsWriter(place, record.owner, record.incarnation) || record.observed >= place.offset) {
    TouchShards(data, place, record.shards);
    return Rejected{RejectReason::kInvalid};
  }
  bool taken = false;
  bool undecided = false;
  for (const ShardId shard : record.shards.Members()) {
    ShardEntry& entry = data.Shard(shard);
    const Offset touched_before = std::exchange(entry.touched, place.offset);
    if (!entry.known && data.started_late() && record.observed < touched_before) {
      undecided = true;
    } else if (!entry.known || AsOffset(entry.owner.epoch) <= record.observed) {
      TakeShard(data, place, record, shard, touched_before);
      taken = true;
    }
  }
  if (taken) {
    return Accepted{};
  }
  return Rejected{undecided ? RejectReason::kUndecided : RejectReason::kStaleEpoch};
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ShardsReleased& record) {
  bool released = false;
  for (const ShardId shard : record.shards.Members()) {
    ShardEntry& entry = data.Shard(shard);
    entry.touched = place.offset;
    // The observed offset keeps a late copy of a release from ending a newer claim of the same
    // owner.
    if (entry.known && IsWriter(place, entry.owner.daemon, entry.owner.incarnation) &&
        record.owner == entry.owner.daemon && AsOffset(entry.owner.epoch) <= place.observed &&
        !entry.owner.released) {
      entry.owner.released = true;
      released = true;
    }
  }
  if (released) {
    return Accepted{};
  }
  return Rejected{RejectReason::kNotOwner};
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ClaimCheckpoint& record) {
  if (!IsWriter(place, record.owner, record.incarnation)) {
    return Rejected{RejectReason::kInvalid};
  }
  bool counted = false;
  for (const ClaimedShard& claim : record.claims) {
    if (claim.shard.value() >= kShardCount) {
      continue;
    }
    ShardEntry& entry = data.Shard(claim.shard);
    if (place.observed < entry.touched) {
      continue;
    }
    if (!entry.known && data.started_late() && AsOffset(claim.epoch) <= place.observed) {
      entry.known = true;
      entry.owner = ShardOwner{record.owner, record.incarnation, claim.epoch, false};
    }
    if (entry.known && Holds(entry, record, claim.epoch)) {
      entry.needed = std::max(entry.needed, place.observed + Offset(1));
      counted = true;
    }
  }
  if (counted) {
    return Accepted{};
  }
  return Rejected{RejectReason::kOutdated};
}

}  // namespace acaciaspring::journal
