#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <stdexcept>

#include "src/journal/test_cluster.h"

namespace acaciaspring::journal {

namespace {

void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::logic_error(what);
  }
}

rc::Gen<std::vector<Step>> Steps() {
  return rc::gen::container<std::vector<Step>>(
      rc::gen::construct<Step>(rc::gen::inRange<std::uint32_t>(0, TestCluster::kStepKinds),
                               rc::gen::inRange<std::uint32_t>(0, TestCluster::kDaemons),
                               rc::gen::inRange<std::uint32_t>(0, TestCluster::kPrograms),
                               rc::gen::inRange<std::uint32_t>(0, 1000)));
}

/// Checks a property on `runs` random runs of up to `max_steps` steps, with a fixed seed.
void CheckRandomRuns(std::uint64_t seed,
                     int runs,
                     int max_steps,
                     void (*property)(const TestCluster&)) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  params.maxSize = max_steps;
  const auto result = rc::detail::checkTestable(
      [property] {
        const std::vector<Step> steps = *Steps();
        TestCluster cluster;
        for (const Step& step : steps) {
          cluster.Execute(step);
        }
        property(cluster);
      },
      rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
}

std::string InReplayFrom(Offset first) {
  return " in the replay from offset " + std::to_string(first.value());
}

/// What a replay of the trimmed log knows must equal what a replay of the whole log knows.
void CheckSound(const TestCluster& cluster, const State& trimmed, Offset first) {
  for (const Program* program : trimmed.Programs()) {
    const Program* expected = cluster.reference().FindProgram(program->id);
    Require(expected != nullptr, "unknown program " + program->id.value() + InReplayFrom(first));
    Require(wire::Encode(*expected) == wire::Encode(*program),
            "different program " + program->id.value() + InReplayFrom(first));
  }
  for (std::uint16_t index = 0; index < kShardCount; ++index) {
    const ShardOwner* owner = trimmed.OwnerOf(ShardId(index));
    const ShardOwner* expected = cluster.reference().OwnerOf(ShardId(index));
    Require(owner == nullptr || (expected != nullptr && *owner == *expected),
            "different owner of shard " + std::to_string(index) + InReplayFrom(first));
  }
  Require(trimmed.revision() == Revision() || trimmed.revision() == cluster.reference().revision(),
          "different revision" + InReplayFrom(first));
}

/// Every item must be known to a replay that starts at or before the replay start of the item.
void CheckComplete(const TestCluster& cluster, const State& trimmed, Offset first) {
  const State& reference = cluster.reference();
  for (const Program* program : reference.Programs()) {
    Require(reference.ReplayStartOfProgram(program->id) < first ||
                trimmed.FindProgram(program->id) != nullptr,
            "program " + program->id.value() + " is missing" + InReplayFrom(first));
  }
  for (std::uint32_t index = 0; index < TestCluster::kPrograms; ++index) {
    const ShardId shard = ShardOf(TestCluster::ProgramOf(index));
    Require(reference.OwnerOf(shard) == nullptr || reference.ReplayStartOfShard(shard) < first ||
                trimmed.OwnerOf(shard) != nullptr,
            "the claim of a shard is missing" + InReplayFrom(first));
  }
  Require(reference.ReplayStartOfConfig() < first || trimmed.revision() == reference.revision(),
          "the configuration is missing" + InReplayFrom(first));
}

/// A daemon acts on accepted records, so a replay of the trimmed log must not accept a record,
/// other than a checkpoint, that the replay of the whole log rejects.
void CheckVerdicts(const TestCluster& cluster,
                   const std::vector<std::vector<AppliedRecord>>& verdicts,
                   Offset first) {
  for (std::size_t entry = 0; entry < verdicts.size(); ++entry) {
    const TestCluster::Entry& expected = cluster.entries()[first.value() - 1 + entry];
    for (std::size_t index = 0; index < verdicts[entry].size(); ++index) {
      const Record& record = expected.batch.envelopes[index].record;
      const bool is_checkpoint = std::holds_alternative<ConfigCheckpoint>(record) ||
                                 std::holds_alternative<ClaimCheckpoint>(record) ||
                                 std::holds_alternative<ProgramCheckpoint>(record);
      Require(is_checkpoint || !std::holds_alternative<Accepted>(verdicts[entry][index].verdict) ||
                  std::holds_alternative<Accepted>(expected.applied[index].verdict),
              "a rejected record was accepted" + InReplayFrom(first));
    }
  }
}

void CheckAllTrimPoints(const TestCluster& cluster) {
  for (std::uint64_t offset = 1; offset <= cluster.entries().size() + 1; ++offset) {
    const Offset first(offset);
    std::vector<std::vector<AppliedRecord>> verdicts;
    const State trimmed = cluster.ReplayFrom(first, &verdicts);
    CheckSound(cluster, trimmed, first);
    CheckComplete(cluster, trimmed, first);
    CheckVerdicts(cluster, verdicts, first);
  }
}

/// Shrunk runs in which a replay of the trimmed log once gave a wrong state.
const std::vector<std::vector<Step>>& RegressionRuns() {
  static const std::vector<std::vector<Step>> runs{
      // A claim checkpoint names a claim that the replay of the trimmed log read but could not
      // decide.
      {{6, 2, 0, 0},
       {2, 2, 0, 0},
       {6, 2, 0, 4},
       {2, 2, 0, 0},
       {3, 2, 0, 2},
       {10, 2, 0, 0},
       {2, 2, 0, 0}},
      // A tombstone expires while its checkpoint is queued.
      {{6, 2, 1, 499},  {1, 2, 4, 621}, {0, 2, 0, 789},  {9, 2, 4, 19},   {4, 2, 2, 523},
       {19, 1, 4, 540}, {6, 0, 5, 698}, {6, 1, 4, 768},  {1, 2, 3, 212},  {11, 1, 2, 410},
       {11, 1, 4, 52},  {9, 0, 0, 840}, {11, 2, 5, 642}, {11, 0, 0, 510}, {1, 2, 1, 218},
       {10, 2, 0, 53},  {3, 0, 5, 498}, {6, 0, 4, 108},  {1, 2, 4, 301},  {4, 0, 5, 210},
       {8, 0, 1, 9},    {1, 2, 2, 304}, {2, 1, 4, 89},   {5, 2, 0, 400},  {11, 0, 2, 390},
       {5, 2, 2, 448},  {7, 0, 0, 408}, {11, 0, 5, 363}, {5, 0, 1, 118},  {11, 2, 5, 889},
       {1, 0, 1, 301},  {0, 0, 0, 14},  {6, 0, 2, 72},   {11, 1, 2, 418}, {1, 0, 2, 510},
       {7, 2, 2, 840},  {2, 2, 0, 934}, {11, 0, 3, 112}, {10, 0, 4, 238}, {13, 1, 3, 404},
       {1, 1, 1, 669},  {4, 0, 0, 282}},
      // A sub-agent that was discarded with its parent is created again.
      {{13, 2, 1, 20},
       {7, 1, 0, 680},
       {2, 2, 2, 292},
       {0, 1, 4, 193},
       {6, 1, 5, 359},
       {4, 1, 4, 66},
       {9, 0, 1, 788},
       {3, 1, 5, 976},
       {8, 0, 5, 209},
       {8, 2, 0, 339},
       {8, 1, 5, 347},
       {3, 1, 0, 765}},
      // A sub-agent that is restored from its checkpoint after its end loses the noted offset of
      // the end, with which an older checkpoint of the parent must be compared.
      {{6, 0, 1, 693},
       {3, 0, 1, 261},
       {4, 1, 1, 559},
       {6, 1, 1, 712},
       {9, 2, 2, 656},
       {4, 0, 1, 784},
       {9, 1, 1, 351},
       {2, 0, 1, 504},
       {2, 1, 2, 229},
       {4, 0, 2, 238},
       {4, 1, 2, 937},
       {10, 0, 5, 314},
       {19, 0, 1, 916},
       {3, 1, 3, 784},
       {10, 1, 1, 940},
       {2, 1, 4, 5},
       {3, 0, 0, 595}},
  };
  return runs;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replay_properties)

BOOST_AUTO_TEST_CASE(regression_runs_are_sound_and_complete) {
  for (const std::vector<Step>& run : RegressionRuns()) {
    TestCluster cluster;
    for (const Step& step : run) {
      cluster.Execute(step);
    }
    BOOST_CHECK_NO_THROW(CheckAllTrimPoints(cluster));
  }
}

BOOST_AUTO_TEST_CASE(invariants_hold_in_random_runs) {
  CheckRandomRuns(20261204, 400, 400,
                  [](const TestCluster& cluster) { cluster.CheckInvariants(); });
}

// Daemons that derive different states from one log would act on different owners, budgets or
// effects.
BOOST_AUTO_TEST_CASE(equal_logs_give_equal_states) {
  CheckRandomRuns(20261205, 200, 300, [](const TestCluster& cluster) {
    const State again = cluster.ReplayFrom(Offset(1), nullptr);
    Require(again.Encode() == cluster.reference().Encode(),
            "two replays of one log give different states");
    State resumed{StateOptions{std::chrono::milliseconds(400)}};
    for (std::size_t index = 0; index < cluster.entries().size(); ++index) {
      const TestCluster::Entry& entry = cluster.entries()[index];
      if (index == cluster.entries().size() / 2) {
        resumed = State::Decode(resumed.Encode());
      }
      resumed.Apply(Offset(index + 1), entry.time, entry.batch);
    }
    Require(resumed.Encode() == cluster.reference().Encode(),
            "the replay from a decoded snapshot gives a different state");
  });
}

// A daemon that starts after old entries were trimmed must know all live state, and only correct
// state.
BOOST_AUTO_TEST_CASE(replays_of_a_trimmed_log_are_sound_and_complete) {
  CheckRandomRuns(20261206, 300, 250, CheckAllTrimPoints);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
