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

/// @brief Assembles the answer of one streaming call from the events of one or more attempts.
class AnswerCollector {
 public:
  void AddEvent(const SseEvent& event);
  /// @brief Must be called before each further attempt. Discards the content received so far if its
  /// events had no ids, because such a stream cannot be resumed and starts again.
  void PrepareResume();

  /// @brief True after "data: [DONE]".
  bool done() const { return done_; }
  bool has_content() const { return !content_.empty(); }
  const std::string& content() const { return content_; }
  /// @brief Id of the last event that had one; empty if none.
  const std::string& last_id() const { return last_id_; }
  /// @brief Error object received in the stream.
  const std::optional<Json::Value>& error() const { return error_; }
  /// @brief Number of events with a lower id than the event before.
  std::uint64_t ids_out_of_order() const { return ids_out_of_order_; }

  /// @brief Content that the fake engine returns for these messages.
  std::string ExpectedContent(const std::vector<fakes::Message>& messages,
                              std::uint64_t max_tokens) const;
  /// @brief Returns a description of the difference between the received and the expected answer
  /// to these messages; empty if they are equal.
  std::string FindDifference(const std::vector<fakes::Message>& messages,
                             std::uint64_t max_tokens) const;

 private:
  void RecordEventId(const std::string& id);

  std::string content_;
  std::string last_id_;
  std::uint64_t last_id_number_ = 0;
  std::uint64_t ids_out_of_order_ = 0;
  std::uint64_t malformed_events_ = 0;
  std::string finish_reason_;
  bool done_ = false;
  std::optional<Json::Value> error_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_ANSWER_COLLECTOR_H_
