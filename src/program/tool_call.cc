#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

bool HomeImpl::IsIdempotent(const wire::ToolCall& call) const {
  const auto rule = limits_.services.find(call.service);
  return rule != limits_.services.end() && rule->second.idempotent;
}

void HomeImpl::Begin(Entry entry, const wire::ToolCall& operation) {
  RunningCall& running = *entry->second.running;
  const journal::Program& program = *state_.FindProgram(entry->first);
  if (!limits_.services.contains(operation.service)) {
    return Finish(entry, NotRun{NotRunReason::kUnknownService}, "", {});
  }
  if (program.call_count >= program.max_calls) {
    return Finish(entry, NotRun{NotRunReason::kCallLimitReached}, "", {});
  }
  if (IsIdempotent(operation)) {
    return Dispatch(entry);
  }
  journal::EffectIntended record;
  record.program = entry->first;
  record.epoch = running.epoch;
  record.key = running.call.request.key;
  record.service = operation.service;
  record.request_digest = HashHex(operation.body);
  Append(running, Phase::kIntending, std::move(record));
}

wire::ToolDispatch HomeImpl::MakeDispatch(const RunningCall& running,
                                          const wire::ToolCall& call) const {
  return wire::ToolDispatch{
      .service = call.service,
      // Services see keys of all programs, so the program is part of the key.
      .key = IdempotencyKey(running.call.request.program.value() + ":" +
                            running.call.request.key.value()),
      .body = call.body,
      .idempotent = IsIdempotent(call),
  };
}

void HomeImpl::OnToolFinished(Entry entry, const Outcome& outcome, std::string body) {
  RunningCall& running = *entry->second.running;
  const auto& operation = std::get<wire::ToolCall>(running.call.request.operation);
  const bool settled =
      std::holds_alternative<Completed>(outcome) || std::holds_alternative<Failed>(outcome);
  running.outcome = outcome;
  running.body = std::move(body);
  if (!IsIdempotent(operation)) {
    journal::EffectFinished record;
    record.program = entry->first;
    record.epoch = running.epoch;
    record.key = running.call.request.key;
    record.outcome = outcome;
    record.body = running.body;
    return Append(running, Phase::kCommitting, std::move(record));
  }
  running.may_have_run = running.may_have_run || std::holds_alternative<Unknown>(outcome);
  if (!settled && CanRetry(running)) {
    return Dispatch(entry);
  }
  if (!settled) {
    const Outcome final_outcome =
        running.may_have_run ? Outcome(Unknown{UnknownReason::kConnectionLost}) : outcome;
    return Finish(entry, final_outcome, "", {});
  }
  journal::ToolCallCommitted record;
  record.program = entry->first;
  record.epoch = running.epoch;
  record.key = running.call.request.key;
  record.service = operation.service;
  record.outcome = outcome;
  record.body = running.body;
  Append(running, Phase::kCommitting, std::move(record));
}

}  // namespace acaciaspring::program
