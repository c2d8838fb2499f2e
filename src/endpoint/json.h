#ifndef ACACIASPRING_SRC_ENDPOINT_JSON_H_
#define ACACIASPRING_SRC_ENDPOINT_JSON_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::endpoint {

/// @brief Parses strict JSON; std::nullopt if `text` is malformed.
std::optional<Json::Value> ParseJson(std::string_view text);
std::string WriteJson(const Json::Value& value);

/// @brief The member `name`; null if it is absent or `object` is not an object.
const Json::Value& Member(const Json::Value& object, const char* name);
/// @brief The member `name`; std::nullopt unless it is a non-negative integer.
std::optional<std::uint64_t> UnsignedMember(const Json::Value& object, const char* name);
/// @brief The member `name`; empty unless it is a string.
std::string StringMember(const Json::Value& object, const char* name);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_JSON_H_
