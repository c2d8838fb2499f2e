#include "src/load/answer_collector.h"

#include <algorithm>
#include <charconv>

#include "fakes/json_text.h"

namespace acaciaspring::load {

void AnswerCollector::Take(const SseEvent& event) {
  if (event.data == "[DONE]") {
    done_ = true;
    return;
  }
  const std::optional<Json::Value> chunk = fakes::ParseJson(event.data);
  if (!chunk || !chunk->isObject()) {
    ++malformed_;
    return;
  }
  if (chunk->isMember("error")) {
    error_ = (*chunk)["error"];
    return;
  }
  if (!event.id.empty()) {
    TakeId(event.id);
  }
  const Json::Value& choices = (*chunk)["choices"];
  if (!choices.isArray()) {
    ++malformed_;
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

void AnswerCollector::TakeId(const std::string& id) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
  // The id is the length of the answer so far, a dash and a hash.
  if (error != std::errc() || (end != id.data() + id.size() && *end != '-')) {
    ++malformed_;
    return;
  }
  // The chunk with the finish reason has no token and may repeat the id of the last token.
  if (!last_id_.empty() && number < last_number_) {
    ++ids_out_of_order_;
  }
  last_id_ = id;
  last_number_ = number;
}

void AnswerCollector::PrepareResume() {
  error_.reset();
  if (last_id_.empty()) {
    content_.clear();
    finish_reason_.clear();
  }
}

std::string AnswerCollector::Expected(const std::vector<fakes::Message>& messages,
                                      std::uint64_t max_tokens) const {
  // The scheduler may lower the cap to the remaining budget and then says so. A prefix of the
  // answer cannot pass for such a short answer, because its last word differs.
  const std::uint64_t limit =
      finish_reason_ == "length"
          ? std::clamp<std::uint64_t>(fakes::CountWords(content_), 1, max_tokens)
          : max_tokens;
  return fakes::JoinWords(fakes::AnswerWords(messages, limit));
}

std::string AnswerCollector::FindDifference(const std::vector<fakes::Message>& messages,
                                            std::uint64_t max_tokens) const {
  if (!done_) {
    return "the answer has no end";
  }
  if (ids_out_of_order_ > 0 || malformed_ > 0) {
    return "events are malformed or out of order";
  }
  const std::string expected = Expected(messages, max_tokens);
  if (content_ == expected) {
    return {};
  }
  return "expected '" + expected + "', received '" + content_ + "'";
}

}  // namespace acaciaspring::load
