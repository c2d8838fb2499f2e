#include "src/gateway/stop_plan.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kBegin{std::chrono::seconds(1000)};

MonotonicTime After(int ms) {
  return kBegin + std::chrono::milliseconds(ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stop_plan)

// Guards against requests that come late in the grace period, are passed on and cut off at its end.
BOOST_AUTO_TEST_CASE(late_requests_are_accepted_only_if_they_end_in_time) {
  for (const int grace_ms : {1000, 3000, 7300, 30'000}) {
    const StopPlan plan(kBegin, After(grace_ms));
    for (int now_ms = 0; now_ms <= grace_ms + 500; now_ms += 10) {
      for (const int limit_ms : {0, 80, 1200, 2000, 4000, 60'000}) {
        const bool admitted = plan.Admits(After(now_ms), std::chrono::milliseconds(limit_ms));
        const bool ends_in_time = now_ms + limit_ms <= grace_ms;
        BOOST_TEST((!ends_in_time || admitted));
        if (now_ms >= 3000 || now_ms >= grace_ms / 2) {
          BOOST_TEST(admitted == ends_in_time);
        }
      }
    }
  }
}

// Guards against callers that are refused although they could not know of the stop yet.
BOOST_AUTO_TEST_CASE(early_requests_are_accepted) {
  const StopPlan plan(kBegin, After(7300));
  BOOST_TEST(plan.Admits(After(0), std::chrono::hours(1)));
  BOOST_TEST(plan.Admits(After(2990), std::chrono::hours(1)));
  BOOST_TEST(!plan.Admits(After(3000), std::chrono::hours(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
