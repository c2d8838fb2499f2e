#include <boost/test/unit_test.hpp>

#include "src/journal/test_log.h"

namespace acaciaspring::journal {

namespace {

using std::chrono::hours;

/// Ten programs of "d1", the first of which is the parent of the second, and a configuration.
struct OldLog {
  OldLog() {
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

BOOST_FIXTURE_TEST_SUITE(checkpoint_planner, OldLog)

BOOST_AUTO_TEST_CASE(nothing_is_due_before_half_the_retention) {
  log.Wait(hours(83));
  BOOST_TEST(Plan().empty());
  log.Wait(hours(2));
  log.Append("d1", ConfigChanged{log.state().revision(), "newer", "ann"});
  BOOST_TEST(!Plan().empty());
  BOOST_TEST(Plan("d2").empty());
}

// A record under way would lie behind a checkpoint that does not contain it.
BOOST_AUTO_TEST_CASE(programs_with_pending_records_are_left_out) {
  log.Wait(hours(85));
  const std::size_t all = Plan().size();
  pending = IdOf("p5");
  BOOST_TEST(Plan().size() == all - 1);
}

// A daemon that starts after the log was cut must find everything in the rest.
BOOST_AUTO_TEST_CASE(after_the_plans_the_old_entries_are_not_needed) {
  const Offset old_head = log.head();
  const Revision revision = log.state().revision();
  log.Wait(hours(85));
  options.max_records = 4;
  int rounds = 0;
  for (auto records = Plan(); !records.empty(); records = Plan()) {
    BOOST_TEST_REQUIRE(++rounds < 10);
    const Offset seen = log.head();
    for (Record& record : records) {
      BOOST_TEST(IsAccepted(log.AppendSeen("d1", seen, std::move(record))));
    }
  }
  const State cut = log.FoldFrom(old_head + Offset(1));
  BOOST_TEST(cut.live_program_count() == 10U);
  BOOST_TEST(cut.revision().value() == revision.value());
  BOOST_TEST(cut.document() == "document");
  for (const Program* program : log.state().Programs()) {
    const Program* copy = cut.FindProgram(program->id);
    BOOST_TEST_REQUIRE(copy != nullptr);
    BOOST_TEST(wire::Encode(*copy) == wire::Encode(*program));
    BOOST_TEST((*cut.OwnerOf(ShardOf(program->id)) == *log.state().OwnerOf(ShardOf(program->id))));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
