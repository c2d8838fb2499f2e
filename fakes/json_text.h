#ifndef FAKES_JSON_TEXT_H_
#define FAKES_JSON_TEXT_H_

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::fakes {

/// @brief JSON without line breaks.
std::string WriteJson(const Json::Value& value);
/// @brief Nothing when the text is not JSON.
std::optional<Json::Value> ParseJson(std::string_view text);

}  // namespace acaciaspring::fakes

#endif  // FAKES_JSON_TEXT_H_
