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
      throw OptionsError("not a share: " + part);
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
    throw OptionsError("not a range of turns: " + text);
  }
}

/// @brief Options whose text needs further parsing.
struct Texts {
  std::string entries;
  std::string keys;
  std::string turns = "3..6";
  std::string classes = "normal:1";
  std::string direct;
};

po::options_description Describe(LoadOptions& options, Texts& texts) {
  po::options_description description("acaciaspring_load");
  auto add = description.add_options();
  add("help", "print the options");
  add("entries", po::value(&texts.entries)->required(), "ip:port[,ip:port...] to ask for entries");
  add("organisation-key", po::value(&texts.keys)->required(), "key[,key...]");
  add("programs", po::value(&options.programs), "number of programs, or of calls with --direct");
  add("concurrency", po::value(&options.concurrency), "programs in progress");
  add("arrival-rate", po::value(&options.arrival_rate), "programs per second, 0 for no waiting");
  add("seed", po::value(&options.seed), "seed of the random plan");
  add("run-id", po::value(&options.run_id), "prefix of the idempotency keys");
  add("turns", po::value(&texts.turns), "min..max");
  add("classes", po::value(&texts.classes), "name:share[,name:share...]");
  add("tool-service", po::value(&options.tool_service), "called once a turn");
  add("effect-service", po::value(&options.effect_service), "non-idempotent service");
  add("effect-probability", po::value(&options.effect_probability), "per turn");
  add("sub-agent-probability", po::value(&options.sub_agent_probability), "per turn");
  add("tool-pause-ms", po::value(&options.tool_pause_ms), "mean pause between turns");
  add("model", po::value(&options.model), "model name");
  add("max-tokens", po::value(&options.max_tokens), "output cap of a call");
  add("budget", po::value(&options.budget), "budget of a program in tokens");
  add("deadline-s", po::value(&options.deadline_s), "longest time of a call with its retries");
  add("io-timeout-ms", po::value(&options.io_timeout_ms), "silence that ends an attempt");
  add("time-limit-s", po::value(&options.time_limit_s), "longest time of the run");
  add("direct", po::value(&texts.direct), "engine address: compare the first token times");
  add("rate", po::value(&options.rate), "calls per second on each path with --direct");
  return description;
}

void Check(const LoadOptions& options) {
  if (options.concurrency == 0 || options.max_tokens == 0 || options.rate <= 0) {
    throw OptionsError("concurrency, max-tokens and rate must be above 0");
  }
}

}  // namespace

std::optional<LoadOptions> ParseOptions(int argc, const char* const* argv) {
  LoadOptions options;
  Texts texts;
  const po::options_description description = Describe(options, texts);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return std::nullopt;
    }
    po::notify(values);
    for (const std::string& address : SplitList(texts.entries)) {
      options.entries.push_back(net::ParseAddress(address));
    }
    if (!texts.direct.empty()) {
      options.direct = net::ParseAddress(texts.direct);
    }
  } catch (const po::error& error) {
    throw OptionsError(error.what());
  } catch (const net::AddressError& error) {
    throw OptionsError(error.what());
  }
  options.organisation_keys = SplitList(texts.keys);
  options.classes = ParseClasses(texts.classes);
  ParseTurns(texts.turns, options);
  if (options.run_id.empty()) {
    options.run_id = std::to_string(net::Loop::WallNow().time_since_epoch().count());
  }
  Check(options);
  return options;
}

}  // namespace acaciaspring::load
