#ifndef ACACIASPRING_SRC_NET_HTTP_TEST_SUPPORT_H_
#define ACACIASPRING_SRC_NET_HTTP_TEST_SUPPORT_H_

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

#include "acaciaspring/net.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

/// @brief Body limit for tests that do not reach the limit.
inline constexpr std::size_t kMaxTestBodyBytes = std::size_t{32} << 20;

inline std::string Describe(const HttpResult& result) {
  return std::visit(Overloaded{
                        [](const HttpFinished& finished) {
                          return "finished " + std::to_string(finished.status);
                        },
                        [](const HttpNotSent&) { return std::string("not sent"); },
                        [](const HttpInterrupted& interrupted) {
                          return std::string(interrupted.timed_out ? "timed out" : "interrupted");
                        },
                    },
                    result);
}

/// @brief Sends a request and runs the loop until the result is available.
inline HttpReply Get(Loop& loop, HttpClient& client, HttpClientRequest request) {
  std::optional<HttpReply> reply;
  Fetch(client, std::move(request), kMaxTestBodyBytes,
        [&](HttpReply result) { reply = std::move(result); });
  BOOST_TEST(!reply.has_value());
  RunUntil(loop, [&] { return reply.has_value(); });
  return *reply;
}

inline HttpServer::Handler EchoHandler() {
  return [](HttpRequest request, const HttpResponderPtr& responder) {
    responder->Respond(200, {{"x-method", request.method}}, request.body);
  };
}

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_TEST_SUPPORT_H_
