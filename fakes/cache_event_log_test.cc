#include "fakes/cache_event_log.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::fakes {

namespace {

MonotonicTime At(int ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

CacheEvent Event(int ms) {
  return {
      .sequence = 0, .time = At(ms), .kind = "stored", .prefix = "p", .tokens = 1, .program = "a"};
}

}  // namespace

// Guards against lost events that a reader cannot detect: a reader recognises a loss only by a
// missing sequence number.
BOOST_AUTO_TEST_CASE(lost_events_leave_a_gap_in_the_sequence) {
  CacheEventLog events;
  events.Add(Event(1), false);
  events.Add(Event(2), true);
  events.Add(Event(3), false);
  const Json::Value read = events.Read(1, At(100), Duration(0));
  BOOST_REQUIRE(read["events"].size() == 2U);
  BOOST_TEST(read["events"][0]["sequence"].asUInt64() == 1U);
  BOOST_TEST(read["events"][1]["sequence"].asUInt64() == 3U);
  BOOST_TEST(read["next"].asUInt64() == 4U);
  BOOST_TEST(events.Read(4, At(100), Duration(0))["events"].empty());
  BOOST_TEST(events.Read(4, At(100), Duration(0))["next"].asUInt64() == 4U);
}

// Guards against a returned position that lies past events which are not visible yet, so that the
// reader would never see them.
BOOST_AUTO_TEST_CASE(lagging_events_are_read_later) {
  CacheEventLog events;
  events.Add(Event(0), false);
  events.Add(Event(50), false);
  const Duration lag = std::chrono::milliseconds(60);
  const Json::Value early = events.Read(1, At(70), lag);
  BOOST_TEST(early["events"].size() == 1U);
  const Json::Value late = events.Read(early["next"].asUInt64(), At(110), lag);
  BOOST_TEST(late["events"].size() == 1U);
  BOOST_TEST(late["next"].asUInt64() == 3U);
}

BOOST_AUTO_TEST_CASE(oldest_events_are_dropped_beyond_the_limit) {
  CacheEventLog events;
  for (int index = 0; index < 20010; ++index) {
    events.Add(Event(index), false);
  }
  const Json::Value read = events.Read(1, At(1000000), Duration(0));
  BOOST_TEST(read["first"].asUInt64() == 11U);
  BOOST_TEST(read["events"][0]["sequence"].asUInt64() == 11U);
  BOOST_TEST(read["events"].size() == 2000U);
}

}  // namespace acaciaspring::fakes
