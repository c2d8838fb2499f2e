#include "src/gateway/endpoint_call.h"

namespace acaciaspring::gateway {

void EndpointCall::LogAttempt(AttemptResult result) const {
  context_.events.Write("attempt_failed",
                        {{"id", plan_.id.value()},
                         {"fingerprint", ToString(Fingerprints().whole)},
                         {"endpoint", endpoint_.value()},
                         {"why", result == AttemptResult::kRejected ? "not_executed" : "failed"},
                         {"status", static_cast<std::int64_t>(status_)},
                         {"attempts", static_cast<std::int64_t>(attempts_)},
                         {"runs", static_cast<std::int64_t>(possible_runs_)}});
}

void EndpointCall::LogUnidentifiedResponse(int status) const {
  context_.events.Write("response_not_believed", {{"id", plan_.id.value()},
                                                  {"endpoint", endpoint_.value()},
                                                  {"status", static_cast<std::int64_t>(status)},
                                                  {"why", "no_id_on_reused_connection"}});
}

void EndpointCall::LogInvalidResponse() const {
  context_.events.Write("invalid_response",
                        {{"id", plan_.id.value()},
                         {"endpoint", endpoint_.value()},
                         {"delivering", static_cast<std::int64_t>(delivering_)}});
}

}  // namespace acaciaspring::gateway
