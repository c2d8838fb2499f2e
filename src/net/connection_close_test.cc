#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/socket_address.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

constexpr std::size_t kLargeBytes = 400'000;
constexpr std::size_t kBytesPerRead = 20'000;
constexpr std::string_view kPost =
    "POST /order HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\nhi";
constexpr std::string_view kChunkedPost =
    "POST /order HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";

/// @brief A client with a small receive buffer that reads only when asked to.
class SlowClient {
 public:
  explicit SlowClient(const Address& server) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int buffer_bytes = 4096;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    const sockaddr_in address = ToSocketAddress(server);
    BOOST_REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;
  ~SlowClient() { close(fd_); }

  void Send(std::string_view data) {
    BOOST_REQUIRE(send(fd_, data.data(), data.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(data.size()));
  }
  /// @brief Sends as much as the socket accepts, and returns what is left.
  std::string_view SendSome(std::string_view data) {
    const ssize_t sent = send(fd_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    reset_ = reset_ || (sent < 0 && errno != EAGAIN);
    return data.substr(sent > 0 ? static_cast<std::size_t>(sent) : 0);
  }
  void ReadSome() {
    std::array<char, kBytesPerRead> buffer{};
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
      received_.append(buffer.data(), static_cast<std::size_t>(size));
    } else if (size == 0) {
      ended_ = true;
    } else if (errno != EAGAIN) {
      reset_ = true;
    }
  }
  void ReadToTheEnd(Loop& loop) {
    RunUntil(loop, [&] {
      ReadSome();
      return ended_ || reset_;
    });
  }
  const std::string& received() const { return received_; }
  bool reset() const { return reset_; }
  bool over() const { return reset_ || ended_; }

 private:
  int fd_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

HttpServer::Handler LargeResponse(HttpResponderPtr& responder) {
  return [&responder](const HttpRequest&, HttpResponderPtr received) {
    responder = std::move(received);
  };
}

std::size_t CountOf(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

bool EndsWithLargeBody(const std::string& received) {
  return received.size() > kLargeBytes && received.ends_with(std::string(kLargeBytes, 'x'));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(connection_close)

// Guards against a response that a reset destroys: the client sends its next request while it reads
// the response of a server that closes its connections.
BOOST_AUTO_TEST_CASE(response_is_delivered_when_the_next_request_crosses_the_close) {
  for (const std::string_view request : {kPost, kChunkedPost}) {
    Loop loop;
    HttpResponderPtr responder;
    HttpServer server(loop, {.listen = kAnyLoopbackPort}, LargeResponse(responder));
    server.DisableKeepAlive();
    SlowClient client(server.address());
    client.Send(request);
    RunUntil(loop, [&] { return responder != nullptr; });
    responder->Start(200, {});
    responder->Write(std::string(kLargeBytes, 'x'));
    RunUntil(loop, [&] {
      client.ReadSome();
      return !client.received().empty();
    });
    client.Send(request);
    responder->End();
    client.ReadToTheEnd(loop);
    BOOST_TEST(CountOf(client.received(), "HTTP/1.1 200 ") == 1U);
    BOOST_TEST(client.received().ends_with("\r\n0\r\n\r\n"));
    BOOST_TEST(client.received().size() > kLargeBytes);
    BOOST_TEST(!client.reset());
  }
}

// Guards against a request that is lost although it arrived before the server announced the close.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_answered_before_the_close) {
  for (const std::string_view request : {kPost, kChunkedPost}) {
    Loop loop;
    HttpServer server(
        loop, {.listen = kAnyLoopbackPort},
        [&](const HttpRequest&, const HttpResponderPtr& responder) {
          loop.Post([responder] { responder->Respond(200, {}, std::string(kLargeBytes, 'x')); });
        });
    server.DisableKeepAlive();
    SlowClient client(server.address());
    client.Send(std::string(request) + std::string(request) + "\r\n");
    client.ReadToTheEnd(loop);
    BOOST_TEST(CountOf(client.received(), "HTTP/1.1 200 ") == 2U);
    BOOST_TEST(CountOf(client.received(), "Connection: keep-alive") == 1U);
    BOOST_TEST(CountOf(client.received(), "Connection: close") == 1U);
    BOOST_TEST(EndsWithLargeBody(client.received()));
  }
}

// Guards against a refusal that a reset destroys because the rest of the refused body is unread.
BOOST_AUTO_TEST_CASE(refusal_of_a_large_body_reaches_a_client_that_sends_first) {
  constexpr std::size_t kBodyBytes = std::size_t{8} << 20;
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort, .max_body_bytes = 1000},
                    [](const HttpRequest&, const HttpResponderPtr&) {});
  SlowClient client(server.address());
  client.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(kBodyBytes) +
              "\r\n\r\n");
  const std::string body(kBodyBytes, 'x');
  std::string_view unsent = body;
  RunUntil(loop, [&] {
    unsent = client.SendSome(unsent);
    return unsent.empty() || client.reset();
  });
  client.ReadToTheEnd(loop);
  BOOST_TEST(client.received().starts_with("HTTP/1.1 413 "));
  BOOST_TEST(!client.reset());
}

// Guards against connections that stay open after their last response.
BOOST_AUTO_TEST_CASE(closed_connections_are_released) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, "answer");
                    });
  server.DisableKeepAlive();
  RawConnection closes(loop, server.address());
  SlowClient stays(server.address());
  closes.Send(kPost);
  stays.Send(kPost);
  RunUntil(loop, [&] { return closes.ended(); });
  stays.ReadToTheEnd(loop);
  closes.Close();
  RunUntil(loop, [&] { return server.SummariseConnections().connections == 0; });
  BOOST_TEST(stays.received().ends_with("answer"));
}

// Guards against a connection that is kept for ever for a client that does not read its response.
BOOST_AUTO_TEST_CASE(client_that_reads_nothing_is_given_up) {
  Loop loop;
  std::optional<ConnectionEnd> end;
  HttpServer server(loop,
                    {.listen = kAnyLoopbackPort,
                     .io_timeout = std::chrono::milliseconds(300),
                     .on_lossy_close = [&](const ConnectionEnd& closed) { end = closed; }},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, std::string(kLargeBytes, 'x'));
                    });
  server.DisableKeepAlive();
  SlowClient client(server.address());
  client.Send(kPost);
  RunUntil(loop, [&] { return end.has_value(); });
  BOOST_TEST(end->undelivered_bytes > 0U);
  BOOST_TEST(end->requests == 1U);
  BOOST_TEST(server.SummariseConnections().connections == 0U);
}

// Guards against descriptors that grow with the number of clients that do not close.
BOOST_AUTO_TEST_CASE(number_of_closing_connections_is_bounded) {
  constexpr std::size_t kClients = 300;
  constexpr std::size_t kMaxClosing = 256;
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, std::string(kLargeBytes, 'x'));
                    });
  server.DisableKeepAlive();
  std::vector<std::unique_ptr<SlowClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<SlowClient>(server.address()));
    clients.back()->Send(kPost);
    RunUntil(loop, [&] {
      clients.back()->ReadSome();
      const ConnectionSummary summary = server.SummariseConnections();
      BOOST_REQUIRE(summary.closing <= kMaxClosing);
      return !clients.back()->received().empty() && summary.closing == summary.connections;
    });
  }
  BOOST_TEST(server.SummariseConnections().closing == kMaxClosing);
  clients.back()->ReadToTheEnd(loop);
  BOOST_TEST(EndsWithLargeBody(clients.back()->received()));
}

// Guards against use after free when a server is destroyed behind its last responses.
BOOST_AUTO_TEST_CASE(server_may_be_destroyed_while_connections_close) {
  Loop loop;
  auto server =
      std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = kAnyLoopbackPort},
                                   [](const HttpRequest&, const HttpResponderPtr& responder) {
                                     responder->Respond(200, {}, std::string(kLargeBytes, 'x'));
                                   });
  server->DisableKeepAlive();
  SlowClient client(server->address());
  client.Send(kPost);
  RunUntil(loop, [&] { return server->SummariseConnections().closing == 1; });
  server.reset();
  client.ReadToTheEnd(loop);
  BOOST_TEST(EndsWithLargeBody(client.received()));
}

// Guards against a response that is destroyed because connections behind delivered responses fill
// the bound.
BOOST_AUTO_TEST_CASE(delivered_connections_are_closed_first) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [&](const HttpRequest& request, const HttpResponderPtr& responder) {
                      responder->Respond(
                          200, {}, std::string(request.path == "/order" ? kLargeBytes : 1, 'x'));
                    });
  server.DisableKeepAlive();
  SlowClient slow(server.address());
  slow.Send(kPost);
  RunUntil(loop, [&] { return server.SummariseConnections().closing == 1; });
  slow.Send(kPost);
  std::vector<std::unique_ptr<SlowClient>> quick;
  for (int i = 0; i < 260; ++i) {
    quick.push_back(std::make_unique<SlowClient>(server.address()));
    quick.back()->Send("GET /small HTTP/1.1\r\nHost: test\r\n\r\n");
    quick.back()->ReadToTheEnd(loop);
  }
  slow.ReadToTheEnd(loop);
  BOOST_TEST(EndsWithLargeBody(slow.received()));
  BOOST_TEST(!slow.reset());
}

// Guards against a response that is destroyed by the idle timeout of its kept connection.
BOOST_AUTO_TEST_CASE(idle_timeout_keeps_an_undelivered_response) {
  Loop loop;
  HttpServer server(loop,
                    {.listen = kAnyLoopbackPort, .io_timeout = std::chrono::milliseconds(400)},
                    [&](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, std::string(kLargeBytes, 'x'));
                    });
  SlowClient client(server.address());
  client.Send(kPost);
  RunUntil(loop, [&] { return server.SummariseConnections().connections == 1; });
  // Connections that only deliver their last response are closed for further requests.
  RunUntil(loop, [&] {
    const ConnectionSummary summary = server.SummariseConnections();
    return summary.connections == summary.closing;
  });
  client.Send(kPost);
  client.ReadToTheEnd(loop);
  BOOST_TEST(EndsWithLargeBody(client.received()));
  BOOST_TEST(!client.reset());
}

// Guards against a response that is broken off although its client keeps reading.
BOOST_AUTO_TEST_CASE(steady_reader_is_not_stalled) {
  constexpr std::size_t kBytes = std::size_t{16} << 20;
  Loop loop;
  HttpServer server(loop,
                    {.listen = kAnyLoopbackPort, .io_timeout = std::chrono::milliseconds(400)},
                    [&](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, std::string(kBytes, 'x'));
                    });
  SlowClient client(server.address());
  client.Send(kPost);
  const Timer reads = loop.Every(std::chrono::milliseconds(2), [&] { client.ReadSome(); });
  RunUntil(loop, [&] { return client.over() || client.received().size() > kBytes; });
  BOOST_TEST(client.received().size() > kBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
