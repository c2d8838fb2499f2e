#include "acaciaspring/net.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::net {

std::vector<SseEvent> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  while (!piece.empty() && !overflowed_) {
    // A line ends with a line feed, a carriage return, or both, which may arrive in two pieces.
    if (std::exchange(after_carriage_return_, false) && piece.front() == '\n') {
      piece.remove_prefix(1);
      continue;
    }
    const auto end = std::min(piece.find_first_of("\r\n"), piece.size());
    if (line_.size() + event_.data.size() + end > max_event_bytes_) {
      overflowed_ = true;
      break;
    }
    line_.append(piece.substr(0, end));
    if (end == piece.size()) {
      break;
    }
    after_carriage_return_ = piece[end] == '\r';
    piece.remove_prefix(end + 1);
    EndLine(events);
  }
  return events;
}

void SseParser::EndLine(std::vector<SseEvent>& events) {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::move(event_));
    }
    event_ = {};
    has_data_ = false;
    return;
  }
  const std::string_view text = line;
  const auto colon = std::min(text.find(':'), text.size());
  std::string_view value = text.substr(std::min(colon + 1, text.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  TakeField(text.substr(0, colon), value);
}

void SseParser::TakeField(std::string_view name, std::string_view value) {
  if (name == "data") {
    if (has_data_) {
      event_.data.push_back('\n');
    }
    event_.data.append(value);
    has_data_ = true;
  } else if (name == "id") {
    event_.id = std::string(value);
  }
}

}  // namespace acaciaspring::net
