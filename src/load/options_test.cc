#include "src/load/options.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::load {

namespace {

std::optional<LoadOptions> Parse(std::vector<const char*> arguments) {
  std::vector<const char*> all = {"load", "--entries", "127.0.0.1:1,127.0.0.1:2",
                                  "--organisation-key", "a,b"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  return ParseOptions(static_cast<int>(all.size()), all.data());
}

}  // namespace

BOOST_AUTO_TEST_CASE(options_are_parsed) {
  const LoadOptions options =
      *Parse({"--turns", "2..9", "--classes", "urgent:0.2,normal:0.8", "--direct", "127.0.0.1:3"});
  BOOST_TEST(options.entries.size() == 2U);
  BOOST_TEST(options.organisation_keys.size() == 2U);
  BOOST_TEST(options.min_turns == 2U);
  BOOST_TEST(options.max_turns == 9U);
  BOOST_TEST(options.classes[0].name == "urgent");
  BOOST_TEST(options.classes[1].share == 0.8);
  BOOST_TEST(options.direct->port == 3);
  BOOST_TEST(!options.run_id.empty());
}

// Guards against a run that replaces an invalid option by its default.
BOOST_AUTO_TEST_CASE(invalid_options_are_rejected) {
  BOOST_CHECK_THROW(Parse({"--turns", "5..2"}), OptionsError);
  BOOST_CHECK_THROW(Parse({"--turns", "x"}), OptionsError);
  BOOST_CHECK_THROW(Parse({"--classes", "urgent:x"}), OptionsError);
  BOOST_CHECK_THROW(Parse({"--direct", "localhost:3"}), OptionsError);
  BOOST_CHECK_THROW(Parse({"--concurrency", "0"}), OptionsError);
  BOOST_CHECK_THROW(Parse({"--no-such-option"}), OptionsError);
}

}  // namespace acaciaspring::load
