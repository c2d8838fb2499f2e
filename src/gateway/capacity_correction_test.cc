#include "src/gateway/capacity_correction.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {
namespace {

struct Fixture {
  /// @brief Runs timers that all have this delay.
  void Run(Duration duration, Duration delay) {
    const MonotonicTime end = now + duration;
    while (now < end) {
      now += CapacityCorrectionOptions().period + delay;
      correction.OnTimer(now);
    }
  }

  CapacityCorrection correction;
  MonotonicTime now{std::chrono::seconds(100)};
};

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(capacity_correction, Fixture)

// Guards against a daemon that gives up callers because of usual delays.
BOOST_AUTO_TEST_CASE(small_delays_have_no_effect) {
  Run(seconds(60), milliseconds(0));
  Run(seconds(600), milliseconds(19));
  BOOST_TEST(correction.value() == 1);
}

// Guards against one long callback that moves callers.
BOOST_AUTO_TEST_CASE(single_delay_has_little_effect) {
  Run(seconds(10), milliseconds(0));
  now += milliseconds(500);
  correction.OnTimer(now);
  Run(seconds(10), milliseconds(1));
  BOOST_TEST(correction.value() > 0.9);
}

// Guards against a suspended process that counts as slow for long.
BOOST_AUTO_TEST_CASE(suspension_counts_as_a_short_delay) {
  Run(seconds(10), milliseconds(0));
  now += seconds(3600);
  correction.OnTimer(now);
  BOOST_TEST((correction.delay() < seconds(1)));
  Run(seconds(30), milliseconds(0));
  BOOST_TEST(correction.value() > 0.9);
}

// Guards against an overloaded daemon that keeps its callers, or loses all of them.
BOOST_AUTO_TEST_CASE(overload_lowers_the_value_to_its_minimum) {
  Run(seconds(20), milliseconds(300));
  BOOST_TEST(correction.value() < 0.25);
  Run(seconds(60), milliseconds(300));
  BOOST_TEST(correction.value() == 0.1);
}

// Guards against a value that changes back and forth while the delay is acceptable.
BOOST_AUTO_TEST_CASE(value_is_kept_in_the_range_of_delays) {
  Run(seconds(20), milliseconds(300));
  Run(seconds(20), milliseconds(30));
  const double value = correction.value();
  Run(seconds(60), milliseconds(30));
  BOOST_TEST(correction.value() == value);
}

// Guards against a daemon that never gets its callers back.
BOOST_AUTO_TEST_CASE(value_recovers) {
  Run(seconds(60), milliseconds(300));
  Run(seconds(300), milliseconds(5));
  BOOST_TEST(correction.value() == 1);
}

// Guards against a clock that does not advance.
BOOST_AUTO_TEST_CASE(time_that_does_not_advance_is_ignored) {
  Run(seconds(1), milliseconds(0));
  correction.OnTimer(now);
  correction.OnTimer(now - seconds(1));
  Run(seconds(1), milliseconds(0));
  BOOST_TEST(correction.value() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
