#include "src/journal/test_cluster.h"

#include <algorithm>
#include <stdexcept>

namespace acaciaspring::journal {

namespace {

const OrganisationId& Org() {
  static const OrganisationId organisation("org");
  return organisation;
}

void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::logic_error(what);
  }
}

IdempotencyKey CreationKey(std::uint32_t index) {
  return IdempotencyKey("p" + std::to_string(index));
}

bool WasAccepted(const AppliedRecord& applied) {
  return std::holds_alternative<Accepted>(applied.verdict);
}

ProgramId ProgramIdOf(const Record& record) {
  return std::visit(
      [](const auto& typed_record) {
        if constexpr (requires { typed_record.program; }) {
          return typed_record.program;
        } else {
          return ProgramId();
        }
      },
      record);
}

}  // namespace

TestCluster::TestCluster()
    : options_{std::chrono::milliseconds(400)}, reference_(options_), daemons_(kDaemons) {
  for (std::uint32_t index = 0; index < kDaemons; ++index) {
    daemons_[index].id = DaemonId("d" + std::to_string(index));
    daemons_[index].state = State(options_);
  }
}

ProgramId TestCluster::ProgramOf(std::uint32_t index) {
  return MakeProgramId(Org(), CreationKey(index));
}

void TestCluster::Execute(const Step& step) {
  Daemon& daemon = daemons_[step.daemon];
  switch (step.kind) {
    case 0:
      return CatchUp(daemon, step.argument % 8);
    case 1:
    case 2:
      return Flush(daemon, 1 + step.argument % 4);
    case 3:
    case 4:
      Flush(daemon, 100);
      return CatchUp(daemon, entries_.size());
    case 5:
      return AppendAgain(daemon, step.argument);
    case 6:
      return Claim(daemon, step);
    case 7:
      return Release(daemon, step);
    case 8:
    case 9:
      return CreateProgram(NextOwner(step), step);
    case 10:
      return Checkpoint(daemon);
    case 11:
      time_ms_ += step.argument % 100;
      return;
    case 12:
      return step.argument % 8 == 0 ? Restart(daemon, step.argument) : CatchUp(daemon, 1);
    case 13:
      if (step.argument % 4 == 0) {
        Enqueue(daemon,
                ConfigChanged{daemon.state.revision(), "c" + std::to_string(step.argument), "ann"});
      }
      return;
    default:
      return UpdateProgram(NextOwner(step), step);
  }
}

TestCluster::Daemon& TestCluster::NextOwner(const Step& step) {
  const ShardId shard = ShardOf(ProgramOf(step.program));
  for (std::uint32_t index = 0; index < kDaemons; ++index) {
    Daemon& daemon = daemons_[(step.daemon + index) % kDaemons];
    if (Owns(daemon, shard)) {
      return daemon;
    }
  }
  return daemons_[step.daemon];
}

bool TestCluster::Owns(const Daemon& daemon, ShardId shard) {
  const ShardOwner* owner = daemon.state.OwnerOf(shard);
  return owner != nullptr && owner->daemon == daemon.id && owner->incarnation == daemon.incarnation;
}

void TestCluster::AppendAgain(const Daemon& daemon, std::uint32_t argument) {
  if (!daemon.appended_offsets.empty() && argument % 2 == 0) {
    const Offset offset = daemon.appended_offsets[argument % daemon.appended_offsets.size()];
    AppendEntry(Batch(entries_[offset.value() - 1].batch));
  }
}

void TestCluster::Enqueue(Daemon& daemon, Record record) {
  const RecordId id{daemon.id, daemon.incarnation, ++daemon.sequence};
  if (const ProgramId program = ProgramIdOf(record); !program.empty()) {
    daemon.pending[id.sequence] = program;
  }
  daemon.queue.push_back({id, daemon.state.applied_offset(), std::move(record)});
}

void TestCluster::Flush(Daemon& daemon, std::uint32_t count) {
  const std::size_t size = std::min<std::size_t>(count, daemon.queue.size());
  if (size == 0) {
    return;
  }
  const auto end = daemon.queue.begin() + static_cast<std::ptrdiff_t>(size);
  Batch batch{{daemon.queue.begin(), end}};
  daemon.queue.erase(daemon.queue.begin(), end);
  AppendEntry(std::move(batch));
  daemon.appended_offsets.emplace_back(entries_.size());
}

void TestCluster::AppendEntry(Batch batch) {
  time_ms_ += 1;
  const WallTime time{std::chrono::milliseconds(time_ms_)};
  std::vector<AppliedRecord> applied = reference_.Apply(Offset(entries_.size() + 1), time, batch);
  entries_.push_back({time, std::move(batch), std::move(applied)});
}

void TestCluster::CatchUp(Daemon& daemon, std::uint64_t count) {
  for (; count > 0 && daemon.state.applied_offset().value() < entries_.size(); --count) {
    const std::uint64_t next = daemon.state.applied_offset().value();
    const Entry& entry = entries_[next];
    for (const AppliedRecord& applied :
         daemon.state.Apply(Offset(next + 1), entry.time, entry.batch)) {
      if (applied.id.daemon == daemon.id && applied.id.incarnation == daemon.incarnation) {
        daemon.pending.erase(applied.id.sequence);
      }
    }
  }
}

void TestCluster::Restart(Daemon& daemon, std::uint32_t argument) {
  ++daemon.incarnation;
  daemon.sequence = 0;
  daemon.queue.clear();
  daemon.pending.clear();
  const Offset first(1 + argument % TrimLimit().value());
  daemon.state = ReplayFrom(first, nullptr);
}

void TestCluster::Checkpoint(Daemon& daemon) {
  CheckpointPlanOptions options;
  options.retention = Duration(0);
  const WallTime now{std::chrono::milliseconds(time_ms_)};
  for (Record& record : PlanCheckpoints(
           daemon.state, daemon.id, daemon.incarnation, now, options,
           [this, &daemon](const ProgramId& program) { return IsPending(daemon, program); })) {
    Enqueue(daemon, std::move(record));
  }
}

bool TestCluster::IsPending(const Daemon& daemon, const ProgramId& program) const {
  return std::any_of(daemon.pending.begin(), daemon.pending.end(),
                     [&program](const auto& record) { return record.second == program; });
}

void TestCluster::Claim(Daemon& daemon, const Step& step) {
  ShardSet shards;
  for (std::uint32_t index = 0; index <= kPrograms; ++index) {
    const ShardId shard = index < kPrograms ? ShardOf(ProgramOf(index)) : ShardId(0);
    const ShardOwner* owner = daemon.state.OwnerOf(shard);
    const bool is_free = owner == nullptr || owner->released;
    if (is_free || (index == step.program && step.argument % 4 == 0)) {
      shards.Add(shard);
    }
  }
  if (!shards.empty()) {
    Enqueue(daemon,
            ShardsClaimed{shards, daemon.id, daemon.incarnation, daemon.state.applied_offset()});
  }
}

void TestCluster::Release(Daemon& daemon, const Step& step) {
  const ShardId shard = ShardOf(ProgramOf(step.program));
  if (step.argument % 8 == 0 || (step.argument % 8 == 1 && Owns(daemon, shard))) {
    ShardSet shards;
    shards.Add(shard);
    Enqueue(daemon, ShardsReleased{shards, daemon.id});
  }
}

void TestCluster::CreateProgram(Daemon& daemon, const Step& step) {
  const ProgramId id = ProgramOf(step.program);
  if (!Owns(daemon, ShardOf(id)) || daemon.state.FindProgram(id) != nullptr) {
    return;
  }
  const ShardOwner* owner = daemon.state.OwnerOf(ShardOf(id));
  ProgramCreated creation{id,
                          owner->epoch,
                          Org(),
                          CreationKey(step.program),
                          PriorityClassId("urgent"),
                          TokenCount(step.argument % 2 == 0 ? 1000 : 100),
                          12,
                          {},
                          TokenCount(20)};
  const ProgramId parent = ProgramOf((step.program + 1 + step.argument / 4 % 3) % kPrograms);
  if (step.argument % 16 == 1 ||
      (step.argument % 4 != 0 && daemon.state.FindProgram(parent) != nullptr)) {
    creation.parent = parent;
  }
  Enqueue(daemon, creation);
}

void TestCluster::UpdateProgram(Daemon& daemon, const Step& step) {
  const ProgramId id = ProgramOf(step.program);
  const Program* program = daemon.state.FindProgram(id);
  if (program == nullptr || !Owns(daemon, ShardOf(id))) {
    return;
  }
  const ShardOwner* owner = daemon.state.OwnerOf(ShardOf(id));
  const IdempotencyKey key("k" + std::to_string(step.argument % 3));
  switch (step.kind) {
    case 14:
    case 15:
      return SpendOrCommitTurn(daemon, step, *program, owner->epoch);
    case 16:
      return Enqueue(daemon, EffectIntended{id, owner->epoch, key, ServiceId("orders"), "digest"});
    case 17:
      return Enqueue(
          daemon, EffectFinished{id, owner->epoch, key,
                                 step.argument % 2 == 0 ? Outcome(NotRun{}) : Outcome(Completed{}),
                                 "body"});
    case 18:
      return Enqueue(daemon, ToolCallCommitted{id, owner->epoch, IdempotencyKey("t" + key.value()),
                                               ServiceId("stock"), Completed{}, "3"});
    default:
      if (step.argument % 4 == 0) {
        Enqueue(daemon, ProgramEnded{id, owner->epoch, EndReason::kRequested});
      }
  }
}

void TestCluster::SpendOrCommitTurn(Daemon& daemon,
                                    const Step& step,
                                    const Program& program,
                                    Epoch epoch) {
  // The home of a program decides on spending only while no earlier record of the program is
  // pending.
  if (IsPending(daemon, program.id)) {
    return;
  }
  if (step.argument % 3 == 0) {
    return Enqueue(daemon, SpendAuthorised{program.id, epoch, TokenCount(step.argument % 200)});
  }
  TurnCommitted turn;
  turn.program = program.id;
  turn.epoch = epoch;
  turn.turn = program.turn_count + TurnNumber(step.argument % 8 == 0 ? 2 : 1);
  turn.key = IdempotencyKey("turn" + std::to_string(step.argument % 40));
  turn.usage.prompt = TokenCount(std::min<std::uint64_t>(program.authorised.value(), 15));
  turn.next_authorised = TokenCount(step.argument % 60);
  Enqueue(daemon, turn);
}

Offset TestCluster::TrimLimit() const {
  Offset limit =
      std::min(reference_.ReplayStartOfConfig(), reference_.applied_offset() + Offset(1));
  for (const Program* program : reference_.Programs()) {
    limit = std::min(limit, reference_.ReplayStartOfProgram(program->id));
  }
  for (std::uint32_t index = 0; index < kPrograms; ++index) {
    const ShardId shard = ShardOf(ProgramOf(index));
    if (reference_.OwnerOf(shard) != nullptr) {
      limit = std::min(limit, reference_.ReplayStartOfShard(shard));
    }
  }
  return limit;
}

State TestCluster::ReplayFrom(Offset first,
                              std::vector<std::vector<AppliedRecord>>* verdicts) const {
  State state(options_, first);
  for (std::uint64_t index = first.value() - 1; index < entries_.size(); ++index) {
    std::vector<AppliedRecord> applied =
        state.Apply(Offset(index + 1), entries_[index].time, entries_[index].batch);
    if (verdicts != nullptr) {
      verdicts->push_back(std::move(applied));
    }
  }
  return state;
}

void TestCluster::CheckInvariants() const {
  for (const Program* program : reference_.Programs()) {
    CheckProgram(*program);
  }
  CheckEffects();
  CheckRevisions();
  Require(reference_.counters().budget_violations == 0, "a turn overran its authorisation");
}

void TestCluster::CheckProgram(const Program& program) const {
  const TokenCount allocated = program.spent + program.authorised + program.reserved;
  Require(allocated <= program.budget, "budget exceeded");
  Require(program.call_count <= program.max_calls, "call limit exceeded");
  if (program.ended) {
    return;
  }
  Require(program.turns.size() == program.turn_count.value(), "turns are not contiguous");
  std::string chain;
  for (std::size_t index = 0; index < program.turns.size(); ++index) {
    chain =
        NextChain(chain, TurnNumber(static_cast<std::uint32_t>(index + 1)), program.turns[index]);
  }
  Require(chain == program.chain, "the hash chain is broken");
  TokenCount reserved;
  for (const ProgramId& id : program.children) {
    const Program* child = reference_.FindProgram(id);
    Require(child != nullptr && !child->ended, "a listed child is not live");
    reserved += child->budget;
  }
  Require(reserved == program.reserved, "reserved tokens do not match the children");
  if (!program.parent.empty()) {
    const Program* parent = reference_.FindProgram(program.parent);
    Require(parent != nullptr && !parent->ended, "a live child has no live parent");
  }
}

void TestCluster::CheckEffects() const {
  std::set<std::pair<ProgramId, IdempotencyKey>> intended_keys;
  for (const Entry& entry : entries_) {
    for (std::size_t index = 0; index < entry.applied.size(); ++index) {
      if (!WasAccepted(entry.applied[index])) {
        continue;
      }
      const Record& record = entry.batch.envelopes[index].record;
      if (const auto* intent = std::get_if<EffectIntended>(&record)) {
        Require(intended_keys.emplace(intent->program, intent->key).second,
                "two intents for one key");
      } else if (const auto* end = std::get_if<EffectFinished>(&record)) {
        if (std::holds_alternative<NotRun>(end->outcome)) {
          intended_keys.erase({end->program, end->key});
        }
      } else if (const auto* creation = std::get_if<ProgramCreated>(&record)) {
        // The id can be reused after the tombstone has expired.
        std::erase_if(intended_keys,
                      [creation](const auto& key) { return key.first == creation->program; });
      }
    }
  }
}

void TestCluster::CheckRevisions() const {
  Revision revision;
  for (std::size_t offset = 1; offset <= entries_.size(); ++offset) {
    const Entry& entry = entries_[offset - 1];
    for (std::size_t index = 0; index < entry.applied.size(); ++index) {
      const auto* change = std::get_if<ConfigChanged>(&entry.batch.envelopes[index].record);
      if (change != nullptr && WasAccepted(entry.applied[index])) {
        Require(change->base == revision, "a change with a wrong base was accepted");
        revision = Revision(offset);
      }
    }
  }
  Require(revision == reference_.revision(), "the revision is not that of the last change");
}

}  // namespace acaciaspring::journal
