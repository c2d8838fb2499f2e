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

RunResult RunLoad(const FakeSchedulerFaults& faults) {
  // The injected faults would make the load run log an error for each wrong answer or history.
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
  FakeScheduler scheduler(loop, faults);
  options.entries = {scheduler.address()};
  if (faults.list_unreachable_entry) {
    options.entries.push_back(net::ParseAddress("127.0.0.1:1"));
  }
  net::HttpClient client(loop, {});
  EntryDirectory directory(loop, client, options.entries, "key", 1);
  RunResult result;
  LoadRun run({loop, client, directory, options, result.report}, [&loop] { loop.Stop(); });
  directory.Start([&run] { run.Start(); });
  const net::Timer time_limit_timer =
      loop.After(std::chrono::seconds(60), [&loop] { loop.Stop(); });
  loop.Run();
  run.CountAbandoned();
  result.executions = scheduler.executions();
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

// Guards against losing or repeating tokens when a stream is resumed after its connection closed.
BOOST_AUTO_TEST_CASE(interrupted_answers_are_counted_and_resumed) {
  const Report report = RunLoad({.interrupt_streams = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.answers_cut > 0U);
  BOOST_TEST(report.retries >= report.answers_cut);
  BOOST_TEST(report.correct());
}

BOOST_AUTO_TEST_CASE(refused_calls_are_retried) {
  for (const FakeSchedulerFaults& faults :
       {FakeSchedulerFaults{.refuse_calls = true}, FakeSchedulerFaults{.not_ready = true}}) {
    const Report report = RunLoad(faults).report;
    BOOST_TEST(report.programs_failed == 0U);
    BOOST_TEST(report.retries > 0U);
    BOOST_TEST(report.calls_not_run == 0U);
    BOOST_TEST(report.correct());
  }
}

// A call to an unreachable entry was never sent. Guards against failing its program, or counting
// the call as Unknown, instead of sending it to another entry.
BOOST_AUTO_TEST_CASE(unreachable_entries_are_avoided) {
  const Report report = RunLoad({.list_unreachable_entry = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.retries > 0U);
  BOOST_TEST(report.calls_unknown == 0U);
  BOOST_TEST(report.answers_cut == 0U);
  BOOST_TEST(report.correct());
}

// Guards against a retry with a new idempotency key, which would execute an effect twice.
BOOST_AUTO_TEST_CASE(lost_tool_responses_are_retried_with_the_same_key) {
  const RunResult result = RunLoad({.drop_tool_responses = true});
  BOOST_TEST(result.report.programs_failed == 0U);
  BOOST_TEST(result.report.effects_unknown == 0U);
  BOOST_TEST(result.executions.size() == result.report.retries);
}

BOOST_AUTO_TEST_CASE(effects_with_unknown_outcome_are_not_repeated) {
  const Report report = RunLoad({.unknown_effects = true}).report;
  BOOST_TEST(report.effects_unknown == report.effects_requested);
  BOOST_TEST(report.retries == 0U);
}

// Guards against a load tool that accepts an incomplete answer or history.
BOOST_AUTO_TEST_CASE(incomplete_answers_and_histories_are_reported) {
  const Report with_missing_token = RunLoad({.omit_token = true}).report;
  BOOST_TEST(with_missing_token.answers_incomplete > 0U);
  BOOST_TEST(!with_missing_token.correct());
  const Report with_short_history = RunLoad({.omit_last_message = true}).report;
  BOOST_TEST(with_missing_token.histories_wrong == 0U);
  BOOST_TEST(with_short_history.answers_incomplete == 0U);
  BOOST_TEST(with_short_history.histories_wrong > 0U);
  BOOST_TEST(!with_short_history.correct());
}

}  // namespace acaciaspring::load
