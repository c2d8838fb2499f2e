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

/// @brief An HTTP client, a server in place of the engine, and one model call.
struct ModelCallFixture {
  explicit ModelCallFixture(net::HttpServer::Handler handler)
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
                               [this](const Outcome& call_outcome, const wire::Usage& call_usage) {
                                 outcome = Describe(call_outcome);
                                 usage = call_usage;
                                 ++finished_count;
                               }});
    BOOST_TEST(finished_count == 0);
  }
  std::string Run() {
    Start();
    net::RunUntil(loop, [this] { return finished_count > 0; });
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
  int finished_count = 0;
};

/// @brief Handler that sends the same response to every request.
net::HttpServer::Handler RespondWithStatus(int status, net::Headers headers, std::string body) {
  return [=](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Respond(status, headers, body);
  };
}

/// @brief Handler that streams `bytes` and then ends the response if `end` is set.
net::HttpServer::Handler RespondWithStream(std::string bytes, bool end) {
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

// Guards against options that are missing from the request and tokens that are not delivered.
BOOST_AUTO_TEST_CASE(call_is_sent_with_all_options_and_completes) {
  HttpRequest received;
  ModelCallFixture fixture([&](HttpRequest request, const HttpResponderPtr& responder) {
    received = std::move(request);
    RespondWithStream(kToken + kUsage + kDone, true)(received, responder);
  });
  fixture.options.priority = 2;
  fixture.options.hold = true;
  fixture.options.traceparent = "00-trace-span-01";
  BOOST_TEST(fixture.Run() == "completed ");
  BOOST_TEST(fixture.text == "0word ");
  BOOST_TEST(fixture.usage.prompt == TokenCount(3));
  BOOST_TEST(received.method == "POST");
  BOOST_TEST(received.path == "/v1/chat/completions");
  BOOST_TEST(net::FindHeader(received.headers, "traceparent") == "00-trace-span-01");
  const auto body = ParseJson(received.body);
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST((*body)["user"].asString() == "p1");
  BOOST_TEST((*body)["model"].asString() == "m1");
  BOOST_TEST((*body)["stream"].asBool());
  BOOST_TEST((*body)["max_tokens"].asUInt64() == 10U);
  BOOST_TEST((*body)["priority"].asInt() == 2);
  BOOST_TEST((*body)["hold"].asBool());
  BOOST_TEST((*body)["messages"][0]["content"].asString() == "hello");
}

// Guards against a delayed on_finished: an engine may leave the HTTP response open after `[DONE]`.
BOOST_AUTO_TEST_CASE(completed_does_not_wait_for_the_end_of_the_response) {
  HttpResponderPtr open_responder;
  ModelCallFixture fixture([&](const HttpRequest& request, const HttpResponderPtr& responder) {
    open_responder = responder;
    RespondWithStream(kToken + kUsage + kDone, false)(request, responder);
  });
  BOOST_TEST(fixture.Run() == "completed ");
  BOOST_TEST(!open_responder->closed());
  fixture.call.reset();
  net::RunUntil(fixture.loop, [&] { return open_responder->closed(); });
  BOOST_TEST(fixture.finished_count == 1);
}

// Guards against a truncated stream that is reported as Completed or NotRun. The engine ends the
// response without usage, without `[DONE]`, or within a line.
BOOST_AUTO_TEST_CASE(truncated_stream_is_unknown) {
  for (const std::string& bytes : {kToken, kToken + kUsage, kToken + kDone, kToken + "data: [DO"}) {
    ModelCallFixture fixture(RespondWithStream(bytes, true));
    BOOST_TEST(fixture.Run() == "unknown connection_lost");
    BOOST_TEST(fixture.text == "0word ");
    BOOST_TEST(fixture.usage.completion == TokenCount(1));
  }
}

// Guards against an engine crash that is reported as another outcome than Unknown: the engine may
// have run the call. The connection is lost after the first token or before the response.
BOOST_AUTO_TEST_CASE(engine_crash_is_unknown) {
  ModelCallFixture during(RespondWithStream(kToken, false));
  during.on_token = [&] { during.loop.Post([&] { during.server.reset(); }); };
  BOOST_TEST(during.Run() == "unknown connection_lost");

  ModelCallFixture before([&](const HttpRequest&, const HttpResponderPtr&) {
    before.loop.Post([&] { before.server.reset(); });
  });
  BOOST_TEST(before.Run() == "unknown connection_lost");
}

// Guards against calls that never end because the engine stops sending.
BOOST_AUTO_TEST_CASE(unresponsive_engine_is_unknown) {
  ModelCallFixture no_response([](const HttpRequest&, const HttpResponderPtr&) {});
  no_response.options.first_token_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_response.Run() == "unknown timeout");

  // Bytes that contain no token do not restart the first-token timeout.
  std::vector<net::Timer> timers;
  ModelCallFixture no_token([&](const HttpRequest&, const HttpResponderPtr& responder) {
    responder->Start(200, {});
    responder->Write(": keep alive\n\n");
    timers.push_back(no_token.loop.Every(std::chrono::milliseconds(10),
                                         [responder] { responder->Write(": keep alive\n\n"); }));
  });
  no_token.options.first_token_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_token.Run() == "unknown timeout");

  ModelCallFixture no_end(RespondWithStream(kToken, false));
  no_end.options.first_token_timeout = std::chrono::hours(1);
  no_end.options.idle_timeout = std::chrono::milliseconds(100);
  BOOST_TEST(no_end.Run() == "unknown timeout");
  BOOST_TEST(no_end.text == "0word ");
}

// Guards against a rejected call that is reported as possibly executed, and a possibly executed
// call that is reported as rejected.
BOOST_AUTO_TEST_CASE(statuses_map_to_outcomes) {
  const std::string error_body = R"({"error":{"code":"full","retry_after_ms":1500}})";
  BOOST_TEST(ModelCallFixture(RespondWithStatus(429, {}, error_body)).Run() ==
             "not_run overloaded");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(429, {{"retry-after", "2"}}, "")).Run() ==
             "not_run overloaded");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(503, {}, "draining")).Run() ==
             "not_run endpoint_unavailable");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(503, {}, "")).Run() == "unknown connection_lost");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(500, {}, "error")).Run() ==
             "unknown connection_lost");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(400, {}, "")).Run() == "failed refused_by_service");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(413, {}, "")).Run() == "failed too_large");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(302, {}, "")).Run() == "failed invalid_answer");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(200, {}, "{}")).Run() == "unknown connection_lost");
  BOOST_TEST(ModelCallFixture(RespondWithStatus(204, {}, "")).Run() == "unknown connection_lost");
}

// Guards against a call that was never sent but is reported as possibly executed.
BOOST_AUTO_TEST_CASE(unreachable_engine_is_not_run) {
  ModelCallFixture fixture(RespondWithStatus(200, {}, ""));
  fixture.server.reset();
  BOOST_TEST(fixture.Run() == "not_run endpoint_unavailable");
  ModelCallFixture invalid(RespondWithStatus(200, {}, ""));
  invalid.options.messages = "[";
  BOOST_TEST(invalid.Run() == "not_run invalid_request");
}

// Guards against waiting for the end of a stream that is already known to be malformed.
BOOST_AUTO_TEST_CASE(malformed_stream_fails_immediately) {
  ModelCallFixture fixture(RespondWithStream(kToken + "data: nonsense\n\n", false));
  BOOST_TEST(fixture.Run() == "failed invalid_answer");
  net::RunUntil(fixture.loop, [&] { return fixture.server->open_requests() == 0; });
}

// Guards against callbacks after a cancellation and against a connection that stays open, so that
// the engine continues to generate tokens.
BOOST_AUTO_TEST_CASE(no_callback_after_cancellation) {
  ModelCallFixture before_response(RespondWithStream(kToken + kUsage + kDone, true));
  before_response.Start();
  before_response.call->Cancel();
  // A second call to the same engine gives callbacks of the cancelled call time to arrive.
  BOOST_TEST(before_response.Run() == "completed ");
  BOOST_TEST(before_response.text == "0word ");
  BOOST_TEST(before_response.finished_count == 1);
  ModelCallFixture in_token(RespondWithStream(kToken + kToken + kUsage + kDone, false));
  in_token.on_token = [&] { in_token.call.reset(); };
  in_token.Start();
  net::RunUntil(in_token.loop, [&] { return in_token.text == "0word "; });
  net::RunUntil(in_token.loop, [&] { return in_token.server->open_requests() == 0; });
  BOOST_TEST(in_token.text == "0word ");
  BOOST_TEST(in_token.finished_count == 0);
}

// Guards against use after free when a callback destroys the HTTP client.
BOOST_AUTO_TEST_CASE(client_may_be_destroyed_by_a_callback) {
  ModelCallFixture fixture(RespondWithStream(kToken + kUsage + kDone, true));
  fixture.on_token = [&] { fixture.client.reset(); };
  fixture.Start();
  net::RunUntil(fixture.loop, [&] { return fixture.client == nullptr; });
  fixture.call.reset();
  BOOST_TEST(fixture.text == "0word ");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::endpoint
