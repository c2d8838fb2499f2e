#include "src/gateway/rate_limits.h"

#include <boost/test/unit_test.hpp>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
const EndpointId kId("e");
const ServiceId kService("s");

RegisteredEndpoint MakeEndpoint(std::int64_t started_at_ms = 1) {
  return {.id = kId,
          .service = kService,
          .zone = AvailabilityZone("z"),
          .started_at_ms = started_at_ms};
}

MonotonicTime After(int seconds) {
  return kStart + std::chrono::seconds(seconds);
}

ShareCandidate MakeDaemon(const std::string& id) {
  return {.id = DaemonId(id), .zone = AvailabilityZone("z")};
}

struct Fixture {
  double Share() const { return limits.Find(kId)->share(); }

  RateLimits limits{MakeDaemon("self")};
  RegisteredEndpoint endpoint = MakeEndpoint();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rate_limits, Fixture)

// Guards against daemons that never hear of a limit, and against a report for each response.
BOOST_AUTO_TEST_CASE(changes_are_reported_once) {
  BOOST_TEST(limits.OnResponse(endpoint, 4.0, kStart).has_value());
  BOOST_TEST(limits.TakeReports(kStart).size() == 1U);
  BOOST_TEST(!limits.OnResponse(endpoint, 4.0, After(1)).has_value());
  BOOST_TEST(limits.TakeReports(After(1)).empty());
  // A small change applies here but is not worth a message.
  BOOST_TEST(limits.OnResponse(endpoint, 4.1, After(2)).has_value());
  BOOST_TEST(limits.TakeReports(After(2)).empty());
  limits.OnResponse(endpoint, 2.0, After(3));
  const auto lower = limits.TakeReports(After(3));
  BOOST_REQUIRE(lower.size() == 1U);
  BOOST_TEST(lower[0].per_second == 2.0);
  limits.OnResponse(endpoint, std::nullopt, After(4));
  const auto ended = limits.TakeReports(After(4));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(!ended[0].limited);
}

// Guards against old reports that replace what a newer response has shown.
BOOST_AUTO_TEST_CASE(newest_information_wins) {
  limits.OnResponse(endpoint, 4.0, After(10));
  const RateLimitReport older{.endpoint = kId,
                              .started_at_ms = 1,
                              .limited = true,
                              .per_second = 9,
                              .age_us = Duration(std::chrono::seconds(5)).count()};
  BOOST_TEST(!limits.OnReport(endpoint, older, After(11)).has_value());
  RateLimitReport newer = older;
  newer.age_us = 0;
  BOOST_TEST(limits.OnReport(endpoint, newer, After(11)).has_value());
  BOOST_TEST((limits.Find(kId)->limit() == 9.0));
  // What came from another daemon is not reported back.
  limits.TakeReports(After(11));
  BOOST_TEST(limits.OwnReports(After(11)).empty());
}

// Guards against the limit of a former run of an endpoint that restarted under its id.
BOOST_AUTO_TEST_CASE(reports_of_another_run_are_ignored) {
  const RateLimitReport report{
      .endpoint = kId, .started_at_ms = 1, .limited = true, .per_second = 4};
  BOOST_TEST(!limits.OnReport(MakeEndpoint(2), report, kStart).has_value());
  BOOST_TEST(limits.empty());
}

// Guards against requests above the limit of an endpoint whose registry entry was missing for some
// seconds, and against the limit of its former run.
BOOST_AUTO_TEST_CASE(limit_is_kept_while_the_endpoint_is_not_listed) {
  EndpointTable table{AvailabilityZone("z")};
  table.SetEndpoints({endpoint});
  table.OnRateLimit(kId, 4.0, kStart);
  table.SetEndpoints({});
  table.SetEndpoints({endpoint});
  BOOST_TEST((table.rate_limits().Find(kId) != nullptr));
  table.SetEndpoints({MakeEndpoint(2)});
  BOOST_TEST((table.rate_limits().Find(kId) == nullptr));
}

// Guards against reports of other daemons with numbers that cannot be limits.
BOOST_AUTO_TEST_CASE(invalid_reports_are_ignored) {
  for (const double value :
       {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    BOOST_TEST(
        !limits
             .OnReport(endpoint,
                       {.endpoint = kId, .started_at_ms = 1, .limited = true, .per_second = value},
                       kStart)
             .has_value());
  }
  BOOST_TEST(limits.empty());
}

// Guards against daemons that do not call the endpoint and would forget its limit, and against a
// message of every daemon for it.
BOOST_AUTO_TEST_CASE(confirmed_limits_are_repeated_by_one_daemon) {
  limits.OnResponse(endpoint, 4.0, kStart);
  limits.TakeReports(kStart);
  limits.OnResponse(endpoint, 4.0, After(11));
  BOOST_TEST(limits.TakeReports(After(11)).size() == 1U);
  // The report of another daemon takes the place of the own one.
  limits.OnResponse(endpoint, 4.0, After(20));
  limits.OnReport(endpoint, {.endpoint = kId, .started_at_ms = 1, .limited = true, .per_second = 4},
                  After(20));
  limits.OnResponse(endpoint, 4.0, After(22));
  BOOST_TEST(limits.TakeReports(After(22)).empty());
}

// Guards against limits that last forever because the daemon that knew of their end has gone.
BOOST_AUTO_TEST_CASE(unconfirmed_limit_ends) {
  limits.OnResponse(endpoint, 4.0, kStart);
  BOOST_TEST(limits.Expire(After(29)).empty());
  BOOST_TEST(limits.Expire(After(31)).size() == 1U);
  BOOST_TEST(!limits.empty());
  limits.Expire(After(35));
  BOOST_TEST(limits.empty());
}

// Guards against shares that do not follow the daemons that are there.
BOOST_AUTO_TEST_CASE(share_follows_the_daemons) {
  limits.OnResponse(endpoint, 4.0, kStart);
  BOOST_TEST(Share() == 1.0);
  limits.SetDaemons({.others = {MakeDaemon("a"), MakeDaemon("b"), MakeDaemon("c")}}, kStart);
  BOOST_TEST(Share() == 0.25);
  limits.SetDaemons({.others = {MakeDaemon("a")}}, kStart);
  BOOST_TEST(Share() == 0.5);
  limits.SetDaemons({.others = {MakeDaemon("a")}, .isolated = true}, kStart);
  BOOST_TEST(Share() == 0.25);
}

// Guards against shares for daemons that do not call the service, for example those that own no
// partition and therefore run no turns.
BOOST_AUTO_TEST_CASE(daemons_without_demand_get_no_share) {
  limits.OnResponse(endpoint, 4.0, kStart);
  limits.SetDaemons({.others = {MakeDaemon("a"), MakeDaemon("b"), MakeDaemon("c")}}, kStart);
  limits.SetDemand(DaemonId("a"), {ServiceId("other")}, kStart);
  limits.SetDemand(DaemonId("b"), {kService}, kStart);
  BOOST_TEST(Share() == 1.0 / 3);
  // A daemon that left and is back counts until it says otherwise.
  limits.SetDaemons({.others = {MakeDaemon("b")}}, kStart);
  limits.SetDaemons({.others = {MakeDaemon("a"), MakeDaemon("b")}}, kStart);
  BOOST_TEST(Share() == 1.0 / 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
