#include "src/gateway/endpoint_limits.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

#include "src/gateway/endpoint_table.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

namespace {

constexpr Duration kCall = std::chrono::milliseconds(400);
const EndpointId kId("a");
const ServiceId kService("engines");

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

RegisteredEndpoint MakeEndpoint(const EndpointId& id, std::int64_t started_at_ms) {
  return {.id = id,
          .service = kService,
          .address = {.ip = "10.0.0.1", .port = 80},
          .slots = 12,
          .started_at_ms = started_at_ms};
}

struct Fixture {
  Fixture() {
    limits.Enable(true, {}, At(0));
    limits.OnListed({MakeEndpoint(kId, 1)}, At(0));
  }
  EndpointLimits limits;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_limits, Fixture)

// Guards against limits on all endpoints when a daemon starts, and on endpoints whose entries were
// missing during an outage of the registry.
BOOST_AUTO_TEST_CASE(only_new_starts_begin_with_a_limit) {
  BOOST_TEST(limits.size() == 0U);
  limits.OnListed({}, At(1000));
  limits.OnListed({MakeEndpoint(kId, 1)}, At(5000));
  BOOST_TEST(limits.size() == 0U);
  limits.OnListed({MakeEndpoint(kId, 2)}, At(6000));
  BOOST_TEST(*limits.Find(kId) == 2U);
  BOOST_TEST(limits.InForce(kService));
  limits.OnListed({}, At(7000));
  BOOST_TEST(!limits.InForce(kService));
  const auto changes = limits.TakeChanges();
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST((changes[0].cause == EndpointLimitCause::kStarted && !changes[0].ended));
  BOOST_TEST((changes[1].cause == EndpointLimitCause::kGone && changes[1].ended));
  BOOST_TEST(changes[1].duration.count() == 1'000'000);
}

// Guards against a daemon that is cut off from an endpoint and has it limited everywhere.
BOOST_AUTO_TEST_CASE(failures_are_reported_only_once_the_endpoint_responds) {
  limits.OnFailed(kId, kCall, At(1000));
  BOOST_TEST(limits.size() == 0U);
  limits.OnFailed(kId, kCall, At(1500));
  BOOST_TEST(limits.size() == 1U);
  BOOST_TEST(limits.MakeReports(At(1600)).empty());
  limits.OnCompleted(kId, kCall, At(2000));
  const auto reports = limits.MakeReports(At(2100));
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].age_us == 100'000);
  BOOST_TEST(limits.MakeReports(At(9000)).empty());
}

// Guards against old reports, and those of another start, that replace what this daemon has seen.
BOOST_AUTO_TEST_CASE(newest_observation_wins) {
  limits.OnCompleted(kId, kCall, At(1000));
  BOOST_TEST(!limits.OnReport({.endpoint = kId, .started_at_ms = 1, .limit = 3, .age_us = 200'000},
                              At(1100)));
  BOOST_TEST(!limits.OnReport({.endpoint = kId, .started_at_ms = 2, .limit = 3}, At(1200)));
  BOOST_TEST(limits.size() == 0U);
  BOOST_TEST(limits.OnReport({.endpoint = kId, .started_at_ms = 1, .limit = 3}, At(1200)));
  BOOST_TEST(*limits.Find(kId) == 3U);
  BOOST_TEST(limits.OnReport({.endpoint = kId, .started_at_ms = 1, .limit = 0}, At(1300)));
  BOOST_TEST(limits.size() == 0U);
  // The report of a third daemon that does not know of the end yet.
  BOOST_TEST(!limits.OnReport({.endpoint = kId, .started_at_ms = 1, .limit = 9}, At(1400)));
}

// Guards against made-up reports.
BOOST_AUTO_TEST_CASE(invalid_reports_are_ignored) {
  for (const double limit : {std::nan(""), HUGE_VAL, -1.0}) {
    BOOST_TEST(!limits.OnReport({.endpoint = kId, .started_at_ms = 1, .limit = limit}, At(10)));
  }
  BOOST_TEST(!limits.OnReport(
      {.endpoint = kId, .started_at_ms = 1, .limit = 2, .age_us = -1'000'000'000}, At(10)));
  BOOST_TEST(!limits.OnReport({.endpoint = EndpointId("x"), .limit = 2}, At(10)));
  BOOST_TEST(limits.size() == 0U);
}

// Guards against an endpoint that this daemon never calls again because others use it.
BOOST_AUTO_TEST_CASE(limit_rises_while_only_others_call) {
  EndpointTable table(AvailabilityZone("z"), {.limit_concurrency = true});
  table.SetEndpoints({MakeEndpoint(EndpointId("b"), 1)}, At(0));
  table.SetEndpoints({MakeEndpoint(EndpointId("b"), 1), MakeEndpoint(kId, 1)}, At(500));
  table.SetRemoteCounts(DaemonId("d"), {{kId, 12}});
  for (int ms = 500; ms < 30'000; ms += 200) {
    table.UpdateConcurrencyLimits(At(ms));
  }
  BOOST_TEST(table.concurrency_limits().size() == 0U);
}

// Guards against sessions that leave their endpoint below its limit, or crowd it at its limit.
BOOST_AUTO_TEST_CASE(session_stays_below_the_limit) {
  EndpointTable table(AvailabilityZone("z"), {.limit_concurrency = true});
  std::mt19937_64 random(1);
  const EndpointQuery query{.service = kService, .preferred = kId};
  table.SetEngineMemory(kService, TokenCount(1));
  table.SetEndpoints({MakeEndpoint(EndpointId("b"), 1)}, At(0));
  table.SetEndpoints({MakeEndpoint(EndpointId("b"), 1), MakeEndpoint(kId, 1)}, At(500));
  table.SetRemoteCounts(DaemonId("d"), {{kId, 1}, {EndpointId("b"), 9}});
  BOOST_TEST(table.Choose(query, At(600), random)->id.value() == "a");
  table.OnStarted(kId, At(600));
  BOOST_TEST(table.Choose(query, At(600), random)->id.value() == "b");
  BOOST_TEST(table.moved_calls() == 1U);
  // All others are excluded or at their limits too.
  BOOST_TEST(table.Choose({.service = kService, .excluded = {EndpointId("b")}}, At(600), random)
                 ->id.value() == "a");
  table.SetRemoteCounts(DaemonId("d"), {{kId, 1}, {EndpointId("b"), 24}});
  BOOST_TEST(table.Choose(query, At(600), random)->id.value() == "a");
}

// Guards against changed behaviour and messages where limits are not enabled.
BOOST_AUTO_TEST_CASE(nothing_is_limited_unless_enabled) {
  EndpointTable table(AvailabilityZone("z"));
  table.SetEndpoints({}, At(0));
  table.SetEndpoints({MakeEndpoint(kId, 1)}, At(500));
  table.OnFinished(kId, AttemptResult::kFailed, At(600));
  table.OnFinished(kId, AttemptResult::kFailed, At(700));
  table.OnConcurrencyReports({{.endpoint = kId, .started_at_ms = 1, .limit = 2}}, At(800));
  BOOST_TEST(table.concurrency_limits().size() == 0U);
  BOOST_TEST(table.concurrency_limits().MakeReports(At(800)).empty());
  table.EnableConcurrencyLimits(true, At(900));
  BOOST_TEST(table.concurrency_limits().size() == 0U);
  table.SetEndpoints({MakeEndpoint(kId, 2)}, At(1000));
  BOOST_TEST(table.concurrency_limits().size() == 1U);
  table.EnableConcurrencyLimits(false, At(1100));
  BOOST_TEST(table.concurrency_limits().size() == 0U);
}

BOOST_AUTO_TEST_CASE(status_carries_limits) {
  const PeerStatus sent{
      .endpoint_limits = {{.endpoint = kId, .started_at_ms = 5, .limit = 2.5, .age_us = 7}}};
  const auto received = std::get<PeerStatus>(DecodePeerMessage(EncodePeerMessage(sent)));
  BOOST_REQUIRE(received.endpoint_limits.size() == 1U);
  BOOST_TEST(received.endpoint_limits[0].limit == 2.5);
  BOOST_TEST(received.endpoint_limits[0].age_us == 7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
