#include <algorithm>
#include <cmath>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

void ProgramLedger::Apply(const Record& record, RecordOffset offset, MonotonicTime now) {
  if (record.spend) {
    Program& program = programs_[record.spend->program];
    program.spent = std::max(program.spent, record.spend->spent);
    // The newest record determines the ceiling, even if it is lower.
    program.ceiling = record.spend->ceiling;
    if (!program.queued_ceilings.empty()) {
      program.queued_ceilings.pop_front();
    }
    program.last_active = now;
    program.offset = offset;
  }
  if (record.turn) {
    turns_[record.turn->id] = StoredTurn{.turn = *record.turn, .offset = offset};
  }
}

void ProgramLedger::FinishLoading() {
  running_ahead_allowed_ = false;
  for (auto& [id, program] : programs_) {
    program.spent = std::max(program.spent, program.ceiling);
  }
}

TokenCount ProgramLedger::InitialTokens(TokenCount maximum) const {
  const double tokens = static_cast<double>(maximum.value()) * options_.initial_share;
  return TokenCount(static_cast<std::uint64_t>(std::ceil(tokens)));
}

TokenCount ProgramLedger::TokensReservedAhead(const Program& program) const {
  const double tokens =
      static_cast<double>(program.budget.value()) * options_.budget_share_reserved_ahead;
  const TokenCount share(static_cast<std::uint64_t>(tokens));
  if (share < program.largest_turn) {
    return TokenCount();
  }
  // Divides, because the product may overflow for a turn of any size that a caller names.
  const std::uint64_t turns = options_.max_turns_reserved_ahead;
  return program.largest_turn.value() < share.value() / turns
             ? TokenCount(program.largest_turn.value() * turns)
             : share;
}

ProgramSpend ProgramLedger::MakeSpend(const ProgramId& id,
                                      Program& program,
                                      TokenCount ahead) const {
  const TokenCount needed = program.spent + program.covered;
  const TokenCount ceiling = handing_over_
                                 ? program.spent + program.in_flight
                                 : std::max(needed, std::min(needed + ahead, program.budget));
  program.queued_ceilings.push_back(ceiling);
  return {.program = id, .spent = program.spent, .ceiling = ceiling};
}

TokenCount ProgramLedger::LowestCeiling(const Program& program) {
  TokenCount ceiling = program.ceiling;
  for (const TokenCount queued : program.queued_ceilings) {
    ceiling = std::min(ceiling, queued);
  }
  return ceiling;
}

bool ProgramLedger::IsCovered(const ProgramId& program) const {
  const auto found = programs_.find(program);
  return found != programs_.end() &&
         found->second.spent + found->second.covered <= LowestCeiling(found->second);
}

Admission ProgramLedger::Cover(const ProgramId& id, Program& program, TokenCount maximum) const {
  const TokenCount needed = program.spent + program.covered;
  const TokenCount ceiling = LowestCeiling(program);
  if (needed <= ceiling) {
    return SpendGranted{};
  }
  const ProgramSpend spend = MakeSpend(id, program, TokensReservedAhead(program));
  // The budget may be exceeded by the maximum of one turn, so that many tokens may be handed out
  // beyond the recorded ceiling, but not by one owner after another.
  if (program.may_run_ahead && needed <= ceiling + maximum) {
    return SpendGranted{spend};
  }
  return SpendNeedsRecord{spend};
}

bool ProgramLedger::HasStarted(const ProgramId& program) const {
  const auto found = programs_.find(program);
  return found != programs_.end() && found->second.spent + found->second.in_flight > TokenCount();
}

Admission ProgramLedger::Admit(const TurnDemand& demand, MonotonicTime now) {
  const auto [found, is_new] = programs_.try_emplace(demand.program);
  Program& program = found->second;
  if (is_new) {
    program.may_run_ahead = running_ahead_allowed_;
  }
  program.last_active = now;
  program.largest_turn = std::max(program.largest_turn, demand.maximum);
  program.budget = demand.budget;
  if (program.spent + program.in_flight + demand.maximum > demand.budget) {
    return BudgetSpent{.spent = program.spent, .in_flight = program.in_flight};
  }
  program.in_flight += demand.maximum;
  program.covered += InitialTokens(demand.maximum);
  return Cover(demand.program, program, demand.maximum);
}

TurnClaim ProgramLedger::ClaimOf(const TurnDemand& demand) const {
  return {.program = demand.program,
          .maximum = demand.maximum,
          .covered = InitialTokens(demand.maximum)};
}

Admission ProgramLedger::Extend(TurnClaim& claim) {
  Program& program = programs_[claim.program];
  program.covered += claim.maximum - claim.covered;
  claim.covered = claim.maximum;
  return Cover(claim.program, program, claim.maximum);
}

void ProgramLedger::Settle(const TurnClaim& claim, TokenCount used) {
  Program& program = programs_[claim.program];
  program.in_flight -= std::min(claim.maximum, program.in_flight);
  program.covered -= std::min(claim.covered, program.covered);
  program.spent += used;
}

ProgramSpend ProgramLedger::SpendAtEnd(const TurnClaim& claim, TokenCount used) {
  Program ended = programs_[claim.program];
  ended.spent += used;
  ended.in_flight -= std::min(claim.maximum, ended.in_flight);
  ended.covered -= std::min(claim.covered, ended.covered);
  const ProgramSpend spend =
      MakeSpend(claim.program, ended,
                std::max(TokensReservedAhead(ended), InitialTokens(ended.largest_turn)));
  programs_[claim.program].queued_ceilings.push_back(spend.ceiling);
  return spend;
}

std::optional<ProgramSpend> ProgramLedger::ReserveForFormerOwner(const TurnDemand& demand,
                                                                 MonotonicTime now) {
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
  return MakeSpend(id, program, TokenCount());
}

std::vector<ProgramSpend> ProgramLedger::HandOver() {
  handing_over_ = true;
  std::vector<ProgramSpend> spends;
  for (auto& [id, program] : programs_) {
    // The turns in flight finish at this daemon, so their maximum bounds the spend.
    if (program.ceiling != program.spent + program.in_flight || !program.queued_ceilings.empty()) {
      spends.push_back(MakeSpend(id, program, TokenCount()));
    }
  }
  return spends;
}

std::optional<std::vector<const Turn*>> ProgramLedger::Chain(const TurnId& turn) const {
  std::vector<const Turn*> chain;
  for (TurnId next = turn; !next.empty();) {
    const auto found = turns_.find(next);
    // A chain that is longer than the number of turns contains a cycle.
    if (found == turns_.end() || chain.size() > turns_.size()) {
      return std::nullopt;
    }
    chain.push_back(&found->second.turn);
    next = found->second.turn.previous_turn;
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

void ProgramLedger::AddRecordedElsewhere(const std::vector<Turn>& turns) {
  for (const Turn& turn : turns) {
    turns_.try_emplace(turn.id, StoredTurn{.turn = turn, .offset = std::nullopt});
  }
}

std::vector<Turn> ProgramLedger::UnrecordedInChain(const TurnId& turn) const {
  std::vector<Turn> unrecorded;
  for (const Turn* known : Chain(turn).value_or(std::vector<const Turn*>())) {
    if (!turns_.at(known->id).offset) {
      unrecorded.push_back(*known);
    }
  }
  return unrecorded;
}

void ProgramLedger::Expire(WallTime wall_now, MonotonicTime now) {
  // A turn is kept at least as long as any turn that continues from it.
  std::unordered_map<TurnId, WallTime> needed_until;
  const auto keep = [&](const Turn& turn, WallTime until) {
    for (TurnId next = turn.id; !next.empty();) {
      WallTime& known = needed_until[next];
      if (known >= until) {
        return;
      }
      known = until;
      const auto found = turns_.find(next);
      next = found == turns_.end() ? TurnId() : found->second.turn.previous_turn;
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

std::vector<Record> ProgramLedger::LiveRecordsBefore(RecordOffset before) {
  std::vector<Record> records;
  for (auto& [id, program] : programs_) {
    if (program.offset < before) {
      records.push_back({.spend = MakeSpend(id, program, TokensReservedAhead(program))});
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
  const auto include = [&](RecordOffset offset) {
    oldest = oldest ? std::min(*oldest, offset) : offset;
  };
  for (const auto& [id, program] : programs_) {
    include(program.offset);
  }
  for (const auto& [id, stored] : turns_) {
    if (stored.offset) {
      include(*stored.offset);
    }
  }
  return oldest;
}

}  // namespace acaciaspring::ledger
