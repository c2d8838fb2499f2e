#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

#include "acaciaspring/net.h"
#include "src/net/http_test_support.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

Address UnusedAddress() {
  Loop loop;
  return RawServer(loop).address();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against idle connections that stay open to a server that leaves, and against responses
// that are cut off when they are closed.
BOOST_AUTO_TEST_CASE(idle_connections_to_one_server_are_closed) {
  Loop loop;
  RawServer leaving(loop);
  RawServer other(loop);
  HttpClient client(loop, {});
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  std::size_t done = 0;
  std::vector<std::shared_ptr<HttpCall>> calls;
  for (const Address& server : {leaving.address(), leaving.address(), other.address()}) {
    calls.push_back(client.Send({.server = server}, {.on_done = [&](const HttpResult& result) {
                                  done += std::holds_alternative<HttpFinished>(result) ? 1 : 0;
                                }}));
  }
  const auto has_request = [](RawServer& server, std::size_t connection) {
    return server.connections().size() > connection &&
           !server.connections()[connection]->received().empty();
  };
  RunUntil(loop, [&] {
    return has_request(leaving, 0) && has_request(leaving, 1) && has_request(other, 0);
  });
  leaving.connections()[0]->Send(response);
  other.connections()[0]->Send(response);
  RunUntil(loop, [&] { return done == 2; });
  client.CloseIdleConnections(leaving.address());
  client.CloseIdleConnections(leaving.address());
  RunUntil(loop, [&] { return leaving.connections()[0]->ended(); });
  BOOST_TEST(!other.connections()[0]->ended());
  leaving.connections()[1]->Send(response);
  RunUntil(loop, [&] { return done == 3; });
  calls.push_back(client.Send({.server = leaving.address()}, {}));
  RunUntil(loop, [&] {
    return leaving.connections()[1]->received().find("GET", 1) != std::string::npos;
  });
  BOOST_TEST(leaving.connections().size() == 2U);
}

// Guards against loss or modification of parts of a request or response between client and server.
BOOST_AUTO_TEST_CASE(request_and_response_are_transferred_completely) {
  Loop loop;
  HttpRequest seen;
  HttpServer server(loop, {.listen = kAnyLoopbackPort, .max_body_bytes = kMaxTestBodyBytes},
                    [&](HttpRequest request, const HttpResponderPtr& responder) {
                      seen = request;
                      responder->Respond(201, {{"X-Answer", "a b"}}, request.body);
                    });
  HttpClient client(loop, {});
  const std::string body(std::size_t{3} << 20, 'b');
  const HttpReply reply = Get(loop, client,
                              {.server = server.address(),
                               .method = "POST",
                               .target = "/p?q=1",
                               .headers = {{"Idempotency-Key", "k 1"}},
                               .body = body});
  BOOST_TEST(Describe(reply.result) == "finished 201");
  BOOST_TEST(FindHeader(reply.headers, "x-answer") == "a b");
  BOOST_TEST((reply.body == body));
  BOOST_TEST(seen.path == "/p");
  BOOST_TEST(seen.query == "q=1");
  BOOST_TEST(FindHeader(seen.headers, "idempotency-key") == "k 1");
}

// Guards against responses, among them those without a body, that are attributed to the next
// request on a reused connection.
BOOST_AUTO_TEST_CASE(responses_on_a_reused_connection_match_their_requests) {
  Loop loop;
  RawServer counter(loop);
  std::vector<std::string> paths;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [&](const HttpRequest& request, const HttpResponderPtr& responder) {
                      paths.push_back(request.path);
                      responder->Respond(request.path == "/204" ? 204 : 200, {}, request.path);
                    });
  HttpClient client(loop, {});
  for (int round = 0; round < 3; ++round) {
    HttpReply reply = Get(loop, client, {.server = server.address(), .target = "/first"});
    BOOST_TEST(reply.body == "/first");
    reply = Get(loop, client, {.server = server.address(), .method = "HEAD", .target = "/head"});
    BOOST_TEST(Describe(reply.result) == "finished 200");
    BOOST_TEST(reply.body.empty());
    reply = Get(loop, client, {.server = server.address(), .target = "/204"});
    BOOST_TEST(Describe(reply.result) == "finished 204");
    reply = Get(loop, client, {.server = server.address(), .target = "/last"});
    BOOST_TEST(reply.body == "/last");
  }
  BOOST_TEST(paths.size() == 12U);
}

// Guards against requests that fail because the server has closed an idle pooled connection.
BOOST_AUTO_TEST_CASE(pooled_connection_closed_by_the_server_is_not_reused) {
  Loop loop;
  HttpClient client(loop, {});
  auto server = std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = kAnyLoopbackPort},
                                             EchoHandler());
  const Address address = server->address();
  for (int round = 0; round < 5; ++round) {
    const HttpReply reply =
        Get(loop, client, {.server = address, .method = "POST", .body = "hello"});
    BOOST_TEST(Describe(reply.result) == "finished 200");
    server.reset();
    server =
        std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = address}, EchoHandler());
  }
}

// Guards against a request that is reported as possibly executed although no server received it.
BOOST_AUTO_TEST_CASE(request_to_a_closed_port_is_not_sent) {
  Loop loop;
  HttpClient client(loop, {});
  const HttpReply reply = Get(loop, client, {.server = UnusedAddress()});
  BOOST_TEST(Describe(reply.result) == "not sent");
}

// Guards against injection of headers and requests through control characters in values that the
// caller supplies.
BOOST_AUTO_TEST_CASE(control_characters_are_not_sent) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer server(loop);
  const std::vector<HttpClientRequest> requests = {
      {.server = server.address(), .headers = {{"key", "a\r\nx: y"}}},
      {.server = server.address(), .headers = {{"key: a\nx", "y"}}},
      {.server = server.address(), .target = "/a b"},
      {.server = server.address(), .target = "/a\r\n\r\n"},
      {.server = server.address(), .method = "GET /x"},
      {.server = server.address(), .headers = {{"", "y"}}}};
  for (const HttpClientRequest& request : requests) {
    BOOST_TEST(Describe(Get(loop, client, request).result) == "not sent");
  }
  BOOST_TEST(server.connections().empty());
}

// Guards against requests that are interrupted when the server stops accepting connections.
BOOST_AUTO_TEST_CASE(stop_accepting_does_not_interrupt_requests) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort}, EchoHandler());
  HttpClient client(loop, {});
  const HttpClientRequest request = {.server = server.address(), .method = "POST", .body = "hello"};
  BOOST_TEST(Describe(Get(loop, client, request).result) == "finished 200");
  server.StopAccepting();
  BOOST_TEST(Describe(Get(loop, client, request).result) == "finished 200");
  BOOST_TEST(Describe(Get(loop, client, request).result) == "not sent");
}

// Guards against calls that wait forever for a server that does not respond, and against a timeout
// that expires while data is being received.
BOOST_AUTO_TEST_CASE(inactive_server_times_out) {
  Loop loop;
  HttpClient client(loop, {});
  RawServer silent(loop);
  const Duration timeout = std::chrono::milliseconds(200);
  HttpReply reply = Get(loop, client, {.server = silent.address(), .io_timeout = timeout});
  BOOST_TEST(Describe(reply.result) == "timed out");

  std::vector<Timer> timers;
  HttpServer slow(loop, {.listen = kAnyLoopbackPort},
                  [&](const HttpRequest&, const HttpResponderPtr& responder) {
                    responder->Start(200, {});
                    for (int part = 0; part < 20; ++part) {
                      timers.push_back(loop.After(part * timeout / 10, [responder, part] {
                        responder->Write("x");
                        if (part == 19) {
                          responder->End();
                        }
                      }));
                    }
                  });
  reply = Get(loop, client, {.server = slow.address(), .io_timeout = 10 * timeout});
  BOOST_TEST(Describe(reply.result) == "finished 200");
  BOOST_TEST(reply.body == std::string(20, 'x'));
}

// Guards against a stream that retains the long timeout that was set for its first byte.
BOOST_AUTO_TEST_CASE(timeout_can_be_changed_during_the_response) {
  Loop loop;
  HttpClient client(loop, {});
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Start(200, {});
                      responder->Write("part");
                    });
  std::optional<HttpResult> result;
  std::shared_ptr<HttpCall> call;
  call = client.Send(
      {.server = server.address(), .io_timeout = std::chrono::hours(1)},
      {.on_head = {},
       .on_data = [&](std::string_view) { call->SetIoTimeout(std::chrono::milliseconds(1)); },
       .on_done = [&](const HttpResult& value) { result = value; }});
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST(Describe(*result) == "timed out");
  call->SetIoTimeout(std::chrono::hours(1));
}

// Guards against callbacks into objects that were destroyed after the call was cancelled.
BOOST_AUTO_TEST_CASE(cancelled_call_makes_no_callbacks) {
  Loop loop;
  HttpClient client(loop, {});
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Start(200, {});
                      responder->Write("part");
                      responder->End();
                    });
  enum class Moment : std::uint8_t { kImmediately, kDestroyed, kInHead, kInData, kInDone };
  std::map<Moment, std::string> seen;
  std::map<Moment, std::shared_ptr<HttpCall>> calls;
  for (const Moment moment : {Moment::kImmediately, Moment::kDestroyed, Moment::kInHead,
                              Moment::kInData, Moment::kInDone}) {
    const auto cancel_at = [&seen, &calls, moment](Moment now, const char* event) {
      seen[moment] += event;
      if (now == moment) {
        calls[moment]->Cancel();
        calls[moment].reset();
      }
    };
    calls[moment] =
        client.Send({.server = server.address()},
                    {.on_head = [=](int, const Headers&) { cancel_at(Moment::kInHead, "head "); },
                     .on_data = [=](std::string_view) { cancel_at(Moment::kInData, "data "); },
                     .on_done = [=](const HttpResult&) { cancel_at(Moment::kInDone, "done "); }});
  }
  calls[Moment::kImmediately]->Cancel();
  calls[Moment::kDestroyed].reset();
  RunUntil(loop, [&] { return seen[Moment::kInDone] == "head data done "; });
  // When this later request to the same server completes, the other calls have been processed too.
  Get(loop, client, {.server = server.address()});
  BOOST_TEST(seen[Moment::kImmediately] == "");
  BOOST_TEST(seen[Moment::kDestroyed] == "");
  BOOST_TEST(seen[Moment::kInHead] == "head ");
  BOOST_TEST(seen[Moment::kInData] == "head data ");
}

// Guards against use after free when a callback destroys the client, for each kind of callback.
BOOST_AUTO_TEST_CASE(client_may_be_destroyed_by_a_callback) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest& request, const HttpResponderPtr& responder) {
                      if (request.path == "/whole") {
                        responder->Respond(200, {}, "whole");
                        return;
                      }
                      responder->Start(200, {});
                      responder->Write("part");
                    });
  for (const std::string target : {"/whole", "/part"}) {
    for (int moment = 0; moment < 3; ++moment) {
      auto client = std::make_unique<HttpClient>(loop, HttpClientOptions{});
      const auto destroy_at = [&](int now) {
        if (now == moment) {
          client.reset();
        }
      };
      const auto call = client->Send({.server = server.address(), .target = target},
                                     {.on_head = [&](int, const Headers&) { destroy_at(0); },
                                      .on_data = [&](std::string_view) { destroy_at(1); },
                                      .on_done = [&](const HttpResult&) { destroy_at(2); }});
      const bool ends = target == "/whole" || moment < 2;
      if (!ends) {
        continue;
      }
      RunUntil(loop, [&] { return client == nullptr; });
    }
  }
  RunUntil(loop, [&] { return server.open_requests() == 0; });
  BOOST_TEST(server.open_requests() == 0U);
}

// Guards against unbounded memory for an endless response.
BOOST_AUTO_TEST_CASE(fetch_is_interrupted_at_its_size_limit) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort},
                    [](const HttpRequest&, const HttpResponderPtr& responder) {
                      responder->Start(200, {});
                      responder->Write(std::string(1001, 'x'));
                    });
  HttpClient client(loop, {});
  std::optional<HttpReply> reply;
  Fetch(client, {.server = server.address()}, 1000, [&](HttpReply given) { reply = given; });
  RunUntil(loop, [&] { return reply.has_value(); });
  BOOST_TEST(Describe(reply->result) == "interrupted");
  RunUntil(loop, [&] { return server.open_requests() == 0; });
}

// Guards against loss of a 413 response because the server closes the connection.
BOOST_AUTO_TEST_CASE(rejection_of_a_large_body_is_received) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort, .max_body_bytes = 1000}, EchoHandler());
  HttpClient client(loop, {});
  const HttpReply reply = Get(
      loop, client, {.server = server.address(), .method = "POST", .body = std::string(1001, 'x')});
  BOOST_TEST(Describe(reply.result) == "finished 413");
}

// Guards, under load, against lost or mismatched responses and leaks of pooled connections.
BOOST_AUTO_TEST_CASE(concurrent_requests_get_their_own_responses) {
  Loop loop;
  HttpServer server(loop, {.listen = kAnyLoopbackPort}, EchoHandler());
  HttpClient client(loop, {.pool_capacity = 8});
  constexpr int kRequests = 5000;
  constexpr int kConcurrent = 32;
  int started = 0;
  int finished = 0;
  int mismatched = 0;
  std::function<void()> start = [&] {
    const std::string body = "request " + std::to_string(started++);
    Fetch(client, {.server = server.address(), .method = "POST", .body = body}, 1000,
          [&, body](const HttpReply& reply) {
            mismatched += reply.body == body ? 0 : 1;
            ++finished;
            if (started < kRequests) {
              start();
            }
          });
  };
  for (int i = 0; i < kConcurrent; ++i) {
    start();
  }
  RunUntil(loop, [&] { return finished == kRequests; });
  BOOST_TEST(mismatched == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
