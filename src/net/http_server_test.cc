#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>

#include "acaciaspring/net.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

HttpServerOptions LoopbackOptions() {
  return HttpServerOptions{.listen = kAnyLoopbackPort};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kGet = "GET /path?a=1&b=x%20y&flag HTTP/1.1\r\nHost: test\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

// Guards against requests that are passed to the handler with missing or mixed-up parts.
BOOST_AUTO_TEST_CASE(handler_receives_the_complete_request) {
  Loop loop;
  HttpRequest seen;
  HttpServer server(loop, LoopbackOptions(),
                    [&](HttpRequest request, const HttpResponderPtr& responder) {
                      seen = std::move(request);
                      responder->Respond(200, {{"x-answer", "yes"}}, "body");
                    });
  RawConnection client(loop, server.address());
  client.Send(
      "POST /v1/things/7?a=1&b=x%20y&flag HTTP/1.1\r\nHost: test\r\nX-Mixed-Case: Value\r\n"
      "Content-Length: 5\r\n\r\nhello");
  RunUntil(loop, [&] { return Contains(client.received(), "\r\n\r\nbody"); });
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.path == "/v1/things/7");
  BOOST_TEST(seen.query == "a=1&b=x%20y&flag");
  BOOST_TEST(FindQueryParameter(seen, "a") == "1");
  BOOST_TEST(FindQueryParameter(seen, "b") == "x%20y");
  BOOST_TEST(FindQueryParameter(seen, "flag") == "");
  BOOST_TEST(FindQueryParameter(seen, "none") == "");
  BOOST_TEST(FindHeader(seen.headers, "x-mixed-case") == "Value");
  BOOST_TEST(seen.body == "hello");
  BOOST_TEST(Contains(client.received(), "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Contains(client.received(), "x-answer: yes\r\n"));
}

// Guards against headers of a request that are lost or joined, because one has no value or comes
// twice.
BOOST_AUTO_TEST_CASE(handler_receives_each_header) {
  Loop loop;
  std::optional<HttpRequest> seen;
  HttpServer server(loop, LoopbackOptions(),
                    [&](HttpRequest request, const HttpResponderPtr& responder) {
                      seen = std::move(request);
                      responder->Respond(200, {}, "");
                    });
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: test\r\nvary:\r\nX-Id: a\r\nempty: \r\nx-id: b\r\n\r\n");
  RunUntil(loop, [&] { return seen.has_value(); });
  const Headers expected = {
      {"host", "test"}, {"vary", ""}, {"x-id", "a"}, {"empty", ""}, {"x-id", "b"}};
  BOOST_TEST((seen->headers == expected));
}

// Guards against a first token that is buffered in the server until the response is complete.
BOOST_AUTO_TEST_CASE(streamed_data_is_sent_immediately) {
  Loop loop;
  HttpResponderPtr responder;
  HttpServer server(loop, LoopbackOptions(),
                    [&](const HttpRequest&, HttpResponderPtr new_responder) {
                      responder = std::move(new_responder);
                    });
  RawConnection client(loop, server.address());
  client.Send(kGet);
  RunUntil(loop, [&] { return responder != nullptr; });
  responder->Start(200, {{"content-type", "text/event-stream"}});
  responder->Write("first");
  RunUntil(loop, [&] { return Contains(client.received(), "first"); });
  BOOST_TEST(!responder->closed());
  responder->Write("second");
  responder->Write("third");
  responder->End();
  BOOST_TEST(responder->closed());
  RunUntil(loop, [&] { return Contains(client.received(), "\r\n0\r\n\r\n"); });
  BOOST_TEST(Contains(client.received(), "second"));
  BOOST_TEST(Contains(client.received(), "third"));
  RunUntil(loop, [&] { return server.open_requests() == 0; });
}

// Guards against memory that grows with the declared size of a body.
BOOST_AUTO_TEST_CASE(oversized_body_is_rejected_with_413) {
  Loop loop;
  int handled = 0;
  HttpServerOptions options = LoopbackOptions();
  options.max_body_bytes = 1000;
  HttpServer server(loop, options, [&](const HttpRequest&, const HttpResponderPtr& responder) {
    ++handled;
    responder->Respond(200, {}, "");
  });
  RawConnection declared(loop, server.address());
  declared.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1001\r\n\r\n");
  RunUntil(loop, [&] { return declared.ended(); });
  BOOST_TEST(Contains(declared.received(), "HTTP/1.1 413 "));

  RawConnection chunked(loop, server.address());
  chunked.Send("POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
               std::string(1001, 'x') + "\r\n");
  RunUntil(loop, [&] { return chunked.ended(); });
  BOOST_TEST(handled == 0);

  RawConnection allowed(loop, server.address());
  allowed.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\n" +
               std::string(1000, 'x'));
  RunUntil(loop, [&] { return Contains(allowed.received(), "HTTP/1.1 200 "); });
  BOOST_TEST(handled == 1);
}

// Guards against a request that is handled although its body is incomplete.
BOOST_AUTO_TEST_CASE(truncated_body_does_not_reach_the_handler) {
  Loop loop;
  int handled = 0;
  HttpServer server(loop, LoopbackOptions(),
                    [&](const HttpRequest&, const HttpResponderPtr&) { ++handled; });
  RawConnection client(loop, server.address());
  client.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf");
  RunUntil(loop, [&] { return client.connected(); });
  client.Close();
  RunUntil(loop, [&] { return client.ended(); });
  RawConnection other(loop, server.address());
  other.Send("nonsense\r\n\r\n");
  RunUntil(loop, [&] { return other.ended(); });
  BOOST_TEST(handled == 0);
  BOOST_TEST(server.open_requests() == 0);
}

// Guards against responses that continue after the client has disconnected: this must be detected
// even while nothing is written, and later writes must be ignored.
BOOST_AUTO_TEST_CASE(client_disconnect_is_detected) {
  for (const bool started : {false, true}) {
    for (const bool reset : {false, true}) {
      Loop loop;
      HttpResponderPtr responder;
      int closed = 0;
      HttpServer server(loop, LoopbackOptions(),
                        [&](const HttpRequest&, HttpResponderPtr new_responder) {
                          responder = std::move(new_responder);
                          responder->OnClosed([&] { ++closed; });
                          if (started) {
                            responder->Start(200, {});
                            responder->Write("part");
                          }
                        });
      RawConnection client(loop, server.address());
      client.Send(kGet);
      RunUntil(loop, [&] {
        return responder != nullptr && (!started || Contains(client.received(), "part"));
      });
      client.Close(reset);
      RunUntil(loop, [&] { return closed == 1; });
      BOOST_TEST(responder->closed());
      responder->Start(200, {});
      responder->Write("more");
      responder->End();
      responder->Respond(200, {}, "more");
      RunUntil(loop, [&] { return server.open_requests() == 0; });
      BOOST_TEST(closed == 1);
      BOOST_TEST(responder->pending_bytes() == 0U);
    }
  }
}

// Guards against buffered bytes that pending_bytes does not report, and against a client that does
// not read and thereby keeps its response in memory forever.
BOOST_AUTO_TEST_CASE(client_that_does_not_read_is_disconnected) {
  Loop loop;
  HttpResponderPtr responder;
  bool closed = false;
  HttpServerOptions options = LoopbackOptions();
  options.io_timeout = std::chrono::milliseconds(300);
  HttpServer server(loop, options, [&](const HttpRequest&, HttpResponderPtr new_responder) {
    responder = std::move(new_responder);
    responder->OnClosed([&] { closed = true; });
  });
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in socket_address = ToSocketAddress(server.address());
  BOOST_REQUIRE(
      connect(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address)) == 0);
  BOOST_REQUIRE(send(fd, kGet.data(), kGet.size(), 0) == static_cast<ssize_t>(kGet.size()));
  RunUntil(loop, [&] { return responder != nullptr; });
  responder->Start(200, {});
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  responder->Write(std::string(kMoreThanSocketBuffers, 'x'));
  responder->Write("tail");
  BOOST_TEST(responder->pending_bytes() > 0U);
  RunUntil(loop, [&] { return closed; });
  BOOST_TEST(responder->closed());
  BOOST_TEST(responder->pending_bytes() == 0U);
  close(fd);
}

// Guards against a responder that refers to a destroyed connection or server.
BOOST_AUTO_TEST_CASE(responder_may_outlive_the_server) {
  for (const bool started : {false, true}) {
    Loop loop;
    HttpResponderPtr responder;
    bool closed = false;
    auto server = std::make_unique<HttpServer>(
        loop, LoopbackOptions(), [&](const HttpRequest&, HttpResponderPtr new_responder) {
          responder = std::move(new_responder);
          responder->OnClosed([&] { closed = true; });
          if (started) {
            responder->Start(200, {});
          }
        });
    RawConnection client(loop, server->address());
    RawConnection idle(loop, server->address());
    client.Send(kGet);
    RunUntil(loop, [&] { return responder != nullptr && idle.connected(); });
    server.reset();
    BOOST_TEST(responder->closed());
    responder->Write("late");
    responder->End();
    RunUntil(loop, [&] { return client.ended() && idle.ended(); });
    BOOST_TEST(!closed);
  }
}

// Guards against use after free when the server is destroyed by its own handler.
BOOST_AUTO_TEST_CASE(server_may_be_destroyed_by_its_handler) {
  Loop loop;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      loop, LoopbackOptions(),
      [&](const HttpRequest&, const HttpResponderPtr&) { server.reset(); });
  RawConnection client(loop, server->address());
  client.Send(kGet);
  RunUntil(loop, [&] { return client.ended(); });
  BOOST_TEST(server == nullptr);
}

// Guards against requests that are interrupted when the server stops accepting: an open connection
// still gets its response, which tells the client not to send another request.
BOOST_AUTO_TEST_CASE(server_that_stopped_accepting_closes_after_the_response) {
  Loop loop;
  HttpServer server(loop, LoopbackOptions(),
                    [&](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, "answer");
                    });
  RawConnection client(loop, server.address());
  client.Send(kGet);
  RunUntil(loop, [&] { return Contains(client.received(), "answer"); });
  BOOST_TEST(Contains(client.received(), "keep-alive"));
  client.ClearReceived();
  server.StopAccepting();
  client.Send(kGet);
  RunUntil(loop, [&] { return client.ended(); });
  BOOST_TEST(Contains(client.received(), "answer"));
  BOOST_TEST(Contains(client.received(), "Connection: close"));
}

// Guards against responses that are lost or out of order when a client pipelines requests.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  Loop loop;
  HttpServer server(
      loop, LoopbackOptions(), [&](const HttpRequest& request, const HttpResponderPtr& responder) {
        loop.Post([responder, path = request.path] { responder->Respond(200, {}, "for " + path); });
      });
  RawConnection client(loop, server.address());
  client.Send(
      "GET /one HTTP/1.1\r\nHost: test\r\n\r\nGET /two HTTP/1.1\r\nHost: test\r\n\r\n"
      "GET /three HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntil(loop, [&] { return Contains(client.received(), "for /three"); });
  const std::string& all = client.received();
  BOOST_TEST(all.find("for /one") < all.find("for /two"));
  BOOST_TEST(all.find("for /two") < all.find("for /three"));
}

// Guards against an exception that propagates through h2o, and against headers that are injected
// through a line break in a value.
BOOST_AUTO_TEST_CASE(handler_errors_do_not_close_the_connection) {
  Loop loop;
  HttpServer server(
      loop, LoopbackOptions(), [&](const HttpRequest& request, const HttpResponderPtr& responder) {
        if (request.path == "/throw") {
          throw AddressError("test");
        }
        responder->Respond(200, {{"x-bad", "a\r\nx-forged: 1"}, {"content-length", "99"}}, "ok");
      });
  RawConnection client(loop, server.address());
  client.Send("GET /throw HTTP/1.1\r\nHost: test\r\n\r\nGET / HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntil(loop, [&] { return Contains(client.received(), "\r\n\r\nok"); });
  BOOST_TEST(Contains(client.received(), "HTTP/1.1 500 "));
  BOOST_TEST(!Contains(client.received(), "x-forged"));
  BOOST_TEST(!Contains(client.received(), "99"));
}

// Guards against malformed input of a client that terminates the process.
BOOST_AUTO_TEST_CASE(malformed_requests_do_not_stop_the_server) {
  constexpr std::uint64_t kSeed = 610;
  constexpr int kRounds = 300;
  Loop loop;
  HttpServerOptions options = LoopbackOptions();
  options.max_body_bytes = 100;
  HttpServer server(loop, options,
                    [](const HttpRequest& request, const HttpResponderPtr& responder) {
                      responder->Respond(200, {}, request.body);
                    });
  const std::vector<std::string> parts = {
      "GET ",
      "POST ",
      "HEAD ",
      "CONNECT ",
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
      "/",
      "*",
      "http://h/x",
      "/a?b=c",
      " HTTP/1.1\r\n",
      " HTTP/1.0\r\n",
      "Host: h\r\n",
      "Content-Length: 5\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: x\r\n",
      "Expect: 100-continue\r\n",
      "Expect: x\r\n",
      "Connection: upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAA\r\n",
      "Connection: close\r\n",
      "\r\n",
      "\r\n\r\n",
      "5\r\nhello\r\n",
      "0\r\n\r\n",
      "ffffffffffffffff\r\n",
      "hello",
      std::string(1, '\0'),
      "\xff",
      std::string(5000, 'a')};
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = random() % 2 == 0 ? "" : "POST / HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 8; ++i) {
      bytes += parts[random() % parts.size()];
    }
    RawConnection client(loop, server.address());
    client.Send(bytes);
    RunUntil(loop, [&] { return client.connected(); });
    // The server has handled the bytes when it responds to this request on a later connection.
    RawConnection other(loop, server.address());
    other.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nintact");
    RunUntil(loop, [&] { return Contains(other.received(), "intact"); });
  }
  RunUntil(loop, [&] { return server.open_requests() == 0; });
  BOOST_TEST(server.open_requests() == 0U);
}

// Guards against two servers that are bound to the same address without an error.
BOOST_AUTO_TEST_CASE(binding_to_a_used_address_fails) {
  Loop loop;
  const HttpServer server(loop, LoopbackOptions(),
                          [](const HttpRequest&, const HttpResponderPtr&) {});
  BOOST_CHECK_THROW(HttpServer(loop, HttpServerOptions{.listen = server.address()},
                               [](const HttpRequest&, const HttpResponderPtr&) {}),
                    SocketError);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
