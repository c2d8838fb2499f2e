#include <boost/test/unit_test.hpp>
#include <random>

#include "src/config/test_samples.h"

namespace acaciaspring::config {

namespace {

/// Mutates a text at one to four random positions.
std::string Mutate(std::string text, std::mt19937_64& random) {
  static const std::vector<std::string> kFragments{"{",
                                                   "}",
                                                   "[",
                                                   "]",
                                                   ",",
                                                   ":",
                                                   "\"",
                                                   "null",
                                                   "true",
                                                   "-1",
                                                   "1e999",
                                                   "0.5",
                                                   "\\u0",
                                                   "\xff",
                                                   "\xf0\x9f",
                                                   "//",
                                                   "/*",
                                                   "*/",
                                                   "99999999999999999999",
                                                   "\n",
                                                   "\"a\":{}",
                                                   "\\"};
  const std::size_t changes = 1 + random() % 4;
  for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t position = random() % text.size();
    switch (random() % 5) {
      case 0:
        text[position] = static_cast<char>(random());
        break;
      case 1:
        text.erase(position, 1 + random() % 20);
        break;
      case 2:
        text.insert(position, kFragments[random() % kFragments.size()]);
        break;
      case 3:
        text.insert(position, text.substr(random() % text.size(), random() % 40));
        break;
      default:
        text.resize(position);
    }
  }
  return text;
}

/// Returns the number of mutated texts that are accepted. An exception other than ConfigError fails
/// the test.
template <class Parse>
int CountAccepted(const std::string& sample, std::uint64_t seed, int runs, Parse parse) {
  std::mt19937_64 random(seed);
  int accepted = 0;
  for (int run = 0; run < runs; ++run) {
    const std::string text = Mutate(sample, random);
    try {
      parse(text);
      ++accepted;
    } catch (const ConfigError& error) {
      BOOST_TEST_REQUIRE(!error.diagnostics().empty());
    }
  }
  return accepted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

// A corrupted or malicious text must give diagnostics, never another exception or a crash.
BOOST_AUTO_TEST_CASE(mutated_settings_raise_only_config_errors) {
  const int accepted =
      CountAccepted(kSampleSettings, 20261204, 20'000,
                    [](const std::string& text) { ParseSettings(text, "fuzz.json"); });
  BOOST_TEST(accepted < 20'000);
}

BOOST_AUTO_TEST_CASE(mutated_documents_raise_only_config_errors) {
  const int accepted =
      CountAccepted(kSampleDocument, 20261205, 20'000, [](const std::string& text) {
        const Document document = ParseDocument(text);
        const std::string canonical = CanonicalText(document);
        BOOST_TEST_REQUIRE(CanonicalText(ParseDocument(canonical)) == canonical);
      });
  BOOST_TEST(accepted > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::config
