#ifndef FAKES_JSON_TEXT_H_
#define FAKES_JSON_TEXT_H_

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::fakes {

/// @brief Serializes a value on one line.
std::string WriteJson(const Json::Value& value);
/// @brief Returns nullopt if the text is not valid JSON or is nested too deeply.
std::optional<Json::Value> ParseJson(std::string_view text);

}  // namespace acaciaspring::fakes

#endif  // FAKES_JSON_TEXT_H_
