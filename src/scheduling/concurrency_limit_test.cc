#include "src/scheduling/concurrency_limit.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace acaciaspring {
namespace {

constexpr Duration kCall = std::chrono::milliseconds(400);
constexpr Duration kBest = std::chrono::milliseconds(100);

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(concurrency_limit)

// Guards against a limit that grows with the number of daemons that see responses, or not at all
// where each sees few.
BOOST_AUTO_TEST_CASE(limit_doubles_in_the_time_of_a_call) {
  for (const int responses : {1, 4, 40}) {
    ConcurrencyLimit limit(64, At(0));
    BOOST_TEST(limit.calls() == 10U);
    for (int i = 1; i <= responses; ++i) {
      limit.OnCompleted(kCall, At(0) + kCall * i / responses);
    }
    BOOST_TEST(limit.value() == 20, boost::test_tools::tolerance(0.01));
  }
}

// Guards against an endpoint that is filled at once after a pause without calls.
BOOST_AUTO_TEST_CASE(one_response_doubles_the_limit_at_most) {
  ConcurrencyLimit limit(64, At(0));
  limit.OnCompleted(kCall, At(60'000));
  BOOST_TEST(limit.value() == 20);
}

// Guards against a limit of 1 because of the many calls that one overload rejects.
BOOST_AUTO_TEST_CASE(rejections_of_one_overload_count_once) {
  ConcurrencyLimit limit(64, At(0));
  limit.Set(32, At(0));
  for (int i = 0; i < 20; ++i) {
    limit.OnFailed(Duration(0), At(1000));
    limit.OnFailed(kCall, At(1100));
  }
  BOOST_TEST(limit.value() == 16);
  limit.OnFailed(kCall, At(1500));
  BOOST_TEST(limit.value() == 8);
}

// Guards against a limit that one long prompt reduces, and against one that keeps growing while
// calls wait at the endpoint.
BOOST_AUTO_TEST_CASE(repeated_slow_first_events_reduce_the_limit) {
  ConcurrencyLimit limit(64, At(0));
  limit.Set(32, At(0));
  limit.OnFirstEvent(5 * kBest, kBest, At(600));
  BOOST_TEST(limit.value() == 32);
  limit.OnCompleted(kCall, At(700));
  BOOST_TEST(limit.value() == 32);
  limit.OnFirstEvent(5 * kBest, kBest, At(1300));
  BOOST_TEST(limit.value() < 32);
  const double reduced = limit.value();
  limit.OnFirstEvent(std::chrono::milliseconds(130), kBest, At(1500));
  limit.OnCompleted(kCall, At(1600));
  BOOST_TEST(limit.value() > reduced);
}

BOOST_AUTO_TEST_CASE(former_best_time_is_forgotten) {
  BestTime best(std::chrono::seconds(10));
  BOOST_TEST(!best.value().has_value());
  best.Record(Duration(5), At(0));
  best.Record(Duration(9), At(11'000));
  BOOST_TEST(best.value()->count() == 5);
  best.Record(Duration(8), At(22'000));
  BOOST_TEST(best.value()->count() == 8);
}

// Guards against limits that make an endpoint unusable, whatever it responds.
BOOST_AUTO_TEST_CASE(limit_stays_between_1_and_the_slots) {
  BOOST_TEST(rc::check([] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(0, 200);
    ConcurrencyLimit limit(slots, At(0));
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    std::int64_t now = 0;
    for (const int step : steps) {
      now += *rc::gen::inRange(0, 1000);
      switch (step) {
        case 0:
          limit.OnCompleted(Duration(*rc::gen::inRange(0, 1'000'000)), At(now));
          break;
        case 1:
          limit.OnFailed(Duration(*rc::gen::inRange(0, 1'000'000)), At(now));
          break;
        case 2:
          limit.OnFirstEvent(Duration(*rc::gen::inRange(0, 1'000'000)), kBest, At(now));
          break;
        case 3:
          limit.Set(*rc::gen::inRange(-5, 500), At(now));
          break;
        case 4:
          limit.OnFirstEvent(kBest, kBest, At(now));
          break;
        default:
          limit.Raise(At(now));
      }
      RC_ASSERT(limit.calls() >= 1U);
      RC_ASSERT(limit.calls() <= std::max<std::uint32_t>(slots, 1));
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring
