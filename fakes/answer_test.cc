#include "fakes/answer.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace acaciaspring::fakes {

namespace {

const std::vector<Message> kMessages = {{"system", "answer briefly"}, {"user", "the belt slips"}};

}  // namespace

// An answer that ignores a message would hide a lost or mixed history.
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

// A cut answer that equals a shorter valid answer would go unnoticed.
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

// The load tool of one machine checks answers of engines on others.
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

BOOST_AUTO_TEST_CASE(tokens_are_words) {
  BOOST_TEST(CountWords("") == 0U);
  BOOST_TEST(CountWords("  a\tb\n c ") == 3U);
  BOOST_TEST(CountPromptTokens(kMessages) == 5U);
}

// Without the chain, equal last messages of two programs would share a cache entry.
BOOST_AUTO_TEST_CASE(prefix_depends_on_earlier_messages) {
  const Message last{"user", "same"};
  BOOST_TEST(ExtendPrefix(ExtendPrefix("", {"user", "a"}), last) !=
             ExtendPrefix(ExtendPrefix("", {"user", "b"}), last));
}

}  // namespace acaciaspring::fakes
