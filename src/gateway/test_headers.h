#ifndef ACACIASPRING_SRC_GATEWAY_TEST_HEADERS_H_
#define ACACIASPRING_SRC_GATEWAY_TEST_HEADERS_H_

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief Header names for tests.
inline HeaderNames MakeTestHeaderNames() {
  return {.request_id = "x-id",
          .deadline_ms = "x-deadline",
          .expected_endpoint = "x-endpoint",
          .priority = "x-priority",
          .not_executed = "x-not-executed",
          .rate_limit = "x-limit",
          .leaving = "x-leaving",
          .caller_key = "x-key",
          .organisation = "x-organisation"};
}

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TEST_HEADERS_H_
