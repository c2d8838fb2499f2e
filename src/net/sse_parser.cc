#include "acaciaspring/net.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::net {

std::vector<SseEvent> SseParser::Feed(std::string_view chunk) {
  std::vector<SseEvent> events;
  while (!chunk.empty() && !overflowed_) {
    // A line ends with LF, CR or CRLF, and CRLF may be split between two chunks.
    if (std::exchange(after_carriage_return_, false) && chunk.front() == '\n') {
      chunk.remove_prefix(1);
      continue;
    }
    const auto end = std::min(chunk.find_first_of("\r\n"), chunk.size());
    if (line_.size() + event_.data.size() + end > max_event_bytes_) {
      overflowed_ = true;
      break;
    }
    line_.append(chunk.substr(0, end));
    if (end == chunk.size()) {
      break;
    }
    after_carriage_return_ = chunk[end] == '\r';
    chunk.remove_prefix(end + 1);
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
  AddField(text.substr(0, colon), value);
}

void SseParser::AddField(std::string_view name, std::string_view value) {
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

void SseBoundary::Feed(std::string_view chunk) {
  while (!chunk.empty()) {
    if (std::exchange(after_carriage_return_, false) && chunk.front() == '\n') {
      chunk.remove_prefix(1);
      continue;
    }
    const std::size_t end = std::min(chunk.find_first_of("\r\n"), chunk.size());
    if (end > 0) {
      in_comment_ = in_line_ ? in_comment_ : chunk.front() == ':';
      in_line_ = true;
    }
    if (end == chunk.size()) {
      return;
    }
    after_carriage_return_ = chunk[end] == '\r';
    chunk.remove_prefix(end + 1);
    // A blank line ends the event, a comment is no part of one.
    in_event_ = in_line_ && (in_event_ || !in_comment_);
    in_line_ = false;
  }
}

}  // namespace acaciaspring::net
