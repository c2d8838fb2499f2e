#ifndef ACACIASPRING_SRC_LOAD_OPTIONS_H_
#define ACACIASPRING_SRC_LOAD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/net.h"

namespace acaciaspring::load {

/// @brief Invalid command line arguments.
class OptionsError : public Error {
 public:
  using Error::Error;
};

/// @brief A priority class and its weight in the random choice of a program's class.
struct ClassShare {
  std::string name;
  double share = 0;
};

struct LoadOptions {
  /// Seed addresses, from which the list of entries is requested.
  std::vector<net::Address> entries;
  /// Keys of the organisations among which the programs are distributed at random.
  std::vector<std::string> organisation_keys;
  std::uint64_t programs = 100;
  /// Maximum number of programs in progress.
  std::uint64_t concurrency = 10;
  /// Mean number of programs started per second at random times; 0 starts a program whenever
  /// another one ends.
  double arrival_rate = 0;
  std::uint64_t seed = 1;
  /// Prefix of the idempotency keys, which keeps those of different runs distinct.
  std::string run_id;
  std::uint32_t min_turns = 3;
  std::uint32_t max_turns = 6;
  std::vector<ClassShare> classes = {{"normal", 1}};
  /// Service called once per turn; empty for no tool calls.
  std::string tool_service;
  /// Non-idempotent service called with `effect_probability` per turn; empty for no effects.
  std::string effect_service;
  double effect_probability = 0.2;
  double sub_agent_probability = 0;
  std::uint32_t tool_pause_ms = 0;
  std::string model = "model";
  std::uint64_t max_tokens = 64;
  std::uint64_t budget = 200000;
  /// Maximum duration of one call including its retries.
  std::uint32_t deadline_s = 30;
  /// Time without received data after which an attempt fails.
  std::uint32_t io_timeout_ms = 10000;
  /// Maximum duration of the whole run.
  std::uint32_t time_limit_s = 600;
  /// Engine for the comparison of the time to first token; replaces the load run if set.
  std::optional<net::Address> direct;
  /// Calls per second on each path of that comparison.
  double rate = 10;
};

/// @brief Parses the command line. Returns nothing after printing the help text for --help. Throws
/// OptionsError for invalid arguments.
std::optional<LoadOptions> ParseOptions(int argc, const char* const* argv);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_OPTIONS_H_
