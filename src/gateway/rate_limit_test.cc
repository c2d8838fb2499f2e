#include "src/gateway/rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};

/// @brief Takes a permit every millisecond in which there is one; returns how many.
int TakeAll(RateLimit& limit, MonotonicTime from, Duration period) {
  int taken = 0;
  for (MonotonicTime now = from; now < from + period; now += std::chrono::milliseconds(1)) {
    if (limit.HasPermit(now)) {
      limit.Take(now);
      ++taken;
    }
  }
  return taken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit)

// Guards against a limit that is misread because an endpoint writes it in another form.
BOOST_AUTO_TEST_CASE(only_plain_decimal_numbers_are_limits) {
  BOOST_TEST((ParseRateLimit("4.3") == 4.3));
  BOOST_TEST((ParseRateLimit("12") == 12.0));
  BOOST_TEST((ParseRateLimit("0") == 0.0));
  for (const char* text : {"", "-1", "+1", "1e3", "nan", "inf", "4.3/s", " 4", "4,3", "0x4"}) {
    BOOST_TEST(!ParseRateLimit(text).has_value(), text);
  }
}

// Guards against permits that are lost or gained by rounding.
BOOST_AUTO_TEST_CASE(permits_accrue_at_the_shared_rate) {
  RateLimit limit(6, 0, kStart);
  limit.SetShare(0.5, 1, kStart);
  BOOST_TEST(!limit.HasPermit(kStart));
  const MonotonicTime next = limit.NextPermit(kStart);
  BOOST_TEST(!limit.HasPermit(next - std::chrono::milliseconds(1)));
  BOOST_TEST(limit.HasPermit(next));
  const int taken = TakeAll(limit, kStart, std::chrono::seconds(100));
  BOOST_TEST(taken >= 299);
  BOOST_TEST(taken <= 300);
}

// Guards against a burst after a time without requests.
BOOST_AUTO_TEST_CASE(unused_permits_are_bounded) {
  RateLimit limit(10, 0, kStart);
  limit.SetShare(1, 4, kStart);
  const MonotonicTime later = kStart + std::chrono::hours(1);
  BOOST_TEST(TakeAll(limit, later, std::chrono::milliseconds(1)) == 1);
  BOOST_TEST(TakeAll(limit, later + std::chrono::milliseconds(1), std::chrono::milliseconds(3)) ==
             3);
  BOOST_TEST(!limit.HasPermit(later + std::chrono::milliseconds(4)));
}

// Guards against requests of a daemon that has no share of the limit.
BOOST_AUTO_TEST_CASE(without_a_share_there_are_no_permits) {
  RateLimit limit(10, 0, kStart);
  limit.SetShare(0, 1, kStart);
  BOOST_TEST(!limit.HasPermit(kStart + std::chrono::hours(1)));
  BOOST_TEST((limit.NextPermit(kStart) == MonotonicTime::max()));
}

// Guards against an endpoint that is never called again after it named a limit of 0, so that no
// response can show the end of the limit.
BOOST_AUTO_TEST_CASE(limit_of_zero_leaves_a_few_requests) {
  RateLimit limit(0, 0, kStart);
  const int taken = TakeAll(limit, kStart, std::chrono::seconds(100));
  BOOST_TEST(taken >= 1);
  BOOST_TEST(taken <= 5);
}

// Guards against a wave of requests to an endpoint whose limit has just ended.
BOOST_AUTO_TEST_CASE(rate_rises_step_by_step_after_the_limit) {
  RateLimit limit(4, 0, kStart);
  limit.SetLimit(std::nullopt, kStart);
  BOOST_TEST(!limit.Recovered(kStart));
  int former = 0;
  for (int half_second = 0; half_second < 5; ++half_second) {
    const int taken = TakeAll(limit, kStart + half_second * std::chrono::milliseconds(500),
                              std::chrono::milliseconds(500));
    BOOST_TEST(taken <= 2 * former + 4);
    BOOST_TEST(taken > former);
    former = taken;
  }
  const MonotonicTime end = kStart + std::chrono::seconds(3);
  BOOST_TEST(limit.Recovered(end));
  BOOST_TEST(limit.HasPermit(end));
}

// Guards against the former rate after an endpoint names a lower limit.
BOOST_AUTO_TEST_CASE(lower_limit_takes_effect_at_once) {
  RateLimit limit(100, 0, kStart);
  limit.SetLimit(2, kStart);
  const int taken = TakeAll(limit, kStart, std::chrono::seconds(10));
  BOOST_TEST(taken <= 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
