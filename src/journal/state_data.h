#ifndef ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_
#define ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_

#include <algorithm>
#include <cereal/types/utility.hpp>
#include <map>
#include <set>
#include <utility>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

// A fold that starts at offset F > 1 does not know the records before F. Two properties make it
// safe:
//
// - It is sound: what it knows of a shard, a program or the configuration equals what a fold of the
//   whole log knows. It ignores a record, and forgets what the record names, unless it has seen
//   everything that the decision depends on.
// - It is complete: it knows every item whose `needed` offset (in the fold of the whole log) is at
//   least F. Checkpoints move that offset forwards.
//
// Both rest on Envelope::observed: nothing before F lies between what the writer had seen and the
// record if `observed` is at least F - 1. The offset `touched` of an item is that of the last
// record that names it, whatever the verdict; a checkpoint counts only if its writer had seen that
// record.

/// Checkpoints and creations that lag further behind what their writer saw are refused, so that the
/// touched offsets of unknown programs can be forgotten.
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
  /// Last record on which this fold forgot it, perhaps together with its parent. It existed then,
  /// so a creation must have seen that record.
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
  /// Append times of some offsets.
  std::map<Offset, std::int64_t> times;
  StateCounters counters;

  // Indexes, derived from the members above.
  std::map<ShardId, std::set<ProgramId>> shard_index;
  /// Parent of every child that a known program lists, whether the child itself is known or not.
  std::map<ProgramId, ProgramId> parent_index;
  std::set<std::pair<std::int64_t, ProgramId>> tombstones;
  std::set<std::pair<Offset, ProgramId>> unknown_by_offset;
  std::size_t live_programs = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tombstone_retention_ms, first, applied, config, shards, programs, unknown_programs,
            writers, times, counters);
  }

  /// True if older entries than the first one applied existed.
  bool has_partial_history() const { return first > Offset(1); }
  ShardEntry& Shard(ShardId id);
  ProgramEntry* Find(const ProgramId& id);
  ProgramEntry& Insert(ProgramEntry entry);
  /// Forgets one program without looking at its relatives.
  void Erase(const ProgramId& id);
  void RebuildIndexes();
  void SetUnknownOffset(const ProgramId& id, Offset UnknownProgramOffsets::*member, Offset offset);
  UnknownProgramOffsets UnknownOffsetsOf(const ProgramId& id) const;
  /// Drops tombstones, touched offsets and writers that are too old.
  void Expire(std::int64_t now_ms);
  void SampleTime(Offset offset, std::int64_t now_ms);
};

/// Where and by whom a record was appended.
struct RecordContext {
  Offset offset;
  std::int64_t time_ms = 0;
  const RecordId& id;
  Offset observed;
};

/// False if records before the start of the fold may lie between what the writer saw and the
/// record.
bool IsDecidable(const StateData& data, const RecordContext& context);

// Shards: claims.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsClaimed& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ShardsReleased& record);
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ClaimCheckpoint& record);
void MarkShardsReferenced(StateData& data, const RecordContext& context, const ShardSet& shards);
/// Rejects a record of a writer that does not own the shard under `epoch`; nothing if it does.
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
/// Marks a program that a record names.
void MarkProgramReferenced(StateData& data, const RecordContext& context, const ProgramId& id);
/// Marks what a creation or an end names besides the program itself, which is its parent.
void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramCreated& record);
void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramEnded& record);
/// Moves the needed offset of a program and of its descendants back to at most `needed`.
void LowerReplayStart(StateData& data, ProgramEntry& entry, Offset replay_start);
/// Forgets a program whose state is no longer certain, and its descendants.
void Discard(StateData& data, const ProgramId& id, Offset offset);

// Checkpoints of programs: program_checkpoint.cc.
Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramCheckpoint& record);

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_STATE_DATA_H_
