#include "src/gateway/endpoint_table.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
const ServiceId kService("engines");

RegisteredEndpoint MakeEndpoint(const std::string& id, const std::string& zone = "z") {
  return {.id = EndpointId(id),
          .service = kService,
          .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(1000 + id.back())},
          .zone = AvailabilityZone(zone),
          .slots = 10};
}

struct Fixture {
  EndpointTable table{AvailabilityZone("z")};
  std::mt19937_64 random{1};

  std::map<std::string, int> ChooseMany(int count, const EndpointQuery& query) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      const auto* chosen = table.Choose(query, kNow, random);
      ++counts[chosen == nullptr ? "" : chosen->id.value()];
    }
    return counts;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_table, Fixture)

// Guards against overloaded endpoints during a burst, when every daemon has calls in flight that
// the others must count.
BOOST_AUTO_TEST_CASE(calls_of_other_daemons_count_as_load) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b")});
  table.SetRemoteCounts(DaemonId("d1"), {{EndpointId("a"), 4}});
  BOOST_TEST(ChooseMany(100, {.service = kService})["b"] == 100);
  table.SetRemoteCounts(DaemonId("d1"), {{EndpointId("b"), 4}});
  BOOST_TEST(ChooseMany(100, {.service = kService})["a"] == 100);
  table.ForgetDaemon(DaemonId("d1"));
  BOOST_TEST(ChooseMany(100, {.service = kService}).size() == 2U);
}

// Guards against counts of short calls that have ended before another daemon receives them, and
// make all daemons avoid or choose the same endpoint.
BOOST_AUTO_TEST_CASE(only_calls_of_engines_are_reported) {
  RegisteredEndpoint tool = MakeEndpoint("t");
  tool.service = ServiceId("tools");
  table.SetEndpoints({MakeEndpoint("e"), tool});
  table.SetEngineMemory(kService, TokenCount(1000));
  table.SetEngineMemory(tool.service, TokenCount());
  table.OnStarted(tool.id, kNow);
  BOOST_TEST(table.own_changes() == 0U);
  BOOST_TEST(table.OwnCounts().empty());
  table.OnStarted(EndpointId("e"), kNow);
  BOOST_TEST(table.own_changes() == 1U);
  BOOST_TEST((table.OwnCounts() == InFlightCounts{{EndpointId("e"), 1}}));
}

// Guards against an engine that counts as slow because of one slow stream, so that its sessions
// move and their prompts are read again elsewhere.
BOOST_AUTO_TEST_CASE(one_slow_stream_moves_no_session) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b")});
  table.SetEngineMemory(kService, TokenCount(1000));
  const SharedPrefix prefix{.id = PrefixId(1), .tokens = TokenCount(2500)};
  table.OnDemand(kService, prefix, kNow);
  const EndpointQuery query{.service = kService,
                            .preferred = EndpointId("a"),
                            .prompt = {.tokens = TokenCount(6000), .shared_prefix = prefix}};
  const StreamTimes normal{.duration = std::chrono::milliseconds(300),
                           .streaming = std::chrono::milliseconds(200),
                           .events = 11};
  const StreamTimes slow{.duration = std::chrono::seconds(3),
                         .streaming = std::chrono::milliseconds(600),
                         .events = 11};
  for (int i = 0; i < 20; ++i) {
    table.OnStreamCompleted(EndpointId("a"), normal, kNow);
    table.OnStreamCompleted(EndpointId("b"), normal, kNow);
  }
  table.OnStreamCompleted(EndpointId("a"), slow, kNow);
  BOOST_TEST(ChooseMany(20, query)["a"] == 20);
}

// Guards against turns of a program that leave the engine which has the program's prefix cached.
BOOST_AUTO_TEST_CASE(session_stays_until_its_endpoint_is_full) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b")});
  const EndpointQuery query{.service = kService, .preferred = EndpointId("a")};
  table.SetRemoteCounts(DaemonId("d"), {{EndpointId("a"), 8}});
  BOOST_TEST(ChooseMany(10, query)["a"] == 10);
  table.SetRemoteCounts(DaemonId("d"), {{EndpointId("a"), 9}});
  BOOST_TEST(ChooseMany(10, query)["b"] == 10);
}

// Guards against sessions that move from one full engine to another, where each move reads the
// prompt again and makes the engines still slower.
BOOST_AUTO_TEST_CASE(session_stays_while_all_engines_are_full) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b")});
  const EndpointQuery query{.service = kService, .preferred = EndpointId("a")};
  table.SetRemoteCounts(DaemonId("d"), {{EndpointId("a"), 14}, {EndpointId("b"), 11}});
  BOOST_TEST(ChooseMany(50, query)["a"] == 50);
  // A new session goes to the less loaded one.
  BOOST_TEST(ChooseMany(50, {.service = kService})["b"] == 50);
  table.SetRemoteCounts(DaemonId("d"), {{EndpointId("a"), 17}, {EndpointId("b"), 10}});
  BOOST_TEST(ChooseMany(50, query)["b"] == 50);
}

// Guards against repeated calls to failed endpoints when a third of the engines stops at once.
BOOST_AUTO_TEST_CASE(failed_endpoint_is_avoided) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b", "far")});
  table.OnStarted(EndpointId("a"), kNow);
  table.OnFinished(EndpointId("a"), AttemptResult::kFailed, kNow);
  BOOST_TEST(ChooseMany(10, {.service = kService, .preferred = EndpointId("a")})["b"] == 10);
  // With all other endpoints excluded, an avoided endpoint is better than none.
  BOOST_TEST(ChooseMany(1, {.service = kService, .excluded = {EndpointId("b")}})["a"] == 1);
}

// Guards against new calls to an endpoint that is shutting down or is not in the registry.
BOOST_AUTO_TEST_CASE(draining_and_unlisted_endpoints_get_no_calls) {
  RegisteredEndpoint draining = MakeEndpoint("a");
  draining.state = EndpointState::kDraining;
  table.SetEndpoints({draining});
  BOOST_TEST(table.Choose({.service = kService, .preferred = EndpointId("a")}, kNow, random) ==
             nullptr);
  table.SetEndpoints({});
  BOOST_TEST(table.Choose({.service = kService}, kNow, random) == nullptr);
}

// Guards against failures of an earlier run that count against an endpoint restarted under its id.
BOOST_AUTO_TEST_CASE(restarted_endpoint_does_not_inherit_failures) {
  table.SetEndpoints({MakeEndpoint("a"), MakeEndpoint("b", "far")});
  table.OnStarted(EndpointId("a"), kNow);
  table.OnFinished(EndpointId("a"), AttemptResult::kFailed, kNow);
  RegisteredEndpoint restarted = MakeEndpoint("a");
  restarted.started_at_ms = 5;
  table.SetEndpoints({restarted, MakeEndpoint("b", "far")});
  BOOST_TEST(ChooseMany(10, {.service = kService})["a"] == 10);
}

BOOST_AUTO_TEST_CASE(same_zone_is_preferred_on_equal_load) {
  table.SetEndpoints({MakeEndpoint("a", "far"), MakeEndpoint("b", "z")});
  BOOST_TEST(ChooseMany(50, {.service = kService})["b"] == 50);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
