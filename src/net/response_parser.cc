#include "src/net/response_parser.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/net/http_message.h"

namespace acaciaspring::net {

namespace {

constexpr unsigned kNoContent = 204;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsEmptyLine(std::string_view line) {
  return line == "\r\n" || line == "\n";
}

/// @brief True for a status line of HTTP/1.x with a status that HTTP defines as valid. Several
/// blanks before the status and a missing reason are accepted, as RFC 9112 allows.
bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusDigits = 3;
  if (!line.starts_with(kVersion) || line.size() == kVersion.size() ||
      !IsDigit(line[kVersion.size()])) {
    return false;
  }
  line.remove_prefix(kVersion.size() + 1);
  const std::size_t blanks = std::min(line.find_first_not_of(' '), line.size());
  line.remove_prefix(blanks);
  const std::string_view status = line.substr(0, kStatusDigits);
  line.remove_prefix(status.size());
  return blanks > 0 && status.size() == kStatusDigits && status[0] >= '1' && status[0] <= '5' &&
         IsDigit(status[1]) && IsDigit(status[2]) && (line.starts_with(' ') || IsEmptyLine(line));
}

/// @brief True for the size of a chunk, in hexadecimal, with or without extensions.
bool IsChunkSizeLine(std::string_view line) {
  const std::size_t digits = line.find_first_not_of("0123456789abcdefABCDEF");
  if (digits == 0 || digits == std::string_view::npos) {
    return false;
  }
  line.remove_prefix(digits);
  line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
  return line.starts_with(';') || IsEmptyLine(line);
}

/// @brief Appends the elements of a comma-separated list in lower case, without empty ones.
void AppendListElements(std::string_view list, std::vector<std::string>& elements) {
  constexpr std::string_view kBlanks = " \t";
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    std::string_view element = list.substr(0, end);
    list.remove_prefix(std::min(end + 1, list.size()));
    element.remove_prefix(std::min(element.find_first_not_of(kBlanks), element.size()));
    element = element.substr(0, element.find_last_not_of(kBlanks) + 1);
    if (!element.empty()) {
      elements.push_back(LowerCase(element));
    }
  }
}

}  // namespace

void ResponseParser::Start() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  state_ = State::kIncomplete;
  part_ = Part::kStatusLine;
  line_.clear();
  after_carriage_return_ = false;
  headers_.clear();
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

ResponseParser::State ResponseParser::Parse(std::string_view& data) {
  while (!data.empty() && state_ == State::kIncomplete) {
    const std::string_view piece = FirstPiece(data);
    const std::size_t parsed = CheckPiece(piece) ? Execute(piece) : 0;
    data.remove_prefix(parsed);
    if (state_ == State::kIncomplete && parsed != piece.size()) {
      state_ = State::kFailed;
    }
  }
  return state_;
}

std::string_view ResponseParser::FirstPiece(std::string_view data) const {
  if (part_ == Part::kBody) {
    return data;
  }
  if (part_ == Part::kChunkData) {
    return data.substr(0, chunk_left_);
  }
  const std::size_t line_end = data.find('\n');
  return line_end == std::string_view::npos ? data : data.substr(0, line_end + 1);
}

bool ResponseParser::CheckPiece(std::string_view piece) {
  switch (part_) {
    case Part::kStatusLine:
      return CheckLineBytes(piece) && CheckStatusLine(piece);
    case Part::kHeaders:
      return CheckLineBytes(piece);
    case Part::kBody:
      return true;
    case Part::kChunkSize:
      return CheckLineBytes(piece) && CheckChunkSize(piece);
    case Part::kChunkData:
      chunk_left_ -= piece.size();
      part_ = chunk_left_ == 0 ? Part::kChunkEnd : Part::kChunkData;
      return true;
    case Part::kChunkEnd:
      return CheckChunkEnd(piece);
  }
  return false;
}

bool ResponseParser::CheckLineBytes(std::string_view piece) {
  // A piece has no line feed but at its end.
  if (std::exchange(after_carriage_return_, piece.ends_with('\r')) && piece != "\n") {
    return false;
  }
  const std::size_t carriage_return = std::min(piece.find('\r'), piece.size());
  const std::string_view rest = piece.substr(std::min(carriage_return + 1, piece.size()));
  return (rest.empty() || rest == "\n") && piece.find('\0') == std::string_view::npos;
}

bool ResponseParser::CheckStatusLine(std::string_view piece) {
  line_ += piece;
  if (!piece.ends_with('\n')) {
    return true;
  }
  const bool is_empty = IsEmptyLine(line_);
  const bool is_valid = is_empty || IsStatusLine(line_);
  line_.clear();
  part_ = is_empty ? Part::kStatusLine : Part::kHeaders;
  return is_valid;
}

bool ResponseParser::CheckChunkSize(std::string_view piece) {
  line_ += piece;
  if (!piece.ends_with('\n')) {
    return true;
  }
  const bool is_valid = IsChunkSizeLine(line_);
  line_.clear();
  return is_valid;
}

bool ResponseParser::CheckChunkEnd(std::string_view piece) {
  constexpr std::string_view kLineBreak = "\r\n";
  line_ += piece;
  if (line_ == kLineBreak) {
    line_.clear();
    part_ = Part::kChunkSize;
    return true;
  }
  return kLineBreak.starts_with(line_);
}

std::size_t ResponseParser::Execute(std::string_view piece) {
  const std::size_t parsed = http_parser_execute(&parser_, &Settings(), piece.data(), piece.size());
  if (state_ == State::kIncomplete && HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
    // The end of an informational response.
    http_parser_pause(&parser_, 0);
    part_ = Part::kStatusLine;
  }
  const bool succeeded = state_ == State::kComplete || HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
  return succeeded && parser_.upgrade == 0U ? parsed : 0;
}

ResponseParser::State ResponseParser::ParseEnd() {
  if (state_ == State::kIncomplete &&
      (http_parser_execute(&parser_, &Settings(), nullptr, 0) != 0 || state_ != State::kComplete)) {
    state_ = State::kFailed;
  }
  return state_;
}

ResponseParser& ResponseParser::FromParser(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

const http_parser_settings& ResponseParser::Settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks{};
    callbacks.on_header_field = [](http_parser* parser, const char* data, size_t size) {
      ResponseParser& self = FromParser(parser);
      // Without its strict checks, http_parser takes a blank for a character of the name. A piece
      // of a name may have no bytes, the whole name has some.
      if (size != 0 && !IsToken(std::string_view(data, size))) {
        return 1;
      }
      if (self.in_header_value_) {
        self.StoreHeader();
      }
      self.header_name_.append(data, size);
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* data, size_t size) {
      // Also called, with no bytes, for a header without a value.
      FromParser(parser).in_header_value_ = true;
      FromParser(parser).header_value_.append(data, size);
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return FromParser(parser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* parser, const char* data, size_t size) {
      return FromParser(parser).delegate_.OnResponseBody(std::string_view(data, size)) ? 0 : 1;
    };
    callbacks.on_chunk_header = [](http_parser* parser) {
      FromParser(parser).OnChunkHeader();
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      return FromParser(parser).OnMessageComplete();
    };
    return callbacks;
  }();
  return settings;
}

bool ResponseParser::IsInformational() const {
  return parser_.status_code >= 100 && parser_.status_code < 200;
}

bool ResponseParser::HasNoContent() const {
  constexpr unsigned kNotModified = 304;
  return IsInformational() || parser_.status_code == kNoContent ||
         parser_.status_code == kNotModified;
}

bool ResponseParser::HasKnownCoding() const {
  if (parser_.uses_transfer_encoding == 0) {
    return true;
  }
  std::vector<std::string> codings;
  for (const auto& [name, value] : headers_) {
    if (name == "transfer-encoding") {
      AppendListElements(value, codings);
    }
  }
  std::erase(codings, "identity");
  const bool is_chunked = (parser_.flags & F_CHUNKED) != 0;
  return is_chunked ? codings == std::vector<std::string>{"chunked"} : codings.empty();
}

bool ResponseParser::AnnouncesForbiddenContent() const {
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0 && parser_.content_length > 0;
  return parser_.status_code == kNoContent && (has_length || (parser_.flags & F_CHUNKED) != 0);
}

void ResponseParser::StoreHeader() {
  headers_.emplace_back(LowerCase(header_name_), std::move(header_value_));
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

int ResponseParser::OnHeadersComplete() {
  constexpr int kReadBody = 0;
  constexpr int kNoBody = 1;
  constexpr int kStop = -1;
  if (in_header_value_) {
    StoreHeader();
  }
  part_ = (parser_.flags & F_CHUNKED) != 0 ? Part::kChunkSize : Part::kBody;
  constexpr unsigned kSwitchingProtocols = 101;
  if (parser_.status_code == kSwitchingProtocols) {
    // No request asks for another protocol, and what follows would not be HTTP.
    return kStop;
  }
  if (IsInformational()) {
    headers_.clear();
    return kNoBody;
  }
  if (!HasNoContent() && !HasKnownCoding()) {
    return kStop;
  }
  switch (delegate_.OnResponseHead(static_cast<int>(parser_.status_code), headers_)) {
    case AfterHead::kBody:
      return HasNoContent() ? kNoBody : kReadBody;
    case AfterHead::kEnd:
      return kNoBody;
    case AfterHead::kStop:
      return kStop;
  }
  return kStop;
}

void ResponseParser::OnChunkHeader() {
  chunk_left_ = parser_.content_length;
  part_ = chunk_left_ == 0 ? Part::kHeaders : Part::kChunkData;
}

int ResponseParser::OnMessageComplete() {
  // Stop the parser at the end of the message: the bytes after it are not part of this response.
  http_parser_pause(&parser_, 1);
  if (!IsInformational()) {
    state_ = State::kComplete;
    keep_alive_ = http_should_keep_alive(&parser_) != 0 && !AnnouncesForbiddenContent();
  }
  return 0;
}

}  // namespace acaciaspring::net
