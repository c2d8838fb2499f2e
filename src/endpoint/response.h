#ifndef ACACIASPRING_SRC_ENDPOINT_RESPONSE_H_
#define ACACIASPRING_SRC_ENDPOINT_RESPONSE_H_

#include <functional>
#include <string>

#include "acaciaspring/base.h"
#include "acaciaspring/endpoint.h"
#include "acaciaspring/net.h"

namespace acaciaspring::endpoint {

/// @brief Result of an HTTP exchange and the parts of the response that were received.
struct Response {
  net::HttpResult result = {};
  int status = 0;
  net::Headers headers = {};
  std::string body = {};
  /// The exchange was aborted because the body exceeded `max_bytes`.
  bool too_large = false;
};

/// @brief Outcome of a call that may have side effects: NotRun only if the request was not sent or
/// the endpoint rejected it, Unknown if the call may have run.
Outcome ToOutcome(const Response& response);

/// @brief Failure for a response that is unsuccessful, incomplete or has a malformed body.
RequestFailure ToRequestFailure(const Response& response);

/// @brief True for a complete response with a 2xx status.
bool IsSuccess(const Response& response);

/// @brief Sends a request and receives a body of at most `max_bytes`, all within `timeout`.
CallPtr Execute(net::HttpClient& client,
                net::HttpClientRequest request,
                Duration timeout,
                std::size_t max_bytes,
                std::function<void(Response response)> on_done);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_RESPONSE_H_
