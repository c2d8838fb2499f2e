#include "src/load/options.h"

#include <boost/algorithm/string.hpp>
#include <boost/lexical_cast.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace acaciaspring::load {

namespace {

namespace po = boost::program_options;

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  boost::split(parts, text, [](char character) { return character == ','; });
  return parts;
}

std::vector<ClassShare> ParseClasses(const std::string& text) {
  std::vector<ClassShare> classes;
  for (const std::string& part : SplitList(text)) {
    const std::size_t colon = part.find(':');
    double share = 1;
    if (colon != std::string::npos &&
        !boost::conversion::try_lexical_convert(part.substr(colon + 1), share)) {
      throw OptionsError("invalid share in --classes: " + part);
    }
    classes.push_back({part.substr(0, colon), share});
  }
  return classes;
}

void ParseTurns(const std::string& text, LoadOptions& options) {
  const std::size_t dots = text.find("..");
  const std::string low = text.substr(0, dots);
  const std::string high = dots == std::string::npos ? low : text.substr(dots + 2);
  if (!boost::conversion::try_lexical_convert(low, options.min_turns) ||
      !boost::conversion::try_lexical_convert(high, options.max_turns) || options.min_turns == 0 ||
      options.min_turns > options.max_turns) {
    throw OptionsError("invalid range in --turns, expected min..max: " + text);
  }
}

/// @brief Values of options that are parsed further after the command line.
struct UnparsedValues {
  std::string entries;
  std::string keys;
  std::string turns = "3..6";
  std::string classes = "normal:1";
  std::string direct;
};

po::options_description DescribeOptions(LoadOptions& options, UnparsedValues& unparsed) {
  po::options_description description("acaciaspring_load");
  auto add = description.add_options();
  add("help", "print this help");
  add("entries", po::value(&unparsed.entries)->required(),
      "seed addresses of the list of entries, ip:port[,ip:port...]");
  add("organisation-key", po::value(&unparsed.keys)->required(), "organisation keys, key[,key...]");
  add("programs", po::value(&options.programs), "number of programs, or of calls with --direct");
  add("concurrency", po::value(&options.concurrency), "maximum number of programs in progress");
  add("arrival-rate", po::value(&options.arrival_rate),
      "programs started per second; 0 starts one when another ends");
  add("seed", po::value(&options.seed), "seed of the random choices");
  add("run-id", po::value(&options.run_id),
      "prefix of the idempotency keys; default: the current time");
  add("turns", po::value(&unparsed.turns), "turns per program, min..max");
  add("classes", po::value(&unparsed.classes),
      "priority classes of the programs, name:share[,name:share...]");
  add("tool-service", po::value(&options.tool_service), "service called once per turn");
  add("effect-service", po::value(&options.effect_service),
      "non-idempotent service called with --effect-probability");
  add("effect-probability", po::value(&options.effect_probability), "probability per turn");
  add("sub-agent-probability", po::value(&options.sub_agent_probability), "probability per turn");
  add("tool-pause-ms", po::value(&options.tool_pause_ms),
      "mean pause between turns in milliseconds");
  add("model", po::value(&options.model), "model name");
  add("max-tokens", po::value(&options.max_tokens), "maximum number of output tokens of a call");
  add("budget", po::value(&options.budget), "token budget of a program");
  add("deadline-s", po::value(&options.deadline_s),
      "maximum duration of a call with its retries in seconds");
  add("io-timeout-ms", po::value(&options.io_timeout_ms),
      "time without received data that ends an attempt, in milliseconds");
  add("time-limit-s", po::value(&options.time_limit_s), "maximum duration of the run in seconds");
  add("direct", po::value(&unparsed.direct),
      "engine ip:port; compares the time to first token with direct calls");
  add("rate", po::value(&options.rate), "calls per second on each path with --direct");
  return description;
}

void ValidateOptions(const LoadOptions& options) {
  if (options.concurrency == 0 || options.max_tokens == 0 || options.rate <= 0) {
    throw OptionsError("--concurrency, --max-tokens and --rate must be greater than 0");
  }
}

}  // namespace

std::optional<LoadOptions> ParseOptions(int argc, const char* const* argv) {
  LoadOptions options;
  UnparsedValues unparsed;
  const po::options_description description = DescribeOptions(options, unparsed);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return std::nullopt;
    }
    po::notify(values);
    for (const std::string& address : SplitList(unparsed.entries)) {
      options.entries.push_back(net::ParseAddress(address));
    }
    if (!unparsed.direct.empty()) {
      options.direct = net::ParseAddress(unparsed.direct);
    }
  } catch (const po::error& error) {
    throw OptionsError(error.what());
  } catch (const net::AddressError& error) {
    throw OptionsError(error.what());
  }
  options.organisation_keys = SplitList(unparsed.keys);
  options.classes = ParseClasses(unparsed.classes);
  ParseTurns(unparsed.turns, options);
  if (options.run_id.empty()) {
    options.run_id = std::to_string(net::Loop::WallNow().time_since_epoch().count());
  }
  ValidateOptions(options);
  return options;
}

}  // namespace acaciaspring::load
