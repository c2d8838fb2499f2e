#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

constexpr int kSpanKindInternal = 1;

/// @brief Nanoseconds since the Unix epoch. OTLP/JSON encodes 64-bit integers as strings.
std::string FormatNanoseconds(SpanTime time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

/// @brief Truncates to at most `size` bytes without splitting a UTF-8 sequence.
std::string Truncate(const std::string& text, std::size_t size) {
  if (text.size() <= size) {
    return text;
  }
  const auto is_continuation_byte = [&](std::size_t at) {
    return (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
  };
  while (size > 0 && is_continuation_byte(size)) {
    --size;
  }
  return text.substr(0, size);
}

Json::Value FormatValue(const AttributeValue& value, std::size_t max_text_bytes) {
  Json::Value json(Json::objectValue);
  std::visit(
      Overloaded{
          [&](const std::string& text) { json["stringValue"] = Truncate(text, max_text_bytes); },
          [&](std::int64_t number) { json["intValue"] = std::to_string(number); },
          [&](double number) { json["doubleValue"] = number; },
          [&](bool flag) { json["boolValue"] = flag; },
      },
      value);
  return json;
}

Json::Value FormatAttribute(const std::string& key,
                            const AttributeValue& value,
                            std::size_t max_text_bytes) {
  Json::Value json(Json::objectValue);
  json["key"] = Truncate(key, max_text_bytes);
  json["value"] = FormatValue(value, max_text_bytes);
  return json;
}

Json::Value FormatSpan(const TracerOptions& options, const Span& span) {
  Json::Value json(Json::objectValue);
  json["traceId"] = ToHex(span.context.trace);
  json["spanId"] = ToHex(span.context.span);
  if (span.parent.has_value()) {
    json["parentSpanId"] = ToHex(*span.parent);
  }
  json["name"] = Truncate(span.name, options.max_text_bytes);
  json["kind"] = kSpanKindInternal;
  json["startTimeUnixNano"] = FormatNanoseconds(span.start);
  json["endTimeUnixNano"] = FormatNanoseconds(span.end);
  json["attributes"] = Json::Value(Json::arrayValue);
  const std::size_t attribute_count = std::min(span.attributes.size(), options.max_attributes);
  for (std::size_t index = 0; index < attribute_count; ++index) {
    const auto& [key, value] = span.attributes[index];
    json["attributes"].append(FormatAttribute(key, value, options.max_text_bytes));
  }
  if (attribute_count < span.attributes.size()) {
    json["droppedAttributesCount"] =
        static_cast<Json::UInt>(span.attributes.size() - attribute_count);
  }
  json["status"] = Json::Value(Json::objectValue);
  if (span.status != SpanStatus::kUnset) {
    json["status"]["code"] = span.status == SpanStatus::kOk ? 1 : 2;
  }
  if (span.status == SpanStatus::kError && !span.status_message.empty()) {
    json["status"]["message"] = Truncate(span.status_message, options.max_text_bytes);
  }
  return json;
}

}  // namespace

std::string FormatOtlpJson(const TracerOptions& options, const std::vector<Span>& spans) {
  Json::Value scope_spans(Json::objectValue);
  scope_spans["scope"]["name"] = "acaciaspring";
  scope_spans["spans"] = Json::Value(Json::arrayValue);
  for (const Span& span : spans) {
    scope_spans["spans"].append(FormatSpan(options, span));
  }
  Json::Value resource_spans(Json::objectValue);
  Json::Value& attributes = resource_spans["resource"]["attributes"];
  attributes.append(FormatAttribute("service.name", options.service_name, options.max_text_bytes));
  if (!options.instance.empty()) {
    attributes.append(
        FormatAttribute("service.instance.id", options.instance, options.max_text_bytes));
  }
  resource_spans["scopeSpans"].append(scope_spans);
  Json::Value request(Json::objectValue);
  request["resourceSpans"].append(resource_spans);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["emitUTF8"] = true;
  return Json::writeString(writer, request);
}

}  // namespace acaciaspring::telemetry
