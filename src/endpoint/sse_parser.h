#ifndef ACACIASPRING_SRC_ENDPOINT_SSE_PARSER_H_
#define ACACIASPRING_SRC_ENDPOINT_SSE_PARSER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaspring::endpoint {

struct SseEvent {
  /// Value of the event's own `id` line; the last id of the stream is not inherited.
  std::optional<std::string> id;
  /// The `data` lines, joined by line feeds.
  std::string data;
};

/// @brief Splits a stream of server-sent events into events, whatever the boundaries of the pieces
/// in which it arrives.
class SseParser {
 public:
  /// @brief `max_event_bytes` bounds the memory for one event, its lines and comments.
  explicit SseParser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  /// @brief The events that are complete with this piece. Nothing more comes after an overflow.
  std::vector<SseEvent> Feed(std::string_view piece);
  /// @brief True when an event was larger than the bound.
  bool overflowed() const { return overflowed_; }

 private:
  void EndLine(std::vector<SseEvent>& events);
  void TakeField(std::string_view name, std::string_view value);

  std::size_t max_event_bytes_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool overflowed_ = false;
};

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_SSE_PARSER_H_
