#include <boost/test/unit_test.hpp>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

constexpr Duration kFast = std::chrono::milliseconds(8);
constexpr Duration kSlow = std::chrono::milliseconds(240);
// The turns of a partition wait for its append; callers leave a silent stream after two seconds.
constexpr Duration kTolerable = std::chrono::milliseconds(200);

}  // namespace

BOOST_AUTO_TEST_SUITE(append_patience)

// Pattern: a third of the store's answers are lost. Guards against turns that wait a whole second
// for an answer that does not come, when the others come within milliseconds.
BOOST_AUTO_TEST_CASE(lost_answer_is_given_up_soon) {
  AppendTimeout patience;
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST((patience.Current() <= kTolerable));
    if (i % 3 == 0) {
      patience.OnTimeout();
    }
    patience.OnAnswer(kFast);
  }
}

// Pattern: the store answers sixty times slower. Guards against appends that are repeated again and
// again before their answer can come.
BOOST_AUTO_TEST_CASE(slow_store_is_waited_for) {
  AppendTimeout patience;
  patience.OnAnswer(kFast);
  int repeats = 0;
  while (patience.Current() < kSlow) {
    patience.OnTimeout();
    ++repeats;
  }
  BOOST_TEST(repeats <= 2);
  for (int i = 0; i < 20; ++i) {
    patience.OnAnswer(kSlow);
  }
  BOOST_TEST((patience.Current() > kSlow * 2));
}

// Guards against a patience without bound in an outage of the store.
BOOST_AUTO_TEST_CASE(silence_has_a_bound) {
  AppendTimeout patience;
  for (int i = 0; i < 100; ++i) {
    patience.OnTimeout();
  }
  BOOST_TEST((patience.Current() <= std::chrono::seconds(1)));
  patience.OnAnswer(kFast);
  BOOST_TEST((patience.Current() <= kTolerable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ledger
