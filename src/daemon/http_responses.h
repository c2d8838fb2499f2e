#ifndef ACACIASPRING_SRC_DAEMON_HTTP_RESPONSES_H_
#define ACACIASPRING_SRC_DAEMON_HTTP_RESPONSES_H_

#include <string>
#include <string_view>

#include "acaciaspring/net.h"

namespace acaciaspring::daemon {

/// @brief Errors of the HTTP interface that are detected before a call is sent to its home.
enum class RequestError {
  kNotFound,
  kMethodNotAllowed,
  kUnauthorized,
  kInvalidJson,
  kInvalidField,
  kMissingKey,
  kTooLarge,
  kNotReady,
};

/// @brief HTTP status for an outcome; 200 for Completed.
int HttpStatusOf(const Outcome& outcome);
/// @brief JSON error document for an outcome that is not Completed.
std::string ErrorDocument(const Outcome& outcome);
void RespondJson(net::HttpResponder& responder, int status, std::string_view body);
void RespondError(net::HttpResponder& responder, RequestError error, std::string_view detail);
void RespondOutcome(net::HttpResponder& responder, const Outcome& outcome);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_HTTP_RESPONSES_H_
