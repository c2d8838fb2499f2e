#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

namespace {

// A rejected request finds room after about the run time of one turn or call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);

}  // namespace

ErrorResponse MakeErrorResponse(const Outcome& outcome) {
  const std::string reason(ReasonName(outcome));
  return std::visit(
      Overloaded{
          [&](const Completed&) { return ErrorResponse{.status = 502, .reason = "no_answer"}; },
          [&](const NotRun&) {
            return ErrorResponse{.status = 503, .reason = reason, .retry_after = kRetryAfter};
          },
          [&](const Failed&) { return ErrorResponse{.status = 502, .reason = reason}; },
          [&](const Unknown& unknown) {
            return ErrorResponse{.status = unknown.reason == UnknownReason::kTimeout ? 504 : 502,
                                 .reason = reason};
          }},
      outcome);
}

void Fail(ResponseSink& sink, bool response_started, const ErrorResponse& error) {
  if (response_started) {
    sink.Abort(error.reason);
  } else {
    sink.SendError(error);
  }
}

}  // namespace acaciaspring::gateway
