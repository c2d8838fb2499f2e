#include "src/load/answer_collector.h"

#include <boost/test/unit_test.hpp>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

const std::vector<fakes::Message> kMessages = {{"user", "which belt fits"}};

SseEvent Chunk(std::uint64_t id, const std::string& content, const std::string& finish = "") {
  Json::Value chunk;
  chunk["choices"][0]["delta"]["content"] = content;
  if (!finish.empty()) {
    chunk["choices"][0]["finish_reason"] = finish;
  }
  return {std::to_string(id), fakes::WriteJson(chunk)};
}

std::vector<SseEvent> Stream(std::uint64_t max_tokens) {
  const std::vector<std::string> words = fakes::AnswerWords(kMessages, max_tokens);
  std::vector<SseEvent> events;
  for (std::size_t index = 0; index < words.size(); ++index) {
    events.push_back(Chunk(index + 1, words[index] + (index + 1 < words.size() ? " " : "")));
  }
  events.push_back(Chunk(words.size(), "", max_tokens < 8 ? "length" : "stop"));
  events.push_back({"", "[DONE]"});
  return events;
}

std::string Check(const std::vector<SseEvent>& events, std::uint64_t max_tokens) {
  AnswerCollector collector;
  for (const SseEvent& event : events) {
    collector.Take(event);
  }
  return collector.FindDifference(kMessages, max_tokens);
}

}  // namespace

BOOST_AUTO_TEST_CASE(whole_answers_pass) {
  BOOST_TEST(Check(Stream(64), 64) == "");
  BOOST_TEST(Check(Stream(5), 5) == "");
  // The cap was lowered to the remaining budget.
  BOOST_TEST(Check(Stream(5), 64) == "");
}

// Every lost, repeated or foreign token must be seen.
BOOST_AUTO_TEST_CASE(damaged_answers_are_found) {
  const std::vector<SseEvent> good = Stream(64);
  for (std::size_t index = 0; index + 2 < good.size(); ++index) {
    std::vector<SseEvent> lost = good;
    lost.erase(lost.begin() + static_cast<std::ptrdiff_t>(index));
    BOOST_TEST(Check(lost, 64) != "");
    std::vector<SseEvent> repeated = good;
    repeated.insert(repeated.begin() + static_cast<std::ptrdiff_t>(index), good[index]);
    BOOST_TEST(Check(repeated, 64) != "");
    std::vector<SseEvent> cut(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(index));
    cut.push_back(Chunk(index, "", "length"));
    cut.push_back({"", "[DONE]"});
    BOOST_TEST(Check(cut, 64) != "");
    std::vector<SseEvent> foreign = good;
    foreign[index] = Chunk(index + 1, "other ");
    BOOST_TEST(Check(foreign, 64) != "");
  }
  BOOST_TEST(Check({good.begin(), good.end() - 1}, 64) == "the answer has no end");
}

BOOST_AUTO_TEST_CASE(resumed_answer_continues) {
  const std::vector<SseEvent> good = Stream(64);
  AnswerCollector collector;
  for (std::size_t index = 0; index < 4; ++index) {
    collector.Take(good[index]);
  }
  BOOST_TEST(collector.last_id() == "4");
  collector.PrepareResume();
  for (std::size_t index = 4; index < good.size(); ++index) {
    collector.Take(good[index]);
  }
  BOOST_TEST(collector.FindDifference(kMessages, 64) == "");
}

// A stream without ids cannot be resumed; keeping its first part would double it.
BOOST_AUTO_TEST_CASE(answer_without_ids_starts_again) {
  AnswerCollector collector;
  collector.Take({"", Chunk(0, "half ").data});
  collector.PrepareResume();
  for (SseEvent event : Stream(64)) {
    event.id.clear();
    collector.Take(event);
  }
  BOOST_TEST(collector.FindDifference(kMessages, 64) == "");
}

}  // namespace acaciaspring::load
