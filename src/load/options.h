#ifndef ACACIASPRING_SRC_LOAD_OPTIONS_H_
#define ACACIASPRING_SRC_LOAD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/net.h"

namespace acaciaspring::load {

/// @brief Arguments that cannot be used.
class OptionsError : public Error {
 public:
  using Error::Error;
};

/// @brief A priority class and its share of the programs.
struct ClassShare {
  std::string name;
  double share = 0;
};

struct LoadOptions {
  std::vector<net::Address> entries;
  /// Programs are spread over these organisations.
  std::vector<std::string> organisation_keys;
  std::uint64_t programs = 100;
  /// Programs in progress at the same time.
  std::uint64_t concurrency = 10;
  /// Programs started per second at random times; 0 starts one whenever another ends.
  double arrival_rate = 0;
  std::uint64_t seed = 1;
  /// Distinguishes the idempotency keys of different runs.
  std::string run_id;
  std::uint32_t min_turns = 3;
  std::uint32_t max_turns = 6;
  std::vector<ClassShare> classes = {{"normal", 1}};
  /// Empty for no tool calls.
  std::string tool_service;
  /// Non-idempotent service; empty for no effects.
  std::string effect_service;
  double effect_probability = 0.2;
  double sub_agent_probability = 0;
  std::uint32_t tool_pause_ms = 0;
  std::string model = "model";
  std::uint64_t max_tokens = 64;
  std::uint64_t budget = 200000;
  /// Longest time of one call with its retries.
  std::uint32_t deadline_s = 30;
  /// Silence after which an attempt is given up.
  std::uint32_t io_timeout_ms = 10000;
  /// Longest time of the whole run.
  std::uint32_t time_limit_s = 600;
  /// Engine for the comparison of first token times.
  std::optional<net::Address> direct;
  /// Calls per second on each path of the comparison.
  double rate = 10;
};

/// @brief Nothing when only the help text was asked for. Throws OptionsError.
std::optional<LoadOptions> ParseOptions(int argc, const char* const* argv);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_OPTIONS_H_
