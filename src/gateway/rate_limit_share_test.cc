#include "src/gateway/rate_limit_share.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kZones = 3;

std::vector<ShareCandidate> MakeDaemons(std::size_t count) {
  std::vector<ShareCandidate> daemons;
  for (std::size_t i = 0; i < count; ++i) {
    daemons.push_back({.id = DaemonId("d" + std::to_string(i)),
                       .zone = AvailabilityZone("z" + std::to_string(i % kZones))});
  }
  return daemons;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_share)

// Guards against daemons that together use more than the limit, or that may send so many requests
// at once that the endpoint gets more than one and a half times its limit and five in four seconds.
BOOST_AUTO_TEST_CASE(shares_and_bursts_of_all_daemons_stay_within_the_limit) {
  for (const std::size_t count : {1U, 2U, 7U, 37U, 140U, 420U}) {
    const std::vector<ShareCandidate> daemons = MakeDaemons(count);
    for (const double limit : {0.05, 0.3, 1.0, 2.9, 8.4, 50.0, 1000.0}) {
      for (const bool keeps_sessions : {false, true}) {
        const LimitedEndpoint endpoint{.id = EndpointId("e"),
                                       .zone = AvailabilityZone("z1"),
                                       .per_second = limit,
                                       .keeps_sessions = keeps_sessions};
        double sum = 0;
        double burst = 0;
        std::uint32_t users = 0;
        for (const ShareCandidate& daemon : daemons) {
          const RateLimitShare share = FindRateLimitShare(endpoint, daemons, daemon);
          sum += share.fraction;
          if (share.fraction > 0) {
            ++users;
            burst += share.burst;
            BOOST_TEST(share.users <= count);
          }
        }
        BOOST_TEST(sum == 1.0, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(users >= 1U);
        BOOST_TEST(burst + 4 * limit <= 1.5 * 4 * limit + 5);
      }
    }
  }
}

// Guards against a limit that is used from other zones although the endpoint's own zone could.
BOOST_AUTO_TEST_CASE(daemons_of_the_endpoints_zone_come_first) {
  const std::vector<ShareCandidate> daemons = MakeDaemons(30);
  const LimitedEndpoint endpoint{
      .id = EndpointId("e"), .zone = AvailabilityZone("z1"), .per_second = 4};
  for (const ShareCandidate& daemon : daemons) {
    const bool is_user = FindRateLimitShare(endpoint, daemons, daemon).fraction > 0;
    BOOST_TEST((!is_user || daemon.zone == endpoint.zone));
  }
}

// Guards against a daemon that uses the whole limit because it has not heard of the others.
BOOST_AUTO_TEST_CASE(division_depends_on_the_candidates_only) {
  const std::vector<ShareCandidate> daemons = MakeDaemons(7);
  const std::vector<ShareCandidate> reversed(daemons.rbegin(), daemons.rend());
  const LimitedEndpoint endpoint{
      .id = EndpointId("e"), .zone = AvailabilityZone("z1"), .per_second = 2};
  for (const ShareCandidate& daemon : daemons) {
    BOOST_TEST(FindRateLimitShare(endpoint, daemons, daemon).fraction ==
               FindRateLimitShare(endpoint, reversed, daemon).fraction);
  }
  // Not listed itself, a daemon counts as one more candidate.
  const ShareCandidate newcomer{.id = DaemonId("new"), .zone = AvailabilityZone("z1")};
  BOOST_TEST(FindRateLimitShare(endpoint, daemons, newcomer).fraction <= 0.25);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
