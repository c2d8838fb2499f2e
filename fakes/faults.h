#ifndef FAKES_FAULTS_H_
#define FAKES_FAULTS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaspring::fakes {

/// @brief Named fault switches of a fake: flags (0 or 1), durations in ms, or counts of next calls.
class FaultSwitches {
 public:
  explicit FaultSwitches(const std::vector<std::string>& names);

  /// @brief Sets the switches named in a JSON object. Returns an error text, or empty; nothing is
  /// set on an error.
  std::string Apply(const Json::Value& object);
  /// @brief Value of a switch; 0 when it is off. The name must be a known one.
  std::int64_t Value(std::string_view name) const;
  bool On(std::string_view name) const { return Value(name) != 0; }
  /// @brief True and one less when the count is above 0.
  bool Take(std::string_view name);
  Json::Value ToJson() const;

 private:
  std::map<std::string, std::int64_t, std::less<>> values_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAULTS_H_
