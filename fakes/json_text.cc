#include "fakes/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace acaciaspring::fakes {

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::optional<Json::Value> ParseJson(std::string_view text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // JsonCpp throws when the nesting exceeds its stack limit.
    return std::nullopt;
  }
  return value;
}

}  // namespace acaciaspring::fakes
