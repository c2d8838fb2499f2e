#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

constexpr int kSpanKindInternal = 1;

/// @brief Nanoseconds since the epoch; OTLP/JSON writes 64-bit integers as strings.
std::string Nanoseconds(SpanTime time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

/// @brief At most `size` bytes, without a cut inside a UTF-8 sequence.
std::string Cut(const std::string& text, std::size_t size) {
  if (text.size() <= size) {
    return text;
  }
  const auto continues = [&](std::size_t at) {
    return (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
  };
  while (size > 0 && continues(size)) {
    --size;
  }
  return text.substr(0, size);
}

Json::Value FormatValue(const AttributeValue& value, std::size_t max_text_bytes) {
  Json::Value json(Json::objectValue);
  std::visit(Overloaded{
                 [&](const std::string& text) { json["stringValue"] = Cut(text, max_text_bytes); },
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
  json["key"] = Cut(key, max_text_bytes);
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
  json["name"] = Cut(span.name, options.max_text_bytes);
  json["kind"] = kSpanKindInternal;
  json["startTimeUnixNano"] = Nanoseconds(span.start);
  json["endTimeUnixNano"] = Nanoseconds(span.end);
  json["attributes"] = Json::Value(Json::arrayValue);
  const std::size_t kept = std::min(span.attributes.size(), options.max_attributes);
  for (std::size_t index = 0; index < kept; ++index) {
    const auto& [key, value] = span.attributes[index];
    json["attributes"].append(FormatAttribute(key, value, options.max_text_bytes));
  }
  if (kept < span.attributes.size()) {
    json["droppedAttributesCount"] = static_cast<Json::UInt>(span.attributes.size() - kept);
  }
  json["status"] = Json::Value(Json::objectValue);
  if (span.status != SpanStatus::kUnset) {
    json["status"]["code"] = span.status == SpanStatus::kOk ? 1 : 2;
  }
  if (span.status == SpanStatus::kError && !span.status_message.empty()) {
    json["status"]["message"] = Cut(span.status_message, options.max_text_bytes);
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
