#include <algorithm>
#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

// Tokens by which the next turn may exceed the estimate from the current one without a separate
// append.
constexpr TokenCount kAuthorisationMargin{1024};

TokenCount Remaining(const journal::Program& program) {
  const std::uint64_t used = program.spent.value() + program.reserved.value();
  return TokenCount(program.budget.value() > used ? program.budget.value() - used : 0);
}

// Upper bound of the prompt: the tokens that the engine counted for the previous turns, plus one
// token per byte of the new messages, because a tokenizer never produces more tokens than bytes.
TokenCount PromptBound(const journal::Program& program, const wire::ModelCall& call) {
  TokenCount bound(call.messages.size());
  if (!program.turns.empty()) {
    const wire::Usage& last = program.turns.back().usage;
    bound += last.prompt + last.completion;
  }
  return bound;
}

}  // namespace

void HomeImpl::StartOperation(CallsIterator it, const wire::ModelCall& operation) {
  RunningCall& running = *it->second.running;
  const journal::Program& program = *state_.FindProgram(it->first);
  if (program.call_count >= program.max_calls) {
    return Finish(it, NotRun{NotRunReason::kCallLimitReached}, "", {});
  }
  const TokenCount remaining = Remaining(program);
  running.prompt_bound = PromptBound(program, operation);
  if (running.prompt_bound >= remaining) {
    return Finish(it, NotRun{NotRunReason::kBudgetExhausted}, "", {});
  }
  running.output_cap =
      std::min({operation.max_tokens, limits_.max_output, remaining - running.prompt_bound});
  if (program.authorised >= running.max_spend()) {
    return Dispatch(it);
  }
  Append(running, Phase::kAuthorising,
         MakeSpendAuthorised(running, TokenCount(), running.max_spend()));
}

journal::SpendAuthorised HomeImpl::MakeSpendAuthorised(const RunningCall& running,
                                                       TokenCount charged,
                                                       TokenCount amount) const {
  journal::SpendAuthorised record;
  record.program = running.call.request.program;
  record.epoch = running.epoch;
  record.charged = charged;
  record.amount = amount;
  return record;
}

wire::ModelDispatch HomeImpl::MakeDispatch(const RunningCall& running,
                                           const wire::ModelCall& call) const {
  const journal::Program& program = *state_.FindProgram(running.call.request.program);
  return wire::ModelDispatch{
      .model = call.model,
      .messages = ComposePrompt(program, call.messages),
      .max_tokens = running.output_cap,
      .hold = true,
  };
}

void HomeImpl::OnModelEvent(CallsIterator it, std::uint64_t index, std::string_view text) {
  RunningCall& running = *it->second.running;
  // The events of a channel arrive in order, so another index belongs to a repeated or late event.
  if (index != running.next_index) {
    return;
  }
  ++running.next_index;
  running.attempt_text.append(text);
  MergeAttempt(running, false);
  Deliver(running);
}

void HomeImpl::OnModelFinished(CallsIterator it,
                               const Outcome& outcome,
                               std::string body,
                               wire::Usage usage) {
  std::visit(Overloaded{
                 [&](const Completed&) { CommitTurn(it, usage); },
                 [&](const NotRun& not_run) {
                   RunningCall& running = *it->second.running;
                   if (CanRetry(running)) {
                     Dispatch(it);
                   } else if (running.may_have_run) {
                     Finish(it, Unknown{UnknownReason::kConnectionLost}, "", {});
                   } else {
                     Finish(it, not_run, "", {});
                   }
                 },
                 [&](const Failed& failed) { Finish(it, failed, std::move(body), {}); },
                 [&](const Unknown& unknown) { OnModelOutcomeUnknown(it, unknown); },
             },
             outcome);
}

// The engine may have spent the upper bound of the attempt, so that amount is charged before any
// further spend is authorised.
void HomeImpl::OnModelOutcomeUnknown(CallsIterator it, const Unknown& unknown) {
  RunningCall& running = *it->second.running;
  running.may_have_run = true;
  running.outcome = unknown;
  const bool retry = CanRetry(running);
  const TokenCount max_spend = running.max_spend();
  const journal::Program& program = *state_.FindProgram(it->first);
  if (retry && Remaining(program) >= max_spend + max_spend) {
    Append(running, Phase::kAuthorising, MakeSpendAuthorised(running, max_spend, max_spend));
  } else {
    Append(running, Phase::kCharging, MakeSpendAuthorised(running, max_spend, TokenCount()));
  }
}

void HomeImpl::CommitTurn(CallsIterator it, wire::Usage usage) {
  RunningCall& running = *it->second.running;
  MergeAttempt(running, true);
  Deliver(running);
  const auto& operation = std::get<wire::ModelCall>(running.call.request.operation);
  const journal::Program& program = *state_.FindProgram(it->first);
  running.outcome = Completed{};
  running.usage = usage;
  running.body = usage.completion >= running.output_cap ? kFinishLength : kFinishStop;
  journal::TurnCommitted record;
  record.program = it->first;
  record.epoch = running.epoch;
  record.turn = program.turn_count + TurnNumber(1);
  record.key = running.call.request.key;
  record.model = operation.model;
  record.messages = operation.messages;
  record.answer = running.answer;
  record.usage = usage;
  record.next_authorised = usage.prompt + usage.completion + running.output_cap +
                           TokenCount(operation.messages.size()) + kAuthorisationMargin;
  Append(running, Phase::kCommitting, std::move(record));
}

}  // namespace acaciaspring::program
