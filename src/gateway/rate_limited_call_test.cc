#include <boost/test/unit_test.hpp>
#include <vector>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/rate_limit_exchange.h"
#include "src/gateway/test_headers.h"
#include "src/net/test_support.h"

namespace acaciaspring::gateway {

namespace {

const ServiceId kService("service");
const EndpointId kEndpoint("e");

/// @brief A daemon and an endpoint that names a rate limit.
struct Fixture {
  Fixture()
      : server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                 targets.push_back(request.path);
                 responder->Respond(200, {{"x-limit", limit}}, "");
               }),
        context(loop, {.self = {.id = DaemonId("self")}, .headers = MakeTestHeaderNames()}) {
    context.endpoints.SetEndpoints(
        {{.id = kEndpoint, .service = kService, .address = server.address(), .slots = 8}});
  }

  void Call(const std::string& target, std::uint32_t priority = 0) {
    const std::size_t index = calls.size();
    outcomes.emplace_back();
    calls.push_back(std::make_shared<EndpointCall>(
        context,
        CallPlan{.id = RequestId(target),
                 .service = kService,
                 .kind = RequestKind::kAtMostOnce,
                 .priority = priority,
                 .method = "GET",
                 .target = target,
                 .deadline = loop.Now() + std::chrono::seconds(10)},
        CallCallbacks{.on_head = [](int, const net::Headers&) {},
                      .on_data = [](std::string_view) {},
                      .on_done = [this, index](const Outcome& done) { outcomes[index] = done; }}));
    calls.back()->Start();
  }
  /// @brief Takes the accumulated permits, so that the next call finds none.
  void UseUpPermits() {
    while (context.endpoints.rate_limits().HasPermit(kEndpoint, loop.Now())) {
      context.endpoints.rate_limits().Take(kEndpoint, loop.Now());
    }
  }
  void RunUntilDone() {
    net::RunUntil(loop, [this] {
      return std::all_of(outcomes.begin(), outcomes.end(),
                         [](const auto& outcome) { return outcome.has_value(); });
    });
  }

  net::Loop loop;
  std::string limit;
  std::vector<std::string> targets;
  net::HttpServer server;
  Context context;
  std::vector<std::shared_ptr<EndpointCall>> calls;
  std::vector<std::optional<Outcome>> outcomes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rate_limited_call, Fixture)

// Guards against calls that are refused although a permit comes in time, and against urgent calls
// that wait behind others.
BOOST_AUTO_TEST_CASE(calls_wait_for_permits_in_order_of_urgency) {
  limit = "4";
  Call("/first");
  RunUntilDone();
  UseUpPermits();
  Call("/normal", 2);
  Call("/urgent", 0);
  BOOST_TEST(context.waiting_calls.queue().size() == 2U);
  RunUntilDone();
  BOOST_TEST((targets == std::vector<std::string>{"/first", "/urgent", "/normal"}));
  for (const auto& outcome : outcomes) {
    BOOST_TEST(std::holds_alternative<Completed>(*outcome));
  }
}

// Guards against calls that are sent above the limit, or held until their deadline, where no permit
// comes in time. The caller learns when to come back.
BOOST_AUTO_TEST_CASE(call_without_a_permit_in_time_is_refused_at_once) {
  limit = "0.1";
  Call("/first");
  RunUntilDone();
  UseUpPermits();
  Call("/second");
  RunUntilDone();
  const auto* refused = std::get_if<NotRun>(&*outcomes[1]);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == NotRunReason::kRateLimited));
  BOOST_TEST(refused->retry_after_ms > 1000U);
  BOOST_TEST((targets == std::vector<std::string>{"/first"}));
}

// Guards against waiting calls that hold their place, or run, after their caller has left.
BOOST_AUTO_TEST_CASE(cancelled_call_leaves_the_queue) {
  limit = "4";
  Call("/first");
  RunUntilDone();
  UseUpPermits();
  Call("/second");
  calls.back()->Cancel();
  BOOST_TEST(context.waiting_calls.queue().empty());
  Call("/third");
  net::RunUntil(loop, [this] { return outcomes[2].has_value(); });
  BOOST_TEST((targets == std::vector<std::string>{"/first", "/third"}));
}

// Guards against a request that is sent after its wait although it has been found to crash
// endpoints in the meantime.
BOOST_AUTO_TEST_CASE(waiting_call_of_a_quarantined_request_is_refused) {
  limit = "4";
  Call("/first");
  RunUntilDone();
  UseUpPermits();
  Call("/second");
  const RequestFingerprints request =
      MakeFingerprints(context.fingerprint_key, {.method = "GET", .target = "/second"});
  for (const char* id : {"a", "b", "c"}) {
    context.crashes.OnReports(
        DaemonId("other"),
        {.crashes = {{.endpoint = EndpointId(id), .requests = {{.request = request.whole}}}}});
  }
  RunUntilDone();
  const auto* refused = std::get_if<NotRun>(&*outcomes[1]);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == NotRunReason::kCrashesEndpoints));
  BOOST_TEST((targets == std::vector<std::string>{"/first"}));
}

// Guards against daemons that use a limit alone because they are not told of it, or that do not
// divide it.
BOOST_AUTO_TEST_CASE(daemons_tell_each_other_of_limits) {
  Context other(loop, {.self = {.id = DaemonId("other")}});
  other.endpoints.SetEndpoints(
      {{.id = kEndpoint, .service = kService, .address = server.address(), .slots = 8}});
  RateLimitExchange exchange(context);
  RateLimitExchange other_exchange(other);
  const std::vector<Member> members{{.id = DaemonId("self")}, {.id = DaemonId("other")}};
  exchange.SetMembers(members);
  other_exchange.SetMembers(members);
  const auto deliver = [](RateLimitExchange& receiver, const std::string& sender) {
    return [&receiver, sender](const PeerMessage& message) {
      const PeerMessage received = DecodePeerMessage(EncodePeerMessage(message));
      if (const auto* demand = std::get_if<PeerDemand>(&received)) {
        receiver.OnDemand(DaemonId(sender), *demand);
      }
      if (const auto* limits = std::get_if<PeerRateLimits>(&received)) {
        receiver.OnReports(DaemonId(sender), *limits);
      }
    };
  };
  limit = "8";
  Call("/first");
  RunUntilDone();
  exchange.Update(deliver(other_exchange, "self"));
  const RateLimit* known = other.endpoints.rate_limits().Find(kEndpoint);
  BOOST_REQUIRE(known != nullptr);
  BOOST_TEST((known->limit() == 8.0));
  BOOST_TEST(known->share() == 0.5);
  // The other daemon does not call the service, and says so.
  other_exchange.Greet(deliver(exchange, "other"));
  BOOST_TEST(context.endpoints.rate_limits().Find(kEndpoint)->share() == 1.0);
  // A daemon that connects later is told as well.
  Context late(loop, {.self = {.id = DaemonId("late")}});
  late.endpoints.SetEndpoints(
      {{.id = kEndpoint, .service = kService, .address = server.address(), .slots = 8}});
  RateLimitExchange late_exchange(late);
  exchange.Greet(deliver(late_exchange, "self"));
  BOOST_TEST((late.endpoints.rate_limits().Find(kEndpoint) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
