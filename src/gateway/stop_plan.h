#ifndef ACACIASPRING_SRC_GATEWAY_STOP_PLAN_H_
#define ACACIASPRING_SRC_GATEWAY_STOP_PLAN_H_

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Decides which requests a daemon still accepts during a planned stop.
class StopPlan {
 public:
  /// @brief The daemon has begun to stop and ends at `end` at the latest.
  StopPlan(MonotonicTime begin, MonotonicTime end);
  /// @brief True if a request that arrives at `now` and takes at most `time_limit` is to be
  /// accepted.
  bool Admits(MonotonicTime now, Duration time_limit) const;

 private:
  /// Until then, requests are accepted whatever their time limit.
  MonotonicTime open_until_;
  MonotonicTime end_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_STOP_PLAN_H_
