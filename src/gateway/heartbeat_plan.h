#ifndef ACACIASPRING_SRC_GATEWAY_HEARTBEAT_PLAN_H_
#define ACACIASPRING_SRC_GATEWAY_HEARTBEAT_PLAN_H_

#include <cstddef>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Times between two messages to the same daemon.
struct HeartbeatPeriods {
  Duration same_zone = std::chrono::milliseconds(200);
  Duration other_zone = std::chrono::milliseconds(200);
  /// Minimum time between two reports of changed load to the daemons of the zone.
  Duration load = std::chrono::milliseconds(50);
};

/// @brief Periods for a daemon with the given number of peers in its zone and in all zones. They
/// grow with the number of peers to bound the control traffic of one daemon.
HeartbeatPeriods PlanHeartbeats(std::size_t peers_in_zone, std::size_t peers);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_HEARTBEAT_PLAN_H_
