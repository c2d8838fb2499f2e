#ifndef FAKES_ENGINE_ORDERS_H_
#define FAKES_ENGINE_ORDERS_H_

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>

namespace acaciaspring::fakes {

/// @brief Desired state of an engine. An order replaces all of it.
struct EngineOrder {
  /// Fencing token of the owner that issued the order.
  std::uint64_t fence = 0;
  /// Models to serve, comma-separated.
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
};

/// @brief Parses an order. Missing fields are empty. Throws Json::Exception if a field has the
/// wrong type.
EngineOrder ParseOrder(const Json::Value& value);
Json::Value ToJson(const EngineOrder& order);
std::set<std::string> SplitModels(const std::string& models);

/// @brief Applies orders to the desired state of an engine.
class EngineOrders {
 public:
  explicit EngineOrders(EngineOrder initial) : current_(std::move(initial)) {}
  /// @brief Returns false and changes nothing if fencing is checked and the order's fence is lower
  /// than the current one. An equal fence is accepted, because the order may be a repetition.
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
