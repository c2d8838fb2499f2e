#include <json/value.h>
#include <json/writer.h>

#include "acaciaspring/config.h"

namespace acaciaspring::config {

namespace {

constexpr std::string_view kRedacted = "***";

Json::UInt64 ToMilliseconds(Duration duration) {
  return static_cast<Json::UInt64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Json::Value ToJson(const Organisation& organisation) {
  Json::Value json;
  json["key"] = organisation.key;
  json["weight"] = organisation.weight;
  json["max_concurrent_calls"] = organisation.max_concurrent_calls;
  json["calls_per_second"] = organisation.calls_per_second;
  json["max_programs"] = organisation.max_programs;
  return json;
}

Json::Value ToJson(const PriorityClass& priority_class) {
  Json::Value json;
  json["rank"] = priority_class.rank;
  json["first_token_target_ms"] = ToMilliseconds(priority_class.first_token_target);
  json["minimum_share"] = priority_class.minimum_share;
  json["call_deadline_ms"] = ToMilliseconds(priority_class.call_deadline);
  return json;
}

Json::Value ToJson(const Limits& limits) {
  Json::Value json;
  json["program_budget_tokens"] = static_cast<Json::UInt64>(limits.program_budget.value());
  json["program_max_calls"] = limits.program_max_calls;
  json["max_output_tokens"] = static_cast<Json::UInt64>(limits.max_output.value());
  json["queued_calls_per_program"] = limits.queued_calls_per_program;
  json["max_message_bytes"] = static_cast<Json::UInt64>(limits.max_message_bytes);
  return json;
}

Json::Value ToJson(const Endpoint& endpoint) {
  Json::Value json;
  json["address"] = endpoint.address.ToString();
  json["zone"] = endpoint.zone.value();
  json["kind"] = "engine";
  json["models"] = Json::Value(Json::arrayValue);
  for (const ModelId& model : endpoint.models) {
    json["models"].append(model.value());
  }
  json["concurrency"] = endpoint.concurrency;
  json["checks_fencing"] = endpoint.checks_fencing;
  json["can_resume"] = endpoint.can_resume;
  json["state"] = endpoint.state == EndpointState::kActive ? "active" : "leaving";
  json["prefill_tokens_per_second"] = endpoint.prefill_tokens_per_second;
  json["decode_tokens_per_second"] = endpoint.decode_tokens_per_second;
  json["kv_capacity_tokens"] = static_cast<Json::UInt64>(endpoint.kv_capacity.value());
  return json;
}

Json::Value ToJson(const Service& service) {
  Json::Value json;
  json["address"] = service.address.ToString();
  json["operation"] = service.operation;
  json["idempotent"] = service.idempotent;
  json["timeout_ms"] = ToMilliseconds(service.timeout);
  json["concurrency"] = service.concurrency;
  return json;
}

Json::Value ToJson(const Policy& policy) {
  Json::Value json;
  json["retry_ratio"] = policy.retry_ratio;
  json["hold_pause_ms"] = ToMilliseconds(policy.hold_pause);
  json["preempt"] = policy.preempt;
  return json;
}

template <class Section>
Json::Value SectionToJson(const Section& section) {
  Json::Value json(Json::objectValue);
  for (const auto& [id, value] : section) {
    json[id.value()] = ToJson(value);
  }
  return json;
}

Json::Value ToJson(const Document& document) {
  Json::Value json;
  json["organisations"] = SectionToJson(document.organisations);
  json["priority_classes"] = SectionToJson(document.priority_classes);
  json["limits"] = ToJson(document.limits);
  json["endpoints"] = SectionToJson(document.endpoints);
  json["services"] = SectionToJson(document.services);
  json["policy"] = ToJson(document.policy);
  return json;
}

std::string ToText(const Json::Value& json, const char* indentation) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = indentation;
  builder["precision"] = 17;
  return Json::writeString(builder, json);
}

/// Adds every leaf value with its key path; an array is one leaf.
void Flatten(const Json::Value& json,
             const std::string& path,
             std::map<std::string, std::string>& leaves) {
  if (!json.isObject()) {
    leaves[path] = ToText(json, "");
    return;
  }
  for (auto member = json.begin(); member != json.end(); ++member) {
    Flatten(*member, path.empty() ? member.name() : path + "." + member.name(), leaves);
  }
}

std::map<std::string, std::string> FlattenDocument(const Document& document) {
  std::map<std::string, std::string> leaves;
  Flatten(ToJson(document), "", leaves);
  return leaves;
}

std::string Redact(const std::string& path, const std::string& value) {
  const bool is_secret = path.starts_with("organisations.") && path.ends_with(".key");
  return is_secret && !value.empty() ? std::string(kRedacted) : value;
}

}  // namespace

std::string CanonicalText(const Document& document) {
  return ToText(ToJson(document), "  ") + "\n";
}

std::vector<Change> Diff(const Document& old_document, const Document& new_document) {
  const std::map<std::string, std::string> old_leaves = FlattenDocument(old_document);
  const std::map<std::string, std::string> new_leaves = FlattenDocument(new_document);
  std::map<std::string, std::string> paths = old_leaves;
  paths.insert(new_leaves.begin(), new_leaves.end());
  std::vector<Change> changes;
  for (const auto& [path, unused] : paths) {
    const auto before = old_leaves.find(path);
    const auto after = new_leaves.find(path);
    const std::string old_value = before == old_leaves.end() ? "" : before->second;
    const std::string new_value = after == new_leaves.end() ? "" : after->second;
    if (old_value != new_value) {
      changes.push_back({path, Redact(path, old_value), Redact(path, new_value)});
    }
  }
  return changes;
}

}  // namespace acaciaspring::config
