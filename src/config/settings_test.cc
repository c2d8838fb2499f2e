#include <boost/test/unit_test.hpp>

#include "src/config/test_samples.h"

namespace acaciaspring::config {

namespace {

std::string SettingsDiagnostics(const std::string& from, const std::string& to) {
  return DiagnosticsOf([&] { ParseSettings(ReplaceFirst(kSampleSettings, from, to), "d1.json"); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(settings_are_parsed) {
  const Settings settings = ParseSettings(kSampleSettings, "d1.json");
  BOOST_TEST(settings.daemon.value() == "d1");
  BOOST_TEST(settings.region == "kyushu");
  BOOST_TEST(settings.http.ToString() == "127.0.0.1:8001");
  BOOST_TEST(settings.seeds.size() == 2U);
  BOOST_TEST(settings.vm_list->port == 9101);
  BOOST_TEST(settings.cluster_key == "0123456789abcdef");
  BOOST_TEST(std::get<TraceCollector>(settings.trace).address.port == 4318);
  BOOST_TEST((settings.entries_ttl == std::chrono::milliseconds(1500)));
  BOOST_TEST(settings.log_appends_per_second == 50.5);
  BOOST_TEST((settings.log_unavailable_after == std::chrono::seconds(2)));
}

// If only the first error were reported, an operator would have to restart the daemon once per
// error.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_their_lines) {
  std::string text = ReplaceFirst(kSampleSettings, "\"127.0.0.1:8001\"", "\"localhost:8001\"");
  text = ReplaceFirst(text, "1500", "\"soon\"");
  text = ReplaceFirst(text, "\"log\":", "\"logg\":");
  const std::string expected =
      "1 log missing_key; "
      "12 entries_ttl_ms wrong_type; "
      "4 http invalid_value; "
      "7 logg unknown_key";
  BOOST_TEST(DiagnosticsOf([&] { ParseSettings(text, "d1.json"); }) == expected);
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_diagnosed) {
  struct Row {
    std::string from, to;
    std::string expected;
  };
  const std::vector<Row> rows{
      {"0123456789abcdef", "0123456789abcde", "9 cluster_key out_of_range"},
      {"0123456789abcdef", "0123456789 abcdef", "9 cluster_key invalid_value"},
      {"\"d1\"", "\"d 1\"", "3 daemon invalid_value"},
      {"\"d1\"", "7", "3 daemon wrong_type"},
      {"\"d1\"", "null", "3 daemon wrong_type"},
      {"127.0.0.1:8101\",\n", "127.0.0.1:8001\",\n", "5 peer conflict"},
      {"127.0.0.1:8102", "127.0.0.1", "6 seeds invalid_value"},
      {"127.0.0.1:9100", "127.0.0.256:9100", "7 log invalid_value"},
      {"127.0.0.1:9100", "127.0.0.1:0", "7 log invalid_value"},
      {"127.0.0.1:9100", "127.0.0.1:65536", "7 log invalid_value"},
      {"127.0.0.1:9100", "127.00.0.1:9100", "7 log invalid_value"},
      {"{\"collector\"", "{\"file\": \"spans\", \"collector\"", "11 trace conflict"},
      {"{\"collector\": \"127.0.0.1:4318\"}", "{}", "11 trace conflict"},
      {"{\"collector\": \"127.0.0.1:4318\"}", "[]", "11 trace wrong_type"},
      {"1500", "-1", "12 entries_ttl_ms out_of_range"},
      {"1500", "1.5", "12 entries_ttl_ms out_of_range"},
      {"1500", "true", "12 entries_ttl_ms wrong_type"},
      {"50.5", "1e99", "13 log_appends_per_second out_of_range"},
      {": 800", ": 100", "14 suspect_after_ms conflict"},
      {"\"vm\":", "\"daemon\":", "3  duplicate_key"},
      {"\"vm\":", "\"vm\"", "3  syntax"},
      {"800\n}", "800\n} {}", "15  syntax"},
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.from << " -> " << row.to) {
      BOOST_TEST(SettingsDiagnostics(row.from, row.to) == row.expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(unreadable_files_are_reported) {
  const std::string expected = "0  unreadable";
  BOOST_TEST(DiagnosticsOf([] { LoadSettings("no/such/file.json"); }) == expected);
  BOOST_TEST(DiagnosticsOf([] { LoadSettings("."); }) == expected);
}

// Deep nesting must not overflow the stack, and huge texts must not exhaust the memory.
BOOST_AUTO_TEST_CASE(nesting_depth_and_size_are_limited) {
  const std::string deep = "{\"a\":" + std::string(100'000, '[');
  BOOST_TEST((DiagnosticsOf([&] { ParseSettings(deep, "f"); }) == "1  too_deep"));
  const std::string huge(kMaxConfigBytes + 1, ' ');
  BOOST_TEST((DiagnosticsOf([&] { ParseSettings(huge, "f"); }) == "0  too_large"));
  BOOST_TEST((DiagnosticsOf([&] { ParseSettings("[]", "f"); }) == "1  wrong_type"));
  BOOST_TEST(DiagnosticsOf([&] { ParseSettings("", "f"); }) == "1  syntax");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::config
