#include <boost/test/unit_test.hpp>
#include <optional>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/json.h"
#include "src/net/test_support.h"

namespace acaciaspring::endpoint {

namespace {

using net::HttpRequest;
using net::HttpResponderPtr;

const std::string kUsage =
    R"(data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1,"cached_tokens":0}})"
    "\n\n";
const std::string kDone = "data: [DONE]\n\n";
const std::string kToken = R"(data: {"choices":[{"delta":{"content":"word"}}]})"
                           "\n\n";

std::string Describe(const Outcome& outcome) {
  return std::string(KindName(outcome)) + " " + std::string(ReasonName(outcome));
}

/// @brief A client, an engine and one model call.
struct Exchange {
  explicit Exchange(net::HttpServer::Handler handler)
      : server(std::make_unique<net::HttpServer>(
            loop,
            net::HttpServerOptions{.listen = net::kAnyLoopbackPort},
            std::move(handler))),
        client(std::make_unique<net::HttpClient>(loop, net::HttpClientOptions{})) {
    options.engine = server->address();
    options.program = ProgramId("p1");
    options.model = ModelId("m1");
    options.messages = R"([{"role":"user","content":"hello"}])";
    options.max_tokens = TokenCount(10);
  }

  void Start() {
    call = StartModelCall(*client, options,
                          {.on_token =
                               [this](std::uint64_t index, std::string_view token) {
                                 text += std::to_string(index) + std::string(token) + " ";
                                 if (on_token) {
                                   on_token();
                                 }
                               },
                           .on_finished =
                               [this](const Outcome& given, const wire::Usage& spent) {
                                 outcome = Describe(given);
                                 usage = spent;
                                 ++finished;
                               }});
    BOOST_TEST(finished == 0);
  }
  std::string Run() {
    Start();
    net::RunUntil(loop, [this] { return finished > 0; });
    return outcome;
  }

  net::Loop loop;
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<net::HttpClient> client;
  ModelCallOptions options;
  CallPtr call;
  std::function<void()> on_token;
  std::string text;
  std::string outcome;
  wire::Usage usage;
  int finished = 0;
};

/// @brief Handler that answers with one status.
net::HttpServer::Handler Status(int status, net::Headers headers, std::string body) {
  return [=](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Respond(status, headers, body);
  };
}

/// @brief Handler that streams bytes and then ends, or leaves the stream open.
net::HttpServer::Handler Stream(std::string bytes, bool end) {
  return [=](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Start(200, {{"content-type", "text/event-stream"}});
    responder->Write(bytes);
    if (end) {
      responder->End();
    }
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(model_call)

// Guards against parts of a call that do not reach the engine, or tokens that do not reach the
// caller.
BOOST_AUTO_TEST_CASE(call_is_sent_whole_and_completed) {
  HttpRequest seen;
  Exchange exchange([&](HttpRequest request, const HttpResponderPtr& responder) {
    seen = std::move(request);
    Stream(kToken + kUsage + kDone, true)(seen, responder);
  });
  exchange.options.priority = 2;
  exchange.options.hold = true;
  exchange.options.traceparent = "00-trace-span-01";
  BOOST_TEST(exchange.Run() == "completed ");
  BOOST_TEST(exchange.text == "0word ");
  BOOST_TEST(exchange.usage.prompt == TokenCount(3));
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.path == "/v1/chat/completions");
  BOOST_TEST(net::FindHeader(seen.headers, "traceparent") == "00-trace-span-01");
  const auto body = ParseJson(seen.body);
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST((*body)["user"].asString() == "p1");
  BOOST_TEST((*body)["model"].asString() == "m1");
  BOOST_TEST((*body)["stream"].asBool());
  BOOST_TEST((*body)["max_tokens"].asUInt64() == 10U);
  BOOST_TEST((*body)["priority"].asInt() == 2);
  BOOST_TEST((*body)["hold"].asBool());
  BOOST_TEST((*body)["messages"][0]["content"].asString() == "hello");
}

// Guards against an engine that keeps the connection open after the end of the stream and so delays
// the answer.
BOOST_AUTO_TEST_CASE(completed_does_not_wait_for_the_connection) {
  HttpResponderPtr open;
  Exchange exchange([&](const HttpRequest& request, const HttpResponderPtr& responder) {
    open = responder;
    Stream(kToken + kUsage + kDone, false)(request, responder);
  });
  BOOST_TEST(exchange.Run() == "completed ");
  BOOST_TEST(!open->closed());
  exchange.call.reset();
  net::RunUntil(exchange.loop, [&] { return open->closed(); });
  BOOST_TEST(exchange.finished == 1);
}

// Guards against a broken stream that is reported as complete or as not run.
BOOST_AUTO_TEST_CASE(stream_without_its_end_is_unknown) {
  for (const std::string& bytes : {kToken, kToken + kUsage, kToken + kDone, kToken + "data: [DO"}) {
    Exchange exchange(Stream(bytes, true));
    BOOST_TEST(exchange.Run() == "unknown connection_lost");
    BOOST_TEST(exchange.text == "0word ");
    BOOST_TEST(exchange.usage.completion == TokenCount(1));
  }
}

// Guards against an engine's death that is taken for anything but Unknown.
BOOST_AUTO_TEST_CASE(engine_that_dies_is_unknown) {
  Exchange during(Stream(kToken, false));
  during.on_token = [&] { during.loop.Post([&] { during.server.reset(); }); };
  BOOST_TEST(during.Run() == "unknown connection_lost");

  Exchange before([&](const HttpRequest&, const HttpResponderPtr&) {
    before.loop.Post([&] { before.server.reset(); });
  });
  BOOST_TEST(before.Run() == "unknown connection_lost");
}

// Guards against calls that wait for ever for a silent engine.
BOOST_AUTO_TEST_CASE(silent_engine_is_unknown) {
  Exchange no_answer([](const HttpRequest&, const HttpResponderPtr&) {});
  no_answer.options.first_token_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_answer.Run() == "unknown timeout");

  // Bytes without a token do not extend the time to the first token.
  std::vector<net::Timer> timers;
  Exchange no_token([&](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Start(200, {});
    responder->Write(": keep alive\n\n");
    timers.push_back(no_token.loop.Every(std::chrono::milliseconds(10),
                                         [responder] { responder->Write(": keep alive\n\n"); }));
  });
  no_token.options.first_token_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_token.Run() == "unknown timeout");

  Exchange no_end(Stream(kToken, false));
  no_end.options.first_token_timeout = std::chrono::hours(1);
  no_end.options.idle_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_end.Run() == "unknown timeout");
  BOOST_TEST(no_end.text == "0word ");
}

// Guards against refusals that are taken for possible executions, and the reverse.
BOOST_AUTO_TEST_CASE(statuses_map_to_outcomes) {
  const std::string refusal = R"({"error":{"code":"full","retry_after_ms":1500}})";
  BOOST_TEST(Exchange(Status(429, {}, refusal)).Run() == "not_run overloaded");
  BOOST_TEST(Exchange(Status(429, {{"retry-after", "2"}}, "")).Run() == "not_run overloaded");
  BOOST_TEST(Exchange(Status(503, {}, "draining")).Run() == "not_run endpoint_unavailable");
  BOOST_TEST(Exchange(Status(503, {}, "")).Run() == "unknown connection_lost");
  BOOST_TEST(Exchange(Status(500, {}, "error")).Run() == "unknown connection_lost");
  BOOST_TEST(Exchange(Status(400, {}, "")).Run() == "failed refused_by_service");
  BOOST_TEST(Exchange(Status(413, {}, "")).Run() == "failed too_large");
  BOOST_TEST(Exchange(Status(302, {}, "")).Run() == "failed invalid_answer");
  BOOST_TEST(Exchange(Status(200, {}, "{}")).Run() == "unknown connection_lost");
  BOOST_TEST(Exchange(Status(204, {}, "")).Run() == "unknown connection_lost");
}

// Guards against a call that nobody received being reported as possibly executed.
BOOST_AUTO_TEST_CASE(unreachable_engine_is_not_run) {
  Exchange exchange(Status(200, {}, ""));
  exchange.server.reset();
  BOOST_TEST(exchange.Run() == "not_run endpoint_unavailable");
  Exchange invalid(Status(200, {}, ""));
  invalid.options.messages = "[";
  BOOST_TEST(invalid.Run() == "not_run invalid_request");
}

// Guards against a malformed stream that is waited for until its end.
BOOST_AUTO_TEST_CASE(malformed_stream_fails_at_once) {
  Exchange exchange(Stream(kToken + "data: nonsense\n\n", false));
  BOOST_TEST(exchange.Run() == "failed invalid_answer");
  net::RunUntil(exchange.loop, [&] { return exchange.server->open_requests() == 0; });
}

// Guards against callbacks after a cancel, and against streams that go on at the engine.
BOOST_AUTO_TEST_CASE(no_callback_follows_a_cancel) {
  Exchange at_once(Stream(kToken + kUsage + kDone, true));
  at_once.Start();
  at_once.call->Cancel();
  // The second call is sent after the cancelled one to the same engine.
  BOOST_TEST(at_once.Run() == "completed ");
  BOOST_TEST(at_once.text == "0word ");
  BOOST_TEST(at_once.finished == 1);
  Exchange in_token(Stream(kToken + kToken + kUsage + kDone, false));
  in_token.on_token = [&] { in_token.call.reset(); };
  in_token.Start();
  net::RunUntil(in_token.loop, [&] { return in_token.text == "0word "; });
  net::RunUntil(in_token.loop, [&] { return in_token.server->open_requests() == 0; });
  BOOST_TEST(in_token.text == "0word ");
  BOOST_TEST(in_token.finished == 0);
}

// Guards against use of a client that a callback has destroyed.
BOOST_AUTO_TEST_CASE(client_may_be_destroyed_by_a_callback) {
  Exchange exchange(Stream(kToken + kUsage + kDone, true));
  exchange.on_token = [&] { exchange.client.reset(); };
  exchange.Start();
  net::RunUntil(exchange.loop, [&] { return exchange.client == nullptr; });
  exchange.call.reset();
  BOOST_TEST(exchange.text == "0word ");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::endpoint
