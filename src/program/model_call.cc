#include <algorithm>
#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

// Tokens by which the next turn may grow beyond what this one suggests without a further append.
constexpr TokenCount kAuthorisationMargin{1024};

TokenCount Remaining(const journal::Program& program) {
  const std::uint64_t used = program.spent.value() + program.reserved.value();
  return TokenCount(program.budget.value() > used ? program.budget.value() - used : 0);
}

// Upper bound of the prompt: what the engine counted for the turns so far, and one token a byte for
// the new messages, because no tokenizer makes more tokens than bytes.
TokenCount PromptBound(const journal::Program& program, const wire::ModelCall& call) {
  TokenCount bound(call.messages.size());
  if (!program.turns.empty()) {
    const wire::Usage& last = program.turns.back().usage;
    bound += last.prompt + last.completion;
  }
  return bound;
}

}  // namespace

void HomeImpl::Begin(Entry entry, const wire::ModelCall& operation) {
  RunningCall& running = *entry->second.running;
  const journal::Program& program = *state_.FindProgram(entry->first);
  if (program.call_count >= program.max_calls) {
    return Finish(entry, NotRun{NotRunReason::kCallLimitReached}, "", {});
  }
  const TokenCount remaining = Remaining(program);
  running.prompt_bound = PromptBound(program, operation);
  if (running.prompt_bound >= remaining) {
    return Finish(entry, NotRun{NotRunReason::kBudgetExhausted}, "", {});
  }
  running.output_cap =
      std::min({operation.max_tokens, limits_.max_output, remaining - running.prompt_bound});
  if (program.authorised >= running.worst_case()) {
    return Dispatch(entry);
  }
  Append(running, Phase::kAuthorising, MakeCharge(running, TokenCount(), running.worst_case()));
}

journal::SpendAuthorised HomeImpl::MakeCharge(const RunningCall& running,
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

void HomeImpl::OnModelEvent(Entry entry, std::uint64_t index, std::string_view text) {
  RunningCall& running = *entry->second.running;
  // Events of a channel arrive in order; any other index is a repeated or late one.
  if (index != running.next_index) {
    return;
  }
  ++running.next_index;
  running.attempt_text.append(text);
  MergeAttempt(running, false);
  Deliver(running);
}

void HomeImpl::OnModelFinished(Entry entry,
                               const Outcome& outcome,
                               std::string body,
                               wire::Usage usage) {
  std::visit(Overloaded{
                 [&](const Completed&) { CommitTurn(entry, usage); },
                 [&](const NotRun& not_run) {
                   RunningCall& running = *entry->second.running;
                   if (CanRetry(running)) {
                     Dispatch(entry);
                   } else if (running.may_have_run) {
                     Finish(entry, Unknown{UnknownReason::kConnectionLost}, "", {});
                   } else {
                     Finish(entry, not_run, "", {});
                   }
                 },
                 [&](const Failed& failed) { Finish(entry, failed, std::move(body), {}); },
                 [&](const Unknown& unknown) { OnModelLost(entry, unknown); },
             },
             outcome);
}

// The engine may have spent the whole worst case, so it is charged before anything else is spent.
void HomeImpl::OnModelLost(Entry entry, const Unknown& unknown) {
  RunningCall& running = *entry->second.running;
  running.may_have_run = true;
  running.outcome = unknown;
  const bool retry = CanRetry(running);
  const TokenCount worst_case = running.worst_case();
  const journal::Program& program = *state_.FindProgram(entry->first);
  if (retry && Remaining(program) >= worst_case + worst_case) {
    Append(running, Phase::kAuthorising, MakeCharge(running, worst_case, worst_case));
  } else {
    Append(running, Phase::kCharging, MakeCharge(running, worst_case, TokenCount()));
  }
}

void HomeImpl::CommitTurn(Entry entry, wire::Usage usage) {
  RunningCall& running = *entry->second.running;
  MergeAttempt(running, true);
  Deliver(running);
  const auto& operation = std::get<wire::ModelCall>(running.call.request.operation);
  const journal::Program& program = *state_.FindProgram(entry->first);
  running.outcome = Completed{};
  running.usage = usage;
  running.body = usage.completion >= running.output_cap ? kFinishLength : kFinishStop;
  journal::TurnCommitted record;
  record.program = entry->first;
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
