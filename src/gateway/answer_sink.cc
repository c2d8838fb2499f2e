#include "src/gateway/answer_sink.h"

namespace acaciaspring::gateway {

namespace {

// A rejected request finds room after about the run time of one turn or call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);

}  // namespace

Refusal RefusalFor(const Outcome& outcome) {
  const std::string reason(ReasonName(outcome));
  return std::visit(
      Overloaded{[&](const Completed&) { return Refusal{.status = 502, .reason = "no_answer"}; },
                 [&](const NotRun&) {
                   return Refusal{.status = 503, .reason = reason, .retry_after = kRetryAfter};
                 },
                 [&](const Failed&) { return Refusal{.status = 502, .reason = reason}; },
                 [&](const Unknown& unknown) {
                   return Refusal{.status = unknown.reason == UnknownReason::kTimeout ? 504 : 502,
                                  .reason = reason};
                 }},
      outcome);
}

void Fail(AnswerSink& sink, bool begun, const Refusal& refusal) {
  if (begun) {
    sink.Abort(refusal.reason);
  } else {
    sink.Refuse(refusal);
  }
}

}  // namespace acaciaspring::gateway
