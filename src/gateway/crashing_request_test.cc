#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/test_headers.h"
#include "src/net/test_support.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kEndpoints = 10;
// The stated target: a request that has crashed three endpoints is not sent again.
constexpr std::size_t kMaxCrashes = 3;
const ServiceId kService("service");

/// @brief Endpoints that crash when they get a request whose body contains "deadly".
struct Fixture {
  Fixture() : context(loop, {.self = {.id = DaemonId("self")}, .headers = MakeTestHeaderNames()}) {
    std::vector<RegisteredEndpoint> endpoints;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      servers.push_back(std::make_unique<net::HttpServer>(
          loop, net::HttpServerOptions{.listen = net::kAnyLoopbackPort},
          [this, i](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
            if (request.body.find("deadly") != std::string::npos) {
              // Not from within the server's own callback.
              loop.Post([this, i] { servers[i].reset(); });
            } else if (request.body.find("held") != std::string::npos) {
              held.push_back(responder);
              holders.insert(i);
            } else if (request.body == "lost") {
              responder->Abort();
            } else {
              responder->Respond(200, {}, "");
            }
          }));
      endpoints.push_back({.id = EndpointId("e" + std::to_string(i)),
                           .service = kService,
                           .address = servers.back()->address(),
                           .slots = 8});
    }
    context.endpoints.SetEndpoints(endpoints);
  }

  void Call(const std::string& body, RequestKind kind = RequestKind::kAtMostOnce) {
    const std::size_t index = calls.size();
    outcomes.emplace_back();
    calls.push_back(std::make_shared<EndpointCall>(
        context,
        CallPlan{.id = RequestId("r" + std::to_string(index)),
                 .service = kService,
                 .kind = kind,
                 .max_attempts = 1,
                 .method = "POST",
                 .target = "/",
                 .body = body,
                 .deadline = loop.Now() + std::chrono::hours(1)},
        CallCallbacks{.on_head = [](int, const net::Headers&) {},
                      .on_data = [](std::string_view) {},
                      .on_done = [this, index](const Outcome& done) { outcomes[index] = done; }}));
    calls.back()->Start();
  }
  const Outcome& CallAndWait(const std::string& body) {
    Call(body);
    net::RunUntil(loop, [this] { return outcomes.back().has_value(); });
    // Lets the daemon find out what became of the endpoint.
    net::RunUntil(loop, [turns = 0]() mutable { return ++turns > 20; });
    return *outcomes.back();
  }
  std::size_t Crashed() const {
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [](const auto& server) { return server == nullptr; }));
  }

  net::Loop loop;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  std::vector<net::HttpResponderPtr> held;
  /// Endpoints that have held a request.
  std::set<std::size_t> holders;
  Context context;
  std::vector<std::shared_ptr<EndpointCall>> calls;
  std::vector<std::optional<Outcome>> outcomes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_request, Fixture)

// Guards against one request that crashes endpoint after endpoint, because it comes again under a
// new id each time.
BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_is_not_sent_again) {
  for (int i = 0; i < 8; ++i) {
    CallAndWait("deadly");
  }
  BOOST_TEST(Crashed() <= kMaxCrashes);
  BOOST_TEST(std::holds_alternative<NotRun>(*outcomes.back()));
}

// Guards against innocent requests that are refused because they ran beside one that crashes
// endpoints.
BOOST_AUTO_TEST_CASE(requests_beside_it_are_served) {
  for (int i = 0; i < 4; ++i) {
    Call("held");
    CallAndWait("deadly");
  }
  BOOST_TEST(Crashed() == kMaxCrashes);
  BOOST_TEST(std::holds_alternative<Completed>(CallAndWait("innocent")));
  for (const auto& responder : held) {
    responder->Respond(200, {}, "");
  }
  Call("held");
  net::RunUntil(loop, [this] { return held.size() == 5; });
}

// Guards against turns that are refused for minutes because several endpoints crashed at once, each
// while it ran a turn that begins with the same instruction, or the same turn.
BOOST_AUTO_TEST_CASE(requests_of_endpoints_that_crash_together_are_served) {
  const std::string instruction(600, 'i');
  for (const bool same : {false, true}) {
    const std::size_t running = outcomes.size() + 4;
    for (std::size_t i = 0; i < 4; ++i) {
      Call(instruction + "held" + (same ? "" : std::to_string(i)));
    }
    net::RunUntil(loop, [&] { return held.size() == 4; });
    BOOST_TEST(holders.size() >= 3U);
    for (const std::size_t holder : holders) {
      servers[holder].reset();
    }
    net::RunUntil(loop, [&] {
      return std::all_of(outcomes.begin(), outcomes.begin() + static_cast<std::ptrdiff_t>(running),
                         [](const auto& outcome) { return outcome.has_value(); });
    });
    net::RunUntil(loop, [turns = 0]() mutable { return ++turns > 20; });
    BOOST_TEST(!context.crashes.evidence().empty());
    held.clear();
    holders.clear();
    BOOST_TEST(std::holds_alternative<Completed>(CallAndWait(instruction + "next")));
    Call(instruction + "held");
    net::RunUntil(loop, [&] { return held.size() == 1 || outcomes.back().has_value(); });
    BOOST_REQUIRE(held.size() == 1U);
    held[0]->Respond(200, {}, "");
    net::RunUntil(loop, [&] { return outcomes.back().has_value(); });
    held.clear();
    holders.clear();
  }
}

// Guards against a conversation that crashes endpoint after endpoint with a longer history each
// time, and against others with the same instruction that are refused because of it.
BOOST_AUTO_TEST_CASE(longer_history_of_a_crashing_conversation_is_not_sent) {
  const std::string instruction(600, 'i');
  std::string history = instruction + "deadly";
  for (int i = 0; i < 8; ++i) {
    CallAndWait(history);
    history += " more";
  }
  BOOST_TEST(Crashed() <= kMaxCrashes);
  BOOST_TEST(std::holds_alternative<NotRun>(*outcomes.back()));
  BOOST_TEST(std::holds_alternative<Completed>(CallAndWait(instruction + "innocent")));
}

// Guards against the same when the conversations come with histories of any length, and when each
// is lost at another daemon.
BOOST_AUTO_TEST_CASE(histories_of_any_length_are_recognised) {
  const std::string history = std::string(600, 'i') + "deadly" + std::string(1000, 'h');
  std::size_t reports = 0;
  context.crashes.SetSend([&](const PeerCrashReports&) { ++reports; });
  for (const std::size_t more : {900, 500, 700, 100, 800, 300}) {
    CallAndWait(history.substr(0, 606 + more));
  }
  BOOST_TEST(Crashed() <= kMaxCrashes + 1);
  // One of each crash, and one of each longer form of a request that is lost after it.
  BOOST_TEST(reports <= Crashed() + Crashed() * (Crashed() - 1) / 2);
  BOOST_TEST(std::holds_alternative<Completed>(CallAndWait(std::string(600, 'i') + "innocent")));
}

// Guards against endpoints that lose responses, or are stopped by plan, as evidence against
// requests.
BOOST_AUTO_TEST_CASE(only_crashes_are_evidence) {
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(std::holds_alternative<Unknown>(CallAndWait("lost")));
  }
  BOOST_TEST(context.crashes.evidence().empty());
  std::vector<RegisteredEndpoint> leaving;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    leaving.push_back(*context.endpoints.Find(EndpointId("e" + std::to_string(i))));
    leaving.back().state = EndpointState::kDraining;
  }
  for (int i = 0; i < 4; ++i) {
    Call("held");
  }
  net::RunUntil(loop, [this] { return held.size() == 4; });
  context.endpoints.SetEndpoints(leaving);
  servers.clear();
  net::RunUntil(loop, [this] {
    return std::all_of(outcomes.begin(), outcomes.end(),
                       [](const auto& outcome) { return outcome.has_value(); });
  });
  BOOST_TEST(context.crashes.evidence().empty());
}

// Guards against a request that crashes three endpoints through each daemon.
BOOST_AUTO_TEST_CASE(daemons_share_their_evidence) {
  Context other(loop, {.self = {.id = DaemonId("other")}});
  context.crashes.SetSend(
      [&](const PeerCrashReports& reports) { other.crashes.OnReports(DaemonId("self"), reports); });
  for (int i = 0; i < 3; ++i) {
    CallAndWait("deadly");
  }
  BOOST_TEST(other.crashes.evidence().Quarantined().size() == 1U);
  // What has completed at one daemon is cleared at all.
  for (int i = 0; i < 3; ++i) {
    context.crashes.OnReports(
        DaemonId("other"),
        {.crashes = {{.endpoint = EndpointId("x" + std::to_string(i)),
                      .requests = {{.request = RequestFingerprint(7), .unanswered = true}}}}});
  }
  BOOST_TEST(context.crashes.evidence().Quarantined().size() == 2U);
  context.crashes.OnReports(DaemonId("other"), {.cleared = {RequestFingerprint(7)}});
  BOOST_TEST(context.crashes.evidence().Quarantined().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
