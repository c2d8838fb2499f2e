#include <boost/test/unit_test.hpp>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

constexpr Duration kFastResponse = std::chrono::milliseconds(8);
constexpr Duration kSlowResponse = std::chrono::milliseconds(240);
// Turns wait for the append of their partition, and callers abandon a stream without data after two
// seconds.
constexpr Duration kMaxAcceptableTimeout = std::chrono::milliseconds(200);

}  // namespace

BOOST_AUTO_TEST_SUITE(append_timeout)

// A third of the store's responses are lost. Guards against turns that wait a whole second for a
// lost response although the other responses arrive within milliseconds.
BOOST_AUTO_TEST_CASE(lost_responses_keep_the_timeout_short) {
  AppendTimeout timeout;
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST((timeout.Current() <= kMaxAcceptableTimeout));
    if (i % 3 == 0) {
      timeout.OnTimeout();
    }
    timeout.OnResponse(kFastResponse);
  }
}

// The store becomes thirty times slower. Guards against appends that are repeated over and over
// before their response can arrive.
BOOST_AUTO_TEST_CASE(timeout_adapts_to_a_slow_store) {
  AppendTimeout timeout;
  timeout.OnResponse(kFastResponse);
  int repeats = 0;
  while (timeout.Current() < kSlowResponse) {
    timeout.OnTimeout();
    ++repeats;
  }
  BOOST_TEST(repeats <= 2);
  for (int i = 0; i < 20; ++i) {
    timeout.OnResponse(kSlowResponse);
  }
  BOOST_TEST((timeout.Current() > kSlowResponse * 2));
}

// Guards against large appends that are repeated before the store can have taken them, and against
// small ones that wait longer because of them.
BOOST_AUTO_TEST_CASE(large_append_gets_the_time_of_its_transfer) {
  constexpr std::size_t kBytes = 2'000'000;
  AppendTimeout timeout(10'000'000);
  for (int i = 0; i < 20; ++i) {
    timeout.OnResponse(kFastResponse);
    timeout.OnResponse(kFastResponse + std::chrono::milliseconds(200), kBytes);
  }
  BOOST_TEST((timeout.Current(kBytes) >= std::chrono::milliseconds(400)));
  BOOST_TEST((timeout.Current() <= kMaxAcceptableTimeout));
}

// Guards against a timeout that grows without limit during an outage of the store.
BOOST_AUTO_TEST_CASE(timeout_is_bounded) {
  AppendTimeout timeout;
  for (int i = 0; i < 100; ++i) {
    timeout.OnTimeout();
  }
  BOOST_TEST((timeout.Current() <= std::chrono::seconds(1)));
  timeout.OnResponse(kFastResponse);
  BOOST_TEST((timeout.Current() <= kMaxAcceptableTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ledger
