#include <algorithm>

#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

/// True if nothing that the writer of the checkpoint had not seen concerns the unknown program.
bool IsCurrent(const StateData& data, const RecordPlace& place, const Program& program) {
  if (!IsDecidable(data, place) || place.observed < data.UnknownTouchOf(program.id).touched) {
    return false;
  }
  // The end of a child changes the totals of its parent without naming it. The child itself is
  // known without the parent only if it has ended.
  return std::none_of(
      program.children.begin(), program.children.end(), [&data, &place](const ProgramId& child) {
        return data.programs.contains(child) || place.observed < data.UnknownTouchOf(child).ended;
      });
}

/// True for an ended program that a fold which knew it would have forgotten by now.
bool HasVanished(const StateData& data, const RecordPlace& place, const Program& program) {
  return program.ended && program.last_activity_ms + data.tombstone_ms <= place.time_ms;
}

/// A live child is known only together with its parent, whose end also ends the child.
bool HasParent(StateData& data, const Program& program) {
  if (program.ended || program.parent.empty()) {
    return true;
  }
  const ProgramEntry* parent = data.Find(program.parent);
  return parent != nullptr && parent->program.children.contains(program.id);
}

Offset NeededAfter(StateData& data, const RecordPlace& place, const Program& program) {
  Offset needed = std::min(place.observed + Offset(1), data.Shard(ShardOf(program.id)).needed);
  if (!program.ended && !program.parent.empty()) {
    if (const ProgramEntry* parent = data.Find(program.parent)) {
      needed = std::min(needed, parent->needed);
    }
  }
  return needed;
}

}  // namespace

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ProgramCheckpoint& record) {
  if (record.state.id != record.program) {
    return Rejected{RejectReason::kInvalid};
  }
  if (const auto refusal = CheckOwner(data, place, ShardOf(record.program), record.epoch)) {
    return *refusal;
  }
  if (place.observed.value() + kObservationHorizon < place.offset.value()) {
    return Rejected{RejectReason::kOutdated};
  }
  if (ProgramEntry* known = data.Find(record.program)) {
    // The fold already has this state or, if something lies in between, a newer one.
    if (place.observed < known->touched) {
      return Rejected{RejectReason::kOutdated};
    }
    known->needed = std::max(known->needed, NeededAfter(data, place, known->program));
    return Accepted{};
  }
  if (!data.started_late()) {
    return Rejected{RejectReason::kUnknownProgram};
  }
  if (HasVanished(data, place, record.state)) {
    return Rejected{RejectReason::kOutdated};
  }
  if (!IsCurrent(data, place, record.state) || !HasParent(data, record.state)) {
    return Rejected{RejectReason::kUndecided};
  }
  data.Insert(ProgramEntry{record.state, NeededAfter(data, place, record.state), place.observed});
  return Accepted{};
}

}  // namespace acaciaspring::journal
