#include <boost/test/unit_test.hpp>
#include <optional>

#include "acaciaspring/net.h"
#include "src/net/http_test_support.h"
#include "src/net/test_support.h"
#include "src/net/unread_upload_server.h"

namespace acaciaspring::net {

namespace {

/// @brief Returns the result of a request to a server that sends `response` and then closes or
/// resets the connection.
HttpReply GetRaw(const std::string& response, bool reset = false, HttpClientRequest request = {}) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  std::optional<HttpReply> reply;
  request.server = server.address();
  Fetch(client, std::move(request), kMaxTestBodyBytes,
        [&](HttpReply result) { reply = std::move(result); });
  RunUntil(loop, [&] {
    return !server.connections().empty() && !server.connections()[0]->received().empty();
  });
  server.connections()[0]->Send(response);
  server.connections()[0]->Close(reset);
  RunUntil(loop, [&] { return reply.has_value(); });
  return *reply;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_response)

// Guards against an invalid or truncated response that is reported as complete, or as a request
// that was not sent.
BOOST_AUTO_TEST_CASE(invalid_or_truncated_responses_are_interrupted) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> invalid = {
      "",
      head,
      head + "Content-Length: 10\r\n\r\n",
      head + "Content-Length: 10\r\n\r\nhalf",
      head + "Content-Length: x\r\n\r\nhalf",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
      head + "\r\nuntil the connection ends",
      "nonsense\r\n\r\n",
      head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
      head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfull",
      head + "X: " + std::string(100'000, 'x') + "\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
  };
  for (const std::string& response : invalid) {
    for (const bool reset : {false, true}) {
      BOOST_TEST(Describe(GetRaw(response, reset).result) == "interrupted", response);
    }
  }
  HttpReply reply = GetRaw(head + "Content-Length: 4\r\n\r\nfull");
  BOOST_TEST(Describe(reply.result) == "finished 200");
  BOOST_TEST(reply.body == "full");
  reply = GetRaw("HTTP/1.1 100 Continue\r\n\r\n" + head +
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n");
  BOOST_TEST(Describe(reply.result) == "finished 200");
  BOOST_TEST(reply.body == "full");
  reply = GetRaw("HTTP/1.1 204 No Content\r\n\r\n");
  BOOST_TEST(Describe(reply.result) == "finished 204");
}

// Guards against broken connections that are reported as faults of the server's responses, and the
// reverse.
BOOST_AUTO_TEST_CASE(invalid_response_is_told_from_a_broken_connection) {
  const std::vector<std::pair<std::string, bool>> responses = {
      {"HTTP/1.1 000 Text\r\n\r\n", true},
      {"nonsense", true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull..", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false},
      {"HTTP/1.1 200", false},
      {"", false},
  };
  for (const auto& [response, invalid] : responses) {
    const HttpReply reply = GetRaw(response);
    const auto* interrupted = std::get_if<HttpInterrupted>(&reply.result);
    BOOST_REQUIRE(interrupted != nullptr);
    BOOST_TEST(interrupted->invalid_response == invalid, response);
  }
}

// Guards against a response without a length that the server resets midway and that is reported as
// complete.
BOOST_AUTO_TEST_CASE(reset_response_without_a_length_is_interrupted) {
  const HttpClientRequest request{.accept_close_delimited = true};
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\n",
      "HTTP/1.1 500 Error\r\n\r\n",
  };
  for (const std::string& head : heads) {
    for (const std::size_t body_bytes : {0, 1, 65536, 150'000}) {
      const std::string body(body_bytes, 'x');
      BOOST_TEST(Describe(GetRaw(head + body, /*reset=*/true, request).result) == "interrupted",
                 head << body_bytes);
      const HttpReply whole = GetRaw(head + body, /*reset=*/false, request);
      BOOST_TEST(std::holds_alternative<HttpFinished>(whole.result), head << body_bytes);
      BOOST_TEST((whole.body == body), head << body_bytes);
    }
  }
}

// Guards against the same when sending the rest of the request consumes the socket's error.
BOOST_AUTO_TEST_CASE(reset_while_sending_interrupts_a_response_without_a_length) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  std::optional<HttpResult> result;
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  const auto call = client.Send(
      {.server = server.address(),
       .method = "POST",
       .body = std::string(kMoreThanSocketBuffers, 'x'),
       .accept_close_delimited = true},
      {.on_data = [&](std::string_view) { server.connections()[0]->Close(/*reset=*/true); },
       .on_done = [&](const HttpResult& done) { result = done; }});
  RunUntil(loop, [&] {
    return !server.connections().empty() && !server.connections()[0]->received().empty();
  });
  server.connections()[0]->Send("HTTP/1.1 200 OK\r\n\r\nhalf");
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST(Describe(*result) == "interrupted");
}

// Guards against the same when the server resets at any moment of a long upload, which it reads in
// part or not at all. An orderly end completes the response, also if a reset comes after it.
BOOST_AUTO_TEST_CASE(reset_within_an_upload_interrupts_a_response_without_a_length) {
  enum class End : std::uint8_t { kReset, kCloseWithUnreadBytes, kEndThenReset };
  const std::vector<std::string> heads = {"HTTP/1.1 200 OK\r\n\r\n",
                                          "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                          "HTTP/1.0 200 OK\r\n\r\n"};
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  for (const std::string& head : heads) {
    for (const std::size_t body_bytes : {std::size_t{1}, std::size_t{4000}, std::size_t{100'000}}) {
      for (const std::size_t read_bytes : {std::size_t{0}, std::size_t{1} << 20}) {
        for (const bool waits : {false, true}) {
          for (const End end : {End::kReset, End::kCloseWithUnreadBytes, End::kEndThenReset}) {
            Loop loop;
            HttpClient client(loop, {});
            UnreadUploadServer server;
            std::optional<HttpResult> result;
            std::string body;
            const auto call =
                client.Send({.server = server.address(),
                             .method = "POST",
                             .body = std::string(kMoreThanSocketBuffers, 'x'),
                             .accept_close_delimited = true},
                            {.on_data = [&](std::string_view data) { body += data; },
                             .on_done = [&](const HttpResult& done) { result = done; }});
            server.Accept(loop);
            server.Read(loop, read_bytes);
            server.Send(loop, head + std::string(body_bytes, 'y'));
            if (waits) {
              RunUntil(loop, [&] { return body.size() == body_bytes; });
            }
            if (end == End::kEndThenReset) {
              server.EndSending();
            }
            server.Close(/*reset=*/end != End::kCloseWithUnreadBytes);
            RunUntil(loop, [&] { return result.has_value(); });
            const bool whole = end == End::kEndThenReset;
            BOOST_TEST(Describe(*result) == (whole ? "finished 200" : "interrupted"),
                       head << body_bytes << " bytes, read " << read_bytes << ", waits " << waits
                            << ", end " << static_cast<int>(end));
            BOOST_TEST((!whole || body.size() == body_bytes));
          }
        }
      }
    }
  }
}

// Guards against headers that are lost or joined, because one has no value, comes twice, or arrives
// in several reads.
BOOST_AUTO_TEST_CASE(each_header_keeps_its_name_and_value) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nvary:\r\nX-Id: a\r\nempty: \r\n\tb:\r\nx-id: b\r\nlast:\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\ntrailer:\r\nx-id: c\r\n\r\n";
  const Headers expected = {{"vary", ""},  {"x-id", "a"}, {"empty", "b:"},
                            {"x-id", "b"}, {"last", ""},  {"transfer-encoding", "chunked"}};
  for (const std::size_t step : {response.size(), std::size_t{1}, std::size_t{3}}) {
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop);
    std::optional<HttpReply> reply;
    Fetch(client, {.server = server.address()}, kMaxTestBodyBytes,
          [&](HttpReply result) { reply = std::move(result); });
    RunUntil(loop, [&] {
      return !server.connections().empty() && !server.connections()[0]->received().empty();
    });
    for (std::size_t i = 0; i < response.size(); i += step) {
      server.connections()[0]->Send(response.substr(i, step));
      RunUntil(loop, [turns = 0]() mutable { return ++turns > 2; });
    }
    RunUntil(loop, [&] { return reply.has_value(); });
    BOOST_TEST(Describe(reply->result) == "finished 200");
    BOOST_TEST(reply->body == "full");
    BOOST_TEST((reply->headers == expected), step);
  }
}

// Guards against loss of a response that arrives before the complete request is sent, and against
// reuse of a connection on which the rest of a request is still to be sent.
BOOST_AUTO_TEST_CASE(response_may_arrive_before_the_request_is_sent) {
  Loop loop;
  HttpClient client(loop, {});
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in socket_address = ToSocketAddress(kAnyLoopbackPort);
  socklen_t size = sizeof(socket_address);
  BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&socket_address), size) == 0);
  BOOST_REQUIRE(listen(listener, 1) == 0);
  BOOST_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&socket_address), &size) == 0);
  std::optional<HttpReply> reply;
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  Fetch(client,
        {.server = FromSocketAddress(socket_address),
         .method = "POST",
         .body = std::string(kMoreThanSocketBuffers, 'x')},
        kMaxTestBodyBytes, [&](HttpReply result) { reply = std::move(result); });
  // The server responds without reading the request.
  const int accepted = accept(listener, nullptr, nullptr);
  const std::string response = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
  BOOST_REQUIRE(send(accepted, response.data(), response.size(), 0) ==
                static_cast<ssize_t>(response.size()));
  RunUntil(loop, [&] { return reply.has_value(); });
  BOOST_TEST(Describe(reply->result) == "finished 413");
  reply.reset();
  const auto call = Fetch(client, {.server = FromSocketAddress(socket_address)}, kMaxTestBodyBytes,
                          [&](HttpReply result) { reply = std::move(result); });
  const int second = accept(listener, nullptr, nullptr);
  BOOST_TEST(second >= 0);
  close(second);
  close(accepted);
  close(listener);
}

// Guards against extra bytes after a response that are parsed as the next response.
BOOST_AUTO_TEST_CASE(extra_bytes_after_a_response_close_the_connection) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull";
  for (std::size_t round = 0; round < 2; ++round) {
    std::optional<HttpReply> reply;
    Fetch(client, {.server = server.address()}, kMaxTestBodyBytes,
          [&](HttpReply result) { reply = std::move(result); });
    RunUntil(loop, [&] {
      return server.connections().size() == round + 1 &&
             !server.connections()[round]->received().empty();
    });
    server.connections()[round]->Send(response +
                                      "HTTP/1.1 500 Forged\r\nContent-Length: 0\r\n\r\n");
    RunUntil(loop, [&] { return reply.has_value(); });
    BOOST_TEST(Describe(reply->result) == "finished 200");
    BOOST_TEST(reply->body == "full");
  }
}

// Guards against a call that does not end when the server fails while it streams the response.
BOOST_AUTO_TEST_CASE(server_failure_during_the_response_interrupts_the_call) {
  Loop loop;
  HttpClient client(loop, {});
  auto server =
      std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = kAnyLoopbackPort},
                                   [](const HttpRequest&, const HttpResponderPtr& responder) {
                                     responder->Start(200, {});
                                     responder->Write("part");
                                   });
  std::string received;
  std::optional<HttpResult> result;
  const auto call = client.Send({.server = server->address()},
                                {.on_head = [](int, const Headers&) {},
                                 .on_data = [&](std::string_view data) { received.append(data); },
                                 .on_done = [&](const HttpResult& value) { result = value; }});
  RunUntil(loop, [&] { return received == "part"; });
  server.reset();
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST(Describe(*result) == "interrupted");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
