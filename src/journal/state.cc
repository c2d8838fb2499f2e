#include <algorithm>
#include <type_traits>

#include "src/journal/program_rules.h"
#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

/// Applies a record that changes a single program.
Verdict ApplyToProgram(StateData& data, const RecordContext& context, const auto& record) {
  MarkProgramReferenced(data, context, record.program);
  if (!IsDecidable(data, context)) {
    Discard(data, record.program, context.offset);
    return Rejected{RejectReason::kUndecided};
  }
  ProgramEntry* entry = data.Find(record.program);
  if (const auto refusal = CheckOwner(data, context, ShardOf(record.program), record.epoch)) {
    return *refusal;
  }
  if (entry == nullptr) {
    return Rejected{RejectReason::kUnknownProgram};
  }
  if (entry->program.ended) {
    return Rejected{RejectReason::kProgramEnded};
  }
  const TokenCount authorised_before = entry->program.authorised;
  const Verdict verdict = ApplyRule(entry->program, record);
  if (std::holds_alternative<Accepted>(verdict)) {
    entry->program.last_activity_ms = context.time_ms;
    if constexpr (std::is_same_v<std::decay_t<decltype(record)>, TurnCommitted>) {
      if (record.usage.prompt + record.usage.completion > authorised_before) {
        ++data.counters.budget_violations;
      }
    }
  }
  return verdict;
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const SpendAuthorised& record) {
  return ApplyToProgram(data, context, record);
}
Verdict ApplyRecord(StateData& data, const RecordContext& context, const TurnCommitted& record) {
  return ApplyToProgram(data, context, record);
}
Verdict ApplyRecord(StateData& data,
                    const RecordContext& context,
                    const ToolCallCommitted& record) {
  return ApplyToProgram(data, context, record);
}
Verdict ApplyRecord(StateData& data, const RecordContext& context, const EffectIntended& record) {
  return ApplyToProgram(data, context, record);
}
Verdict ApplyRecord(StateData& data, const RecordContext& context, const EffectFinished& record) {
  return ApplyToProgram(data, context, record);
}

/// A duplicate has no effect here, but a replay that starts after the first copy cannot recognise
/// it and discards the items that it names. Their replay start must allow for that.
void MarkDuplicateReferenced(StateData& data, const RecordContext& context, const Record& record) {
  std::visit(
      Overloaded{
          [&](const ConfigChanged&) { data.config.last_reference = context.offset; },
          [&](const ShardsClaimed& claim) { MarkShardsReferenced(data, context, claim.shards); },
          [&](const ShardsReleased& release) {
            MarkShardsReferenced(data, context, release.shards);
          },
          [&](const ProgramCreated& creation) {
            MarkProgramReferenced(data, context, creation.program);
            MarkParentReferenced(data, context, creation);
          },
          [&](const ProgramEnded& end) {
            MarkParentReferenced(data, context, end);
            MarkProgramReferenced(data, context, end.program);
          },
          [](const ConfigCheckpoint&) {},
          [](const ClaimCheckpoint&) {},
          [](const ProgramCheckpoint&) {},
          [&](const auto& other) { MarkProgramReferenced(data, context, other.program); },
      },
      record);
}

/// Returns true and advances the sequence of the writer if the record is not a duplicate.
bool AdvanceSequence(StateData& data, const RecordContext& context) {
  WriterEntry& writer = data.writers[{context.id.daemon, context.id.incarnation}];
  writer.last_ms = context.time_ms;
  if (context.id.sequence <= writer.sequence) {
    return false;
  }
  writer.sequence = context.id.sequence;
  return true;
}

Verdict ApplyEnvelope(StateData& data, const RecordContext& context, const Record& record) {
  if (context.observed >= context.offset) {
    return Rejected{RejectReason::kInvalid};
  }
  if (!AdvanceSequence(data, context)) {
    MarkDuplicateReferenced(data, context, record);
    return Duplicate{};
  }
  return std::visit(
      [&](const auto& typed_record) { return ApplyRecord(data, context, typed_record); }, record);
}

void CountVerdict(StateCounters& counters, const Verdict& verdict) {
  std::visit(Overloaded{
                 [&](const Accepted&) { ++counters.accepted; },
                 [&](const Duplicate&) { ++counters.duplicates; },
                 [&](const Rejected&) { ++counters.rejected; },
             },
             verdict);
}

}  // namespace

State::State(StateOptions options, Offset first) : data_(std::make_unique<StateData>()) {
  data_->tombstone_retention_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.tombstone_retention).count();
  data_->first = first;
  data_->applied = first - Offset(1);
  data_->config.known = !data_->has_partial_history();
  data_->config.replay_start = first;
  data_->config.last_reference = data_->applied;
}
State::State(State&&) noexcept = default;
State& State::operator=(State&&) noexcept = default;
State::~State() = default;

std::vector<AppliedRecord> State::Apply(Offset offset, WallTime append_time, const Batch& batch) {
  if (offset <= data_->applied) {
    return {};
  }
  const std::int64_t now_ms = append_time.time_since_epoch().count();
  data_->applied = offset;
  data_->SampleTime(offset, now_ms);
  data_->Expire(now_ms);
  std::vector<AppliedRecord> applied;
  applied.reserve(batch.envelopes.size());
  for (const Envelope& envelope : batch.envelopes) {
    const RecordContext context{offset, now_ms, envelope.id, envelope.observed};
    Verdict verdict = ApplyEnvelope(*data_, context, envelope.record);
    CountVerdict(data_->counters, verdict);
    applied.push_back({envelope.id, verdict});
  }
  return applied;
}

void State::ApplyMalformed(Offset offset, WallTime append_time) {
  if (offset > data_->applied) {
    Apply(offset, append_time, Batch());
    ++data_->counters.malformed_entries;
  }
}

const Program* State::FindProgram(const ProgramId& id) const {
  const ProgramEntry* entry = data_->Find(id);
  return entry == nullptr ? nullptr : &entry->program;
}

std::vector<const Program*> State::ProgramsOf(ShardId shard) const {
  std::vector<const Program*> programs;
  if (const auto index = data_->shard_index.find(shard); index != data_->shard_index.end()) {
    for (const ProgramId& id : index->second) {
      programs.push_back(&data_->programs.at(id).program);
    }
  }
  return programs;
}

std::vector<const Program*> State::Programs() const {
  std::vector<const Program*> programs;
  programs.reserve(data_->programs.size());
  for (const auto& [id, entry] : data_->programs) {
    programs.push_back(&entry.program);
  }
  return programs;
}

std::size_t State::live_program_count() const {
  return data_->live_programs;
}

const ShardOwner* State::OwnerOf(ShardId shard) const {
  const auto entry = data_->shards.find(shard);
  return entry == data_->shards.end() || !entry->second.known ? nullptr : &entry->second.owner;
}

Revision State::revision() const {
  return data_->config.revision;
}
const std::string& State::document() const {
  return data_->config.document;
}
Offset State::first_offset() const {
  return data_->first;
}
Offset State::applied_offset() const {
  return data_->applied;
}
const StateCounters& State::counters() const {
  return data_->counters;
}

Offset State::ReplayStartOfProgram(const ProgramId& id) const {
  const ProgramEntry* entry = data_->Find(id);
  return entry == nullptr ? data_->applied + Offset(1) : entry->replay_start;
}

Offset State::ReplayStartOfShard(ShardId shard) const {
  const auto entry = data_->shards.find(shard);
  return entry == data_->shards.end() ? data_->first : entry->second.replay_start;
}

Offset State::ReplayStartOfConfig() const {
  return data_->config.replay_start;
}

WallTime State::AppendTimeOf(Offset offset) const {
  if (data_->times.empty()) {
    return WallTime();
  }
  auto sample = data_->times.upper_bound(offset);
  if (sample != data_->times.begin()) {
    --sample;
  }
  return WallTime(std::chrono::milliseconds(sample->second));
}

std::string State::Encode() const {
  return wire::Encode(*data_);
}

State State::Decode(std::string_view bytes) {
  State state;
  *state.data_ = wire::Decode<StateData>(bytes);
  state.data_->RebuildIndexes();
  return state;
}

}  // namespace acaciaspring::journal
