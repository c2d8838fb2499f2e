#include "src/load/sse_parser.h"

namespace acaciaspring::load {

namespace {

std::string_view FieldValue(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

void SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      partial_line_ += bytes;
      return;
    }
    partial_line_ += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (partial_line_.ends_with('\r')) {
      partial_line_.pop_back();
    }
    const std::string line = std::move(partial_line_);
    partial_line_.clear();
    ParseLine(line);
  }
}

void SseParser::ParseLine(std::string_view line) {
  if (line.empty()) {
    if (has_data_) {
      on_event_(event_);
    }
    event_ = {};
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return;
  }
  const std::string_view field = line.substr(0, colon);
  if (field == "id") {
    event_.id = FieldValue(line, colon);
  } else if (field == "data") {
    event_.data += has_data_ ? "\n" : "";
    event_.data += FieldValue(line, colon);
    has_data_ = true;
  }
}

}  // namespace acaciaspring::load
