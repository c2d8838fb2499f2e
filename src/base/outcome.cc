#include <type_traits>

#include "acaciaspring/base.h"

namespace acaciaspring {

std::string_view ToString(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kLogUnavailable:
      return "log_unavailable";
    case NotRunReason::kOverloaded:
      return "overloaded";
    case NotRunReason::kBudgetExhausted:
      return "budget_exhausted";
    case NotRunReason::kCallLimitReached:
      return "call_limit_reached";
    case NotRunReason::kQueueFull:
      return "queue_full";
    case NotRunReason::kNoEndpoint:
      return "no_endpoint";
    case NotRunReason::kEndpointUnavailable:
      return "endpoint_unavailable";
    case NotRunReason::kDeadlineExceeded:
      return "deadline_exceeded";
    case NotRunReason::kRateLimited:
      return "rate_limited";
    case NotRunReason::kConcurrencyLimited:
      return "concurrency_limited";
    case NotRunReason::kShuttingDown:
      return "shutting_down";
    case NotRunReason::kOwnerUnavailable:
      return "owner_unavailable";
    case NotRunReason::kProgramEnded:
      return "program_ended";
    case NotRunReason::kUnknownProgram:
      return "unknown_program";
    case NotRunReason::kUnknownService:
      return "unknown_service";
    case NotRunReason::kKeyConflict:
      return "key_conflict";
    case NotRunReason::kInvalidRequest:
      return "invalid_request";
    case NotRunReason::kCancelled:
      return "cancelled";
    case NotRunReason::kCrashesEndpoints:
      return "crashes_endpoints";
    case NotRunReason::kEndpointsLeave:
      return "endpoints_leave";
    case NotRunReason::kKeyRefused:
      return "key_refused";
    case NotRunReason::kKeyUnconfirmed:
      return "key_unconfirmed";
    case NotRunReason::kOrganisationLimited:
      return "organisation_limited";
    case NotRunReason::kLimitUnknown:
      return "limit_unknown";
  }
  return "invalid";
}

std::string_view ToString(FailureReason reason) {
  switch (reason) {
    case FailureReason::kRefusedByService:
      return "refused_by_service";
    case FailureReason::kTooLarge:
      return "too_large";
    case FailureReason::kInvalidAnswer:
      return "invalid_answer";
    case FailureReason::kCancelled:
      return "cancelled";
    case FailureReason::kAnswerChanged:
      return "answer_changed";
  }
  return "invalid";
}

std::string_view ToString(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kTimeout:
      return "timeout";
    case UnknownReason::kConnectionLost:
      return "connection_lost";
    case UnknownReason::kOwnerChanged:
      return "owner_changed";
    case UnknownReason::kLogUnavailable:
      return "log_unavailable";
    case UnknownReason::kIntentWithoutEnd:
      return "intent_without_end";
  }
  return "invalid";
}

std::string_view KindName(const Outcome& outcome) {
  return std::visit(Overloaded{
                        [](const Completed&) -> std::string_view { return "completed"; },
                        [](const NotRun&) -> std::string_view { return "not_run"; },
                        [](const Failed&) -> std::string_view { return "failed"; },
                        [](const Unknown&) -> std::string_view { return "unknown"; },
                    },
                    outcome);
}

std::string_view ReasonName(const Outcome& outcome) {
  return std::visit(
      [](const auto& value) -> std::string_view {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Completed>) {
          return "";
        } else {
          return ToString(value.reason);
        }
      },
      outcome);
}

}  // namespace acaciaspring
