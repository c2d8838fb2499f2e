#include <boost/test/unit_test.hpp>
#include <optional>

#include "acaciaspring/net.h"
#include "src/net/http_test_support.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

/// @brief The end of a request to a server that sends `answer` and then closes or resets.
HttpReply GetRaw(const std::string& answer, bool reset = false, const std::string& method = "GET") {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  std::optional<HttpReply> reply;
  Fetch(client, {.server = server.address(), .method = method}, kManyBytes,
        [&](HttpReply given) { reply = std::move(given); });
  RunUntil(loop, [&] {
    return !server.connections().empty() && !server.connections()[0]->received().empty();
  });
  server.connections()[0]->Send(answer);
  server.connections()[0]->Close(reset);
  RunUntil(loop, [&] { return reply.has_value(); });
  return *reply;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_answer)

// Guards against a broken answer that is taken for a whole one, or for a request that did not run.
BOOST_AUTO_TEST_CASE(broken_answers_are_interrupted) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> broken = {
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
  for (const std::string& answer : broken) {
    for (const bool reset : {false, true}) {
      BOOST_TEST(Describe(GetRaw(answer, reset).result) == "interrupted", answer);
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

// Guards against an answer that is lost because it comes before the whole request is sent, and
// against reuse of a connection that still owes the rest of a request.
BOOST_AUTO_TEST_CASE(answer_may_come_before_the_request_is_sent) {
  Loop loop;
  HttpClient client(loop, {});
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name = ToSocketAddress(kAnyLoopbackPort);
  socklen_t size = sizeof(name);
  BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&name), size) == 0);
  BOOST_REQUIRE(listen(listener, 1) == 0);
  BOOST_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size) == 0);
  std::optional<HttpReply> reply;
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  Fetch(client,
        {.server = FromSocketAddress(name),
         .method = "POST",
         .body = std::string(kMoreThanSocketBuffers, 'x')},
        kManyBytes, [&](HttpReply given) { reply = std::move(given); });
  // The server answers without reading anything.
  const int accepted = accept(listener, nullptr, nullptr);
  const std::string answer = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
  BOOST_REQUIRE(send(accepted, answer.data(), answer.size(), 0) ==
                static_cast<ssize_t>(answer.size()));
  RunUntil(loop, [&] { return reply.has_value(); });
  BOOST_TEST(Describe(reply->result) == "finished 413");
  reply.reset();
  const auto call = Fetch(client, {.server = FromSocketAddress(name)}, kManyBytes,
                          [&](HttpReply given) { reply = std::move(given); });
  const int second = accept(listener, nullptr, nullptr);
  BOOST_TEST(second >= 0);
  close(second);
  close(accepted);
  close(listener);
}

// Guards against surplus bytes of one answer that become part of the next.
BOOST_AUTO_TEST_CASE(surplus_bytes_end_the_connection) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull";
  for (std::size_t round = 0; round < 2; ++round) {
    std::optional<HttpReply> reply;
    Fetch(client, {.server = server.address()}, kManyBytes,
          [&](HttpReply given) { reply = std::move(given); });
    RunUntil(loop, [&] {
      return server.connections().size() == round + 1 &&
             !server.connections()[round]->received().empty();
    });
    server.connections()[round]->Send(answer + "HTTP/1.1 500 Forged\r\nContent-Length: 0\r\n\r\n");
    RunUntil(loop, [&] { return reply.has_value(); });
    BOOST_TEST(Describe(reply->result) == "finished 200");
    BOOST_TEST(reply->body == "full");
  }
}

// Guards against a server's death in the middle of an answer that goes unnoticed.
BOOST_AUTO_TEST_CASE(server_that_dies_during_the_answer_interrupts_it) {
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
                                 .on_done = [&](const HttpResult& given) { result = given; }});
  RunUntil(loop, [&] { return received == "part"; });
  server.reset();
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST(Describe(*result) == "interrupted");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
