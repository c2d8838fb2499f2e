#include <boost/test/unit_test.hpp>

#include "src/load/program_runner.h"

namespace acaciaspring::load {

namespace {

using Messages = std::vector<fakes::Message>;

const Messages kFirst = {{"user", "a"}, {"assistant", "b"}};
const Messages kNext = {{"user", "c"}};

Messages WithUncertainTurn() {
  Messages stored = kFirst;
  stored.push_back(kNext[0]);
  stored.push_back({"assistant", fakes::JoinWords(fakes::AnswerWords(stored, 64))});
  return stored;
}

}  // namespace

// A lost, added, changed or swapped message is a wrong history.
BOOST_AUTO_TEST_CASE(history_differences_are_found) {
  BOOST_TEST(FindHistoryDifference(kFirst, kFirst, {}, 64) == "");
  BOOST_TEST(FindHistoryDifference({kFirst[0]}, kFirst, {}, 64) != "");
  BOOST_TEST(FindHistoryDifference({kFirst[1], kFirst[0]}, kFirst, {}, 64) != "");
  BOOST_TEST(FindHistoryDifference({kFirst[0], {"assistant", "x"}}, kFirst, {}, 64) != "");
  BOOST_TEST(FindHistoryDifference(WithUncertainTurn(), kFirst, {}, 64) != "");
}

// A turn that ended as Unknown may be there or not, but only whole and right.
BOOST_AUTO_TEST_CASE(unknown_turn_is_whole_or_absent) {
  BOOST_TEST(FindHistoryDifference(kFirst, kFirst, kNext, 64) == "");
  Messages stored = WithUncertainTurn();
  BOOST_TEST(FindHistoryDifference(stored, kFirst, kNext, 64) == "");
  stored.back().content += " x";
  BOOST_TEST(FindHistoryDifference(stored, kFirst, kNext, 64) != "");
  stored.back().content = "";
  BOOST_TEST(FindHistoryDifference(stored, kFirst, kNext, 64) != "");
  stored.pop_back();
  BOOST_TEST(FindHistoryDifference(stored, kFirst, kNext, 64) != "");
}

}  // namespace acaciaspring::load
