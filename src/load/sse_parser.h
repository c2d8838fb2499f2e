#ifndef ACACIASPRING_SRC_LOAD_SSE_PARSER_H_
#define ACACIASPRING_SRC_LOAD_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace acaciaspring::load {

/// @brief One server-sent event.
struct SseEvent {
  /// Empty when the event has no id line.
  std::string id;
  std::string data;
  bool operator==(const SseEvent&) const = default;
};

/// @brief Incremental parser of a text/event-stream body. An event that is not terminated by an
/// empty line is not reported.
class SseParser {
 public:
  explicit SseParser(std::function<void(const SseEvent& event)> on_event)
      : on_event_(std::move(on_event)) {}
  void Feed(std::string_view bytes);

 private:
  void ParseLine(std::string_view line);

  std::function<void(const SseEvent&)> on_event_;
  std::string partial_line_;
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_SSE_PARSER_H_
