#include <algorithm>
#include <type_traits>

#include "src/journal/program_rules.h"
#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

/// Records that change a single program.
Verdict ApplyToProgram(StateData& data, const RecordPlace& place, const auto& record) {
  TouchProgram(data, place, record.program);
  if (!IsDecidable(data, place)) {
    Forget(data, record.program, place.offset);
    return Rejected{RejectReason::kUndecided};
  }
  ProgramEntry* entry = data.Find(record.program);
  if (const auto refusal = CheckOwner(data, place, ShardOf(record.program), record.epoch)) {
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
    entry->program.last_activity_ms = place.time_ms;
    if constexpr (std::is_same_v<std::decay_t<decltype(record)>, TurnCommitted>) {
      if (record.usage.prompt + record.usage.completion > authorised_before) {
        ++data.counters.budget_violations;
      }
    }
  }
  return verdict;
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const SpendAuthorised& record) {
  return ApplyToProgram(data, place, record);
}
Verdict ApplyRecord(StateData& data, const RecordPlace& place, const TurnCommitted& record) {
  return ApplyToProgram(data, place, record);
}
Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ToolCallCommitted& record) {
  return ApplyToProgram(data, place, record);
}
Verdict ApplyRecord(StateData& data, const RecordPlace& place, const EffectIntended& record) {
  return ApplyToProgram(data, place, record);
}
Verdict ApplyRecord(StateData& data, const RecordPlace& place, const EffectFinished& record) {
  return ApplyToProgram(data, place, record);
}

/// A repeated record has no effect, but a fold that started after the first copy cannot tell: it
/// forgets what the copy names. The needed offsets must allow for that.
void TouchDuplicate(StateData& data, const RecordPlace& place, const Record& record) {
  std::visit(Overloaded{
                 [&](const ConfigChanged&) { data.config.touched = place.offset; },
                 [&](const ShardsClaimed& claim) { TouchShards(data, place, claim.shards); },
                 [&](const ShardsReleased& release) { TouchShards(data, place, release.shards); },
                 [&](const ProgramCreated& creation) {
                   TouchProgram(data, place, creation.program);
                   TouchParent(data, place, creation);
                 },
                 [&](const ProgramEnded& end) {
                   TouchParent(data, place, end);
                   TouchProgram(data, place, end.program);
                 },
                 [](const ConfigCheckpoint&) {},
                 [](const ClaimCheckpoint&) {},
                 [](const ProgramCheckpoint&) {},
                 [&](const auto& other) { TouchProgram(data, place, other.program); },
             },
             record);
}

/// True if the record is new to its writer's sequence, which it then advances.
bool AdvanceSequence(StateData& data, const RecordPlace& place) {
  WriterEntry& writer = data.writers[{place.id.daemon, place.id.incarnation}];
  writer.last_ms = place.time_ms;
  if (place.id.sequence <= writer.sequence) {
    return false;
  }
  writer.sequence = place.id.sequence;
  return true;
}

Verdict ApplyEnvelope(StateData& data, const RecordPlace& place, const Record& record) {
  if (place.observed >= place.offset) {
    return Rejected{RejectReason::kInvalid};
  }
  if (!AdvanceSequence(data, place)) {
    TouchDuplicate(data, place, record);
    return Duplicate{};
  }
  return std::visit([&](const auto& known) { return ApplyRecord(data, place, known); }, record);
}

void Count(StateCounters& counters, const Verdict& verdict) {
  std::visit(Overloaded{
                 [&](const Accepted&) { ++counters.accepted; },
                 [&](const Duplicate&) { ++counters.duplicates; },
                 [&](const Rejected&) { ++counters.rejected; },
             },
             verdict);
}

}  // namespace

State::State(StateOptions options, Offset first) : data_(std::make_unique<StateData>()) {
  data_->tombstone_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.tombstone_time).count();
  data_->first = first;
  data_->applied = first - Offset(1);
  data_->config.known = !data_->started_late();
  data_->config.needed = first;
  data_->config.touched = data_->applied;
}
State::State(State&&) noexcept = default;
State& State::operator=(State&&) noexcept = default;
State::~State() = default;

std::vector<AppliedRecord> State::Apply(Offset offset, WallTime appended, const Batch& batch) {
  if (offset <= data_->applied) {
    return {};
  }
  const std::int64_t now_ms = appended.time_since_epoch().count();
  data_->applied = offset;
  data_->SampleTime(offset, now_ms);
  data_->Expire(now_ms);
  std::vector<AppliedRecord> applied;
  applied.reserve(batch.envelopes.size());
  for (const Envelope& envelope : batch.envelopes) {
    const RecordPlace place{offset, now_ms, envelope.id, envelope.observed};
    Verdict verdict = ApplyEnvelope(*data_, place, envelope.record);
    Count(data_->counters, verdict);
    applied.push_back({envelope.id, verdict});
  }
  return applied;
}

void State::ApplyMalformed(Offset offset, WallTime appended) {
  if (offset > data_->applied) {
    Apply(offset, appended, Batch());
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

Offset State::NeededByProgram(const ProgramId& id) const {
  const ProgramEntry* entry = data_->Find(id);
  return entry == nullptr ? data_->applied + Offset(1) : entry->needed;
}

Offset State::NeededByShard(ShardId shard) const {
  const auto entry = data_->shards.find(shard);
  return entry == data_->shards.end() ? data_->first : entry->second.needed;
}

Offset State::NeededByConfig() const {
  return data_->config.needed;
}

WallTime State::TimeOf(Offset offset) const {
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
