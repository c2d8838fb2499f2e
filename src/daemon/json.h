#ifndef ACACIASPRING_SRC_DAEMON_JSON_H_
#define ACACIASPRING_SRC_DAEMON_JSON_H_

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::daemon {

/// @brief Nothing for text that is not one JSON value of bounded depth.
std::optional<Json::Value> ParseJson(std::string_view text);
/// @brief One line without spaces.
std::string FormatJson(const Json::Value& value);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_JSON_H_
