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

/// Why the parent cannot have the child; nullopt if it can.
std::optional<Rejected> CheckParent(StateData& data, const ProgramCreated& record) {
  const ProgramEntry* parent = data.Find(record.parent);
  if (parent == nullptr) {
    return Rejected{data.has_partial_history() ? RejectReason::kUndecided
                                               : RejectReason::kUnknownParent};
  }
  // A program of another organisation is reported as unknown, so that callers cannot probe for its
  // id.
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
                                      const RecordContext& context,
                                      const ProgramCreated& record,
                                      Offset previous_reference) {
  if (record.program != MakeProgramId(record.organisation, record.key)) {
    return Rejected{RejectReason::kInvalid};
  }
  if (const auto refusal = CheckOwner(data, context, ShardOf(record.program), record.epoch)) {
    return refusal;
  }
  if (const ProgramEntry* existing = data.Find(record.program)) {
    return Rejected{SameParameters(existing->program, record) ? RejectReason::kProgramExists
                                                              : RejectReason::kKeyConflict};
  }
  if (context.observed < previous_reference ||
      context.observed.value() + kMaxObservedLag < context.offset.value()) {
    return Rejected{RejectReason::kOutdated};
  }
  return record.parent.empty() ? std::nullopt : CheckParent(data, record);
}

Program MakeProgram(const RecordContext& context, const ProgramCreated& record) {
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
  program.last_activity_ms = context.time_ms;
  return program;
}

/// Ends the reservation for an ended child: the parent is charged what the child has spent and
/// regains the rest.
void ReleaseChildBudget(StateData& data, Program& parent, const Program& child) {
  parent.children.erase(child.id);
  data.parent_index.erase(child.id);
  parent.reserved -= child.budget;
  parent.spent += child.spent;
  // The remaining budget is below the authorised amount only if a child has overrun its budget.
  const TokenCount spent_or_reserved = parent.spent + parent.reserved;
  const TokenCount remaining =
      spent_or_reserved < parent.budget ? parent.budget - spent_or_reserved : TokenCount();
  parent.authorised = std::min(parent.authorised, remaining);
}

/// Ends a program and its descendants. Returns false if a descendant is not known, which makes the
/// totals uncertain.
bool EndTree(StateData& data, ProgramEntry& entry, EndReason reason, std::int64_t now_ms) {
  Program& program = entry.program;
  bool totals_known = true;
  const std::set<ProgramId> children = program.children;
  for (const ProgramId& id : children) {
    ProgramEntry* child = data.Find(id);
    if (child == nullptr) {
      totals_known = false;
      continue;
    }
    // The owner of the child may have a call in flight, so the authorised amount is charged.
    ChargeAuthorisedAmount(child->program);
    totals_known = EndTree(data, *child, EndReason::kParentEnded, now_ms) && totals_known;
    entry.replay_start = std::min(entry.replay_start, child->replay_start);
    ReleaseChildBudget(data, program, child->program);
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
  return totals_known;
}

/// Ends the program that an accepted record names and updates its parent.
void EndProgram(StateData& data, const RecordContext& context, const ProgramEnded& record) {
  ProgramEntry& entry = *data.Find(record.program);
  const bool totals_known = EndTree(data, entry, record.reason, context.time_ms);
  ProgramEntry* parent = data.Find(entry.program.parent);
  if (parent != nullptr) {
    LowerReplayStart(data, *parent, entry.replay_start);
    ReleaseChildBudget(data, parent->program, entry.program);
  }
  if (!totals_known) {
    const ProgramId parent_id = entry.program.parent;
    Discard(data, record.program, context.offset);
    Discard(data, parent_id, context.offset);
  }
}

}  // namespace

void LowerReplayStart(StateData& data, ProgramEntry& entry, Offset replay_start) {
  if (entry.replay_start <= replay_start) {
    return;
  }
  entry.replay_start = replay_start;
  for (const ProgramId& id : entry.program.children) {
    if (ProgramEntry* child = data.Find(id)) {
      LowerReplayStart(data, *child, replay_start);
    }
  }
}

void Discard(StateData& data, const ProgramId& id, Offset offset) {
  const ProgramEntry* entry = data.Find(id);
  if (entry == nullptr) {
    return;
  }
  const std::set<ProgramId> children = entry->program.children;
  const Offset last_reference = entry->last_reference;
  data.Erase(id);
  data.SetUnknownOffset(id, &UnknownProgramOffsets::last_reference, last_reference);
  data.SetUnknownOffset(id, &UnknownProgramOffsets::last_discard, offset);
  for (const ProgramId& child : children) {
    Discard(data, child, offset);
  }
}

void MarkProgramReferenced(StateData& data, const RecordContext& context, const ProgramId& id) {
  ProgramEntry* entry = data.Find(id);
  if (entry == nullptr) {
    data.SetUnknownOffset(id, &UnknownProgramOffsets::last_reference, context.offset);
    return;
  }
  entry->last_reference = context.offset;
  LowerReplayStart(data, *entry, context.observed + Offset(1));
}

void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramCreated& record) {
  if (record.parent.empty()) {
    return;
  }
  MarkProgramReferenced(data, context, record.parent);
  // Only a replay that knows the owner of the shard of the child can decide whether the child was
  // created.
  if (ProgramEntry* parent = data.Find(record.parent)) {
    LowerReplayStart(data, *parent, data.Shard(ShardOf(record.program)).replay_start);
  }
}

void MarkParentReferenced(StateData& data,
                          const RecordContext& context,
                          const ProgramEnded& record) {
  const ProgramEntry* child = data.Find(record.program);
  if (child == nullptr) {
    data.SetUnknownOffset(record.program, &UnknownProgramOffsets::last_end, context.offset);
  }
  const ProgramId parent = ParentOf(data, record.program);
  if (parent.empty()) {
    return;
  }
  MarkProgramReferenced(data, context, parent);
  ProgramEntry* entry = data.Find(parent);
  if (entry != nullptr && child != nullptr) {
    LowerReplayStart(data, *entry, child->replay_start);
  }
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramCreated& record) {
  const Offset previous_reference = data.UnknownOffsetsOf(record.program).last();
  MarkProgramReferenced(data, context, record.program);
  MarkParentReferenced(data, context, record);
  const ShardId shard = ShardOf(record.program);
  if (!IsDecidable(data, context) || (data.has_partial_history() && !data.Shard(shard).known)) {
    if (!IsDecidable(data, context)) {
      Discard(data, record.program, context.offset);
    }
    Discard(data, record.parent, context.offset);
    return Rejected{RejectReason::kUndecided};
  }
  if (const auto refusal = CheckCreation(data, context, record, previous_reference)) {
    return *refusal;
  }
  ProgramEntry entry{MakeProgram(context, record),
                     std::min(context.observed + Offset(1), data.Shard(shard).replay_start),
                     context.offset};
  if (ProgramEntry* parent = data.Find(record.parent)) {
    entry.program.root = parent->program.root;
    entry.replay_start = std::min(entry.replay_start, parent->replay_start);
    parent->program.reserved += record.budget;
    parent->program.children.insert(record.program);
    data.parent_index[record.program] = record.parent;
  }
  data.Insert(std::move(entry));
  return Accepted{};
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ProgramEnded& record) {
  MarkParentReferenced(data, context, record);
  const ProgramId parent = ParentOf(data, record.program);
  MarkProgramReferenced(data, context, record.program);
  const ProgramEntry* entry = data.Find(record.program);
  if (!IsDecidable(data, context)) {
    Discard(data, record.program, context.offset);
    Discard(data, parent, context.offset);
    return Rejected{RejectReason::kUndecided};
  }
  if (entry == nullptr) {
    // If the parent is known, it lists this child: whether the child has ended is uncertain.
    Discard(data, parent, context.offset);
  }
  if (const auto refusal = CheckOwner(data, context, ShardOf(record.program), record.epoch)) {
    return *refusal;
  }
  if (entry == nullptr) {
    return Rejected{RejectReason::kUnknownProgram};
  }
  if (entry->program.ended) {
    return Rejected{RejectReason::kProgramEnded};
  }
  EndProgram(data, context, record);
  return Accepted{};
}

}  // namespace acaciaspring::journal
