#include <algorithm>

#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

/// True if no record that the writer of the checkpoint had not observed concerns the program, which
/// is not known here.
bool IsCurrent(const StateData& data, const RecordContext& context, const Program& program) {
  if (!IsDecidable(data, context) ||
      context.observed < data.UnknownOffsetsOf(program.id).last_reference) {
    return false;
  }
  // The end of a child changes the totals of its parent, although the record does not name the
  // parent. A child that is known without its parent has ended.
  return std::none_of(program.children.begin(), program.children.end(),
                      [&data, &context](const ProgramId& child) {
                        return data.programs.contains(child) ||
                               context.observed < data.UnknownOffsetsOf(child).last_end;
                      });
}

/// True for an ended program whose retention is over.
bool HasExpired(const StateData& data, const RecordContext& context, const Program& program) {
  return program.ended && program.last_activity_ms + data.tombstone_retention_ms <= context.time_ms;
}

/// A live child may be restored only together with its parent, because the end of the parent ends
/// the child.
bool HasParent(StateData& data, const Program& program) {
  if (program.ended || program.parent.empty()) {
    return true;
  }
  const ProgramEntry* parent = data.Find(program.parent);
  return parent != nullptr && parent->program.children.contains(program.id);
}

Offset ReplayStartAfter(StateData& data, const RecordContext& context, const Program& program) {
  Offset replay_start =
      std::min(context.observed + Offset(1), data.Shard(ShardOf(program.id)).replay_start);
  if (!program.ended && !program.parent.empty()) {
    if (const ProgramEntry* parent = data.Find(program.parent)) {
      replay_start = std::min(replay_start, parent->replay_start);
    }
  }
  return replay_start;
}

}  // namespace

Verdict ApplyRecord(StateData& data,
                    const RecordContext& context,
                    const ProgramCheckpoint& record) {
  if (record.state.id != record.program) {
    return Rejected{RejectReason::kInvalid};
  }
  if (const auto refusal = CheckOwner(data, context, ShardOf(record.program), record.epoch)) {
    return *refusal;
  }
  if (context.observed.value() + kMaxObservedLag < context.offset.value()) {
    return Rejected{RejectReason::kOutdated};
  }
  if (ProgramEntry* existing = data.Find(record.program)) {
    // The state already contains this checkpoint or, if a later record concerns the program, is
    // newer.
    if (context.observed < existing->last_reference) {
      return Rejected{RejectReason::kOutdated};
    }
    existing->replay_start =
        std::max(existing->replay_start, ReplayStartAfter(data, context, existing->program));
    return Accepted{};
  }
  if (!data.has_partial_history()) {
    return Rejected{RejectReason::kUnknownProgram};
  }
  if (HasExpired(data, context, record.state)) {
    return Rejected{RejectReason::kOutdated};
  }
  if (!IsCurrent(data, context, record.state) || !HasParent(data, record.state)) {
    return Rejected{RejectReason::kUndecided};
  }
  data.Insert(
      ProgramEntry{record.state, ReplayStartAfter(data, context, record.state), context.observed});
  return Accepted{};
}

}  // namespace acaciaspring::journal
