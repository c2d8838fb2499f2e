#include "src/load/answer_collector.h"

#include <algorithm>
#include <charconv>

#include "fakes/json_text.h"

namespace acaciaspring::load {

void AnswerCollector::AddEvent(const SseEvent& event) {
  if (event.data == "[DONE]") {
    done_ = true;
    return;
  }
  const std::optional<Json::Value> chunk = fakes::ParseJson(event.data);
  if (!chunk || !chunk->isObject()) {
    ++malformed_events_;
    return;
  }
  if (chunk->isMember("error")) {
    error_ = (*chunk)["error"];
    return;
  }
  if (!event.id.empty()) {
    RecordEventId(event.id);
  }
  const Json::Value& choices = (*chunk)["choices"];
  if (!choices.isArray()) {
    ++malformed_events_;
    return;
  }
  for (const Json::Value& choice : choices) {
    const Json::Value& content = choice["delta"]["content"];
    if (content.isString()) {
      content_ += content.asString();
    }
    if (choice["finish_reason"].isString()) {
      finish_reason_ = choice["finish_reason"].asString();
    }
  }
}

void AnswerCollector::RecordEventId(const std::string& id) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
  // An id consists of the length of the answer so far, a dash and a hash.
  if (error != std::errc() || (end != id.data() + id.size() && *end != '-')) {
    ++malformed_events_;
    return;
  }
  // The chunk with the finish reason carries no token and may repeat the id of the last token.
  if (!last_id_.empty() && number < last_id_number_) {
    ++ids_out_of_order_;
  }
  last_id_ = id;
  last_id_number_ = number;
}

void AnswerCollector::PrepareResume() {
  error_.reset();
  if (last_id_.empty()) {
    content_.clear();
    finish_reason_.clear();
  }
}

std::string AnswerCollector::ExpectedContent(const std::vector<fakes::Message>& messages,
                                             std::uint64_t max_tokens) const {
  // The scheduler may lower the token limit to the remaining budget, which the finish reason
  // "length" shows. A truncated answer is not mistaken for such a short answer, because the last
  // word of a short answer is an end marker.
  const std::uint64_t limit =
      finish_reason_ == "length"
          ? std::clamp<std::uint64_t>(fakes::CountWords(content_), 1, max_tokens)
          : max_tokens;
  return fakes::JoinWords(fakes::AnswerWords(messages, limit));
}

std::string AnswerCollector::FindDifference(const std::vector<fakes::Message>& messages,
                                            std::uint64_t max_tokens) const {
  if (!done_) {
    return "the event stream ended without [DONE]";
  }
  if (ids_out_of_order_ > 0 || malformed_events_ > 0) {
    return "the event stream contains malformed or out-of-order events";
  }
  const std::string expected = ExpectedContent(messages, max_tokens);
  if (content_ == expected) {
    return {};
  }
  return "expected '" + expected + "', received '" + content_ + "'";
}

}  // namespace acaciaspring::load
