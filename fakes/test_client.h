#ifndef FAKES_TEST_CLIENT_H_
#define FAKES_TEST_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "fakes/json_text.h"

namespace acaciaspring::fakes {

/// @brief HTTP client for tests of a fake that runs on the same loop.
class TestClient {
 public:
  TestClient(net::Loop& loop, net::Address server)
      : loop_(loop), client_(loop, {}), server_(std::move(server)) {}

  /// @brief Starts a call. `on_done` gets the response, also if the connection was lost.
  std::shared_ptr<net::HttpCall> Send(const std::string& method,
                                      const std::string& target,
                                      const std::string& body,
                                      std::function<void(const net::HttpReply&)> on_done) {
    return net::Fetch(
        client_,
        {.server = server_, .method = method, .target = target, .headers = {}, .body = body},
        std::size_t{1} << 20, std::move(on_done));
  }

  /// @brief Sends a request and runs the loop until the response is complete or the connection
  /// is lost.
  net::HttpReply Fetch(const std::string& method,
                       const std::string& target,
                       const std::string& body = "") {
    net::HttpReply answer;
    Send(method, target, body, [this, &answer](const net::HttpReply& reply) {
      answer = reply;
      loop_.Stop();
    });
    loop_.Run();
    return answer;
  }

  /// @brief Like Fetch; returns the parsed body, or null if it is not JSON.
  Json::Value FetchJson(const std::string& method,
                        const std::string& target,
                        const std::string& body = "") {
    return ParseJson(Fetch(method, target, body).body).value_or(Json::Value());
  }

  /// @brief Runs the loop until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    const net::Timer timer = loop_.Every(std::chrono::milliseconds(1), [this, &condition] {
      if (condition()) {
        loop_.Stop();
      }
    });
    loop_.Run();
  }

 private:
  net::Loop& loop_;
  net::HttpClient client_;
  net::Address server_;
};

/// @brief Status of a complete response; 0 if the connection was lost.
inline int StatusOf(const net::HttpReply& reply) {
  const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
  return finished == nullptr ? 0 : finished->status;
}

}  // namespace acaciaspring::fakes

#endif  // FAKES_TEST_CLIENT_H_
