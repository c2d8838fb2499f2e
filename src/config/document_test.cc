#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "src/config/test_samples.h"

namespace acaciaspring::config {

namespace {

std::string DocumentDiagnostics(const std::string& from, const std::string& to) {
  return DiagnosticsOf([&] { ParseDocument(ReplaceFirst(kSampleDocument, from, to)); });
}

/// A temporary directory, removed by the destructor.
class TempDirectory {
 public:
  TempDirectory() : path_(std::filesystem::temp_directory_path() / Name()) {
    std::filesystem::create_directories(path_);
  }
  ~TempDirectory() { std::filesystem::remove_all(path_); }
  TempDirectory(const TempDirectory&) = delete;
  TempDirectory& operator=(const TempDirectory&) = delete;
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
  }
  std::string path() const { return path_.string(); }

 private:
  static std::string Name() {
    return "acaciaspring-config-test-" + std::to_string(std::random_device()());
  }
  std::filesystem::path path_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(document)

BOOST_AUTO_TEST_CASE(document_values_are_parsed_and_defaults_applied) {
  const Document document = ParseDocument(kSampleDocument);
  const Organisation& desk = document.organisations.at(OrganisationId("rice-desk"));
  BOOST_TEST(desk.weight == 2);
  BOOST_TEST(desk.max_programs == 100U);
  BOOST_TEST(document.organisations.at(OrganisationId("saddlefit")).weight == 1);
  const PriorityClass& urgent = document.priority_classes.at(PriorityClassId("urgent"));
  BOOST_TEST((urgent.first_token_target == std::chrono::milliseconds(600)));
  BOOST_TEST(document.limits.program_max_calls == 530U);
  const Endpoint& gpu = document.endpoints.at(EndpointId("gpu-1"));
  BOOST_TEST(gpu.models.size() == 2U);
  BOOST_TEST(gpu.checks_fencing);
  BOOST_TEST((document.endpoints.at(EndpointId("gpu-2")).state == EndpointState::kLeaving));
  const Service& order = document.services.at(ServiceId("parts-order"));
  BOOST_TEST(order.operation == "order");
  BOOST_TEST((order.timeout == std::chrono::seconds(2)));
  BOOST_TEST(document.policy.retry_ratio == 0.2);
  BOOST_TEST(!document.policy.preempt);
}

BOOST_AUTO_TEST_CASE(invalid_documents_are_diagnosed) {
  struct Row {
    std::string from, to;
    std::string expected;
  };
  const std::vector<Row> rows{
      {"\"rank\": 2", "\"rank\": 0", "8 priority_classes.urgent.rank conflict"},
      {"0.25", "0.6", "8 priority_classes.urgent.minimum_share conflict"},
      {"0.25", "1.6",
       "10 priority_classes.batch.minimum_share conflict; 10 priority_classes.batch.minimum_share "
       "out_of_range"},
      {"127.0.0.1:9002", "127.0.0.1:9001", "16 endpoints.gpu-2.address conflict"},
      {"saddlefit-key-0001", "rice-desk-key-0001", "5 organisations.saddlefit.key conflict"},
      {"saddlefit-key-0001", "short", "5 organisations.saddlefit.key out_of_range"},
      {"\"kind\": \"engine\"", "\"kind\": \"toaster\"", "14 endpoints.gpu-1.kind invalid_value"},
      {"\"leaving\"", "\"gone\"", "17 endpoints.gpu-2.state invalid_value"},
      {"[\"small\"]", "[]", "17 endpoints.gpu-2.models out_of_range"},
      {"[\"small\"]", "[1]",
       "17 endpoints.gpu-2.models out_of_range; 17 endpoints.gpu-2.models wrong_type"},
      {"[\"small\", \"large\"]", "[\"small\", \"small\"]", "15 endpoints.gpu-1.models conflict"},
      {"\"idempotent\": false,", "", "20 services.parts-order.idempotent missing_key"},
      {"\"idempotent\": false", "\"idempotent\": 0",
       "20 services.parts-order.idempotent wrong_type"},
      {"\"operation\": \"order\"", "\"operation\": \"a b\"",
       "20 services.parts-order.operation invalid_value"},
      {"\"gpu-2\"", "\"gpu 2\"", "16 endpoints invalid_value"},
      {"\"policy\"", "\"polcy\"", "23 polcy unknown_key"},
      {"{\"retry_ratio\": 0.2, \"preempt\": false}", "[]", "23 policy wrong_type"},
      {"290000", "0", "12 limits.program_budget_tokens out_of_range"},
      {"\"weight\": 2", "\"wait\": 2", "3 organisations.rice-desk.wait unknown_key"},
      {"\"batch\"", "\"urgent\"", "10  duplicate_key"},
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.from << " -> " << row.to) {
      BOOST_TEST(DocumentDiagnostics(row.from, row.to) == row.expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(files_are_merged_in_name_order) {
  const TempDirectory directory;
  directory.Write("20-override.json", R"({"organisations": {"saddlefit": null,
      "rice-desk": {"weight": 7}}, /* no more */ "policy": {"preempt": null}})");
  directory.Write("10-base.json", kSampleDocument);
  directory.Write("30-notes.txt", "not JSON");
  const Document document = LoadDocument(directory.path());
  BOOST_TEST(document.organisations.size() == 1U);
  BOOST_TEST(document.organisations.at(OrganisationId("rice-desk")).weight == 7);
  BOOST_TEST(document.organisations.at(OrganisationId("rice-desk")).max_programs == 100U);
  BOOST_TEST(document.policy.preempt);
}

// A diagnostic must name the file that set the value, not the file that was merged last.
BOOST_AUTO_TEST_CASE(diagnostics_of_merged_values_name_their_file) {
  const TempDirectory directory;
  directory.Write("10-base.json", kSampleDocument);
  directory.Write("20-override.json", "{\n\"organisations\":\n{\"rice-desk\": {\"weight\": -1}}}");
  directory.Write("30-broken.json", "{");
  try {
    LoadDocument(directory.path());
    BOOST_ERROR("an invalid directory was accepted");
  } catch (const ConfigError& error) {
    BOOST_TEST_REQUIRE(error.diagnostics().size() >= 1U);
    BOOST_TEST(error.diagnostics()[0].file.ends_with("30-broken.json"));
  }
  directory.Write("30-broken.json", "{}");
  try {
    LoadDocument(directory.path());
    BOOST_ERROR("an invalid directory was accepted");
  } catch (const ConfigError& error) {
    BOOST_TEST_REQUIRE(error.diagnostics().size() == 1U);
    BOOST_TEST(error.diagnostics()[0].file.ends_with("20-override.json"));
    BOOST_TEST(error.diagnostics()[0].line == 3U);
    BOOST_TEST(error.diagnostics()[0].key_path == "organisations.rice-desk.weight");
  }
}

BOOST_AUTO_TEST_CASE(directories_without_json_files_are_rejected) {
  const TempDirectory directory;
  BOOST_TEST((DiagnosticsOf([&] { LoadDocument(directory.path()); }) == "0  unreadable"));
  BOOST_TEST((DiagnosticsOf([&] { LoadDocument(directory.path() + "/x"); }) == "0  unreadable"));
}

// Every daemon parses the canonical text in the log; the result must equal the document that the
// operator has checked.
BOOST_AUTO_TEST_CASE(canonical_text_is_stable) {
  const Document document = ParseDocument(kSampleDocument);
  const std::string text = CanonicalText(document);
  const Document again = ParseDocument(text);
  BOOST_TEST(CanonicalText(again) == text);
  BOOST_TEST(Diff(document, again).empty());
  BOOST_TEST(CanonicalText(ParseDocument("{}")) == CanonicalText(Document()));
}

BOOST_AUTO_TEST_CASE(diff_lists_changed_leaves_and_redacts_keys) {
  const Document before = ParseDocument(kSampleDocument);
  std::string text = ReplaceFirst(kSampleDocument, "\"weight\": 2", "\"weight\": 3");
  text = ReplaceFirst(text, "rice-desk-key-0001", "rice-desk-key-0002");
  text = ReplaceFirst(text, "\"gpu-2\": {\"address\": \"127.0.0.1:9002\"",
                      "\"gpu-3\": {\"address\": \"127.0.0.1:9002\"");
  const std::vector<Change> changes = Diff(before, ParseDocument(text));
  const auto has = [&changes](const Change& change) {
    return std::find(changes.begin(), changes.end(), change) != changes.end();
  };
  BOOST_TEST(has({"organisations.rice-desk.weight", "2.0", "3.0"}));
  BOOST_TEST(has({"organisations.rice-desk.key", "***", "***"}));
  BOOST_TEST(has({"endpoints.gpu-2.zone", "\"kumamoto\"", ""}));
  BOOST_TEST(has({"endpoints.gpu-3.models", "", "[\"small\"]"}));
  // Two leaves of the organisation, and eleven of each of the removed and the added endpoint.
  BOOST_TEST(changes.size() == 24U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::config
