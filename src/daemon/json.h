#ifndef ACACIASPRING_SRC_DAEMON_JSON_H_
#define ACACIASPRING_SRC_DAEMON_JSON_H_

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::daemon {

/// @return none if the text is not exactly one JSON value or is nested too deeply.
std::optional<Json::Value> ParseJson(std::string_view text);
/// @brief Formats the value as one line without white space between tokens.
std::string FormatJson(const Json::Value& value);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_JSON_H_
