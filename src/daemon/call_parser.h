#ifndef ACACIASPRING_SRC_DAEMON_CALL_PARSER_H_
#define ACACIASPRING_SRC_DAEMON_CALL_PARSER_H_

#include <string>
#include <string_view>

#include "acaciaspring/config.h"
#include "acaciaspring/wire.h"
#include "src/daemon/http_responses.h"

namespace acaciaspring::daemon {

/// @brief Thrown for a request body that is not a valid call.
class CallParseError : public Error {
 public:
  CallParseError(RequestError error, const std::string& detail) : Error(detail), error_(error) {}
  RequestError error() const { return error_; }

 private:
  RequestError error_;
};

/// @brief Each function parses a request body, checks it against the configuration and throws
/// CallParseError.
wire::CreateProgram ParseCreateProgram(std::string_view body, const config::Document& document);
wire::ModelCall ParseModelCall(std::string_view body, const config::Document& document);
wire::ToolCall ParseToolCall(std::string_view service,
                             std::string_view body,
                             const config::Document& document);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CALL_PARSER_H_
