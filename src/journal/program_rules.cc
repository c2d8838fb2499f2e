#include "src/journal/program_rules.h"

#include <algorithm>

namespace acaciaspring::journal {

namespace {

bool CallsExhausted(const Program& program) {
  return program.call_count >= program.max_calls;
}

/// Budget that is neither spent nor reserved for children.
TokenCount RemainingBudget(const Program& program) {
  const TokenCount spent_or_reserved = program.spent + program.reserved;
  return spent_or_reserved < program.budget ? program.budget - spent_or_reserved : TokenCount();
}

}  // namespace

TokenCount FreeBudget(const Program& program) {
  const TokenCount remaining = RemainingBudget(program);
  return program.authorised < remaining ? remaining - program.authorised : TokenCount();
}

std::string NextChain(std::string_view previous, TurnNumber number, const Turn& turn) {
  return HashHex(wire::Encode(std::string(previous)) + wire::Encode(number) + wire::Encode(turn));
}

void ChargeAuthorisedAmount(Program& program) {
  program.spent += program.authorised;
  program.authorised = TokenCount();
}

void ClearHistory(Program& program) {
  program.turns = {};
  program.results = {};
  program.effects = {};
  program.children = {};
}

Verdict ApplyRule(Program& program, const SpendAuthorised& record) {
  const TokenCount remaining = RemainingBudget(program);
  if (record.amount > remaining || record.charged > remaining - record.amount) {
    return Rejected{RejectReason::kBudgetExhausted};
  }
  program.spent += record.charged;
  program.authorised = record.amount;
  return Accepted{};
}

Verdict ApplyRule(Program& program, const TurnCommitted& record) {
  if (const auto existing = program.results.find(record.key); existing != program.results.end()) {
    const bool is_turn = std::holds_alternative<TurnResult>(existing->second);
    return Rejected{is_turn ? RejectReason::kKeyExists : RejectReason::kKeyConflict};
  }
  if (program.effects.contains(record.key)) {
    return Rejected{RejectReason::kKeyConflict};
  }
  if (record.turn != program.turn_count + TurnNumber(1)) {
    return Rejected{RejectReason::kWrongTurn};
  }
  if (CallsExhausted(program)) {
    return Rejected{RejectReason::kCallLimitReached};
  }
  Turn turn{record.key, record.model, record.messages, record.answer, record.usage};
  ++program.call_count;
  program.turn_count = record.turn;
  program.chain = NextChain(program.chain, record.turn, turn);
  program.results[record.key] = TurnResult{record.turn};
  program.turns.push_back(std::move(turn));
  // A usage above the authorised amount is recorded too, because the call has been executed.
  program.spent += record.usage.prompt + record.usage.completion;
  program.authorised = std::min(record.next_authorised, RemainingBudget(program));
  return Accepted{};
}

Verdict ApplyRule(Program& program, const ToolCallCommitted& record) {
  if (program.effects.contains(record.key)) {
    return Rejected{RejectReason::kKeyConflict};
  }
  if (const auto existing = program.results.find(record.key); existing != program.results.end()) {
    const auto* tool = std::get_if<ToolResult>(&existing->second);
    if (tool == nullptr || tool->service != record.service) {
      return Rejected{RejectReason::kKeyConflict};
    }
    // An idempotent call that was not executed, or whose outcome is unknown, may be repeated under
    // its key.
    if (!std::holds_alternative<NotRun>(tool->outcome) &&
        !std::holds_alternative<Unknown>(tool->outcome)) {
      return Rejected{RejectReason::kKeyExists};
    }
  }
  if (CallsExhausted(program)) {
    return Rejected{RejectReason::kCallLimitReached};
  }
  ++program.call_count;
  program.results[record.key] = ToolResult{record.service, record.outcome, record.body};
  return Accepted{};
}

Verdict ApplyRule(Program& program, const EffectIntended& record) {
  if (program.results.contains(record.key)) {
    return Rejected{RejectReason::kKeyConflict};
  }
  if (const auto existing = program.effects.find(record.key); existing != program.effects.end()) {
    const Effect& effect = existing->second;
    if (effect.service != record.service || effect.request_digest != record.request_digest) {
      return Rejected{RejectReason::kKeyConflict};
    }
    if (effect.state != EffectState::kFinished || !std::holds_alternative<NotRun>(effect.outcome)) {
      return Rejected{RejectReason::kKeyExists};
    }
  }
  if (CallsExhausted(program)) {
    return Rejected{RejectReason::kCallLimitReached};
  }
  ++program.call_count;
  program.effects[record.key] =
      Effect{record.service, record.request_digest, EffectState::kIntended, {}, {}, record.epoch};
  return Accepted{};
}

Verdict ApplyRule(Program& program, const EffectFinished& record) {
  const auto existing = program.effects.find(record.key);
  if (existing == program.effects.end() || existing->second.state != EffectState::kIntended) {
    return Rejected{RejectReason::kNoIntent};
  }
  existing->second.state = EffectState::kFinished;
  existing->second.outcome = record.outcome;
  existing->second.body = record.body;
  return Accepted{};
}

}  // namespace acaciaspring::journal
