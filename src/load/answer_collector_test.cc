#include "src/load/answer_collector.h"

#include <boost/test/unit_test.hpp>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

const std::vector<fakes::Message> kMessages = {{"user", "which belt fits"}};

SseEvent Chunk(std::uint64_t id,
               const std::string& content,
               const std::string& finish_reason = "") {
  Json::Value chunk;
  chunk["choices"][0]["delta"]["content"] = content;
  if (!finish_reason.empty()) {
    chunk["choices"][0]["finish_reason"] = finish_reason;
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

std::string FindDifference(const std::vector<SseEvent>& events, std::uint64_t max_tokens) {
  AnswerCollector collector;
  for (const SseEvent& event : events) {
    collector.AddEvent(event);
  }
  return collector.FindDifference(kMessages, max_tokens);
}

}  // namespace

BOOST_AUTO_TEST_CASE(complete_answers_are_accepted) {
  BOOST_TEST(FindDifference(Stream(64), 64) == "");
  BOOST_TEST(FindDifference(Stream(5), 5) == "");
  // The scheduler lowered the token limit to the remaining budget.
  BOOST_TEST(FindDifference(Stream(5), 64) == "");
}

// Guards against accepting an answer with a missing, repeated or replaced token, a truncated answer
// and a stream without [DONE].
BOOST_AUTO_TEST_CASE(wrong_answers_are_detected) {
  const std::vector<SseEvent> complete = Stream(64);
  for (std::size_t index = 0; index + 2 < complete.size(); ++index) {
    std::vector<SseEvent> missing = complete;
    missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(index));
    BOOST_TEST(FindDifference(missing, 64) != "");
    std::vector<SseEvent> repeated = complete;
    repeated.insert(repeated.begin() + static_cast<std::ptrdiff_t>(index), complete[index]);
    BOOST_TEST(FindDifference(repeated, 64) != "");
    std::vector<SseEvent> truncated(complete.begin(),
                                    complete.begin() + static_cast<std::ptrdiff_t>(index));
    truncated.push_back(Chunk(index, "", "length"));
    truncated.push_back({"", "[DONE]"});
    BOOST_TEST(FindDifference(truncated, 64) != "");
    std::vector<SseEvent> replaced = complete;
    replaced[index] = Chunk(index + 1, "other ");
    BOOST_TEST(FindDifference(replaced, 64) != "");
  }
  BOOST_TEST(FindDifference({complete.begin(), complete.end() - 1}, 64) ==
             "the event stream ended without [DONE]");
}

BOOST_AUTO_TEST_CASE(resumed_stream_continues_the_answer) {
  const std::vector<SseEvent> complete = Stream(64);
  AnswerCollector collector;
  for (std::size_t index = 0; index < 4; ++index) {
    collector.AddEvent(complete[index]);
  }
  BOOST_TEST(collector.last_id() == "4");
  collector.PrepareResume();
  for (std::size_t index = 4; index < complete.size(); ++index) {
    collector.AddEvent(complete[index]);
  }
  BOOST_TEST(collector.FindDifference(kMessages, 64) == "");
}

// A stream without event ids cannot be resumed and starts again. Keeping the content of the first
// attempt would duplicate it.
BOOST_AUTO_TEST_CASE(stream_without_ids_restarts_the_answer) {
  AnswerCollector collector;
  collector.AddEvent({"", Chunk(0, "half ").data});
  collector.PrepareResume();
  for (SseEvent event : Stream(64)) {
    event.id.clear();
    collector.AddEvent(event);
  }
  BOOST_TEST(collector.FindDifference(kMessages, 64) == "");
}

}  // namespace acaciaspring::load
