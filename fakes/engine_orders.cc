#include "fakes/engine_orders.h"

#include <sstream>

namespace acaciaspring::fakes {

EngineOrder ParseOrder(const Json::Value& value) {
  return {.fence = value.get("fence", 0).asUInt64(),
          .model = value.get("model", "").asString(),
          .adapter = value.get("adapter", "").asString(),
          .version = value.get("version", "").asString(),
          .role = value.get("role", "").asString()};
}

Json::Value ToJson(const EngineOrder& order) {
  Json::Value value;
  value["fence"] = static_cast<Json::UInt64>(order.fence);
  value["model"] = order.model;
  value["adapter"] = order.adapter;
  value["version"] = order.version;
  value["role"] = order.role;
  return value;
}

std::set<std::string> SplitModels(const std::string& models) {
  std::set<std::string> names;
  std::istringstream input(models);
  std::string name;
  while (std::getline(input, name, ',')) {
    names.insert(name);
  }
  return names;
}

bool EngineOrders::Apply(const EngineOrder& order, bool check_fencing) {
  if (check_fencing && order.fence < current_.fence) {
    return false;
  }
  current_ = order;
  return true;
}

}  // namespace acaciaspring::fakes
