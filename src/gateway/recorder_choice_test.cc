#include "src/gateway/recorder_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

namespace acaciaspring::gateway {

namespace {

RecorderQuery Query(std::uint32_t attempt, std::size_t local_partitions, std::size_t peers) {
  return {.program = ProgramId("p"),
          .attempt = attempt,
          .local_partitions = local_partitions,
          .peers = peers};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(recorder_choice)

// Scenario: a third of the store's partitions are unavailable. Guards against records sent to
// another zone although a local partition is writable.
BOOST_AUTO_TEST_CASE(local_partitions_are_preferred) {
  for (const std::uint32_t attempt : {0U, 1U}) {
    BOOST_TEST(std::holds_alternative<LocalRecorder>(ChooseRecorder(Query(attempt, 3, 5))));
  }
  BOOST_TEST(std::holds_alternative<PeerRecorder>(ChooseRecorder(Query(2, 3, 5))));
}

// Scenario: the store refuses a third of the daemons, so none of their partitions is writable.
// Guards against a turn that keeps asking the same unresponsive peer.
BOOST_AUTO_TEST_CASE(every_peer_is_asked_in_turn) {
  std::set<std::size_t> asked;
  for (std::uint32_t attempt = 0; attempt < 5; ++attempt) {
    const RecorderChoice choice = ChooseRecorder(Query(attempt, 0, 5));
    BOOST_REQUIRE(std::holds_alternative<PeerRecorder>(choice));
    asked.insert(std::get<PeerRecorder>(choice).index);
  }
  BOOST_TEST(asked.size() == 5U);
}

// Guards against one daemon receiving the records of all waiting programs.
BOOST_AUTO_TEST_CASE(programs_are_spread_over_peers) {
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 1000; ++i) {
    RecorderQuery query = Query(0, 0, 4);
    query.program = ProgramId(std::to_string(i));
    ++counts[std::get<PeerRecorder>(ChooseRecorder(query)).index];
  }
  for (const auto& [index, count] : counts) {
    BOOST_TEST(count > 150, "recorder " << index << " got " << count);
  }
  BOOST_TEST(counts.size() == 4U);
}

BOOST_AUTO_TEST_CASE(single_daemon_uses_local_partitions_only) {
  for (std::uint32_t attempt = 0; attempt < 6; ++attempt) {
    BOOST_TEST(std::holds_alternative<LocalRecorder>(ChooseRecorder(Query(attempt, 2, 0))));
  }
}

// Guards against messages between daemons during an outage of the whole store, when nothing can be
// recorded.
BOOST_AUTO_TEST_CASE(no_recorder_without_writable_partitions) {
  BOOST_TEST(std::holds_alternative<NoRecorder>(ChooseRecorder(Query(0, 0, 0))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
