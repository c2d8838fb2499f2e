#include "fakes/fault_switches.h"

namespace acaciaspring::fakes {

FaultSwitches::FaultSwitches(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    values_.emplace(name, 0);
  }
}

std::string FaultSwitches::Apply(const Json::Value& object) {
  if (!object.isObject()) {
    return "body must be a JSON object";
  }
  for (const std::string& name : object.getMemberNames()) {
    const Json::Value& value = object[name];
    if (!values_.contains(name)) {
      return "unknown fault switch: " + name;
    }
    if (!value.isBool() && !(value.isInt64() && value.asInt64() >= 0)) {
      return "value must be a boolean or a non-negative integer: " + name;
    }
  }
  for (const std::string& name : object.getMemberNames()) {
    const Json::Value& value = object[name];
    values_[name] = value.isBool() ? (value.asBool() ? 1 : 0) : value.asInt64();
  }
  return {};
}

std::int64_t FaultSwitches::Value(std::string_view name) const {
  const auto found = values_.find(name);
  return found == values_.end() ? 0 : found->second;
}

bool FaultSwitches::Consume(std::string_view name) {
  const auto found = values_.find(name);
  if (found == values_.end() || found->second == 0) {
    return false;
  }
  --found->second;
  return true;
}

Json::Value FaultSwitches::ToJson() const {
  Json::Value object(Json::objectValue);
  for (const auto& [name, value] : values_) {
    object[name] = static_cast<Json::Int64>(value);
  }
  return object;
}

}  // namespace acaciaspring::fakes
