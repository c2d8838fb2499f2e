#include <algorithm>

#include "src/journal/program_rules.h"
#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

ProgramId ParentOf(StateData& data, const ProgramId& id) {
  if (const ProgramEntry* entry = data.Find(id)) {
    return entry->program.parent;
  }
  const auto parent = data.parent_index.find(id);
  return parent == data.parent_index.end() ? ProgramId() : parent->second;
}

bool SameParameters(const Program& program, const ProgramCreated& record) {
  return program.organisation == record.organisation && program.creation_key == record.key &&
         program.priority_class == record.priority_class && program.budget == record.budget &&
         program.max_calls == record.max_calls && program.parent == record.parent;
}

/// Why the parent cannot take the child; nothing if it can.
std::optional<Rejected> CheckParent(StateData& data, const ProgramCreated& record) {
  const ProgramEntry* parent = data.Find(record.parent);
  if (parent == nullptr) {
    return Rejected{data.started_late() ? RejectReason::kUndecided : RejectReason::kUnknownParent};
  }
  // A foreign program is reported like an unknown one, so that ids of others cannot be probed.
  if (parent->program.organisation != record.organisation) {
    return Rejected{RejectReason::kUnknownParent};
  }
  if (parent->program.ended) {
    return Rejected{RejectReason::kParentEnded};
  }
  if (FreeBudget(parent->program) < record.budget) {
    return Rejected{RejectReason::kBudgetExhausted};
  }
  return std::nullopt;
}

std::optional<Rejected> CheckCreation(StateData& data,
                                      const RecordPlace& place,
                                      const ProgramCreated& record,
                                      Offset touched_before) {
  if (record.program != MakeProgramId(record.organisation, record.key)) {
    return Rejected{RejectReason::kInvalid};
  }
  if (const auto refusal = CheckOwner(data, place, ShardOf(record.program), record.epoch)) {
    return refusal;
  }
  if (const ProgramEntry* known = data.Find(record.program)) {
    return Rejected{SameParameters(known->program, record) ? RejectReason::kProgramExists
                                                           : RejectReason::kKeyConflict};
  }
  if (place.observed < touched_before ||
      place.observed.value() + kObservationHorizon < place.offset.value()) {
    return Rejected{RejectReason::kOutdated};
  }
  return record.parent.empty() ? std::nullopt : CheckParent(data, record);
}

Program MakeProgram(const RecordPlace& place, const ProgramCreated& record) {
  Program program;
  program.id = record.program;
  program.organisation = record.organisation;
  program.creation_key = record.key;
  program.priority_class = record.priority_class;
  program.budget = record.budget;
  program.max_calls = record.max_calls;
  program.parent = record.parent;
  program.root = record.program;
  program.authorised = std::min(record.authorised, record.budget);
  program.last_activity_ms = place.time_ms;
  return program;
}

/// Books the end of a child: its unused budget goes back.
void SettleChild(StateData& data, Program& parent, const Program& child) {
  parent.children.erase(child.id);
  data.parent_index.erase(child.id);
  parent.reserved -= child.budget;
  parent.spent += child.spent;
  // Only a child that overran its budget can leave less than the parent was authorised to spend.
  const TokenCount taken = parent.spent + parent.reserved;
  const TokenCount left = taken < parent.budget ? parent.budget - taken : TokenCount();
  parent.authorised = std::min(parent.authorised, left);
}

/// Ends a program and its descendants. Returns false if a descendant is not known, so that the
/// totals are uncertain.
bool EndTree(StateData& data, ProgramEntry& entry, EndReason reason, std::int64_t now_ms) {
  Program& program = entry.program;
  bool certain = true;
  const std::set<ProgramId> children = program.children;
  for (const ProgramId& id : children) {
    ProgramEntry* child = data.Find(id);
    if (child == nullptr) {
      certain = false;
      continue;
    }
    // The owner of the child may be in the middle of a call.
    SpendAuthorisedAmount(child->program);
    certain = EndTree(data, *child, EndReason::kParentEnded, now_ms) && certain;
    entry.needed = std::min(entry.needed, child->needed);
    SettleChild(data, program, child->program);
  }
  for (const ProgramId& id : program.children) {
    data.parent_index.erase(id);
  }
  ClearHistory(program);
  program.authorised = TokenCount();
  program.ended = true;
  program.end_reason = reason;
  program.last_activity_ms = now_ms;
  data.tombstones.emplace(now_ms, program.id);
  --data.live_programs;
  return certain;
}

/// Ends the program of an accepted record and books it at its parent.
void EndProgram(StateData& data, const RecordPlace& place, const ProgramEnded& record) {
  ProgramEntry& entry = *data.Find(record.program);
  const bool certain = EndTree(data, entry, record.reason, place.time_ms);
  ProgramEntry* parent = data.Find(entry.program.parent);
  if (parent != nullptr) {
    LowerNeeded(data, *parent, entry.needed);
    SettleChild(data, parent->program, entry.program);
  }
  if (!certain) {
    const ProgramId parent_id = entry.program.parent;
    Forget(data, record.program, place.offset);
    Forget(data, parent_id, place.offset);
  }
}

}  // namespace

void LowerNeeded(StateData& data, ProgramEntry& entry, Offset needed) {
  if (entry.needed <= needed) {
    return;
  }
  entry.needed = needed;
  for (const ProgramId& id : entry.program.children) {
    if (ProgramEntry* child = data.Find(id)) {
      LowerNeeded(data, *child, needed);
    }
  }
}

void Forget(StateData& data, const ProgramId& id, Offset offset) {
  const ProgramEntry* entry = data.Find(id);
  if (entry == nullptr) {
    return;
  }
  const std::set<ProgramId> children = entry->program.children;
  const Offset touched = entry->touched;
  data.Erase(id);
  data.NoteUnknown(id, &UnknownTouch::touched, touched);
  data.NoteUnknown(id, &UnknownTouch::forgotten, offset);
  for (const ProgramId& child : children) {
    Forget(data, child, offset);
  }
}

void TouchProgram(StateData& data, const RecordPlace& place, const ProgramId& id) {
  ProgramEntry* entry = data.Find(id);
  if (entry == nullptr) {
    data.NoteUnknown(id, &UnknownTouch::touched, place.offset);
    return;
  }
  entry->touched = place.offset;
  LowerNeeded(data, *entry, place.observed + Offset(1));
}

void TouchParent(StateData& data, const RecordPlace& place, const ProgramCreated& record) {
  if (record.parent.empty()) {
    return;
  }
  TouchProgram(data, place, record.parent);
  // Whether the child was created can only be told by a fold that knows the owner of its shard.
  if (ProgramEntry* parent = data.Find(record.parent)) {
    LowerNeeded(data, *parent, data.Shard(ShardOf(record.program)).needed);
  }
}

void TouchParent(StateData& data, const RecordPlace& place, const ProgramEnded& record) {
  const ProgramEntry* child = data.Find(record.program);
  if (child == nullptr) {
    data.NoteUnknown(record.program, &UnknownTouch::ended, place.offset);
  }
  const ProgramId parent = ParentOf(data, record.program);
  if (parent.empty()) {
    return;
  }
  TouchProgram(data, place, parent);
  ProgramEntry* entry = data.Find(parent);
  if (entry != nullptr && child != nullptr) {
    LowerNeeded(data, *entry, child->needed);
  }
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ProgramCreated& record) {
  const Offset touched_before = data.UnknownTouchOf(record.program).last();
  TouchProgram(data, place, record.program);
  TouchParent(data, place, record);
  const ShardId shard = ShardOf(record.program);
  if (!IsDecidable(data, place) || (data.started_late() && !data.Shard(shard).known)) {
    if (!IsDecidable(data, place)) {
      Forget(data, record.program, place.offset);
    }
    Forget(data, record.parent, place.offset);
    return Rejected{RejectReason::kUndecided};
  }
  if (const auto refusal = CheckCreation(data, place, record, touched_before)) {
    return *refusal;
  }
  ProgramEntry entry{MakeProgram(place, record),
                     std::min(place.observed + Offset(1), data.Shard(shard).needed), place.offset};
  if (ProgramEntry* parent = data.Find(record.parent)) {
    entry.program.root = parent->program.root;
    entry.needed = std::min(entry.needed, parent->needed);
    parent->program.reserved += record.budget;
    parent->program.children.insert(record.program);
    data.parent_index[record.program] = record.parent;
  }
  data.Insert(std::move(entry));
  return Accepted{};
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ProgramEnded& record) {
  TouchParent(data, place, record);
  const ProgramId parent = ParentOf(data, record.program);
  TouchProgram(data, place, record.program);
  const ProgramEntry* entry = data.Find(record.program);
  if (!IsDecidable(data, place)) {
    Forget(data, record.program, place.offset);
    Forget(data, parent, place.offset);
    return Rejected{RejectReason::kUndecided};
  }
  if (entry == nullptr) {
    // A known parent lists this child: whether it has ended is uncertain.
    Forget(data, parent, place.offset);
  }
  if (const auto refusal = CheckOwner(data, place, ShardOf(record.program), record.epoch)) {
    return *refusal;
  }
  if (entry == nullptr) {
    return Rejected{RejectReason::kUnknownProgram};
  }
  if (entry->program.ended) {
    return Rejected{RejectReason::kProgramEnded};
  }
  EndProgram(data, place, record);
  return Accepted{};
}

}  // namespace acaciaspring::journal
