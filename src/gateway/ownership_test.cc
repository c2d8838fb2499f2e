#include "src/gateway/ownership.h"

#include <boost/test/unit_test.hpp>

#include "src/ledger/test_store.h"

namespace acaciaspring::gateway {

namespace {

constexpr ledger::PartitionId kPartition{3};
constexpr Duration kSettleTime = std::chrono::seconds(3);
const DaemonId kPeer("peer");

PeerStatus ServingStatus(std::uint64_t epoch) {
  return {.owned = {{.partition = kPartition, .epoch = ledger::OwnerEpoch(epoch)}}};
}

struct Fixture {
  net::Loop loop;
  Context context{loop, {.self = {.id = DaemonId("self")}, .partition_count = 8}};
  ledger::TestStore store;
  Ownership ownership{context, store, [] {}};

  void Assign(std::uint64_t epoch, std::uint64_t generation) {
    ownership.SetAssignment({{.partition = kPartition, .epoch = ledger::OwnerEpoch(epoch)}},
                            ledger::OwnerEpoch(generation), [] {});
    store.Run(kSettleTime);
  }
  /// @brief Lets another daemon take over the partition at the store.
  std::shared_ptr<ledger::Partition> TakeOverByPeer(std::uint64_t epoch) {
    auto partition =
        std::make_shared<ledger::Partition>(kPartition, ledger::OwnerEpoch(epoch), store,
                                            ledger::PartitionOptions{}, [](const auto&) {});
    partition->Start();
    store.Run(kSettleTime);
    return partition;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ownership, Fixture)

// Scenario: the store refuses requests of a third of the daemons for nine seconds. Guards against
// turns that wait at such a daemon although another one has taken over their partition.
BOOST_AUTO_TEST_CASE(partition_that_another_daemon_serves_is_released) {
  Assign(1, 1);
  const auto partition = ownership.FindServing(kPartition);
  BOOST_REQUIRE(partition != nullptr);
  store.SetAppendOutcomes(
      std::deque<ledger::TestStore::AppendOutcome>(100, ledger::TestStore::AppendOutcome::kRefuse));
  std::optional<bool> durable;
  partition->Append({.turn = ledger::Turn{.id = ledger::TurnId("t")}},
                    [&](bool done) { durable = done; });
  store.Run(kSettleTime);
  BOOST_TEST(!durable.has_value());
  ownership.OnStatus(kPeer, ServingStatus(2));
  BOOST_TEST((durable == std::optional<bool>(false)));
  BOOST_TEST((ownership.FindServing(kPartition) == nullptr));
  BOOST_TEST((ownership.RemoteOwner(kPartition) == std::optional<DaemonId>(kPeer)));
}

// Guards against an owner that releases its partition because of an outdated status of a former
// owner.
BOOST_AUTO_TEST_CASE(claims_under_lower_epochs_are_ignored) {
  Assign(5, 5);
  ownership.OnStatus(kPeer, ServingStatus(4));
  BOOST_TEST((ownership.FindServing(kPartition) != nullptr));
}

// Guards against a partition without an owner after it has moved away and back while this daemon
// was paused: the assignments before and after the pause are the same.
BOOST_AUTO_TEST_CASE(lost_partition_is_taken_over_when_reassigned) {
  Assign(1, 1);
  TakeOverByPeer(2);
  ownership.OnStatus(kPeer, ServingStatus(2));
  BOOST_TEST((ownership.FindServing(kPartition) == nullptr));
  Assign(1, 3);
  const auto partition = ownership.FindServing(kPartition);
  BOOST_REQUIRE(partition != nullptr);
  BOOST_TEST((partition->epoch() == ledger::OwnerEpoch(3)));
  // Further responses of the group change nothing.
  Assign(1, 3);
  Assign(1, 4);
  BOOST_TEST((ownership.FindServing(kPartition) == partition));
}

// Guards against two owners under one epoch, caused by a response of the group from before the
// loss.
BOOST_AUTO_TEST_CASE(lost_partition_is_not_taken_over_under_an_old_generation) {
  Assign(1, 1);
  const auto next = TakeOverByPeer(3);
  ownership.OnStatus(kPeer, ServingStatus(3));
  Assign(1, 2);
  BOOST_TEST((ownership.FindServing(kPartition) == nullptr));
  BOOST_TEST((next->state() == ledger::Partition::State::kServing));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
