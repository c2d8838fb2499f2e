#include <boost/test/unit_test.hpp>
#include <random>

#include "acaciaspring/net.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

HttpServerOptions OnLoopback() {
  return HttpServerOptions{.listen = kAnyLoopbackPort};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kGet = "GET /path?a=1&b=x%20y&flag HTTP/1.1\r\nHost: test\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

// Guards against requests that reach the handler with parts lost or mixed up.
BOOST_AUTO_TEST_CASE(request_is_passed_on_whole) {
  Loop loop;
  HttpRequest seen;
  HttpServer server(loop, OnLoopback(),
                    [&](HttpRequest request, const HttpResponderPtr& responder) {
                      seen = std::move(request);
                      responder->Respond(200, {{"x-answer", "yes"}}, "body");
                    });
  RawConnection caller(loop, server.address());
  caller.Send(
      "POST /v1/things/7?a=1&b=x%20y&flag HTTP/1.1\r\nHost: test\r\nX-Mixed-Case: Value\r\n"
      "Content-Length: 5\r\n\r\nhello");
  RunUntil(loop, [&] { return Contains(caller.received(), "\r\n\r\nbody"); });
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.path == "/v1/things/7");
  BOOST_TEST(seen.query == "a=1&b=x%20y&flag");
  BOOST_TEST(FindQueryParameter(seen, "a") == "1");
  BOOST_TEST(FindQueryParameter(seen, "b") == "x%20y");
  BOOST_TEST(FindQueryParameter(seen, "flag") == "");
  BOOST_TEST(FindQueryParameter(seen, "none") == "");
  BOOST_TEST(FindHeader(seen.headers, "x-mixed-case") == "Value");
  BOOST_TEST(seen.body == "hello");
  BOOST_TEST(Contains(caller.received(), "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Contains(caller.received(), "x-answer: yes\r\n"));
}

// Guards against a first token that waits in the server for the rest of the answer.
BOOST_AUTO_TEST_CASE(each_streamed_part_is_sent_at_once) {
  Loop loop;
  HttpResponderPtr responder;
  HttpServer server(loop, OnLoopback(), [&](const HttpRequest&, HttpResponderPtr given) {
    responder = std::move(given);
  });
  RawConnection caller(loop, server.address());
  caller.Send(kGet);
  RunUntil(loop, [&] { return responder != nullptr; });
  responder->Start(200, {{"content-type", "text/event-stream"}});
  responder->Write("first");
  RunUntil(loop, [&] { return Contains(caller.received(), "first"); });
  BOOST_TEST(!responder->closed());
  responder->Write("second");
  responder->Write("third");
  responder->End();
  BOOST_TEST(responder->closed());
  RunUntil(loop, [&] { return Contains(caller.received(), "\r\n0\r\n\r\n"); });
  BOOST_TEST(Contains(caller.received(), "second"));
  BOOST_TEST(Contains(caller.received(), "third"));
  RunUntil(loop, [&] { return server.open_requests() == 0; });
}

// Guards against memory that grows with the claimed size of a body.
BOOST_AUTO_TEST_CASE(oversized_body_is_answered_with_413) {
  Loop loop;
  int handled = 0;
  HttpServerOptions options = OnLoopback();
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
  HttpServer server(loop, OnLoopback(),
                    [&](const HttpRequest&, const HttpResponderPtr&) { ++handled; });
  RawConnection caller(loop, server.address());
  caller.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf");
  RunUntil(loop, [&] { return caller.connected(); });
  caller.Close();
  RunUntil(loop, [&] { return caller.ended(); });
  RawConnection other(loop, server.address());
  other.Send("nonsense\r\n\r\n");
  RunUntil(loop, [&] { return other.ended(); });
  BOOST_TEST(handled == 0);
  BOOST_TEST(server.open_requests() == 0);
}

// Guards against streams to nobody: the loss of the caller must be noticed also while nothing is
// written, and writes after it must be ignored.
BOOST_AUTO_TEST_CASE(caller_that_leaves_is_noticed) {
  for (const bool started : {false, true}) {
    for (const bool reset : {false, true}) {
      Loop loop;
      HttpResponderPtr responder;
      int closed = 0;
      HttpServer server(loop, OnLoopback(), [&](const HttpRequest&, HttpResponderPtr given) {
        responder = std::move(given);
        responder->OnClosed([&] { ++closed; });
        if (started) {
          responder->Start(200, {});
          responder->Write("part");
        }
      });
      RawConnection caller(loop, server.address());
      caller.Send(kGet);
      RunUntil(loop, [&] {
        return responder != nullptr && (!started || Contains(caller.received(), "part"));
      });
      caller.Close(reset);
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

// Guards against unlimited buffering that nobody can see, and against a stalled caller that holds
// its answer for ever.
BOOST_AUTO_TEST_CASE(caller_that_does_not_read_is_disconnected) {
  Loop loop;
  HttpResponderPtr responder;
  bool closed = false;
  HttpServerOptions options = OnLoopback();
  options.io_timeout = std::chrono::milliseconds(300);
  HttpServer server(loop, options, [&](const HttpRequest&, HttpResponderPtr given) {
    responder = std::move(given);
    responder->OnClosed([&] { closed = true; });
  });
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in name = ToSocketAddress(server.address());
  BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
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
BOOST_AUTO_TEST_CASE(responder_outlives_the_server) {
  for (const bool started : {false, true}) {
    Loop loop;
    HttpResponderPtr responder;
    bool closed = false;
    auto server = std::make_unique<HttpServer>(loop, OnLoopback(),
                                               [&](const HttpRequest&, HttpResponderPtr given) {
                                                 responder = std::move(given);
                                                 responder->OnClosed([&] { closed = true; });
                                                 if (started) {
                                                   responder->Start(200, {});
                                                 }
                                               });
    RawConnection caller(loop, server->address());
    RawConnection idle(loop, server->address());
    caller.Send(kGet);
    RunUntil(loop, [&] { return responder != nullptr && idle.connected(); });
    server.reset();
    BOOST_TEST(responder->closed());
    responder->Write("late");
    responder->End();
    RunUntil(loop, [&] { return caller.ended() && idle.ended(); });
    BOOST_TEST(!closed);
  }
}

// Guards against use of the server after its own handler has destroyed it.
BOOST_AUTO_TEST_CASE(server_may_be_destroyed_by_its_handler) {
  Loop loop;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      loop, OnLoopback(), [&](const HttpRequest&, const HttpResponderPtr&) { server.reset(); });
  RawConnection caller(loop, server->address());
  caller.Send(kGet);
  RunUntil(loop, [&] { return caller.ended(); });
  BOOST_TEST(server == nullptr);
}

// Guards against planned stops that cut off a request: an open connection gets its answer and is
// told not to send another request.
BOOST_AUTO_TEST_CASE(server_that_stopped_accepting_closes_after_the_answer) {
  Loop loop;
  HttpServer server(loop, OnLoopback(), [&](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Respond(200, {}, "answer");
  });
  RawConnection caller(loop, server.address());
  caller.Send(kGet);
  RunUntil(loop, [&] { return Contains(caller.received(), "answer"); });
  BOOST_TEST(Contains(caller.received(), "keep-alive"));
  caller.ClearReceived();
  server.StopAccepting();
  caller.Send(kGet);
  RunUntil(loop, [&] { return caller.ended(); });
  BOOST_TEST(Contains(caller.received(), "answer"));
  BOOST_TEST(Contains(caller.received(), "Connection: close"));
}

// Guards against answers that are swapped or lost when a caller sends requests without waiting.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  Loop loop;
  HttpServer server(
      loop, OnLoopback(), [&](const HttpRequest& request, const HttpResponderPtr& responder) {
        loop.Post([responder, path = request.path] { responder->Respond(200, {}, "for " + path); });
      });
  RawConnection caller(loop, server.address());
  caller.Send(
      "GET /one HTTP/1.1\r\nHost: test\r\n\r\nGET /two HTTP/1.1\r\nHost: test\r\n\r\n"
      "GET /three HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntil(loop, [&] { return Contains(caller.received(), "for /three"); });
  const std::string& all = caller.received();
  BOOST_TEST(all.find("for /one") < all.find("for /two"));
  BOOST_TEST(all.find("for /two") < all.find("for /three"));
}

// Guards against an exception that passes through h2o, and against headers forged by a line break
// in a value.
BOOST_AUTO_TEST_CASE(faulty_handlers_do_not_break_the_connection) {
  Loop loop;
  HttpServer server(
      loop, OnLoopback(), [&](const HttpRequest& request, const HttpResponderPtr& responder) {
        if (request.path == "/throw") {
          throw AddressError("test");
        }
        responder->Respond(200, {{"x-bad", "a\r\nx-forged: 1"}, {"content-length", "99"}}, "ok");
      });
  RawConnection caller(loop, server.address());
  caller.Send("GET /throw HTTP/1.1\r\nHost: test\r\n\r\nGET / HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntil(loop, [&] { return Contains(caller.received(), "\r\n\r\nok"); });
  BOOST_TEST(Contains(caller.received(), "HTTP/1.1 500 "));
  BOOST_TEST(!Contains(caller.received(), "x-forged"));
  BOOST_TEST(!Contains(caller.received(), "99"));
}

// Guards against bytes of a caller that stop the whole process.
BOOST_AUTO_TEST_CASE(damaged_requests_do_not_stop_the_server) {
  constexpr std::uint64_t kSeed = 610;
  constexpr int kRounds = 300;
  Loop loop;
  HttpServerOptions options = OnLoopback();
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
    RawConnection caller(loop, server.address());
    caller.Send(bytes);
    RunUntil(loop, [&] { return caller.connected(); });
    // The server handles the bytes before the next request, whose connection comes later.
    RawConnection other(loop, server.address());
    other.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nintact");
    RunUntil(loop, [&] { return Contains(other.received(), "intact"); });
  }
  RunUntil(loop, [&] { return server.open_requests() == 0; });
  BOOST_TEST(server.open_requests() == 0U);
}

// Guards against two processes that believe to own the same address.
BOOST_AUTO_TEST_CASE(used_address_is_an_error) {
  Loop loop;
  const HttpServer server(loop, OnLoopback(), [](const HttpRequest&, const HttpResponderPtr&) {});
  BOOST_CHECK_THROW(HttpServer(loop, HttpServerOptions{.listen = server.address()},
                               [](const HttpRequest&, const HttpResponderPtr&) {}),
                    SocketError);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
