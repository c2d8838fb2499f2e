#include "fakes/answer.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace acaciaspring::fakes {

namespace {

const std::vector<Message> kMessages = {{"system", "answer briefly"}, {"user", "the belt slips"}};

}  // namespace

// Guards against an answer that does not depend on some message: with it, tests would not detect a
// history that lost a message or contains one of another program.
BOOST_AUTO_TEST_CASE(answer_depends_on_every_message) {
  const std::vector<std::string> answer = AnswerWords(kMessages, 1000);
  BOOST_TEST(answer == AnswerWords(kMessages, 1000), boost::test_tools::per_element());
  for (std::size_t changed = 0; changed < kMessages.size(); ++changed) {
    std::vector<Message> other = kMessages;
    other[changed].content += "x";
    BOOST_TEST(JoinWords(AnswerWords(other, 1000)) != JoinWords(answer));
    other = kMessages;
    other[changed].role += "x";
    BOOST_TEST(JoinWords(AnswerWords(other, 1000)) != JoinWords(answer));
  }
  const std::vector<Message> swapped = {kMessages[1], kMessages[0]};
  BOOST_TEST(JoinWords(AnswerWords(swapped, 1000)) != JoinWords(answer));
}

// Guards against a truncated answer that equals a valid shorter one and is therefore accepted.
BOOST_AUTO_TEST_CASE(prefix_of_an_answer_is_not_an_answer) {
  const std::vector<std::string> full = AnswerWords(kMessages, 1000);
  BOOST_TEST(full.size() == FullAnswerLength(kMessages));
  BOOST_TEST(full.size() >= 8U);
  BOOST_TEST(full.size() <= 32U);
  BOOST_TEST(full.back().starts_with("end-"));
  for (std::size_t length = 1; length < full.size(); ++length) {
    const std::vector<std::string> limited = AnswerWords(kMessages, length);
    BOOST_TEST(limited.size() == length);
    BOOST_TEST(limited.back() == full.back());
    BOOST_TEST(limited.back() != full[length - 1]);
  }
  BOOST_TEST(AnswerWords(kMessages, 0).empty());
}

// Guards against a hash that depends on the platform: the load tool on one machine verifies answers
// of engines on other machines.
BOOST_AUTO_TEST_CASE(answer_is_stable_between_builds) {
  BOOST_TEST(AnswerWords({}, 3).back() == "end-99aa06d3");
}

BOOST_AUTO_TEST_CASE(answers_differ_in_length) {
  std::set<std::size_t> lengths;
  for (int index = 0; index < 500; ++index) {
    lengths.insert(AnswerWords({{"user", std::to_string(index)}}, 1000).size());
  }
  BOOST_TEST(lengths.size() == 25U);
}

BOOST_AUTO_TEST_CASE(tokens_are_counted_as_words) {
  BOOST_TEST(CountWords("") == 0U);
  BOOST_TEST(CountWords("  a\tb\n c ") == 3U);
  BOOST_TEST(CountPromptTokens(kMessages) == 5U);
}

// Guards against a cache entry that two programs share only because their last messages are equal.
BOOST_AUTO_TEST_CASE(prefix_depends_on_earlier_messages) {
  const Message last{"user", "same"};
  BOOST_TEST(ExtendPrefix(ExtendPrefix("", {"user", "a"}), last) !=
             ExtendPrefix(ExtendPrefix("", {"user", "b"}), last));
}

}  // namespace acaciaspring::fakes
