#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

namespace {

class Planner {
 public:
  Planner(const State& state,
          const DaemonId& owner,
          Incarnation incarnation,
          WallTime now,
          const CheckpointPlanOptions& options)
      : state_(state),
        owner_(owner),
        incarnation_(incarnation),
        due_before_(now -
                    std::chrono::duration_cast<std::chrono::milliseconds>(options.retention / 2)) {}

  bool Owns(ShardId shard) const {
    const ShardOwner* owner = state_.OwnerOf(shard);
    return owner != nullptr && !owner->released && owner->daemon == owner_ &&
           owner->incarnation == incarnation_;
  }

  bool IsDue(Offset replay_start) const {
    return replay_start <= state_.applied_offset() &&
           state_.AppendTimeOf(replay_start) <= due_before_;
  }

  /// A child's checkpoint is accepted only after that of its parent.
  bool IsDue(const Program& program) const {
    const bool parent_is_due = !program.ended && !program.parent.empty() &&
                               IsDue(state_.ReplayStartOfProgram(program.parent));
    return IsDue(state_.ReplayStartOfProgram(program.id)) && !parent_is_due;
  }

  ClaimCheckpoint DueClaims() const {
    ClaimCheckpoint checkpoint{owner_, incarnation_, {}};
    for (std::uint16_t index = 0; index < kShardCount; ++index) {
      const ShardId shard(index);
      if (Owns(shard) && IsDue(state_.ReplayStartOfShard(shard))) {
        checkpoint.claims.push_back({shard, state_.OwnerOf(shard)->epoch});
      }
    }
    return checkpoint;
  }

 private:
  const State& state_;
  const DaemonId& owner_;
  Incarnation incarnation_;
  WallTime due_before_;
};

}  // namespace

std::vector<Record> PlanCheckpoints(const State& state,
                                    const DaemonId& owner,
                                    Incarnation incarnation,
                                    WallTime now,
                                    const CheckpointPlanOptions& options,
                                    const std::function<bool(const ProgramId&)>& is_pending) {
  const Planner planner(state, owner, incarnation, now, options);
  std::vector<Record> records;
  // Claims come first: replay accepts a checkpoint of a program only if it knows the claim of its
  // shard.
  if (ClaimCheckpoint claims = planner.DueClaims(); !claims.claims.empty()) {
    records.emplace_back(std::move(claims));
  }
  if (planner.Owns(ShardId(0)) && planner.IsDue(state.ReplayStartOfConfig())) {
    records.emplace_back(ConfigCheckpoint{state.revision(), state.document()});
  }
  for (const Program* program : state.Programs()) {
    if (records.size() >= options.max_records) {
      break;
    }
    const ShardId shard = ShardOf(program->id);
    if (planner.Owns(shard) && planner.IsDue(*program) && !is_pending(program->id)) {
      records.emplace_back(ProgramCheckpoint{program->id, state.OwnerOf(shard)->epoch, *program});
    }
  }
  return records;
}

}  // namespace acaciaspring::journal
