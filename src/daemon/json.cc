#include "src/daemon/json.h"

#include <memory>

namespace acaciaspring::daemon {

namespace {

constexpr int kMaxDepth = 32;

}  // namespace

std::optional<Json::Value> ParseJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // JsonCpp throws when the depth limit is exceeded.
    return std::nullopt;
  }
  return value;
}

std::string FormatJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace acaciaspring::daemon
