#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

bool HomeImpl::IsIdempotent(const wire::ToolCall& call) const {
  const auto service = limits_.services.find(call.service);
  return service != limits_.services.end() && service->second.idempotent;
}

void HomeImpl::StartOperation(CallsIterator it, const wire::ToolCall& operation) {
  RunningCall& running = *it->second.running;
  const journal::Program& program = *state_.FindProgram(it->first);
  if (!limits_.services.contains(operation.service)) {
    return Finish(it, NotRun{NotRunReason::kUnknownService}, "", {});
  }
  if (program.call_count >= program.max_calls) {
    return Finish(it, NotRun{NotRunReason::kCallLimitReached}, "", {});
  }
  if (IsIdempotent(operation)) {
    return Dispatch(it);
  }
  journal::EffectIntended record;
  record.program = it->first;
  record.epoch = running.epoch;
  record.key = running.call.request.key;
  record.service = operation.service;
  record.request_digest = HashHex(operation.body);
  Append(running, Phase::kRecordingIntent, std::move(record));
}

wire::ToolDispatch HomeImpl::MakeDispatch(const RunningCall& running,
                                          const wire::ToolCall& call) const {
  return wire::ToolDispatch{
      .service = call.service,
      // A service receives keys of all programs, so the program id makes the key unique.
      .key = IdempotencyKey(running.call.request.program.value() + ":" +
                            running.call.request.key.value()),
      .body = call.body,
      .idempotent = IsIdempotent(call),
  };
}

void HomeImpl::OnToolFinished(CallsIterator it, const Outcome& outcome, std::string body) {
  RunningCall& running = *it->second.running;
  const auto& operation = std::get<wire::ToolCall>(running.call.request.operation);
  const bool has_result =
      std::holds_alternative<Completed>(outcome) || std::holds_alternative<Failed>(outcome);
  running.outcome = outcome;
  running.body = std::move(body);
  if (!IsIdempotent(operation)) {
    journal::EffectFinished record;
    record.program = it->first;
    record.epoch = running.epoch;
    record.key = running.call.request.key;
    record.outcome = outcome;
    record.body = running.body;
    return Append(running, Phase::kCommitting, std::move(record));
  }
  running.may_have_run = running.may_have_run || std::holds_alternative<Unknown>(outcome);
  if (!has_result && CanRetry(running)) {
    return Dispatch(it);
  }
  if (!has_result) {
    const Outcome final_outcome =
        running.may_have_run ? Outcome(Unknown{UnknownReason::kConnectionLost}) : outcome;
    return Finish(it, final_outcome, "", {});
  }
  journal::ToolCallCommitted record;
  record.program = it->first;
  record.epoch = running.epoch;
  record.key = running.call.request.key;
  record.service = operation.service;
  record.outcome = outcome;
  record.body = running.body;
  Append(running, Phase::kCommitting, std::move(record));
}

}  // namespace acaciaspring::program
