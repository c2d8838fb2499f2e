#include <algorithm>

#include "src/journal/program_rules.h"
#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

bool IsWriter(const RecordContext& context, const DaemonId& owner, Incarnation incarnation) {
  return context.id.daemon == owner && context.id.incarnation == incarnation;
}

Offset AsOffset(Epoch epoch) {
  return Offset(epoch.value());
}

/// The former owner may have spent the authorised amount without recording it, so the amount is
/// charged.
void ChargeAuthorisedAmountsOfShard(StateData& data, ShardId shard) {
  const auto index = data.shard_index.find(shard);
  if (index == data.shard_index.end()) {
    return;
  }
  for (const ProgramId& id : index->second) {
    ChargeAuthorisedAmount(data.programs.at(id).program);
  }
}

void AssignShard(StateData& data,
                 const RecordContext& context,
                 const ShardsClaimed& record,
                 ShardId shard,
                 Offset previous_reference) {
  ShardEntry& entry = data.Shard(shard);
  if (entry.known && !entry.owner.released) {
    ChargeAuthorisedAmountsOfShard(data, shard);
  }
  if (record.observed >= previous_reference) {
    entry.replay_start = std::max(entry.replay_start, record.observed + Offset(1));
  }
  entry.known = true;
  entry.owner = ShardOwner{record.owner, record.incarnation, Epoch(context.offset.value()), false};
}

bool MatchesClaim(const ShardEntry& entry, const ClaimCheckpoint& record, Epoch epoch) {
  return entry.owner == ShardOwner{record.owner, record.incarnation, epoch, false};
}

}  // namespace

void MarkShardsReferenced(StateData& data, const RecordContext& context, const ShardSet& shards) {
  for (const ShardId shard : shards.Members()) {
    data.Shard(shard).last_reference = context.offset;
  }
}

std::optional<Rejected> CheckOwner(StateData& data,
                                   const RecordContext& context,
                                   ShardId shard,
                                   Epoch epoch) {
  const ShardEntry& entry = data.Shard(shard);
  if (!entry.known) {
    return Rejected{data.has_partial_history() ? RejectReason::kUndecided
                                               : RejectReason::kStaleEpoch};
  }
  if (entry.owner.epoch != epoch) {
    return Rejected{RejectReason::kStaleEpoch};
  }
  if (entry.owner.released || !IsWriter(context, entry.owner.daemon, entry.owner.incarnation)) {
    return Rejected{RejectReason::kNotOwner};
  }
  return std::nullopt;
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsClaimed& record) {
  if (!IsWriter(context, record.owner, record.incarnation) || record.observed >= context.offset) {
    MarkShardsReferenced(data, context, record.shards);
    return Rejected{RejectReason::kInvalid};
  }
  bool claimed = false;
  bool undecided = false;
  for (const ShardId shard : record.shards.Members()) {
    ShardEntry& entry = data.Shard(shard);
    const Offset previous_reference = std::exchange(entry.last_reference, context.offset);
    if (!entry.known && data.has_partial_history() && record.observed < previous_reference) {
      undecided = true;
    } else if (!entry.known || AsOffset(entry.owner.epoch) <= record.observed) {
      AssignShard(data, context, record, shard, previous_reference);
      claimed = true;
    }
  }
  if (claimed) {
    return Accepted{};
  }
  return Rejected{undecided ? RejectReason::kUndecided : RejectReason::kStaleEpoch};
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsReleased& record) {
  bool released = false;
  for (const ShardId shard : record.shards.Members()) {
    ShardEntry& entry = data.Shard(shard);
    entry.last_reference = context.offset;
    // The observed offset prevents a delayed copy of a release from ending a newer claim of the
    // same owner.
    if (entry.known && IsWriter(context, entry.owner.daemon, entry.owner.incarnation) &&
        record.owner == entry.owner.daemon && AsOffset(entry.owner.epoch) <= context.observed &&
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

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ClaimCheckpoint& record) {
  if (!IsWriter(context, record.owner, record.incarnation)) {
    return Rejected{RejectReason::kInvalid};
  }
  bool accepted = false;
  for (const ClaimedShard& claim : record.claims) {
    if (claim.shard.value() >= kShardCount) {
      continue;
    }
    ShardEntry& entry = data.Shard(claim.shard);
    if (context.observed < entry.last_reference) {
      continue;
    }
    if (!entry.known && data.has_partial_history() && AsOffset(claim.epoch) <= context.observed) {
      entry.known = true;
      entry.owner = ShardOwner{record.owner, record.incarnation, claim.epoch, false};
    }
    if (entry.known && MatchesClaim(entry, record, claim.epoch)) {
      entry.replay_start = std::max(entry.replay_start, context.observed + Offset(1));
      accepted = true;
    }
  }
  if (accepted) {
    return Accepted{};
  }
  return Rejected{RejectReason::kOutdated};
}

}  // namespace acaciaspring::journal
