#include <algorithm>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

void ProgramLedger::Apply(const Record& record, RecordOffset offset, MonotonicTime now) {
  if (record.spend) {
    Program& program = programs_[record.spend->program];
    program.spent = std::max(program.spent, record.spend->spent);
    // The newest record counts: a planned release lowers the ceiling to what was spent.
    program.ceiling = record.spend->ceiling;
    program.queued_ceiling = std::max(program.queued_ceiling, program.ceiling);
    program.last_active = now;
    program.offset = offset;
  }
  if (record.turn) {
    turns_[record.turn->id] = StoredTurn{.turn = *record.turn, .offset = offset};
  }
}

void ProgramLedger::FinishLoading() {
  for (auto& [id, program] : programs_) {
    program.spent = std::max(program.spent, program.ceiling);
  }
}

ProgramSpend ProgramLedger::RaiseCeiling(const ProgramId& id,
                                         Program& program,
                                         TokenCount needed) const {
  const TokenCount ahead =
      std::max(program.largest_turn,
               TokenCount(static_cast<std::uint64_t>(static_cast<double>(program.budget.value()) *
                                                     options_.budget_share_ahead)));
  const TokenCount wanted = std::max(needed, std::min(needed + ahead, program.budget));
  // Records are applied in order, so a later one must not lower what turns already rely on.
  program.queued_ceiling = std::max(program.queued_ceiling, wanted);
  return {.program = id, .spent = program.spent, .ceiling = program.queued_ceiling};
}

Admission ProgramLedger::Admit(const TurnDemand& demand, MonotonicTime now) {
  Program& program = programs_[demand.program];
  program.last_active = now;
  program.largest_turn = std::max(program.largest_turn, demand.maximum);
  program.budget = demand.budget;
  const TokenCount needed = program.spent + program.in_flight + demand.maximum;
  if (needed > demand.budget) {
    return BudgetSpent{.spent = program.spent, .in_flight = program.in_flight};
  }
  program.in_flight += demand.maximum;
  if (needed <= program.ceiling) {
    return SpendGranted{};
  }
  // The budget may be passed by the most of one turn, so one turn may run ahead of its record.
  if (needed <= program.ceiling + demand.maximum) {
    return SpendGranted{RaiseCeiling(demand.program, program, needed)};
  }
  return SpendNeedsRecord{RaiseCeiling(demand.program, program, needed)};
}

void ProgramLedger::Settle(const ProgramId& id, TokenCount maximum, TokenCount used) {
  Program& program = programs_[id];
  program.in_flight -= std::min(maximum, program.in_flight);
  program.spent += used;
}

ProgramSpend ProgramLedger::SpendAtEnd(const ProgramId& id, TokenCount maximum, TokenCount used) {
  Program& program = programs_[id];
  const TokenCount spent = program.spent + used;
  const TokenCount others = program.in_flight - std::min(maximum, program.in_flight);
  ProgramSpend spend = RaiseCeiling(id, program, spent + others);
  spend.spent = spent;
  return spend;
}

std::optional<ProgramSpend> ProgramLedger::Adopt(const TurnDemand& demand, MonotonicTime now) {
  Program& program = programs_[demand.program];
  if (program.spent + program.in_flight + demand.maximum > demand.budget) {
    return std::nullopt;
  }
  program.budget = demand.budget;
  return AddSpent(demand.program, demand.maximum, now);
}

ProgramSpend ProgramLedger::AddSpent(const ProgramId& id, TokenCount tokens, MonotonicTime now) {
  Program& program = programs_[id];
  program.last_active = now;
  program.spent += tokens;
  return RaiseCeiling(id, program, program.spent + program.in_flight);
}

std::vector<ProgramSpend> ProgramLedger::ExactSpends() const {
  std::vector<ProgramSpend> spends;
  for (const auto& [id, program] : programs_) {
    const TokenCount most = program.spent + program.in_flight;
    if (program.ceiling != most) {
      spends.push_back({.program = id, .spent = program.spent, .ceiling = most});
    }
  }
  return spends;
}

std::optional<std::vector<const Turn*>> ProgramLedger::Chain(const TurnId& turn) const {
  std::vector<const Turn*> chain;
  for (TurnId next = turn; !next.empty();) {
    const auto found = turns_.find(next);
    // A chain longer than the number of turns would be a cycle.
    if (found == turns_.end() || chain.size() > turns_.size()) {
      return std::nullopt;
    }
    chain.push_back(&found->second.turn);
    next = found->second.turn.parent;
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

void ProgramLedger::AddRecordedElsewhere(const std::vector<Turn>& turns) {
  for (const Turn& turn : turns) {
    turns_.try_emplace(turn.id, StoredTurn{.turn = turn, .offset = std::nullopt});
  }
}

std::vector<Turn> ProgramLedger::UnrecordedOf(const TurnId& turn) const {
  std::vector<Turn> unrecorded;
  for (const Turn* known : Chain(turn).value_or(std::vector<const Turn*>())) {
    if (!turns_.at(known->id).offset) {
      unrecorded.push_back(*known);
    }
  }
  return unrecorded;
}

void ProgramLedger::Expire(WallTime wall_now, MonotonicTime now) {
  // A turn is kept as long as one that continues from it.
  std::unordered_map<TurnId, WallTime> needed_until;
  const auto keep = [&](const Turn& turn, WallTime until) {
    for (TurnId next = turn.id; !next.empty();) {
      WallTime& known = needed_until[next];
      if (known >= until) {
        return;
      }
      known = until;
      const auto found = turns_.find(next);
      next = found == turns_.end() ? TurnId() : found->second.turn.parent;
    }
  };
  for (const auto& [id, stored] : turns_) {
    keep(stored.turn,
         stored.turn.recorded_at + std::chrono::duration_cast<std::chrono::milliseconds>(
                                       stored.turn.retention + options_.retention_margin));
  }
  std::erase_if(turns_, [&](const auto& entry) { return needed_until[entry.first] < wall_now; });
  std::erase_if(programs_, [&](const auto& entry) {
    return entry.second.in_flight == TokenCount() &&
           now - entry.second.last_active > options_.program_retention;
  });
}

std::vector<Record> ProgramLedger::LiveRecordsBefore(RecordOffset before) const {
  std::vector<Record> records;
  for (const auto& [id, program] : programs_) {
    if (program.offset < before) {
      records.push_back(
          {.spend = ProgramSpend{
               .program = id, .spent = program.spent, .ceiling = program.queued_ceiling}});
    }
  }
  for (const auto& [id, stored] : turns_) {
    if (stored.offset && *stored.offset < before) {
      records.push_back({.turn = stored.turn});
    }
  }
  return records;
}

std::optional<RecordOffset> ProgramLedger::OldestNeeded() const {
  std::optional<RecordOffset> oldest;
  const auto take = [&](RecordOffset offset) {
    oldest = oldest ? std::min(*oldest, offset) : offset;
  };
  for (const auto& [id, program] : programs_) {
    take(program.offset);
  }
  for (const auto& [id, stored] : turns_) {
    if (stored.offset) {
      take(*stored.offset);
    }
  }
  return oldest;
}

}  // namespace acaciaspring::ledger
