#include "src/daemon/http_responses.h"

#include "src/daemon/json.h"

namespace acaciaspring::daemon {

namespace {

struct ErrorDescription {
  int status;
  const char* code;
};

ErrorDescription DescribeError(RequestError error) {
  switch (error) {
    case RequestError::kNotFound:
      return {404, "not_found"};
    case RequestError::kMethodNotAllowed:
      return {405, "method_not_allowed"};
    case RequestError::kUnauthorized:
      return {401, "unauthorized"};
    case RequestError::kInvalidJson:
      return {400, "invalid_json"};
    case RequestError::kInvalidField:
      return {400, "invalid_field"};
    case RequestError::kMissingKey:
      return {400, "missing_idempotency_key"};
    case RequestError::kTooLarge:
      return {413, "too_large"};
    case RequestError::kNotReady:
      return {503, "not_ready"};
  }
  return {500, "invalid"};
}

int HttpStatusOfReason(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kUnknownProgram:
    case NotRunReason::kUnknownService:
      return 404;
    case NotRunReason::kProgramEnded:
      return 410;
    case NotRunReason::kBudgetExhausted:
    case NotRunReason::kCallLimitReached:
      return 402;
    case NotRunReason::kKeyConflict:
      return 409;
    case NotRunReason::kInvalidRequest:
      return 400;
    case NotRunReason::kRateLimited:
    case NotRunReason::kConcurrencyLimited:
    case NotRunReason::kOverloaded:
    case NotRunReason::kQueueFull:
      return 429;
    default:
      return 503;
  }
}

std::string MakeErrorDocument(const std::string& code,
                              const std::string& message,
                              const std::string& outcome,
                              std::uint32_t retry_after_ms) {
  Json::Value document;
  document["error"]["code"] = code;
  document["error"]["message"] = message;
  document["error"]["outcome"] = outcome;
  document["error"]["retry_after_ms"] = retry_after_ms;
  return FormatJson(document);
}

}  // namespace

int HttpStatusOf(const Outcome& outcome) {
  return std::visit(Overloaded{
                        [](const Completed&) { return 200; },
                        [](const NotRun& not_run) { return HttpStatusOfReason(not_run.reason); },
                        [](const Failed&) { return 502; },
                        [](const Unknown&) { return 504; },
                    },
                    outcome);
}

std::string ErrorDocument(const Outcome& outcome) {
  const auto* not_run = std::get_if<NotRun>(&outcome);
  const std::string kind(KindName(outcome));
  const std::string reason(ReasonName(outcome));
  return MakeErrorDocument(reason, "the call ended as " + kind + " (" + reason + ")", kind,
                           not_run == nullptr ? 0 : not_run->retry_after_ms);
}

void RespondJson(net::HttpResponder& responder, int status, std::string_view body) {
  responder.Respond(status, {{"content-type", "application/json"}}, body);
}

void RespondError(net::HttpResponder& responder, RequestError error, std::string_view detail) {
  const ErrorDescription description = DescribeError(error);
  RespondJson(responder, description.status,
              MakeErrorDocument(description.code, std::string(detail), "not_run", 0));
}

void RespondOutcome(net::HttpResponder& responder, const Outcome& outcome) {
  RespondJson(responder, HttpStatusOf(outcome), ErrorDocument(outcome));
}

}  // namespace acaciaspring::daemon
