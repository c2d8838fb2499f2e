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

/// @brief A server that sends the same response to every request, and an HTTP client.
struct Fixture {
  Fixture()
      : server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](HttpRequest request, const HttpResponderPtr& responder) {
                 received = std::move(request);
                 if (withhold_response) {
                   withheld_responder = responder;
                 } else {
                   responder->Respond(status, headers, body);
                 }
               }),
        client(loop, {}) {
    options.endpoint = server.address();
  }

  /// @brief Calls `start(on_reply)` and runs the loop until the reply arrives.
  template <class ReplyType, class Start>
  ReplyType Run(Start start) {
    std::optional<ReplyType> reply;
    const CallPtr call = start([&](const ReplyType& result) { reply = result; });
    BOOST_TEST(!reply.has_value());
    net::RunUntil(loop, [&] { return reply.has_value(); });
    return *reply;
  }
  Reply<EngineLoad> RunFetchLoad() {
    return Run<Reply<EngineLoad>>(
        [&](auto on_reply) { return FetchLoad(client, options, on_reply); });
  }
  std::string RunToolCall(std::string* response_body = nullptr) {
    std::optional<Outcome> outcome;
    const CallPtr call = StartToolCall(client, tool, [&](const Outcome& result, std::string text) {
      outcome = result;
      if (response_body != nullptr) {
        *response_body = std::move(text);
      }
    });
    net::RunUntil(loop, [&] { return outcome.has_value(); });
    return Describe(*outcome);
  }
  void SetResponse(int new_status, std::string new_body) {
    status = new_status;
    body = std::move(new_body);
  }

  net::Loop loop;
  HttpRequest received;
  int status = 200;
  net::Headers headers;
  std::string body;
  bool withhold_response = false;
  HttpResponderPtr withheld_responder;
  net::HttpServer server;
  net::HttpClient client;
  RequestOptions options;
  ToolCallOptions tool;
};

template <class T>
RequestFailure GetFailure(const Reply<T>& reply) {
  BOOST_REQUIRE(std::holds_alternative<RequestFailure>(reply));
  return std::get<RequestFailure>(reply);
}

bool operator==(RequestFailure failure, std::pair<Kind, int> expected) {
  return failure.kind == expected.first && failure.status == expected.second;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(requests, Fixture)

// Guards against a call without its idempotency key, by which the service runs it at most once.
BOOST_AUTO_TEST_CASE(tool_call_is_sent_with_all_options) {
  tool = {.service = server.address(),
          .operation = "book/../x?y=1",
          .key = IdempotencyKey("key 1"),
          .body = R"({"a":1})",
          .traceparent = "00-t-s-01"};
  SetResponse(200, R"({"done":true})");
  std::string response_body;
  BOOST_TEST(RunToolCall(&response_body) == "completed ");
  BOOST_TEST(response_body == R"({"done":true})");
  BOOST_TEST(received.method == "POST");
  BOOST_TEST(received.path == "/call/book%2F..%2Fx%3Fy%3D1");
  BOOST_TEST(net::FindHeader(received.headers, "idempotency-key") == "key 1");
  BOOST_TEST(net::FindHeader(received.headers, "traceparent") == "00-t-s-01");
  BOOST_TEST(received.body == R"({"a":1})");
}

// Guards against a call that may have run but is reported as NotRun, which lets the caller retry it
// and so run it twice, and against a rejected call that is reported as possibly executed.
BOOST_AUTO_TEST_CASE(tool_responses_map_to_outcomes) {
  tool = {.service = server.address(),
          .operation = "op",
          .timeout = std::chrono::milliseconds(200),
          .max_response_bytes = 100};
  headers = {{"retry-after", "3"}};
  SetResponse(503, "");
  BOOST_TEST(RunToolCall() == "not_run endpoint_unavailable");
  headers = {};
  BOOST_TEST(RunToolCall() == "unknown connection_lost");
  SetResponse(429, "busy");
  BOOST_TEST(RunToolCall() == "not_run overloaded");
  SetResponse(409, "conflict");
  std::string response_body;
  BOOST_TEST(RunToolCall(&response_body) == "failed refused_by_service");
  BOOST_TEST(response_body == "conflict");
  SetResponse(500, "error");
  BOOST_TEST(RunToolCall() == "unknown connection_lost");
  SetResponse(200, std::string(101, 'x'));
  BOOST_TEST(RunToolCall() == "failed too_large");
  withhold_response = true;
  BOOST_TEST(RunToolCall() == "unknown timeout");
  withhold_response = false;
  SetResponse(200, "ok");
  tool.key = IdempotencyKey("line\nbreak");
  BOOST_TEST(RunToolCall() == "not_run endpoint_unavailable");
}

// Guards against a tool that keeps a call open for ever by sending single bytes. The timeout
// applies to the whole call.
BOOST_AUTO_TEST_CASE(slow_tool_response_times_out) {
  std::vector<net::Timer> timers;
  net::HttpServer slow(loop, {.listen = net::kAnyLoopbackPort},
                       [&](const HttpRequest&, const HttpResponderPtr& responder) {
                         responder->Start(200, {});
                         responder->Write("x");
                         timers.push_back(loop.Every(std::chrono::milliseconds(10),
                                                     [responder] { responder->Write("x"); }));
                       });
  tool = {.service = slow.address(), .operation = "op", .timeout = std::chrono::milliseconds(200)};
  BOOST_TEST(RunToolCall() == "unknown timeout");
}

// Guards against a retry delay that differs from the one that the endpoint sent.
BOOST_AUTO_TEST_CASE(retry_delay_is_parsed) {
  tool = {.service = server.address(), .operation = "op"};
  const auto delay = [&] {
    std::optional<Outcome> outcome;
    const CallPtr call = StartToolCall(
        client, tool, [&](const Outcome& result, const std::string&) { outcome = result; });
    net::RunUntil(loop, [&] { return outcome.has_value(); });
    return std::get<NotRun>(*outcome).retry_after_ms;
  };
  headers = {{"retry-after", "3"}};
  SetResponse(503, "");
  BOOST_TEST(delay() == 3000U);
  SetResponse(503, R"({"error":{"retry_after_ms":1500}})");
  BOOST_TEST(delay() == 1500U);
  headers = {{"retry-after", "Fri, 04 Dec 2026 04:44:00 GMT"}};
  SetResponse(503, "");
  BOOST_TEST(delay() == 0U);
  headers = {{"retry-after", "4294967295"}};
  BOOST_TEST(delay() == 4294967295U);
}

// Guards against load reports that are parsed wrongly or accepted with members missing.
BOOST_AUTO_TEST_CASE(load_is_parsed) {
  SetResponse(
      200,
      R"({"running":3,"waiting":4,"kv_used":5,"kv_capacity":6,"leaving":true,"sampled_at_ms":7})");
  const Reply<EngineLoad> reply = RunFetchLoad();
  BOOST_REQUIRE(std::holds_alternative<EngineLoad>(reply));
  const auto load = std::get<EngineLoad>(reply);
  BOOST_TEST(received.path == "/load");
  BOOST_TEST(load.running == 3U);
  BOOST_TEST(load.waiting == 4U);
  BOOST_TEST(load.kv_used == TokenCount(5));
  BOOST_TEST(load.kv_capacity == TokenCount(6));
  BOOST_TEST(load.leaving);
  BOOST_TEST(load.sampled_at.time_since_epoch().count() == 7);
  for (const char* text : {"{}", "[]", "7", "", "nonsense", R"({"running":-1})",
                           R"({"running":3,"waiting":4,"kv_used":"5","kv_capacity":6})"}) {
    SetResponse(200, text);
    BOOST_TEST((GetFailure(RunFetchLoad()) == std::pair(Kind::kInvalidAnswer, 200)), text);
  }
}

// Guards against different failures that are reported as the same kind.
BOOST_AUTO_TEST_CASE(failures_have_distinct_kinds) {
  SetResponse(503, "x");
  BOOST_TEST((GetFailure(RunFetchLoad()) == std::pair(Kind::kRefused, 503)));
  SetResponse(200, std::string((std::size_t{4} << 20) + 1, ' '));
  BOOST_TEST((GetFailure(RunFetchLoad()) == std::pair(Kind::kTooLarge, 200)));
  withhold_response = true;
  options.timeout = std::chrono::milliseconds(100);
  BOOST_TEST((GetFailure(RunFetchLoad()) == std::pair(Kind::kTimeout, 0)));
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
  BOOST_TEST((GetFailure(reply) == std::pair(Kind::kConnectionLost, 0)));
  {
    const net::RawServer unused(loop);
    options.endpoint = unused.address();
  }
  BOOST_TEST((GetFailure(RunFetchLoad()) == std::pair(Kind::kNotSent, 0)));
}

// Guards against holds missing from the list: the engine would never free their KV cache.
BOOST_AUTO_TEST_CASE(holds_are_listed_and_released) {
  const auto list = [&] {
    return Run<Reply<std::vector<Hold>>>(
        [&](auto on_reply) { return ListHolds(client, options, on_reply); });
  };
  for (const char* text : {R"(["p1",{"program":"p2","tokens":7}])",
                           R"({"holds":["p1",{"program":"p2","tokens":7}]})"}) {
    SetResponse(200, text);
    const auto holds = std::get<std::vector<Hold>>(list());
    BOOST_TEST(received.path == "/kv/holds");
    BOOST_REQUIRE(holds.size() == 2U);
    BOOST_TEST(holds[0].program == ProgramId("p1"));
    BOOST_TEST(holds[1].program == ProgramId("p2"));
    BOOST_TEST(holds[1].tokens == TokenCount(7));
  }
  for (const char* text : {"{}", R"([7])", R"([{"tokens":7}])", R"([""])"}) {
    SetResponse(200, text);
    BOOST_TEST((GetFailure(list()) == std::pair(Kind::kInvalidAnswer, 200)), text);
  }

  const auto release = [&] {
    return Run<Reply<HoldReleased>>(
        [&](auto on_reply) { return ReleaseHold(client, options, ProgramId("p\"1"), on_reply); });
  };
  SetResponse(200, "");
  BOOST_TEST(std::get<HoldReleased>(release()).was_held);
  BOOST_TEST(received.path == "/kv/release");
  BOOST_TEST((*ParseJson(received.body))["program"].asString() == "p\"1");
  SetResponse(404, "");
  BOOST_TEST(!std::get<HoldReleased>(release()).was_held);
  SetResponse(500, "");
  BOOST_TEST((GetFailure(release()) == std::pair(Kind::kRefused, 500)));
}

// Guards against an export or import that is sent to the wrong path, or is reported as successful
// when the engine rejected it.
BOOST_AUTO_TEST_CASE(cache_is_exported_and_imported) {
  const auto send = [&](auto function) {
    return Run<Reply<CacheTransferred>>(
        [&](auto on_reply) { return function(client, options, ProgramId("p1"), on_reply); });
  };
  SetResponse(200, R"({"tokens":9})");
  BOOST_TEST(std::get<CacheTransferred>(send(ExportCache)).tokens == TokenCount(9));
  BOOST_TEST(received.path == "/kv/export");
  SetResponse(200, "");
  BOOST_TEST(std::get<CacheTransferred>(send(ImportCache)).tokens == TokenCount(0));
  BOOST_TEST(received.path == "/kv/import");
  SetResponse(404, "");
  BOOST_TEST((GetFailure(send(ImportCache)) == std::pair(Kind::kRefused, 404)));
}

// Guards against a gap in the cache events that the cache index cannot detect: `first` must be
// passed on as the engine sent it.
BOOST_AUTO_TEST_CASE(cache_events_are_parsed) {
  const auto fetch = [&] {
    return Run<Reply<CacheEvents>>(
        [&](auto on_reply) { return FetchCacheEvents(client, options, 5, on_reply); });
  };
  SetResponse(200, R"({"first":8,"next":10,"events":[
    {"sequence":8,"kind":"stored","program":"p1","prefix":"x","tokens":3},
    {"sequence":9,"kind":"evicted","prefix":"x"}]})");
  const auto events = std::get<CacheEvents>(fetch());
  BOOST_TEST(received.path == "/cache/events");
  BOOST_TEST(received.query == "from=5");
  BOOST_TEST(events.first == 8U);
  BOOST_TEST(events.next == 10U);
  BOOST_REQUIRE(events.events.size() == 2U);
  BOOST_TEST((events.events[0].kind == CacheEvent::Kind::kStored));
  BOOST_TEST(events.events[0].program == ProgramId("p1"));
  BOOST_TEST(events.events[0].prefix == "x");
  BOOST_TEST(events.events[0].tokens == TokenCount(3));
  BOOST_TEST((events.events[1].kind == CacheEvent::Kind::kEvicted));
  SetResponse(200, R"({"first":8,"next":10,"events":[{"sequence":8,"kind":"other"}]})");
  BOOST_TEST((GetFailure(fetch()) == std::pair(Kind::kInvalidAnswer, 200)));
}

// Guards against an order with an outdated fence that is reported as accepted, and against an order
// that is parsed wrongly when it is fetched.
BOOST_AUTO_TEST_CASE(orders_are_sent_and_fetched) {
  const Order order{.fence = Offset(12),
                    .model = ModelId("m1"),
                    .adapter = "a1",
                    .version = "v1",
                    .role = "decode"};
  const auto send = [&] {
    return Run<OrderReply>(
        [&](auto on_reply) { return SendOrder(client, options, order, on_reply); });
  };
  SetResponse(200, "");
  BOOST_TEST(std::holds_alternative<OrderAccepted>(send()));
  BOOST_TEST(received.path == "/orders");
  const std::string sent = received.body;
  SetResponse(409, "");
  BOOST_TEST(std::holds_alternative<OrderFenced>(send()));
  SetResponse(500, "");
  BOOST_TEST(std::holds_alternative<RequestFailure>(send()));
  SetResponse(200, sent);
  const auto reply =
      Run<Reply<Order>>([&](auto on_reply) { return FetchOrder(client, options, on_reply); });
  BOOST_TEST((std::get<Order>(reply) == order));
}

// Guards against a callback after the owner has destroyed or cancelled its request.
BOOST_AUTO_TEST_CASE(no_callback_after_cancellation) {
  int replies = 0;
  const auto count = [&](const Reply<EngineLoad>&) { ++replies; };
  CallPtr destroyed = FetchLoad(client, options, count);
  destroyed.reset();
  const CallPtr cancelled = FetchLoad(client, options, count);
  cancelled->Cancel();
  // A later request to the same server gives callbacks of the cancelled ones time to arrive.
  RunFetchLoad();
  BOOST_TEST(replies == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::endpoint
