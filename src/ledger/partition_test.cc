#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "acaciaspring/ledger.h"
#include "src/ledger/test_store.h"

namespace acaciaspring::ledger {

namespace {

constexpr PartitionId kPartition{3};
constexpr Duration kSettleTime = std::chrono::seconds(3);

std::shared_ptr<Partition> StartOwner(TestStore& store,
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

/// @brief Appends a turn. The returned value is set when the result is known.
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

BOOST_AUTO_TEST_CASE(next_owner_reads_records_of_former_owner) {
  TestStore store;
  store.SetPiecesPerRead(2);
  const auto former = StartOwner(store, 1);
  for (int i = 0; i < 7; ++i) {
    AppendTurn(former, std::to_string(i));
  }
  store.Run(kSettleTime);
  const auto next = StartOwner(store, 2);
  store.Run(kSettleTime);
  BOOST_TEST((next->state() == Partition::State::kServing));
  BOOST_TEST(HasTurn(next, "6"));
}

// The store is away and all owners lose power, again and again. Guards against a program that hands
// out a turn without a record under each of them.
BOOST_AUTO_TEST_CASE(only_the_first_owner_lets_a_turn_run_ahead_of_its_record) {
  TestStore store;
  const TurnDemand demand{
      .program = ProgramId("p"), .budget = TokenCount(300), .maximum = TokenCount(100)};
  const auto runs_ahead = [&](const std::shared_ptr<Partition>& owner) {
    return std::holds_alternative<SpendGranted>(owner->ledger().Admit(demand, store.Now()));
  };
  const auto first = StartOwner(store, 1);
  store.Run(kSettleTime);
  BOOST_TEST(runs_ahead(first));
  const auto second = StartOwner(store, 2);
  store.Run(kSettleTime);
  BOOST_TEST(!runs_ahead(second));
  // The same program with a record, at an owner for which it is not new.
  second->Append({.spend = ProgramSpend{.program = demand.program}}, [](bool) {});
  store.Run(kSettleTime);
  const auto third = StartOwner(store, 3);
  store.Run(kSettleTime);
  BOOST_TEST(!runs_ahead(third));
  const auto fourth = StartOwner(store, 4);
  store.Run(kSettleTime);
  BOOST_TEST(!runs_ahead(fourth));
  store.Run(PartitionOptions{}.ledger.program_retention);
  fourth->Maintain();
  BOOST_TEST(!runs_ahead(fourth));
  BOOST_TEST(std::holds_alternative<SpendGranted>(fourth->ledger().Admit(
      {.program = ProgramId("new"), .budget = TokenCount(300), .maximum = TokenCount(100)},
      store.Now())));
}

// Guards against an owner that lets a turn run ahead although the next one cannot know of it: the
// record that tells later owners of the first one is not durable.
BOOST_AUTO_TEST_CASE(no_turn_runs_ahead_before_the_record_of_the_first_owner) {
  TestStore store;
  const auto owner = StartOwner(store, 1);
  // The append that fences former owners is already on its way.
  store.SetAppendOutcomes({TestStore::AppendOutcome::kRefuse, TestStore::AppendOutcome::kRefuse,
                           TestStore::AppendOutcome::kRefuse});
  store.Run(std::chrono::milliseconds(20));
  BOOST_REQUIRE((owner->state() == Partition::State::kServing));
  BOOST_TEST(std::holds_alternative<SpendNeedsRecord>(owner->ledger().Admit(
      {.program = ProgramId("p"), .budget = TokenCount(300), .maximum = TokenCount(100)},
      store.Now())));
}

// Guards against a hand-over that is reported before its records are durable, and against one that
// lowers the spends of a partition that has not been loaded yet.
BOOST_AUTO_TEST_CASE(handover_is_reported_when_the_spends_are_durable) {
  TestStore store;
  const auto former = StartOwner(store, 1);
  std::optional<bool> early;
  former->HandOver([&](bool durable) { early = durable; });
  BOOST_TEST((early == std::optional<bool>(false)));
  const auto owner = StartOwner(store, 2);
  store.Run(kSettleTime);
  const TurnDemand demand{
      .program = ProgramId("p"), .budget = TokenCount(250), .maximum = TokenCount(100)};
  BOOST_REQUIRE(!std::holds_alternative<BudgetSpent>(owner->ledger().Admit(demand, store.Now())));
  std::optional<bool> recorded;
  owner->HandOver([&](bool durable) { recorded = durable; });
  BOOST_TEST(!owner->admits());
  BOOST_TEST(!recorded.has_value());
  store.Run(kSettleTime);
  BOOST_TEST((recorded == std::optional<bool>(true)));
  owner->Release();
  const auto next = StartOwner(store, 3);
  store.Run(kSettleTime);
  BOOST_TEST(std::holds_alternative<BudgetSpent>(next->ledger().Admit(
      {.program = ProgramId("p"), .budget = TokenCount(199), .maximum = TokenCount(100)},
      store.Now())));
}

// Guards against a history that is lost because the log was trimmed within a record of several
// pieces that an owner had read at its takeover.
BOOST_AUTO_TEST_CASE(record_of_several_pieces_survives_trimming_after_a_takeover) {
  TestStore store;
  const PartitionOptions options{.max_piece_bytes = 256, .min_trim_records = 1};
  const auto first = StartOwner(store, 1, options);
  store.Run(kSettleTime);
  std::mt19937_64 random(5);
  Record large = TurnRecord("large");
  large.turn->recorded_at = store.WallNow();
  for (int i = 0; i < 2000; ++i) {
    large.turn->input.push_back(static_cast<char>(random()));
  }
  BOOST_REQUIRE(EncodeRecord(large, options.max_piece_bytes).size() > 3U);
  first->Append(large, [](bool) {});
  store.Run(kSettleTime);
  const auto second = StartOwner(store, 2, options);
  store.Run(kSettleTime);
  BOOST_TEST(HasTurn(second, "large"));
  second->Maintain();
  store.Run(kSettleTime);
  const auto third = StartOwner(store, 3, options);
  store.Run(kSettleTime);
  BOOST_TEST(HasTurn(third, "large"));
}

// Guards against a paused owner that continues to write after its partition has moved.
BOOST_AUTO_TEST_CASE(former_owner_is_fenced) {
  TestStore store;
  const auto former = StartOwner(store, 1);
  store.Run(kSettleTime);
  const auto next = StartOwner(store, 2);
  store.Run(kSettleTime);
  const auto result = AppendTurn(former, "late");
  store.Run(kSettleTime);
  BOOST_TEST((former->state() == Partition::State::kLost));
  BOOST_TEST((*result == std::optional<bool>(false)));
  BOOST_TEST(!HasTurn(next, "late"));
}

// Guards against an append that the store always refuses because it is too large: many records
// queue up during an outage, and the length prefix of each counts towards the size (incident 13).
BOOST_AUTO_TEST_CASE(append_after_an_outage_is_within_the_size_limit) {
  constexpr std::size_t kMaxAppendBytes = 4096;
  TestStore store;
  const auto owner = StartOwner(store, 1, {.max_append_bytes = kMaxAppendBytes});
  store.Run(kSettleTime);
  store.SetPartitionUnavailable(kPartition, true);
  for (int i = 0; i < 1000; ++i) {
    AppendTurn(owner, std::to_string(i));
  }
  store.Run(kSettleTime);
  store.SetPartitionUnavailable(kPartition, false);
  store.Run(kSettleTime);
  BOOST_TEST(HasTurn(owner, "999"));
  BOOST_TEST(store.largest_append() <= kMaxAppendBytes);
}

// Guards against a record that the store always rejects, because its pieces exceed one append
// together, and that blocks all records behind it.
BOOST_AUTO_TEST_CASE(record_larger_than_one_append_is_durable) {
  constexpr std::size_t kMaxAppendBytes = 1000;
  TestStore store;
  store.SetMaxAppendBytes(kMaxAppendBytes);
  store.SetPiecesPerRead(7);
  const PartitionOptions options{
      .max_piece_bytes = 256, .max_append_bytes = kMaxAppendBytes, .min_trim_records = 1};
  const auto owner = StartOwner(store, 1, options);
  store.Run(kSettleTime);
  const std::size_t empty_size = store.size(kPartition);
  AppendTurn(owner, "before");
  Record large = TurnRecord("large");
  large.turn->recorded_at = store.WallNow();
  large.turn->input = std::string(9000, 'x');
  // Whatever becomes of the responses, each piece is written once.
  using Outcome = TestStore::AppendOutcome;
  store.SetAppendOutcomes({Outcome::kServe, Outcome::kLoseResponse, Outcome::kRefuse,
                           Outcome::kServe, Outcome::kLoseResponse, Outcome::kDelay});
  std::optional<bool> durable;
  owner->Append(large, [&](bool result) { durable = result; });
  const auto behind = AppendTurn(owner, "behind");
  store.Run(kSettleTime);
  store.DeliverDelayedAppends();
  store.Run(kSettleTime);
  BOOST_TEST((durable == std::optional<bool>(true)));
  BOOST_TEST((*behind == std::optional<bool>(true)));
  BOOST_TEST(store.largest_append() <= kMaxAppendBytes);
  BOOST_TEST(store.size(kPartition) - empty_size ==
             2U + EncodeRecord(large, options.max_piece_bytes).size());
  owner->Maintain();
  store.Run(kSettleTime);
  const auto next = StartOwner(store, 2, options);
  store.Run(kSettleTime);
  BOOST_REQUIRE(HasTurn(next, "large"));
  BOOST_TEST((*next->ledger().Chain(TurnId("large"))->front() == *large.turn));
  BOOST_TEST(HasTurn(next, "behind"));
}

// Guards against a part of a record that hides the records of the next owner, or counts as whole.
BOOST_AUTO_TEST_CASE(record_that_is_cut_off_by_a_takeover_is_skipped) {
  TestStore store;
  const PartitionOptions options{.max_piece_bytes = 256, .max_append_bytes = 600};
  const auto former = StartOwner(store, 1, options);
  store.Run(kSettleTime);
  Record large = TurnRecord("large");
  large.turn->input = std::string(9000, 'x');
  std::optional<bool> durable;
  former->Append(large, [&](bool result) { durable = result; });
  store.Run(std::chrono::milliseconds(10));
  BOOST_TEST(store.size(kPartition) > 0U);
  const auto next = StartOwner(store, 2, options);
  store.Run(kSettleTime);
  BOOST_TEST((durable == std::optional<bool>(false)));
  BOOST_TEST(!HasTurn(next, "large"));
  AppendTurn(next, "after");
  next->Append(large, [](bool) {});
  store.Run(kSettleTime);
  const auto third = StartOwner(store, 3, options);
  store.Run(kSettleTime);
  BOOST_TEST(HasTurn(third, "after"));
  BOOST_TEST(HasTurn(third, "large"));
}

// Guards against a record that the store rejects whatever its pieces and that blocks the partition,
// and against a spend that is lost with its turn.
BOOST_AUTO_TEST_CASE(rejected_record_is_given_up_and_its_spend_recorded) {
  const ProgramSpend spend{
      .program = ProgramId("p"), .spent = TokenCount(5), .ceiling = TokenCount(9)};
  TestStore store;
  store.SetMaxAppendBytes(400);
  const auto owner = StartOwner(store, 1);
  store.Run(kSettleTime);
  Record large = TurnRecord("large");
  large.spend = spend;
  large.turn->input = std::string(1000, 'x');
  std::optional<bool> durable;
  owner->Append(large, [&](bool result) { durable = result; });
  const auto behind = AppendTurn(owner, "behind");
  store.Run(kSettleTime);
  BOOST_TEST((durable == std::optional<bool>(false)));
  BOOST_TEST((*behind == std::optional<bool>(true)));
  BOOST_TEST(!owner->stalled());
  const auto next = StartOwner(store, 2);
  store.Run(kSettleTime);
  BOOST_TEST(!HasTurn(next, "large"));
  BOOST_TEST(HasTurn(next, "behind"));
  BOOST_TEST(next->ledger().program_count() == 1U);
}

// Guards against turns that are recorded in further partitions because the append of a large record
// takes its time.
BOOST_AUTO_TEST_CASE(backlog_is_known) {
  TestStore store;
  const auto owner = StartOwner(store, 1, {.bytes_per_second = 1'000'000});
  Record large = TurnRecord("large");
  large.turn->input = std::string(500'000, 'x');
  owner->Append(large, [](bool) {});
  BOOST_TEST((owner->BacklogTime() >= std::chrono::milliseconds(500)));
  BOOST_TEST((owner->BacklogTime() < std::chrono::milliseconds(510)));
  store.Run(kSettleTime);
  BOOST_TEST((owner->BacklogTime() == Duration(0)));
}

// Guards against a turn that is written twice, or reported as lost, when the store's response is
// lost.
BOOST_AUTO_TEST_CASE(append_is_repeated_after_a_lost_response_without_a_second_record) {
  TestStore store;
  const auto owner = StartOwner(store, 1);
  store.Run(kSettleTime);
  const std::size_t empty_size = store.size(kPartition);
  store.SetAppendOutcomes(
      {TestStore::AppendOutcome::kLoseResponse, TestStore::AppendOutcome::kRefuse});
  const auto result = AppendTurn(owner, "a");
  store.Run(kSettleTime);
  BOOST_TEST((*result == std::optional<bool>(true)));
  BOOST_TEST(store.size(kPartition) - empty_size == 1U);
}

// Guards against an append that is executed seconds later, after the partition has moved.
BOOST_AUTO_TEST_CASE(delayed_append_of_a_former_owner_is_rejected) {
  TestStore store;
  const auto former = StartOwner(store, 1);
  store.Run(kSettleTime);
  const std::size_t empty_size = store.size(kPartition);
  store.SetAppendOutcomes({TestStore::AppendOutcome::kDelay});
  AppendTurn(former, "late");
  store.Run(std::chrono::milliseconds(5));
  former->Release();
  const auto next = StartOwner(store, 2);
  store.Run(kSettleTime);
  store.DeliverDelayedAppends();
  BOOST_TEST(store.size(kPartition) == empty_size);
  const auto after = StartOwner(store, 3);
  store.Run(kSettleTime);
  BOOST_TEST(!HasTurn(after, "late"));
}

// Guards against one append per turn under load: queued records are sent in one append.
BOOST_AUTO_TEST_CASE(queued_records_share_an_append) {
  TestStore store;
  const auto owner = StartOwner(store, 1);
  store.Run(kSettleTime);
  const std::size_t before = store.appends();
  const std::size_t empty_size = store.size(kPartition);
  for (int i = 0; i < 50; ++i) {
    AppendTurn(owner, std::to_string(i));
  }
  store.Run(kSettleTime);
  BOOST_TEST(store.appends() - before == 2U);
  BOOST_TEST(store.size(kPartition) - empty_size == 50U);
}

// Guards against an "unknown turn" response from an owner that has not yet noticed its replacement.
BOOST_AUTO_TEST_CASE(confirmation_fails_for_a_replaced_owner) {
  TestStore store;
  const auto former = StartOwner(store, 1);
  store.Run(kSettleTime);
  std::optional<bool> owned;
  former->Confirm([&](bool result) { owned = result; });
  store.Run(kSettleTime);
  BOOST_TEST((owned == std::optional<bool>(true)));
  const auto next = StartOwner(store, 2);
  store.Run(kSettleTime);
  former->Confirm([&](bool result) { owned = result; });
  store.Run(kSettleTime);
  BOOST_TEST((owned == std::optional<bool>(false)));
}

// Guards against live records that the store drops at the end of its retention because they were
// not appended again in time.
BOOST_AUTO_TEST_CASE(live_records_are_rewritten_and_expired_ones_trimmed) {
  TestStore store;
  const PartitionOptions options{.min_trim_records = 1, .rewrite_age = std::chrono::seconds(20)};
  const auto owner = StartOwner(store, 1, options);
  AppendTurn(owner, "a");
  store.Run(kSettleTime);
  for (int i = 0; i < 8; ++i) {
    owner->Maintain();
    store.Run(std::chrono::seconds(5));
  }
  const auto next = StartOwner(store, 2, options);
  store.Run(kSettleTime);
  BOOST_TEST(HasTurn(next, "a"));
  BOOST_TEST(store.size(kPartition) == 1U);
  for (int i = 0; i < 20; ++i) {
    next->Maintain();
    store.Run(std::chrono::seconds(5));
  }
  BOOST_TEST(store.size(kPartition) == 0U);
}

// Guards against turns that were reported as durable but are missing at the next owner, after
// random takeovers, refused appends, lost responses and delayed appends.
BOOST_AUTO_TEST_CASE(acknowledged_turns_survive_random_faults) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    TestStore store;
    store.SetPiecesPerRead(1 + random() % 5);
    std::vector<std::shared_ptr<Partition>> owners = {StartOwner(store, 1)};
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<bool>>>> written;
    for (int step = 0; step < 60; ++step) {
      switch (random() % 6) {
        case 0:
          owners.push_back(StartOwner(store, owners.size() + 1));
          break;
        case 1:
          store.SetAppendOutcomes(
              {TestStore::AppendOutcome::kLoseResponse, TestStore::AppendOutcome::kDelay});
          break;
        case 2:
          store.SetAppendOutcomes(
              {TestStore::AppendOutcome::kRefuse, TestStore::AppendOutcome::kLoseResponse});
          break;
        case 3:
          store.DeliverDelayedAppends();
          break;
        default: {
          // Former owners continue to append, as a daemon does that resumes after a pause.
          const auto& owner =
              owners[owners.size() - 1 - random() % std::min<std::size_t>(2, owners.size())];
          const std::string id = std::to_string(step);
          written.emplace_back(id, AppendTurn(owner, id));
        }
      }
      store.Run(std::chrono::milliseconds(random() % 30));
    }
    store.Run(kSettleTime);
    store.DeliverDelayedAppends();
    const auto last = StartOwner(store, owners.size() + 1);
    store.Run(kSettleTime);
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
