#include <boost/test/unit_test.hpp>

#include "src/journal/test_log.h"

namespace acaciaspring::journal {

namespace {

using std::chrono::hours;

/// Ten programs owned by "d1", of which the first is the parent of the second, and a configuration.
struct AgedLogFixture {
  AgedLogFixture() {
    for (int index = 0; index < 10; ++index) {
      const std::string key = "p" + std::to_string(index);
      log.Claim("d1", IdOf(key));
      const Verdict verdict =
          log.Append("d1", Creation(log, key, 100, index == 1 ? IdOf("p0") : ProgramId()));
      BOOST_TEST_REQUIRE(IsAccepted(verdict));
    }
    ShardsClaimed claim{{}, DaemonId("d1"), Incarnation(1), log.head()};
    claim.shards.Add(ShardId(0));
    log.Append("d1", claim);
    log.Append("d1", ConfigChanged{Revision(), "document", "ann"});
  }
  std::vector<Record> Plan(const std::string& daemon = "d1") const {
    return PlanCheckpoints(log.state(), DaemonId(daemon), Incarnation(1), log.now(), options,
                           [this](const ProgramId& id) { return id == pending; });
  }
  TestLog log;
  CheckpointPlanOptions options;
  ProgramId pending;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(checkpoint_planner, AgedLogFixture)

BOOST_AUTO_TEST_CASE(nothing_is_due_before_half_the_retention) {
  log.AdvanceTime(hours(83));
  BOOST_TEST(Plan().empty());
  log.AdvanceTime(hours(2));
  log.Append("d1", ConfigChanged{log.state().revision(), "newer", "ann"});
  BOOST_TEST(!Plan().empty());
  BOOST_TEST(Plan("d2").empty());
}

// A checkpoint would lack the effect of a pending record, which precedes it in the log.
BOOST_AUTO_TEST_CASE(programs_with_pending_records_are_left_out) {
  log.AdvanceTime(hours(85));
  const std::size_t all = Plan().size();
  pending = IdOf("p5");
  BOOST_TEST(Plan().size() == all - 1);
}

// Guards against state that is missing on a daemon that starts after old entries were trimmed.
BOOST_AUTO_TEST_CASE(checkpoints_make_old_entries_redundant) {
  const Offset old_head = log.head();
  const Revision revision = log.state().revision();
  log.AdvanceTime(hours(85));
  options.max_records = 4;
  int rounds = 0;
  for (auto records = Plan(); !records.empty(); records = Plan()) {
    BOOST_TEST_REQUIRE(++rounds < 10);
    const Offset observed = log.head();
    for (Record& record : records) {
      const Verdict verdict = log.AppendObserved("d1", observed, std::move(record));
      BOOST_TEST(IsAccepted(verdict));
    }
  }
  const State trimmed = log.ReplayFrom(old_head + Offset(1));
  BOOST_TEST(trimmed.live_program_count() == 10U);
  BOOST_TEST(trimmed.revision().value() == revision.value());
  BOOST_TEST(trimmed.document() == "document");
  for (const Program* program : log.state().Programs()) {
    const Program* copy = trimmed.FindProgram(program->id);
    BOOST_TEST_REQUIRE(copy != nullptr);
    BOOST_TEST(wire::Encode(*copy) == wire::Encode(*program));
    BOOST_TEST(
        (*trimmed.OwnerOf(ShardOf(program->id)) == *log.state().OwnerOf(ShardOf(program->id))));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
