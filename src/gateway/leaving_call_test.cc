#include <boost/test/unit_test.hpp>
#include <vector>

#include "src/gateway/caller_sink.h"
#include "src/gateway/endpoint_call.h"
#include "src/gateway/leaving_notice.h"
#include "src/gateway/test_daemon.h"
#include "src/net/http_test_support.h"

namespace acaciaspring::gateway {

namespace {

const ServiceId kService("service");
const EndpointId kLeaving("leaving");

std::string MakeResponse(const std::string& start, const std::string& body, bool with_length) {
  return "HTTP/1.1 " + start +
         (with_length ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" +
         body;
}

/// @brief A daemon and an endpoint that sends raw bytes.
struct Fixture {
  Fixture() : context(loop, {.self = {.id = DaemonId("self")}, .headers = MakeTestHeaderNames()}) {
    SetEndpoints(1);
  }

  void SetEndpoints(std::int64_t started_at_ms) {
    context.endpoints.SetEndpoints({{.id = kLeaving,
                                     .service = kService,
                                     .address = server.address(),
                                     .slots = 8,
                                     .started_at_ms = started_at_ms}},
                                   loop.Now());
  }
  /// @brief Lists a later start than before, after all responses so far.
  std::int64_t Restart() {
    const std::int64_t started_at_ms =
        net::Loop::WallNow().time_since_epoch().count() + std::int64_t{1000} * ++restarts;
    SetEndpoints(started_at_ms);
    return started_at_ms;
  }
  std::size_t Call(const std::string& id, RequestKind kind = RequestKind::kAtMostOnce) {
    const std::size_t index = calls.size();
    outcomes.emplace_back();
    heads.emplace_back();
    calls.push_back(std::make_shared<EndpointCall>(
        context,
        CallPlan{.id = RequestId(id),
                 .service = kService,
                 .kind = kind,
                 .method = "GET",
                 .target = "/",
                 .deadline = loop.Now() + std::chrono::hours(1)},
        CallCallbacks{
            .on_head = [this, index](int, const net::Headers& headers) { heads[index] = headers; },
            .on_data = [](std::string_view) {},
            .on_done = [this, index](const Outcome& done) { outcomes[index] = done; }}));
    calls.back()->Start();
    return index;
  }
  void RunUntilDone(std::size_t call) {
    net::RunUntil(loop, [&] { return outcomes[call].has_value(); });
  }
  net::RawConnection& WaitForRequest(std::size_t connection) {
    net::RunUntil(loop, [&] {
      return server.connections().size() > connection &&
             !server.connections()[connection]->received().empty();
    });
    return *server.connections()[connection];
  }
  bool leaves() const { return context.endpoints.IsLeaving(kLeaving, 1); }

  net::Loop loop;
  net::RawServer server{loop};
  Context context;
  std::vector<std::shared_ptr<EndpointCall>> calls;
  std::vector<std::optional<Outcome>> outcomes;
  std::vector<net::Headers> heads;
  int restarts = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_call, Fixture)

// Guards against values that make an endpoint leave although it did not say so, or that are
// overlooked, and against a fault or a lost endpoint after bad ones.
BOOST_AUTO_TEST_CASE(only_the_value_1_counts) {
  const std::string long_value(16384, '1');
  const std::vector<std::pair<std::string, bool>> headers = {
      {"X-Leaving: 1\r\n", true},
      {"x-leaving:1 \t\r\n", true},
      {"X-Leaving: 0\r\nX-Leaving: 1\r\n", true},
      {"X-Leaving: 1\r\nX-Leaving: 1\r\n", true},
      {"X-Leaving: " + long_value + "\r\nX-Leaving: 1\r\n", true},
      {"", false},
      {"X-Leaving:\r\n", false},
      {"X-Leaving: 0\r\n", false},
      {"X-Leaving: 01\r\n", false},
      {"X-Leaving: 1, 1\r\n", false},
      {"X-Leaving: true\r\n", false},
      {"X-Leaving: 1 leaving\r\n", false},
      {"X-Leaving: 99999999999999999999\r\n", false},
      {"X-Leaving: \x01\xff\r\n", false},
      {"X-Leaving: " + long_value + "\r\n", false},
  };
  for (const auto& [header, expected] : headers) {
    server.connections().clear();
    const std::int64_t started_at_ms = Restart();
    BOOST_TEST(!context.endpoints.IsLeaving(kLeaving, started_at_ms), header.substr(0, 40));
    const std::size_t call = Call("a");
    WaitForRequest(0).Send(MakeResponse("200 OK\r\nx-id: a\r\n" + header, "x", true));
    RunUntilDone(call);
    BOOST_TEST(std::holds_alternative<Completed>(*outcomes[call]), header.substr(0, 40));
    BOOST_TEST(context.endpoints.IsLeaving(kLeaving, started_at_ms) == expected,
               header.substr(0, 40));
  }
}

// Guards against work for an endpoint whose word came with a response of another kind than a
// complete one, and against work that is cut off by the word.
BOOST_AUTO_TEST_CASE(word_counts_in_every_response_from_its_head_on) {
  struct Case {
    std::string start;
    RequestKind kind = RequestKind::kAtMostOnce;
    bool with_length = true;
  };
  const std::vector<Case> cases = {
      {.start = "200 OK\r\nx-id: a\r\n"},
      {.start = "200 OK\r\nx-id: a\r\n", .with_length = false},
      {.start = "200 OK\r\nx-id: a\r\n", .kind = RequestKind::kStream, .with_length = false},
      {.start = "200 OK\r\nx-id: a\r\n", .kind = RequestKind::kResumableStream},
      {.start = "500 Error\r\nx-id: a\r\n"},
      {.start = "404 Unknown\r\nx-id: a\r\n"},
      {.start = "500 Error\r\n"},
      {.start = "503 Full\r\nx-id: a\r\nx-not-executed: 1\r\n"},
      {.start = "503 Full\r\nx-not-executed: 1\r\n", .kind = RequestKind::kStream},
  };
  for (const Case& test : cases) {
    server.connections().clear();
    const std::int64_t started_at_ms = Restart();
    const std::size_t call = Call("a", test.kind);
    net::RawConnection& connection = WaitForRequest(0);
    const std::string response =
        MakeResponse(test.start + "X-Leaving: 1\r\n", "data: x\n\n", test.with_length);
    constexpr std::size_t kHeldBytes = 3;
    connection.Send(response.substr(0, response.size() - kHeldBytes));
    net::RunUntil(loop, [&] { return context.endpoints.IsLeaving(kLeaving, started_at_ms); });
    const std::size_t next = Call("b");
    RunUntilDone(next);
    const auto* refused = std::get_if<NotRun>(&*outcomes[next]);
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST((refused->reason == NotRunReason::kEndpointsLeave));
    BOOST_TEST(refused->retry_after_ms > 0U);
    BOOST_TEST(server.connections().size() == 1U);
    connection.Send(response.substr(response.size() - kHeldBytes));
    if (!test.with_length) {
      connection.Close();
    }
    RunUntilDone(call);
    const bool executed = test.start.find("not-executed") == std::string::npos;
    BOOST_TEST(std::holds_alternative<Completed>(*outcomes[call]) == executed, test.start);
    // The connection of the response does not stay open either.
    net::RunUntil(loop, [&] { return connection.ended(); });
  }
}

// Guards against idle connections that are kept to an endpoint that leaves.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed) {
  Call("a");
  Call("b");
  WaitForRequest(0);
  WaitForRequest(1);
  // The first connection carries either call.
  const bool swapped = server.connections()[0]->received().find("x-id: b") != std::string::npos;
  server.connections()[swapped ? 1 : 0]->Send(MakeResponse("200 OK\r\nx-id: a\r\n", "x", true));
  RunUntilDone(0);
  BOOST_TEST(!server.connections()[swapped ? 1 : 0]->ended());
  server.connections()[swapped ? 0 : 1]->Send(
      MakeResponse("200 OK\r\nx-id: b\r\nX-Leaving: 1\r\n", "x", true));
  RunUntilDone(1);
  net::RunUntil(
      loop, [&] { return server.connections()[0]->ended() && server.connections()[1]->ended(); });
}

// Guards against a start that is left out because of a copy of an older response, or of the
// response of a different endpoint at its address.
BOOST_AUTO_TEST_CASE(responses_of_others_change_nothing) {
  Call("a");
  WaitForRequest(0).Send(MakeResponse("200 OK\r\nx-id: old\r\nX-Leaving: 1\r\n", "x", true) +
                         MakeResponse("200 OK\r\nx-id: a\r\n", "x", true));
  RunUntilDone(0);
  BOOST_TEST(std::holds_alternative<Completed>(*outcomes[0]));
  BOOST_TEST(!leaves());
  Call("b");
  net::RunUntil(loop, [&] { return server.connections().size() == 2; });
  WaitForRequest(1).Send(MakeResponse("421 Other\r\nx-id: b\r\nX-Leaving: 1\r\n", "x", true));
  RunUntilDone(1);
  BOOST_TEST(!leaves());
}

// Guards against a call that waits until its time limit for a permit of an endpoint that leaves.
BOOST_AUTO_TEST_CASE(waiting_calls_are_refused_when_the_last_endpoint_leaves) {
  context.endpoints.OnRateLimit(kLeaving, 1.0, loop.Now());
  Call("first");
  WaitForRequest(0);
  while (context.endpoints.rate_limits().HasPermit(kLeaving, loop.Now())) {
    context.endpoints.rate_limits().Take(kLeaving, loop.Now());
  }
  const std::size_t waiting = Call("second");
  BOOST_TEST(context.waiting_calls.queue().size() == 1U);
  server.connections()[0]->Send(
      "HTTP/1.1 200 OK\r\nx-id: first\r\nx-limit: 1\r\nX-Leaving: 1\r\n\r\n");
  RunUntilDone(waiting);
  const auto* refused = std::get_if<NotRun>(&*outcomes[waiting]);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == NotRunReason::kEndpointsLeave));
  BOOST_TEST(!outcomes[0].has_value());
  BOOST_TEST(server.connections().size() == 1U);
}

// Guards against callers that receive the word, and against a daemon that passes a response of
// another daemon's endpoint on and does not learn it.
BOOST_AUTO_TEST_CASE(relayed_word_is_learnt_and_not_sent_to_callers) {
  const net::Headers relayed = {{"x-id", "a"},
                                {"x-leaving", FormatRelayedLeaving(kLeaving, 1)},
                                {"x-leaving", "1"},
                                {"x-other", "y"}};
  const net::Headers forwarded = TakeRelayedLeaving(context, RequestId("a"), relayed);
  BOOST_TEST((forwarded == net::Headers{{"x-id", "a"}, {"x-other", "y"}}));
  BOOST_TEST(leaves());
  for (const std::string& bad : {std::string("1"), std::string(" "), std::string("1 "),
                                 std::string("x e"), std::string(16384, '9'), std::string()}) {
    const net::Headers rest = TakeRelayedLeaving(context, RequestId("a"), {{"x-leaving", bad}});
    BOOST_TEST(rest.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against turns that a peer sends over to a daemon whose endpoint leaves, and against a peer
// that is not told in the head that it passes on.
BOOST_AUTO_TEST_CASE(turns_of_peers_do_not_reach_an_endpoint_that_leaves) {
  net::Loop loop;
  ledger::TestStore store;
  std::size_t requests = 0;
  net::HttpServer leaving(loop, {.listen = net::kAnyLoopbackPort},
                          [&](const net::HttpRequest&, const net::HttpResponderPtr& responder) {
                            ++requests;
                            responder->Respond(200, {{"x-leaving", "1"}}, "data: o\n\n");
                          });
  const FakeEngine unused{loop};
  TestDaemon daemon(loop, store, unused);
  daemon.Assign(1);
  daemon.context.endpoints.SetEndpoints({{.id = kLeaving,
                                          .service = ServiceId("engines"),
                                          .address = leaving.address(),
                                          .slots = 10,
                                          .started_at_ms = 7}},
                                        loop.Now());
  std::optional<TurnHead> head;
  bool ended = false;
  std::optional<HttpError> error;
  const ReplyFunction reply(
      [&](const PeerMessage& message) {
        std::visit(Overloaded{[&](const TurnHead& received) { head = received; },
                              [&](const TurnEnd&) { ended = true; },
                              [&](const TurnRejected& rejected) { error = rejected.error; },
                              [](const auto&) {}},
                   message);
      },
      [](const DeferredPeerMessage&) {});
  daemon.router.OnMessage(DaemonId("peer"), MakeTurnRequest(ProgramId("p"), "a", "", 1000), reply);
  RunUntil(loop, store, [&] { return ended; });
  BOOST_REQUIRE(head.has_value());
  Context peer(loop, {.self = {.id = DaemonId("peer")}, .headers = MakeTestHeaderNames()});
  TakeRelayedLeaving(peer, RequestId("a"), head->headers);
  BOOST_TEST(peer.endpoints.IsLeaving(kLeaving, 7));
  TurnRequest next = MakeTurnRequest(ProgramId("p"), "b", "a", 1000);
  next.exchange = ExchangeId(2);
  daemon.router.OnMessage(DaemonId("peer"), next, reply);
  RunUntil(loop, store, [&] { return error.has_value(); });
  BOOST_TEST(error->status == 503);
  BOOST_TEST(error->reason == "endpoints_leave");
  BOOST_TEST((error->retry_after > Duration(0)));
  BOOST_TEST(requests == 1U);
}

}  // namespace acaciaspring::gateway
