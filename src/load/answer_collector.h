#ifndef ACACIASPRING_SRC_LOAD_ANSWER_COLLECTOR_H_
#define ACACIASPRING_SRC_LOAD_ANSWER_COLLECTOR_H_

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "src/load/sse_parser.h"

namespace acaciaspring::load {

/// @brief Puts one answer together from the events of one or more attempts of the same call.
class AnswerCollector {
 public:
  void Take(const SseEvent& event);
  /// @brief Call before a further attempt. Without event ids the stream starts again, so what was
  /// received is dropped.
  void PrepareResume();

  /// @brief True after "data: [DONE]".
  bool done() const { return done_; }
  bool has_content() const { return !content_.empty(); }
  const std::string& content() const { return content_; }
  /// @brief Last event id received, or empty.
  const std::string& last_id() const { return last_id_; }
  /// @brief The error object that ended the stream.
  const std::optional<Json::Value>& error() const { return error_; }
  /// @brief Number of events whose id was not above the one before.
  std::uint64_t ids_out_of_order() const { return ids_out_of_order_; }

  /// @brief The answer that the engine gives to these messages.
  std::string Expected(const std::vector<fakes::Message>& messages, std::uint64_t max_tokens) const;
  /// @brief What is wrong with the answer to these messages, or empty when it is the expected one.
  std::string FindDifference(const std::vector<fakes::Message>& messages,
                             std::uint64_t max_tokens) const;

 private:
  void TakeId(const std::string& id);

  std::string content_;
  std::string last_id_;
  std::uint64_t last_number_ = 0;
  std::uint64_t ids_out_of_order_ = 0;
  std::uint64_t malformed_ = 0;
  std::string finish_reason_;
  bool done_ = false;
  std::optional<Json::Value> error_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_ANSWER_COLLECTOR_H_
