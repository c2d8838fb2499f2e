#include "src/load/load_run.h"

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "src/load/fake_scheduler.h"

namespace acaciaspring::load {

namespace {

struct RunResult {
  Report report;
  std::map<std::string, int> executions;
};

RunResult RunLoad(const TestSystemFaults& faults) {
  // The faults below make the tool log every difference.
  FLAGS_minloglevel = google::GLOG_FATAL;
  LoadOptions options;
  options.organisation_keys = {"key"};
  options.programs = 12;
  options.concurrency = 4;
  options.run_id = "run";
  options.min_turns = 2;
  options.max_turns = 4;
  options.tool_service = "stock";
  options.effect_service = "orders";
  options.effect_probability = 0.5;
  options.sub_agent_probability = 0.3;
  net::Loop loop;
  TestSystem system(loop, faults);
  options.entries = {system.address()};
  if (faults.dead_entry) {
    options.entries.push_back(net::ParseAddress("127.0.0.1:1"));
  }
  net::HttpClient client(loop, {});
  EntryDirectory directory(loop, client, options.entries, "key", 1);
  RunResult result;
  LoadRun run({loop, client, directory, options, result.report}, [&loop] { loop.Stop(); });
  directory.Start([&run] { run.Start(); });
  const net::Timer limit = loop.After(std::chrono::seconds(60), [&loop] { loop.Stop(); });
  loop.Run();
  run.CountAbandoned();
  result.executions = system.executions();
  return result;
}

}  // namespace

BOOST_AUTO_TEST_CASE(run_without_faults_is_correct) {
  const Report report = RunLoad({}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.programs_finished > 12U);  // With sub-agents.
  BOOST_TEST(report.calls_completed > 0U);
  BOOST_TEST(report.effects_requested > 0U);
  BOOST_TEST(report.effects_requested == report.effects_completed);
  BOOST_TEST(report.retries == 0U);
  BOOST_TEST(report.answers_cut == 0U);
  BOOST_TEST(report.correct());
}

// A cut must be counted, and the resumed answer must be whole.
BOOST_AUTO_TEST_CASE(cut_answers_are_counted_and_resumed) {
  const Report report = RunLoad({.cut = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.answers_cut > 0U);
  BOOST_TEST(report.retries >= report.answers_cut);
  BOOST_TEST(report.correct());
}

BOOST_AUTO_TEST_CASE(refused_calls_are_sent_again) {
  for (const TestSystemFaults& faults :
       {TestSystemFaults{.refuse = true}, TestSystemFaults{.not_ready = true}}) {
    const Report report = RunLoad(faults).report;
    BOOST_TEST(report.programs_failed == 0U);
    BOOST_TEST(report.retries > 0U);
    BOOST_TEST(report.calls_not_run == 0U);
    BOOST_TEST(report.correct());
  }
}

// A dead entry must cost a retry and no program; nothing was sent, so no call is in doubt.
BOOST_AUTO_TEST_CASE(dead_entries_are_avoided) {
  const Report report = RunLoad({.dead_entry = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.retries > 0U);
  BOOST_TEST(report.calls_unknown == 0U);
  BOOST_TEST(report.answers_cut == 0U);
  BOOST_TEST(report.correct());
}

// A new key for the retry would execute an effect twice.
BOOST_AUTO_TEST_CASE(lost_tool_answers_are_asked_for_under_the_same_key) {
  const RunResult result = RunLoad({.drop_tool_answers = true});
  BOOST_TEST(result.report.programs_failed == 0U);
  BOOST_TEST(result.report.effects_unknown == 0U);
  BOOST_TEST(result.executions.size() == result.report.retries);
}

BOOST_AUTO_TEST_CASE(unknown_effects_are_not_repeated) {
  const Report report = RunLoad({.unknown_effects = true}).report;
  BOOST_TEST(report.effects_unknown == report.effects_requested);
  BOOST_TEST(report.retries == 0U);
}

// The tool is worth nothing if it accepts a damaged answer or history.
BOOST_AUTO_TEST_CASE(damage_is_reported) {
  const Report lost = RunLoad({.lose_token = true}).report;
  BOOST_TEST(lost.answers_incomplete > 0U);
  BOOST_TEST(!lost.correct());
  const Report shortened = RunLoad({.shorten_history = true}).report;
  BOOST_TEST(lost.histories_wrong == 0U);
  BOOST_TEST(shortened.answers_incomplete == 0U);
  BOOST_TEST(shortened.histories_wrong > 0U);
  BOOST_TEST(!shortened.correct());
}

}  // namespace acaciaspring::load
