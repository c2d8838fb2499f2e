#ifndef FAKES_FAULT_SWITCHES_H_
#define FAKES_FAULT_SWITCHES_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaspring::fakes {

/// @brief Named fault switches of a fake. A value is a flag (0 or 1), a duration in ms, a
/// percentage or the number of next calls that the fault affects.
class FaultSwitches {
 public:
  explicit FaultSwitches(const std::vector<std::string>& names);

  /// @brief Sets the switches named in a JSON object. Returns an error message and changes nothing
  /// if the object is invalid; otherwise returns an empty string.
  std::string Apply(const Json::Value& object);
  /// @brief Value of a switch; 0 if it is off or unknown.
  std::int64_t Value(std::string_view name) const;
  bool IsOn(std::string_view name) const { return Value(name) != 0; }
  /// @brief Decrements a count and returns true; returns false if it is 0.
  bool Consume(std::string_view name);
  Json::Value ToJson() const;

 private:
  std::map<std::string, std::int64_t, std::less<>> values_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAULT_SWITCHES_H_
