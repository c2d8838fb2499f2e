#ifndef ACACIASPRING_SRC_ENDPOINT_JSON_H_
#define ACACIASPRING_SRC_ENDPOINT_JSON_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::endpoint {

/// @brief Strict JSON, or nothing.
std::optional<Json::Value> ParseJson(std::string_view text);
std::string WriteJson(const Json::Value& value);

/// @brief Member of an object, or null; null also when `object` is no object.
const Json::Value& Member(const Json::Value& object, const char* name);
/// @brief A member that is a non-negative integer, or nothing.
std::optional<std::uint64_t> UnsignedMember(const Json::Value& object, const char* name);
/// @brief A member that is a string, or empty.
std::string StringMember(const Json::Value& object, const char* name);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_JSON_H_
