#include "src/gateway/turn_run.h"

#include <boost/test/unit_test.hpp>

#include "src/gateway/test_daemon.h"

namespace acaciaspring::gateway {

namespace {

std::vector<std::string> Ids(const std::vector<ledger::Turn>& turns) {
  std::vector<std::string> ids;
  for (const ledger::Turn& turn : turns) {
    ids.push_back(turn.id.value());
  }
  return ids;
}

struct Fixture {
  Fixture() { daemon.Assign(1); }

  /// @brief Runs a turn whose requests to other daemons are stored and not answered.
  std::shared_ptr<TurnRun> Start(const std::string& id,
                                 const std::string& previous,
                                 std::uint64_t maximum = kTurnTokens,
                                 std::uint64_t budget = 100 * kTurnTokens) {
    TurnRequest turn = MakeTurnRequest(program, id, previous, budget);
    turn.program.max_output = TokenCount(maximum);
    auto run = std::make_shared<TurnRun>(
        daemon.context, partition(), std::move(turn),
        TurnDependencies{.preferred_endpoint = [](const auto&) { return EndpointId(); },
                         .remember_endpoint = [](const auto&, const auto&) {},
                         .commit_at_next_owner =
                             [this](const CommitRequest& request, MonotonicTime,
                                    std::function<void(bool)> on_done) {
                               if (!request.turns.empty()) {
                                 commit_requests.push_back(request);
                               } else {
                                 spend_requests.push_back(request);
                                 on_spend_recorded = std::move(on_done);
                               }
                             },
                         .record_in_any_partition =
                             [this](const CommitRequest& request, MonotonicTime,
                                    std::function<void(bool)> on_done) {
                               any_partition_requests.push_back(request);
                               on_recorded = std::move(on_done);
                               return [this] { ++cancelled; };
                             }},
        sink, [] {});
    run->Start();
    return run;
  }
  void Until(const std::function<bool()>& condition) { RunUntil(loop, store, condition); }
  std::shared_ptr<ledger::Partition> partition() const {
    return daemon.ownership.FindServing(ledger::PartitionOf(program, kPartitionCount));
  }
  /// @brief Lets the next owner record the last request for tokens.
  void ConfirmSpend() { std::exchange(on_spend_recorded, nullptr)(true); }
  void AddTurnOfAnotherPartition(const std::string& id) {
    partition()->ledger().AddRecordedElsewhere(
        {{.id = ledger::TurnId(id), .input = "i", .output = "o"}});
  }

  net::Loop loop;
  ledger::TestStore store;
  FakeEngine engine{loop};
  TestDaemon daemon{loop, store, engine};
  ProgramId program{"p"};
  std::shared_ptr<RecordingSink> sink = std::make_shared<RecordingSink>();
  std::vector<CommitRequest> commit_requests;
  /// Requests to reserve or to count tokens, and the callback of the last one.
  std::vector<CommitRequest> spend_requests;
  std::function<void(bool)> on_spend_recorded;
  std::vector<CommitRequest> any_partition_requests;
  std::function<void(bool)> on_recorded;
  int cancelled = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(turn_run, Fixture)

// Guards against a chain that is spread over partitions, so that no daemon can assemble it: the
// previous turn is recorded in another partition, and only this turn reaches the next owner.
BOOST_AUTO_TEST_CASE(next_owner_gets_missing_turns) {
  AddTurnOfAnotherPartition("t1");
  const auto run = Start("t2", "t1");
  partition()->Release();
  Until([&] { return !commit_requests.empty(); });
  BOOST_TEST(Ids(commit_requests.front().turns) == (std::vector<std::string>{"t1", "t2"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(next_owner_does_not_get_recorded_turns) {
  partition()->Append({.turn = ledger::Turn{.id = ledger::TurnId("t1")}}, [](bool) {});
  store.Run(std::chrono::seconds(1));
  const auto run = Start("t2", "t1");
  partition()->Release();
  Until([&] { return !commit_requests.empty(); });
  BOOST_TEST(Ids(commit_requests.front().turns) == (std::vector<std::string>{"t2"}),
             boost::test_tools::per_element());
}

// Guards against reordered events when a turn has to wait in the middle of its stream: the
// partition is unavailable, so the latest event is delayed, and the claim's extension needs a
// record.
BOOST_AUTO_TEST_CASE(events_keep_their_order_while_a_claim_is_extended) {
  constexpr std::uint64_t kMaximum = 3 * kTurnTokens;
  engine.hold_responses = true;
  const auto own_partition = partition();
  own_partition->ledger().Admit({.program = program,
                                 .budget = TokenCount(100 * kTurnTokens),
                                 .maximum = TokenCount(kMaximum)},
                                loop.Now());
  store.SetPartitionUnavailable(own_partition->id(), true);
  own_partition->Append({.turn = ledger::Turn{.id = ledger::TurnId("other")}}, [](bool) {});
  Until([&] { return own_partition->stalled(); });
  const auto run = Start("t1", "", kMaximum);
  Until([&] { return engine.held_response != nullptr; });
  engine.held_response->Start(200, {{"content-type", "text/event-stream"}});
  engine.held_response->Write("data: a\n\n");
  Until([&] { return sink->status() == 200; });
  engine.held_response->Write("data: b\n\n");
  engine.held_response->Write("data: c\n\n");
  engine.held_response->End();
  Until([&] { return run->waits_for_record(); });
  store.SetPartitionUnavailable(own_partition->id(), false);
  Until([&] { return sink->finished(); });
  BOOST_TEST(sink->ended());
  BOOST_TEST(sink->data() == "data: a\n\ndata: b\n\ndata: c\n\n");
}

// The store turns the owner away from a turn that began without waiting for its record. Guards
// against a next owner that counts the tokens of the claim's extension twice, and then refuses the
// program's other turns.
BOOST_AUTO_TEST_CASE(next_owner_counts_each_token_once) {
  constexpr std::uint64_t kMaximum = 3 * kTurnTokens;
  engine.hold_responses = true;
  const auto own_partition = partition();
  store.SetPartitionUnavailable(own_partition->id(), true);
  own_partition->ledger().Admit({.program = program,
                                 .budget = TokenCount(100 * kTurnTokens),
                                 .maximum = TokenCount(kMaximum)},
                                loop.Now());
  const auto run = Start("t1", "", kMaximum);
  Until([&] { return engine.held_response != nullptr; });
  engine.held_response->Start(200, {{"content-type", "text/event-stream"}});
  engine.held_response->Write("data: a\n\ndata: b\n\ndata: c\n\n");
  engine.held_response->End();
  Until([&] { return run->waits_for_record(); });
  own_partition->Release();
  Until([&] { return !spend_requests.empty(); });
  BOOST_TEST(spend_requests.back().reserved_tokens.value() == 2 * kTurnTokens);
  ConfirmSpend();
  Until([&] { return spend_requests.size() == 2; });
  BOOST_TEST(spend_requests.back().used_tokens.value() == kTurnTokens);
}

// A turn uses up its share while the hand-over of its partition is being recorded, which covers the
// whole turn. Guards against a next owner that is asked for the tokens once more: it has none left
// and the turn is broken off, or it counts them twice.
BOOST_AUTO_TEST_CASE(turn_that_needs_a_record_during_a_handover_is_covered_by_it) {
  constexpr std::uint64_t kMaximum = 3 * kTurnTokens;
  // Too little to reserve tokens ahead.
  constexpr std::uint64_t kBudget = 2 * kMaximum;
  engine.hold_responses = true;
  // At the first owner, the turn runs ahead of its record; at the second one, it waits for it.
  for (const std::uint64_t epoch : {1, 2}) {
    daemon.Assign(epoch);
    const auto own_partition = partition();
    sink = std::make_shared<RecordingSink>();
    engine.held_response.reset();
    commit_requests.clear();
    program = ProgramId("p");
    const auto run = Start("t" + std::to_string(epoch), "", kMaximum, kBudget);
    Until([&] { return engine.held_response != nullptr; });
    engine.held_response->Start(200, {{"content-type", "text/event-stream"}});
    engine.held_response->Write("data: a\n\n");
    Until([&] { return !sink->data().empty(); });
    bool recorded = false;
    own_partition->HandOver([&](bool durable) {
      recorded = durable;
      own_partition->Release();
    });
    engine.held_response->Write("data: b\n\ndata: c\n\n");
    engine.held_response->End();
    const std::string whole = "data: a\n\ndata: b\n\ndata: c\n\n";
    net::RunUntil(loop, [&] { return run->waits_for_record() || sink->data() == whole; });
    BOOST_TEST(run->waits_for_record() == (epoch == 2));
    Until([&] { return recorded && !(commit_requests.empty() && spend_requests.empty()); });
    BOOST_TEST(sink->data() == whole);
    BOOST_TEST(spend_requests.empty());
  }
}

// Guards against requests without end for an engine that sends more than the maximum of the turn
// while the turn waits for its next owner.
BOOST_AUTO_TEST_CASE(turn_beyond_its_maximum_asks_for_no_more_tokens) {
  engine.hold_responses = true;
  daemon.Assign(2);
  const auto own_partition = partition();
  store.SetPartitionUnavailable(own_partition->id(), true);
  const auto run = Start("t1", "");
  Until([&] { return engine.held_response != nullptr; });
  engine.held_response->Start(200, {{"content-type", "text/event-stream"}});
  engine.held_response->Write("data: a\n\ndata: b\n\n");
  engine.held_response->End();
  Until([&] { return run->waits_for_record(); });
  own_partition->Release();
  for (std::size_t requests = 1; requests <= 2; ++requests) {
    Until([&] { return spend_requests.size() == requests; });
    BOOST_TEST(spend_requests.back().reserved_tokens > TokenCount());
    ConfirmSpend();
  }
  Until([&] { return !commit_requests.empty(); });
  BOOST_TEST(sink->data() == "data: a\n\ndata: b\n\n");
  BOOST_TEST(spend_requests.size() == 2U);
}

// Guards against work at other daemons for a turn that is already durable.
BOOST_AUTO_TEST_CASE(any_partition_request_is_cancelled_when_the_turn_ends) {
  const auto run = Start("t1", "");
  store.SetPartitionUnavailable(partition()->id(), true);
  Until([&] { return !any_partition_requests.empty(); });
  BOOST_TEST(!sink->finished());
  store.SetPartitionUnavailable(partition()->id(), false);
  Until([&] { return sink->finished(); });
  BOOST_TEST(sink->ended());
  BOOST_TEST(cancelled == 1);
}

// Guards against a stream that ends although no daemon could record its turn.
BOOST_AUTO_TEST_CASE(failed_any_partition_record_does_not_end_the_stream) {
  const auto run = Start("t1", "");
  store.SetPartitionUnavailable(partition()->id(), true);
  Until([&] { return !any_partition_requests.empty(); });
  on_recorded(false);
  BOOST_TEST(!sink->finished());
  store.SetPartitionUnavailable(partition()->id(), false);
  Until([&] { return sink->finished(); });
  BOOST_TEST(sink->ended());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
