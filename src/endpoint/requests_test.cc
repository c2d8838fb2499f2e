#include <boost/test/unit_test.hpp>
#include <optional>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/json.h"
#include "src/net/test_support.h"

namespace acaciaspring::endpoint {

namespace {

using net::HttpRequest;
using net::HttpResponderPtr;
using Kind = RequestFailure::Kind;

std::string Describe(const Outcome& outcome) {
  return std::string(KindName(outcome)) + " " + std::string(ReasonName(outcome));
}

/// @brief A server with one answer for everything, and a client.
struct Fixture {
  Fixture()
      : server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](HttpRequest request, const HttpResponderPtr& responder) {
                 seen = std::move(request);
                 if (silent) {
                   kept = responder;
                 } else {
                   responder->Respond(status, headers, body);
                 }
               }),
        client(loop, {}) {
    options.endpoint = server.address();
  }

  /// @brief Runs `start(on_reply)` to its reply.
  template <class ReplyType, class Start>
  ReplyType Run(Start start) {
    std::optional<ReplyType> reply;
    const CallPtr call = start([&](const ReplyType& given) { reply = given; });
    BOOST_TEST(!reply.has_value());
    net::RunUntil(loop, [&] { return reply.has_value(); });
    return *reply;
  }
  Reply<EngineLoad> Load() {
    return Run<Reply<EngineLoad>>(
        [&](auto on_reply) { return FetchLoad(client, options, on_reply); });
  }
  std::string Tool(std::string* answer = nullptr) {
    std::optional<Outcome> outcome;
    const CallPtr call = StartToolCall(client, tool, [&](const Outcome& given, std::string text) {
      outcome = given;
      if (answer != nullptr) {
        *answer = std::move(text);
      }
    });
    net::RunUntil(loop, [&] { return outcome.has_value(); });
    return Describe(*outcome);
  }
  void Answer(int new_status, std::string new_body) {
    status = new_status;
    body = std::move(new_body);
  }

  net::Loop loop;
  HttpRequest seen;
  int status = 200;
  net::Headers headers;
  std::string body;
  bool silent = false;
  HttpResponderPtr kept;
  net::HttpServer server;
  net::HttpClient client;
  RequestOptions options;
  ToolCallOptions tool;
};

template <class T>
RequestFailure Failure(const Reply<T>& reply) {
  BOOST_REQUIRE(std::holds_alternative<RequestFailure>(reply));
  return std::get<RequestFailure>(reply);
}

bool operator==(RequestFailure failure, std::pair<Kind, int> expected) {
  return failure.kind == expected.first && failure.status == expected.second;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(requests, Fixture)

// Guards against a call without its key, which the service needs to run it at most once.
BOOST_AUTO_TEST_CASE(tool_call_is_sent_whole) {
  tool = {.service = server.address(),
          .operation = "book/../x?y=1",
          .key = IdempotencyKey("key 1"),
          .body = R"({"a":1})",
          .traceparent = "00-t-s-01"};
  Answer(200, R"({"done":true})");
  std::string answer;
  BOOST_TEST(Tool(&answer) == "completed ");
  BOOST_TEST(answer == R"({"done":true})");
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.path == "/call/book%2F..%2Fx%3Fy%3D1");
  BOOST_TEST(net::FindHeader(seen.headers, "idempotency-key") == "key 1");
  BOOST_TEST(net::FindHeader(seen.headers, "traceparent") == "00-t-s-01");
  BOOST_TEST(seen.body == R"({"a":1})");
}

// Guards against a second execution of a call that was reported as not run, and against retries of
// a call that may have run.
BOOST_AUTO_TEST_CASE(tool_outcomes_follow_the_rules) {
  tool = {.service = server.address(),
          .operation = "op",
          .timeout = std::chrono::milliseconds(200),
          .max_answer_bytes = 100};
  headers = {{"retry-after", "3"}};
  Answer(503, "");
  BOOST_TEST(Tool() == "not_run endpoint_unavailable");
  headers = {};
  BOOST_TEST(Tool() == "unknown connection_lost");
  Answer(429, "busy");
  BOOST_TEST(Tool() == "not_run overloaded");
  Answer(409, "conflict");
  std::string answer;
  BOOST_TEST(Tool(&answer) == "failed refused_by_service");
  BOOST_TEST(answer == "conflict");
  Answer(500, "error");
  BOOST_TEST(Tool() == "unknown connection_lost");
  Answer(200, std::string(101, 'x'));
  BOOST_TEST(Tool() == "failed too_large");
  silent = true;
  BOOST_TEST(Tool() == "unknown timeout");
  silent = false;
  Answer(200, "ok");
  tool.key = IdempotencyKey("line\nbreak");
  BOOST_TEST(Tool() == "not_run endpoint_unavailable");
}

// Guards against a tool that keeps a call open by sending a byte now and then.
BOOST_AUTO_TEST_CASE(trickling_tool_times_out) {
  std::vector<net::Timer> timers;
  net::HttpServer slow(loop, {.listen = net::kAnyLoopbackPort},
                       [&](const HttpRequest&, const HttpResponderPtr& responder) {
                         responder->Start(200, {});
                         responder->Write("x");
                         timers.push_back(loop.Every(std::chrono::milliseconds(10),
                                                     [responder] { responder->Write("x"); }));
                       });
  tool = {.service = slow.address(), .operation = "op", .timeout = std::chrono::milliseconds(200)};
  BOOST_TEST(Tool() == "unknown timeout");
}

// Guards against a wait that ignores what the endpoint asked for.
BOOST_AUTO_TEST_CASE(retry_delay_is_read) {
  tool = {.service = server.address(), .operation = "op"};
  const auto delay = [&] {
    std::optional<Outcome> outcome;
    const CallPtr call = StartToolCall(
        client, tool, [&](const Outcome& given, const std::string&) { outcome = given; });
    net::RunUntil(loop, [&] { return outcome.has_value(); });
    return std::get<NotRun>(*outcome).retry_after_ms;
  };
  headers = {{"retry-after", "3"}};
  Answer(503, "");
  BOOST_TEST(delay() == 3000U);
  Answer(503, R"({"error":{"retry_after_ms":1500}})");
  BOOST_TEST(delay() == 1500U);
  headers = {{"retry-after", "Fri, 04 Dec 2026 04:44:00 GMT"}};
  Answer(503, "");
  BOOST_TEST(delay() == 0U);
  headers = {{"retry-after", "4294967295"}};
  BOOST_TEST(delay() == 4294967295U);
}

// Guards against load reports that are read wrongly or accepted with parts missing.
BOOST_AUTO_TEST_CASE(load_is_read) {
  Answer(
      200,
      R"({"running":3,"waiting":4,"kv_used":5,"kv_capacity":6,"leaving":true,"sampled_at_ms":7})");
  const Reply<EngineLoad> reply = Load();
  BOOST_REQUIRE(std::holds_alternative<EngineLoad>(reply));
  const auto load = std::get<EngineLoad>(reply);
  BOOST_TEST(seen.path == "/load");
  BOOST_TEST(load.running == 3U);
  BOOST_TEST(load.waiting == 4U);
  BOOST_TEST(load.kv_used == TokenCount(5));
  BOOST_TEST(load.kv_capacity == TokenCount(6));
  BOOST_TEST(load.leaving);
  BOOST_TEST(load.sampled_at.time_since_epoch().count() == 7);
  for (const char* text : {"{}", "[]", "7", "", "nonsense", R"({"running":-1})",
                           R"({"running":3,"waiting":4,"kv_used":"5","kv_capacity":6})"}) {
    Answer(200, text);
    BOOST_TEST((Failure(Load()) == std::pair(Kind::kInvalidAnswer, 200)), text);
  }
}

// Guards against failures that a caller cannot tell apart.
BOOST_AUTO_TEST_CASE(failures_are_typed) {
  Answer(503, "x");
  BOOST_TEST((Failure(Load()) == std::pair(Kind::kRefused, 503)));
  Answer(200, std::string((std::size_t{4} << 20) + 1, ' '));
  BOOST_TEST((Failure(Load()) == std::pair(Kind::kTooLarge, 200)));
  silent = true;
  options.timeout = std::chrono::milliseconds(100);
  BOOST_TEST((Failure(Load()) == std::pair(Kind::kTimeout, 0)));
  net::RawServer closed(loop);
  options.endpoint = closed.address();
  options.timeout = std::chrono::seconds(10);
  const auto reply = Run<Reply<EngineLoad>>([&](auto on_reply) {
    CallPtr call = FetchLoad(client, options, on_reply);
    net::RunUntil(loop, [&] {
      return !closed.connections().empty() && !closed.connections()[0]->received().empty();
    });
    closed.connections()[0]->Close();
    return call;
  });
  BOOST_TEST((Failure(reply) == std::pair(Kind::kConnectionLost, 0)));
  {
    const net::RawServer unused(loop);
    options.endpoint = unused.address();
  }
  BOOST_TEST((Failure(Load()) == std::pair(Kind::kNotSent, 0)));
}

// Guards against holds that are missed, so that their memory is never released.
BOOST_AUTO_TEST_CASE(holds_are_listed_and_released) {
  const auto list = [&] {
    return Run<Reply<std::vector<Hold>>>(
        [&](auto on_reply) { return ListHolds(client, options, on_reply); });
  };
  for (const char* text : {R"(["p1",{"program":"p2","tokens":7}])",
                           R"({"holds":["p1",{"program":"p2","tokens":7}]})"}) {
    Answer(200, text);
    const auto holds = std::get<std::vector<Hold>>(list());
    BOOST_TEST(seen.path == "/kv/holds");
    BOOST_REQUIRE(holds.size() == 2U);
    BOOST_TEST(holds[0].program == ProgramId("p1"));
    BOOST_TEST(holds[1].program == ProgramId("p2"));
    BOOST_TEST(holds[1].tokens == TokenCount(7));
  }
  for (const char* text : {"{}", R"([7])", R"([{"tokens":7}])", R"([""])"}) {
    Answer(200, text);
    BOOST_TEST((Failure(list()) == std::pair(Kind::kInvalidAnswer, 200)), text);
  }

  const auto release = [&] {
    return Run<Reply<HoldReleased>>(
        [&](auto on_reply) { return ReleaseHold(client, options, ProgramId("p\"1"), on_reply); });
  };
  Answer(200, "");
  BOOST_TEST(std::get<HoldReleased>(release()).was_held);
  BOOST_TEST(seen.path == "/kv/release");
  BOOST_TEST((*ParseJson(seen.body))["program"].asString() == "p\"1");
  Answer(404, "");
  BOOST_TEST(!std::get<HoldReleased>(release()).was_held);
  Answer(500, "");
  BOOST_TEST((Failure(release()) == std::pair(Kind::kRefused, 500)));
}

// Guards against an export or import that goes to the wrong path or counts as done when refused.
BOOST_AUTO_TEST_CASE(cache_is_exported_and_imported) {
  const auto send = [&](auto function) {
    return Run<Reply<CacheMoved>>(
        [&](auto on_reply) { return function(client, options, ProgramId("p1"), on_reply); });
  };
  Answer(200, R"({"tokens":9})");
  BOOST_TEST(std::get<CacheMoved>(send(ExportCache)).tokens == TokenCount(9));
  BOOST_TEST(seen.path == "/kv/export");
  Answer(200, "");
  BOOST_TEST(std::get<CacheMoved>(send(ImportCache)).tokens == TokenCount(0));
  BOOST_TEST(seen.path == "/kv/import");
  Answer(404, "");
  BOOST_TEST((Failure(send(ImportCache)) == std::pair(Kind::kRefused, 404)));
}

// Guards against a gap of cache events that is not visible to the index.
BOOST_AUTO_TEST_CASE(cache_events_are_read) {
  const auto fetch = [&] {
    return Run<Reply<CacheEvents>>(
        [&](auto on_reply) { return FetchCacheEvents(client, options, 5, on_reply); });
  };
  Answer(200, R"({"first":8,"next":10,"events":[
    {"sequence":8,"kind":"stored","program":"p1","prefix":"x","tokens":3},
    {"sequence":9,"kind":"evicted","prefix":"x"}]})");
  const auto events = std::get<CacheEvents>(fetch());
  BOOST_TEST(seen.path == "/cache/events");
  BOOST_TEST(seen.query == "from=5");
  BOOST_TEST(events.first == 8U);
  BOOST_TEST(events.next == 10U);
  BOOST_REQUIRE(events.events.size() == 2U);
  BOOST_TEST((events.events[0].kind == CacheEvent::Kind::kStored));
  BOOST_TEST(events.events[0].program == ProgramId("p1"));
  BOOST_TEST(events.events[0].prefix == "x");
  BOOST_TEST(events.events[0].tokens == TokenCount(3));
  BOOST_TEST((events.events[1].kind == CacheEvent::Kind::kEvicted));
  Answer(200, R"({"first":8,"next":10,"events":[{"sequence":8,"kind":"other"}]})");
  BOOST_TEST((Failure(fetch()) == std::pair(Kind::kInvalidAnswer, 200)));
}

// Guards against an order with an old fence that counts as accepted, and against a state that is
// read back wrongly.
BOOST_AUTO_TEST_CASE(orders_are_sent_and_read_back) {
  const Order order{.fence = Offset(12),
                    .model = ModelId("m1"),
                    .adapter = "a1",
                    .version = "v1",
                    .role = "decode"};
  const auto send = [&] {
    return Run<OrderReply>(
        [&](auto on_reply) { return SendOrder(client, options, order, on_reply); });
  };
  Answer(200, "");
  BOOST_TEST(std::holds_alternative<OrderAccepted>(send()));
  BOOST_TEST(seen.path == "/orders");
  const std::string sent = seen.body;
  Answer(409, "");
  BOOST_TEST(std::holds_alternative<OrderFenced>(send()));
  Answer(500, "");
  BOOST_TEST(std::holds_alternative<RequestFailure>(send()));
  Answer(200, sent);
  const auto read =
      Run<Reply<Order>>([&](auto on_reply) { return ReadOrder(client, options, on_reply); });
  BOOST_TEST((std::get<Order>(read) == order));
}

// Guards against callbacks into owners that have given up their request.
BOOST_AUTO_TEST_CASE(no_callback_follows_a_cancel) {
  int replies = 0;
  const auto count = [&](const Reply<EngineLoad>&) { ++replies; };
  CallPtr destroyed = FetchLoad(client, options, count);
  destroyed.reset();
  const CallPtr cancelled = FetchLoad(client, options, count);
  cancelled->Cancel();
  // This request is sent after the cancelled ones to the same server.
  Load();
  BOOST_TEST(replies == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::endpoint
