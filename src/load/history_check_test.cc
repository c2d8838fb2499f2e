#include <boost/test/unit_test.hpp>

#include "src/load/program_runner.h"

namespace acaciaspring::load {

namespace {

using Messages = std::vector<fakes::Message>;

const Messages kCompletedTurn = {{"user", "a"}, {"assistant", "b"}};
const Messages kUncertainMessages = {{"user", "c"}};

Messages WithUncertainTurn() {
  Messages stored = kCompletedTurn;
  stored.push_back(kUncertainMessages[0]);
  stored.push_back({"assistant", fakes::JoinWords(fakes::AnswerWords(stored, 64))});
  return stored;
}

}  // namespace

// Guards against accepting a stored history with a missing, additional, changed or reordered
// message.
BOOST_AUTO_TEST_CASE(history_differences_are_detected) {
  BOOST_TEST(FindHistoryDifference(kCompletedTurn, kCompletedTurn, {}, 64) == "");
  BOOST_TEST(FindHistoryDifference({kCompletedTurn[0]}, kCompletedTurn, {}, 64) != "");
  BOOST_TEST(
      FindHistoryDifference({kCompletedTurn[1], kCompletedTurn[0]}, kCompletedTurn, {}, 64) != "");
  BOOST_TEST(
      FindHistoryDifference({kCompletedTurn[0], {"assistant", "x"}}, kCompletedTurn, {}, 64) != "");
  BOOST_TEST(FindHistoryDifference(WithUncertainTurn(), kCompletedTurn, {}, 64) != "");
}

// A turn with the outcome Unknown may be stored or not. Guards against accepting it in part or with
// a wrong answer.
BOOST_AUTO_TEST_CASE(unknown_turn_is_complete_or_absent) {
  BOOST_TEST(FindHistoryDifference(kCompletedTurn, kCompletedTurn, kUncertainMessages, 64) == "");
  Messages stored = WithUncertainTurn();
  BOOST_TEST(FindHistoryDifference(stored, kCompletedTurn, kUncertainMessages, 64) == "");
  stored.back().content += " x";
  BOOST_TEST(FindHistoryDifference(stored, kCompletedTurn, kUncertainMessages, 64) != "");
  stored.back().content = "";
  BOOST_TEST(FindHistoryDifference(stored, kCompletedTurn, kUncertainMessages, 64) != "");
  stored.pop_back();
  BOOST_TEST(FindHistoryDifference(stored, kCompletedTurn, kUncertainMessages, 64) != "");
}

}  // namespace acaciaspring::load
