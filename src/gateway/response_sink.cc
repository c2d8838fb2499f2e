#include "src/gateway/response_sink.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// About the run time of one turn or call, after which a rejected request is likely to find
// capacity.
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);
// Slow callers take at least this long to read what is buffered for them; other daemons may have
// memory at once.
constexpr Duration kMemoryRetryAfter = std::chrono::milliseconds(500);

}  // namespace

HttpError MakeHttpError(const Outcome& outcome) {
  const std::string reason(ReasonName(outcome));
  return std::visit(
      Overloaded{[&](const Completed&) { return HttpError{.status = 502, .reason = "no_answer"}; },
                 [&](const NotRun& not_run) {
                   if (not_run.reason == NotRunReason::kKeyRefused) {
                     return HttpError{.status = 401, .reason = reason};
                   }
                   const bool limited = not_run.reason == NotRunReason::kOrganisationLimited;
                   return HttpError{
                       .status = limited ? 429 : 503,
                       .reason = reason,
                       .retry_after = std::max<Duration>(
                           kRetryAfter, std::chrono::milliseconds(not_run.retry_after_ms))};
                 },
                 [&](const Failed&) { return HttpError{.status = 502, .reason = reason}; },
                 [&](const Unknown& unknown) {
                   return HttpError{.status = unknown.reason == UnknownReason::kTimeout ? 504 : 502,
                                    .reason = reason};
                 }},
      outcome);
}

HttpError MakeMemoryError() {
  return {.status = 503, .reason = "memory_limited", .retry_after = kMemoryRetryAfter};
}

void Fail(ResponseSink& sink, bool response_started, const HttpError& error) {
  if (response_started) {
    sink.Abort(error.reason);
  } else {
    sink.SendError(error);
  }
}

}  // namespace acaciaspring::gateway
