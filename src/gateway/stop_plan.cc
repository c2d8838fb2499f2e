#include "src/gateway/stop_plan.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// Callers learn of the stop from the directory. They use a response of it for up to three times its
// time to live of one second.
constexpr Duration kDirectoryLag = std::chrono::seconds(3);

}  // namespace

// Most requests take a small part of their time limit. The first half of the time serves those of
// callers that cannot know of the stop; after it, only what ends in time for certain is accepted.
StopPlan::StopPlan(MonotonicTime begin, MonotonicTime end)
    : open_until_(begin +
                  std::min(kDirectoryLag, std::chrono::duration_cast<Duration>(end - begin) / 2)),
      end_(end) {}

bool StopPlan::Admits(MonotonicTime now, Duration time_limit) const {
  return now < open_until_ || now + time_limit <= end_;
}

}  // namespace acaciaspring::gateway
