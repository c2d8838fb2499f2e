#ifndef FAKES_ENGINE_ORDERS_H_
#define FAKES_ENGINE_ORDERS_H_

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>

namespace acaciaspring::fakes {

/// @brief The state that the last order asked for.
struct EngineOrder {
  std::uint64_t fence = 0;
  /// Models to serve, comma-separated.
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
};

/// @brief Reads an order; absent fields are empty. Throws Json::Exception on a wrong type.
EngineOrder ParseOrder(const Json::Value& value);
Json::Value ToJson(const EngineOrder& order);
std::set<std::string> SplitModels(const std::string& models);

/// @brief Desired state of an engine, changed by orders.
class EngineOrders {
 public:
  explicit EngineOrders(EngineOrder initial) : current_(std::move(initial)) {}
  /// @brief False when fencing is checked and the order's number is below that of the current
  /// state. An equal number is a repetition and is accepted.
  bool Apply(const EngineOrder& order, bool check_fencing);
  const EngineOrder& current() const { return current_; }
  bool Serves(const std::string& model) const {
    return SplitModels(current_.model).contains(model);
  }

 private:
  EngineOrder current_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_ENGINE_ORDERS_H_
