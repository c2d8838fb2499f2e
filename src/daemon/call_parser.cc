#include "src/daemon/call_parser.h"

#include <set>

#include "src/daemon/json.h"

namespace acaciaspring::daemon {

namespace {

constexpr std::size_t kMaxMessages = 256;

Json::Value ParseBody(std::string_view body, const config::Document& document) {
  if (body.size() > document.limits.max_message_bytes) {
    throw CallParseError(RequestError::kTooLarge, "the body exceeds limits.max_message_bytes");
  }
  const auto value = ParseJson(body);
  if (!value.has_value()) {
    throw CallParseError(RequestError::kInvalidJson, "the body is not valid JSON");
  }
  if (!value->isObject()) {
    throw CallParseError(RequestError::kInvalidField, "the body is not a JSON object");
  }
  return *value;
}

void CheckKeys(const Json::Value& object, const std::set<std::string>& allowed) {
  for (const std::string& key : object.getMemberNames()) {
    if (!allowed.contains(key)) {
      throw CallParseError(RequestError::kInvalidField, "unknown field \"" + key + "\"");
    }
  }
}

std::string StringField(const Json::Value& object, const std::string& key) {
  const Json::Value& value = object[key];
  if (!value.isString() || value.asString().empty()) {
    throw CallParseError(RequestError::kInvalidField,
                         "field \"" + key + "\" must be a non-empty string");
  }
  return value.asString();
}

// Returns `default_value` if the field is absent.
std::uint64_t CountField(const Json::Value& object,
                         const std::string& key,
                         std::uint64_t default_value,
                         std::uint64_t maximum) {
  const Json::Value& value = object[key];
  if (value.isNull()) {
    return default_value;
  }
  if (!value.isUInt64() || value.asUInt64() == 0 || value.asUInt64() > maximum) {
    throw CallParseError(
        RequestError::kInvalidField,
        "field \"" + key + "\" must be an integer from 1 to " + std::to_string(maximum));
  }
  return value.asUInt64();
}

void CheckMessages(const Json::Value& messages) {
  if (!messages.isArray() || messages.empty() || messages.size() > kMaxMessages) {
    throw CallParseError(RequestError::kInvalidField,
                         "field \"messages\" must be an array of at least 1 and at most " +
                             std::to_string(kMaxMessages));
  }
  for (const Json::Value& message : messages) {
    if (!message.isObject()) {
      throw CallParseError(RequestError::kInvalidField, "each message must be an object");
    }
    CheckKeys(message, {"role", "content", "name", "tool_call_id"});
    StringField(message, "role");
    if (!message["content"].isString()) {
      throw CallParseError(RequestError::kInvalidField, "field \"content\" must be a string");
    }
  }
}

}  // namespace

wire::CreateProgram ParseCreateProgram(std::string_view body, const config::Document& document) {
  const Json::Value value = ParseBody(body, document);
  CheckKeys(value, {"class", "budget_tokens", "max_calls", "parent"});
  wire::CreateProgram operation;
  operation.priority_class = PriorityClassId(StringField(value, "class"));
  if (!document.priority_classes.contains(operation.priority_class)) {
    throw CallParseError(RequestError::kInvalidField, "unknown priority class");
  }
  operation.budget =
      TokenCount(CountField(value, "budget_tokens", 0, document.limits.program_budget.value()));
  operation.max_calls = static_cast<std::uint32_t>(
      CountField(value, "max_calls", 0, document.limits.program_max_calls));
  if (!value["parent"].isNull()) {
    operation.parent = ProgramId(StringField(value, "parent"));
  }
  return operation;
}

wire::ModelCall ParseModelCall(std::string_view body, const config::Document& document) {
  const Json::Value value = ParseBody(body, document);
  CheckKeys(value, {"model", "messages", "max_tokens", "stream"});
  CheckMessages(value["messages"]);
  wire::ModelCall operation;
  operation.model = ModelId(StringField(value, "model"));
  operation.messages = FormatJson(value["messages"]);
  const std::uint64_t maximum = document.limits.max_output.value();
  operation.max_tokens = TokenCount(CountField(value, "max_tokens", maximum, maximum));
  return operation;
}

wire::ToolCall ParseToolCall(std::string_view service,
                             std::string_view body,
                             const config::Document& document) {
  wire::ToolCall operation;
  operation.body = FormatJson(ParseBody(body, document));
  operation.service = ServiceId(std::string(service));
  return operation;
}

}  // namespace acaciaspring::daemon
