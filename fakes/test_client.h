#ifndef FAKES_TEST_CLIENT_H_
#define FAKES_TEST_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "fakes/json_text.h"

namespace acaciaspring::fakes {

/// @brief Calls a fake that runs on the same loop. For tests.
class TestClient {
 public:
  TestClient(net::Loop& loop, net::Address server)
      : loop_(loop), client_(loop, {}), server_(std::move(server)) {}

  /// @brief Starts a call; the callback gets the answer, also a broken one.
  std::shared_ptr<net::HttpCall> Send(const std::string& method,
                                      const std::string& target,
                                      const std::string& body,
                                      std::function<void(const net::HttpReply&)> on_done) {
    return net::Fetch(
        client_,
        {.server = server_, .method = method, .target = target, .headers = {}, .body = body},
        std::size_t{1} << 20, std::move(on_done));
  }

  /// @brief Runs the loop until the answer is there.
  net::HttpReply Ask(const std::string& method,
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

  Json::Value AskJson(const std::string& method,
                      const std::string& target,
                      const std::string& body = "") {
    return ParseJson(Ask(method, target, body).body).value_or(Json::Value());
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

/// @brief Status of a whole answer; 0 when the exchange broke.
inline int StatusOf(const net::HttpReply& reply) {
  const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
  return finished == nullptr ? 0 : finished->status;
}

}  // namespace acaciaspring::fakes

#endif  // FAKES_TEST_CLIENT_H_
