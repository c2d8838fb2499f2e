#include "src/gateway/heartbeat_plan.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

BOOST_AUTO_TEST_SUITE(heartbeat_plan)

// Guards against counts of calls in flight that are older than most calls last: at 140 daemons in 5
// zones, those that share endpoints exchange them several times a second.
BOOST_AUTO_TEST_CASE(daemons_of_a_zone_exchange_counts_often_in_a_large_fleet) {
  const HeartbeatPeriods periods = PlanHeartbeats(27, 139);
  BOOST_TEST((periods.load <= std::chrono::milliseconds(100)));
  BOOST_TEST((periods.same_zone <= std::chrono::milliseconds(200)));
  BOOST_TEST((periods.other_zone > std::chrono::milliseconds(500)));
}

// Guards against control traffic that grows with the square of the fleet: a daemon sends a bounded
// number of heartbeats per second at any size.
BOOST_AUTO_TEST_CASE(heartbeats_of_a_daemon_are_bounded) {
  for (const std::size_t peers : {6U, 42U, 139U, 419U, 5000U}) {
    for (const std::size_t in_zone : {peers / 5, peers}) {
      const HeartbeatPeriods periods = PlanHeartbeats(in_zone, peers);
      const double per_second =
          static_cast<double>(in_zone) * 1e6 / static_cast<double>(periods.same_zone.count()) +
          static_cast<double>(peers - in_zone) * 1e6 /
              static_cast<double>(periods.other_zone.count());
      BOOST_TEST(per_second <= 365.0);
      BOOST_TEST(static_cast<double>(in_zone) * 1e6 / static_cast<double>(periods.load.count()) <=
                 340.0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
