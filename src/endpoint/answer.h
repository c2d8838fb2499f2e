#ifndef ACACIASPRING_SRC_ENDPOINT_ANSWER_H_
#define ACACIASPRING_SRC_ENDPOINT_ANSWER_H_

#include <functional>
#include <string>

#include "acaciaspring/base.h"
#include "acaciaspring/endpoint.h"
#include "acaciaspring/net.h"

namespace acaciaspring::endpoint {

/// @brief How an exchange ended and what arrived.
struct Answer {
  net::HttpResult result = {};
  int status = 0;
  net::Headers headers = {};
  std::string body = {};
  /// The body exceeded its bound; the exchange was ended.
  bool too_large = false;
};

/// @brief What an answer tells about a call that has an effect.
Outcome OutcomeOf(const Answer& answer);

/// @brief Why an answer that is not a success (2xx) or not readable gives no result.
RequestFailure FailureOf(const Answer& answer);

bool IsSuccess(const Answer& answer);

/// @brief Collects an answer of at most `max_bytes` within `timeout` for the whole exchange.
CallPtr Collect(net::HttpClient& client,
                net::HttpClientRequest request,
                Duration timeout,
                std::size_t max_bytes,
                std::function<void(Answer answer)> on_done);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_ANSWER_H_
