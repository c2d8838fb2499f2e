#include "src/net/response_parser.h"

#include <utility>

#include "src/net/http_message.h"

namespace acaciaspring::net {

void ResponseParser::Start() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  state_ = State::kIncomplete;
  headers_.clear();
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

ResponseParser::State ResponseParser::Parse(std::string_view& data) {
  const std::size_t parsed = http_parser_execute(&parser_, &Settings(), data.data(), data.size());
  if (state_ != State::kComplete &&
      (parsed != data.size() || parser_.upgrade != 0U || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)) {
    state_ = State::kFailed;
  }
  data.remove_prefix(parsed);
  return state_;
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
  if (IsInformational()) {
    headers_.clear();
    return kReadBody;
  }
  switch (delegate_.OnResponseHead(static_cast<int>(parser_.status_code), headers_)) {
    case AfterHead::kBody:
      return kReadBody;
    case AfterHead::kEnd:
      return kNoBody;
    case AfterHead::kStop:
      return kStop;
  }
  return kStop;
}

int ResponseParser::OnMessageComplete() {
  if (IsInformational()) {
    return 0;
  }
  state_ = State::kComplete;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  // Stop the parser at the end of the message: the bytes after it are not part of this response.
  http_parser_pause(&parser_, 1);
  return 0;
}

}  // namespace acaciaspring::net
