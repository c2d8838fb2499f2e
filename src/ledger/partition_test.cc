#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "acaciaspring/ledger.h"
#include "src/ledger/test_store.h"

namespace acaciaspring::ledger {

namespace {

constexpr PartitionId kPartition{3};
constexpr Duration kSettle = std::chrono::seconds(3);

std::shared_ptr<Partition> Own(TestStore& store,
                               std::uint64_t epoch,
                               PartitionOptions options = {}) {
  auto partition = std::make_shared<Partition>(kPartition, OwnerEpoch(epoch), store, options,
                                               [](const Partition&) {});
  partition->Start();
  return partition;
}

Record TurnRecord(const std::string& id) {
  return {.turn = Turn{.id = TurnId(id),
                       .input = "i",
                       .output = "o",
                       .recorded_at = WallTime(std::chrono::seconds(1000)),
                       .retention = std::chrono::seconds(60)}};
}

/// @brief Appends a turn; the result is written when it is known.
std::shared_ptr<std::optional<bool>> AppendTurn(const std::shared_ptr<Partition>& partition,
                                                const std::string& id) {
  auto result = std::make_shared<std::optional<bool>>();
  partition->Append(TurnRecord(id), [result](bool durable) { *result = durable; });
  return result;
}

bool HasTurn(const std::shared_ptr<Partition>& partition, const std::string& id) {
  return partition->ledger().Chain(TurnId(id)).has_value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(partition)

BOOST_AUTO_TEST_CASE(new_owner_reads_what_the_former_one_recorded) {
  TestStore store;
  store.SetPiecesPerRead(2);
  const auto former = Own(store, 1);
  for (int i = 0; i < 7; ++i) {
    AppendTurn(former, std::to_string(i));
  }
  store.Run(kSettle);
  const auto next = Own(store, 2);
  store.Run(kSettle);
  BOOST_TEST((next->state() == Partition::State::kServing));
  BOOST_TEST(HasTurn(next, "6"));
}

// Guards against a paused owner that goes on writing after its partition has moved.
BOOST_AUTO_TEST_CASE(former_owner_is_fenced) {
  TestStore store;
  const auto former = Own(store, 1);
  store.Run(kSettle);
  const auto next = Own(store, 2);
  store.Run(kSettle);
  const auto result = AppendTurn(former, "late");
  store.Run(kSettle);
  BOOST_TEST((former->state() == Partition::State::kLost));
  BOOST_TEST((*result == std::optional<bool>(false)));
  BOOST_TEST(!HasTurn(next, "late"));
}

// Guards against an append that the store refuses again and again because it is too large: many
// records wait in an outage, and the length before each of them counts (incident 13).
BOOST_AUTO_TEST_CASE(append_after_an_outage_is_within_what_the_store_takes) {
  constexpr std::size_t kAppendBytes = 4096;
  TestStore store;
  const auto owner = Own(store, 1, {.max_append_bytes = kAppendBytes});
  store.Run(kSettle);
  store.SetPartitionUnavailable(kPartition, true);
  for (int i = 0; i < 1000; ++i) {
    AppendTurn(owner, std::to_string(i));
  }
  store.Run(kSettle);
  store.SetPartitionUnavailable(kPartition, false);
  store.Run(kSettle);
  BOOST_TEST(HasTurn(owner, "999"));
  BOOST_TEST(store.largest_append() <= kAppendBytes);
}

// Guards against a turn that is written twice, or reported lost, when the store's answer is lost.
BOOST_AUTO_TEST_CASE(lost_answer_is_repeated_without_a_second_record) {
  TestStore store;
  const auto owner = Own(store, 1);
  store.Run(kSettle);
  store.SetAppendOutcomes(
      {TestStore::AppendOutcome::kLoseAnswer, TestStore::AppendOutcome::kRefuse});
  const auto result = AppendTurn(owner, "a");
  store.Run(kSettle);
  BOOST_TEST((*result == std::optional<bool>(true)));
  BOOST_TEST(store.size(kPartition) == 1U);
}

// Guards against an append that is executed seconds later, after the partition has moved.
BOOST_AUTO_TEST_CASE(late_append_of_a_former_owner_is_not_taken) {
  TestStore store;
  const auto former = Own(store, 1);
  store.Run(kSettle);
  store.SetAppendOutcomes({TestStore::AppendOutcome::kLate});
  AppendTurn(former, "late");
  store.Run(std::chrono::milliseconds(5));
  former->Release();
  const auto next = Own(store, 2);
  store.Run(kSettle);
  store.DeliverLate();
  BOOST_TEST(store.size(kPartition) == 0U);
  const auto after = Own(store, 3);
  store.Run(kSettle);
  BOOST_TEST(!HasTurn(after, "late"));
}

// Guards against an append per turn under load: what waits goes into one call.
BOOST_AUTO_TEST_CASE(waiting_records_share_an_append) {
  TestStore store;
  const auto owner = Own(store, 1);
  store.Run(kSettle);
  const std::size_t before = store.appends();
  for (int i = 0; i < 50; ++i) {
    AppendTurn(owner, std::to_string(i));
  }
  store.Run(kSettle);
  BOOST_TEST(store.appends() - before == 2U);
  BOOST_TEST(store.size(kPartition) == 50U);
}

// Guards against "unknown turn" from an owner that does not know yet that it was replaced.
BOOST_AUTO_TEST_CASE(confirmation_fails_for_a_replaced_owner) {
  TestStore store;
  const auto former = Own(store, 1);
  store.Run(kSettle);
  std::optional<bool> owned;
  former->Confirm([&](bool result) { owned = result; });
  store.Run(kSettle);
  BOOST_TEST((owned == std::optional<bool>(true)));
  const auto next = Own(store, 2);
  store.Run(kSettle);
  former->Confirm([&](bool result) { owned = result; });
  store.Run(kSettle);
  BOOST_TEST((owned == std::optional<bool>(false)));
}

// Guards against loss by the store's retention: live records are written again in time.
BOOST_AUTO_TEST_CASE(live_records_are_rewritten_and_dead_ones_trimmed) {
  TestStore store;
  const PartitionOptions options{.min_trim_records = 1, .rewrite_age = std::chrono::seconds(20)};
  const auto owner = Own(store, 1, options);
  AppendTurn(owner, "a");
  store.Run(kSettle);
  for (int i = 0; i < 8; ++i) {
    owner->Maintain();
    store.Run(std::chrono::seconds(5));
  }
  const auto next = Own(store, 2, options);
  store.Run(kSettle);
  BOOST_TEST(HasTurn(next, "a"));
  BOOST_TEST(store.size(kPartition) == 1U);
  for (int i = 0; i < 20; ++i) {
    next->Maintain();
    store.Run(std::chrono::seconds(5));
  }
  BOOST_TEST(store.size(kPartition) == 0U);
}

// Random takeovers, refusals, lost answers and late appends; a turn that was reported durable is
// always known to the next owner, and one that was written is known once.
BOOST_AUTO_TEST_CASE(acknowledged_turns_survive_random_faults) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    TestStore store;
    store.SetPiecesPerRead(1 + random() % 5);
    std::vector<std::shared_ptr<Partition>> owners = {Own(store, 1)};
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<bool>>>> written;
    for (int step = 0; step < 60; ++step) {
      switch (random() % 6) {
        case 0:
          owners.push_back(Own(store, owners.size() + 1));
          break;
        case 1:
          store.SetAppendOutcomes(
              {TestStore::AppendOutcome::kLoseAnswer, TestStore::AppendOutcome::kLate});
          break;
        case 2:
          store.SetAppendOutcomes(
              {TestStore::AppendOutcome::kRefuse, TestStore::AppendOutcome::kLoseAnswer});
          break;
        case 3:
          store.DeliverLate();
          break;
        default: {
          // Former owners go on appending, as a paused daemon does when it wakes.
          const auto& owner =
              owners[owners.size() - 1 - random() % std::min<std::size_t>(2, owners.size())];
          const std::string id = std::to_string(step);
          written.emplace_back(id, AppendTurn(owner, id));
        }
      }
      store.Run(std::chrono::milliseconds(random() % 30));
    }
    store.Run(kSettle);
    store.DeliverLate();
    const auto last = Own(store, owners.size() + 1);
    store.Run(kSettle);
    std::set<std::string> lost;
    for (const auto& [id, durable] : written) {
      if (durable->value_or(false) && !HasTurn(last, id)) {
        lost.insert(id);
      }
    }
    BOOST_TEST(lost.empty(), "seed " << seed << " lost " << lost.size() << " turns");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ledger
