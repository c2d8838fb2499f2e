#include "src/endpoint/json.h"

#include <memory>

namespace acaciaspring::endpoint {

std::optional<Json::Value> ParseJson(std::string_view text) {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder reader_builder;
    Json::CharReaderBuilder::strictMode(&reader_builder.settings_);
    // Strict mode accepts only an object or array at the top level; the callers check the type of
    // the top-level value themselves.
    reader_builder.settings_["strictRoot"] = false;
    // The reader recurses once per nesting level.
    reader_builder.settings_["stackLimit"] = 64;
    return reader_builder;
  }();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

const Json::Value& Member(const Json::Value& object, const char* name) {
  return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

std::optional<std::uint64_t> UnsignedMember(const Json::Value& object, const char* name) {
  const Json::Value& member = Member(object, name);
  if (!member.isUInt64()) {
    return std::nullopt;
  }
  return member.asUInt64();
}

std::string StringMember(const Json::Value& object, const char* name) {
  const Json::Value& member = Member(object, name);
  return member.isString() ? member.asString() : std::string();
}

}  // namespace acaciaspring::endpoint
