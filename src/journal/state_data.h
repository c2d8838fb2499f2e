#ifndef ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_
#define ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_

#include <algorithm>
#include <cereal/types/utility.hpp>
#include <map>
#include <set>
#include <utility>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

// A replay that starts at offset F > 1 does not know the records before F. Two properties make it
// safe:
//
// - Soundness: what it knows of a shard, a program or the configuration equals the state after a
//   replay of the whole log. Unless it has read everything that the decision on a record depends
//   on, it ignores the record and discards the items that the record names.
// - Completeness: it knows every item whose `replay_start` (in the state after a replay of the
//   whole log) is at least F. Checkpoints raise `replay_start`.
//
// Both depend on Envelope::observed: if `observed` is at least F - 1, every record that the writer
// had not observed is at F or later. `last_reference` of an item is the offset of the last record
// that names it, whatever the verdict; a checkpoint is accepted only if its writer had observed
// that record.

/// Maximum distance between the observed offset and the offset of a checkpoint or a creation.
/// Records with a larger lag are rejected, so that the offsets kept for unknown programs can
/// expire.
inline constexpr std::uint64_t kMaxObservedLag = 10'000;

struct ShardEntry {
  /// False while no accepted claim is known; `owner` is then empty.
  bool known = false;
  ShardOwner owner;
  Offset replay_start;
  Offset last_reference;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, owner, replay_start, last_reference);
  }
};

struct ProgramEntry {
  Program program;
  Offset replay_start;
  Offset last_reference;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, replay_start, last_reference);
  }
};

/// Offsets of the last records that concern a program which is not known.
struct UnknownProgramOffsets {
  /// Last record that names it.
  Offset last_reference;
  /// Last record that ends it.
  Offset last_end;
  /// Last record on which this replay discarded it, perhaps together with its parent. The program
  /// existed then, so a creation must have observed that record.
  Offset last_discard;
  Offset last() const { return std::max({last_reference, last_end, last_discard}); }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_reference, last_end, last_discard);
  }
};

struct WriterEntry {
  std::uint64_t sequence = 0;
  std::int64_t last_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, last_ms);
  }
};

struct ConfigEntry {
  bool known = false;
  Revision revision;
  std::string document;
  Offset replay_start;
  Offset last_reference;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, revision, document, replay_start, last_reference);
  }
};

struct StateData {
  std::int64_t tombstone_retention_ms = 0;
  Offset first;
  Offset applied;
  ConfigEntry config;
  std::map<ShardId, ShardEntry> shards;
  std::map<ProgramId, ProgramEntry> programs;
  std::map<ProgramId, UnknownProgramOffsets> unknown_programs;
  std::map<std::pair<DaemonId, Incarnation>, WriterEntry> writers;
  /// Samples of append times by offset.
  std::map<Offset, std::int64_t> times;
  StateCounters counters;

  // Indexes, derived from the members above.
  std::map<ShardId, std::set<ProgramId>> shard_index;
  /// Parent of every child that a known program lists, whether or not the child itself is known.
  std::map<ProgramId, ProgramId> parent_index;
  std::set<std::pair<std::int64_t, ProgramId>> tombstones;
  std::set<std::pair<Offset, ProgramId>> unknown_by_offset;
  std::size_t live_programs = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tombstone_retention_ms, first, applied, config, shards, programs, unknown_programs,
            writers, times, counters);
  }

  /// True if replay started after the first entry of the log, so that older records are unknown.
  bool has_partial_history() const { return first > Offset(1); }
  ShardEntry& Shard(ShardId id);
  ProgramEntry* Find(const ProgramId& id);
  ProgramEntry& Insert(ProgramEntry entry);
  /// Removes one program and leaves its relatives as they are.
  void Erase(const ProgramId& id);
  void RebuildIndexes();
  void SetUnknownOffset(const ProgramId& id, Offset UnknownProgramOffsets::*member, Offset offset);
  UnknownProgramOffsets UnknownOffsetsOf(const ProgramId& id) const;
  /// Drops tombstones and offsets of unknown programs that are too old.
  void Expire(std::int64_t now_ms);
  /// Stores a sample of the append times if one is due, and then drops writers that have ended.
  void SampleTime(Offset offset, std::int64_t now_ms);
};

/// Offset, append time and writer of a record, and the offset that the writer had observed.
struct RecordContext {
  Offset offset;
  std::int64_t time_ms = 0;
  const RecordId& id;
  Offset observed;
};

/// True if the writer had observed every record before the first offset of this replay.
bool IsDecidable(const StateData& data, const RecordContext& context);

// Shards: claims.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsClaimed& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsReleased& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ClaimCheckpoint& record);
void MarkShardsReferenced(StateData& data, const RecordContext& context, const ShardSet& shards);
/// Why the writer may not change the shard under `epoch`; nullopt if it owns the shard.
std::optional<Rejected> CheckOwner(StateData& data,
                                   const RecordContext& context,
                                   ShardId shard,
                                   Epoch epoch);

// Configuration: config_records.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ConfigChanged& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ConfigCheckpoint& record);

// Creation and end of programs: program_tree.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramCreated& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramEnded& record);
/// Updates the last reference of a program that a record names.
void MarkProgramReferenced(StateData& data, const RecordContext& context, const ProgramId& id);
/// Updates the last reference of the parent of the program that a record creates or ends.
void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramCreated& record);
void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramEnded& record);
/// Lowers the replay start of a program and of its descendants to at most `replay_start`.
void LowerReplayStart(StateData& data, ProgramEntry& entry, Offset replay_start);
/// Discards a program whose state is no longer certain, and its descendants.
void Discard(StateData& data, const ProgramId& id, Offset offset);

// Checkpoints of programs: program_checkpoint.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramCheckpoint& record);

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_
