#include "src/gateway/heartbeat_plan.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// In a small cluster, changes of load and of partition owners are known to all daemons within this
// time.
constexpr Duration kMinPeriod = std::chrono::milliseconds(200);
// At 180 heartbeats per second, a daemon with a third of a core spends about 3 % of it on them.
constexpr Duration kPeriodPerPeer = std::chrono::microseconds(5500);

// Calls last some hundred milliseconds, and counts that are older than a call are of no use.
constexpr Duration kMinLoadPeriod = std::chrono::milliseconds(50);
// Limits a daemon to 340 reports per second. Many periods send none, because no call has started or
// ended.
constexpr Duration kLoadPeriodPerPeer = std::chrono::milliseconds(3);

Duration PeriodForPeers(std::size_t peers) {
  return std::max(kMinPeriod, kPeriodPerPeer * static_cast<std::int64_t>(peers));
}

}  // namespace

HeartbeatPeriods PlanHeartbeats(std::size_t peers_in_zone, std::size_t peers) {
  // Endpoints are mostly shared by the daemons of a zone, so their counts are exchanged more often.
  return {.same_zone = PeriodForPeers(peers_in_zone),
          .other_zone = PeriodForPeers(peers),
          .load = std::max(kMinLoadPeriod,
                           kLoadPeriodPerPeer * static_cast<std::int64_t>(peers_in_zone))};
}

}  // namespace acaciaspring::gateway
