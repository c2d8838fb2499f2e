#include "src/gateway/turn_router.h"

#include <boost/test/unit_test.hpp>
#include <list>

#include "src/gateway/test_daemon.h"

namespace acaciaspring::gateway {

namespace {

// Longer than the 300 ms after which a turn is recorded in any partition.
constexpr Duration kAnyPartitionWait = std::chrono::milliseconds(700);

struct Fixture {
  Fixture() { daemon->Assign(1); }

  std::shared_ptr<RecordingSink> Submit(const std::string& id,
                                        const std::string& previous = "",
                                        std::uint64_t budget = 10 * kTurnTokens) {
    auto sink = std::make_shared<RecordingSink>();
    daemon->router.Submit(MakeTurnRequest(program, id, previous, budget), sink);
    return sink;
  }
  void Until(const std::function<bool()>& condition) { RunUntil(loop, store, condition); }
  void RunToEnd(const std::shared_ptr<RecordingSink>& sink) {
    Until([&] { return sink->finished(); });
  }
  void Wait(Duration duration) {
    const MonotonicTime end = loop.Now() + duration;
    Until([&] { return loop.Now() >= end; });
  }
  void SetAllUnavailable(bool unavailable) {
    for (std::uint32_t id = 0; id < kPartitionCount; ++id) {
      store.SetPartitionUnavailable(ledger::PartitionId(id), unavailable);
    }
  }
  /// @brief Another daemon takes over all partitions, as after a crash of the current one.
  void ReplaceDaemon(std::uint64_t epoch) {
    former_daemons.push_back(std::move(daemon));
    daemon = std::make_unique<TestDaemon>(loop, store, engine);
    daemon->Assign(epoch);
  }
  ledger::PartitionId program_partition() const {
    return ledger::PartitionOf(program, kPartitionCount);
  }

  net::Loop loop;
  ledger::TestStore store;
  FakeEngine engine{loop};
  ProgramId program{"p"};
  std::unique_ptr<TestDaemon> daemon = std::make_unique<TestDaemon>(loop, store, engine);
  std::list<std::unique_ptr<TestDaemon>> former_daemons;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(turn_router, Fixture)

// Guards against a response that ends before its turn is durable, and against events that are
// delayed until then.
BOOST_AUTO_TEST_CASE(stream_ends_after_turn_is_durable) {
  const auto sink = Submit("t1");
  net::RunUntil(loop, [&] { return !sink->data().empty(); });
  BOOST_TEST(!sink->finished());
  RunToEnd(sink);
  BOOST_TEST(sink->ended());
  BOOST_TEST(sink->data() == "data: o1\n\n");
}

BOOST_AUTO_TEST_CASE(next_turn_gets_the_whole_chain) {
  RunToEnd(Submit("t1"));
  RunToEnd(Submit("t2", "t1"));
  const auto sink = Submit("t3", "t2");
  RunToEnd(sink);
  BOOST_TEST(sink->ended());
  BOOST_TEST(engine.request_bodies.back() == "it1\no1\nit2\no2\nit3\n");
}

BOOST_AUTO_TEST_CASE(unknown_previous_turn_is_rejected) {
  const auto sink = Submit("t2", "t1");
  RunToEnd(sink);
  BOOST_TEST(sink->status() == 404);
  BOOST_TEST(engine.request_bodies.empty());
}

// Guards against status 404 for a turn that may exist in a partition that cannot be searched.
BOOST_AUTO_TEST_CASE(unknown_turn_is_not_reported_while_a_partition_is_unavailable) {
  store.SetPartitionUnavailable(
      ledger::PartitionId((program_partition().value() + 1) % kPartitionCount), true);
  const auto sink = Submit("t2", "t1");
  RunToEnd(sink);
  BOOST_TEST(sink->status() == 503);
}

// Scenario: a third of the store's partitions are unavailable for some seconds. Guards against
// programs whose turns wait for the end of the outage.
BOOST_AUTO_TEST_CASE(program_continues_while_its_partition_is_unavailable) {
  RunToEnd(Submit("t1"));
  store.SetPartitionUnavailable(program_partition(), true);
  RunToEnd(Submit("t2", "t1"));
  const auto sink = Submit("t3", "t2");
  RunToEnd(sink);
  BOOST_TEST(sink->ended());
  BOOST_TEST(engine.request_bodies.back() == "it1\no1\nit2\no2\nit3\n");
}

// Guards against the loss of a turn that was answered completely while its partition was
// unavailable, when the daemon stops before the partition is available again.
BOOST_AUTO_TEST_CASE(turn_recorded_in_another_partition_survives_daemon_loss) {
  RunToEnd(Submit("t1"));
  store.SetPartitionUnavailable(program_partition(), true);
  RunToEnd(Submit("t2", "t1"));
  store.SetPartitionUnavailable(program_partition(), false);
  ReplaceDaemon(2);
  const auto sink = Submit("t3", "t2");
  RunToEnd(sink);
  BOOST_TEST(sink->ended());
  BOOST_TEST(engine.request_bodies.back() == "it1\no1\nit2\no2\nit3\n");
}

// Guards against a response that ends although no partition has recorded its turn.
BOOST_AUTO_TEST_CASE(stream_does_not_end_while_every_partition_is_unavailable) {
  RunToEnd(Submit("t1"));
  SetAllUnavailable(true);
  const auto sink = Submit("t2", "t1");
  Wait(kAnyPartitionWait);
  BOOST_TEST(!sink->finished());
  SetAllUnavailable(false);
  RunToEnd(sink);
  BOOST_TEST(sink->ended());
}

// Guards against a budget that is exceeded by more than one turn: spending is recorded only in the
// program's own partition, so turns must not go beyond the recorded ceiling.
BOOST_AUTO_TEST_CASE(turns_beyond_the_recorded_ceiling_wait_for_the_partition) {
  store.SetPartitionUnavailable(program_partition(), true);
  const auto first = Submit("t1", "", 4 * kTurnTokens);
  RunToEnd(first);
  BOOST_TEST(first->ended());
  const auto second = Submit("t2", "t1", 4 * kTurnTokens);
  Wait(kAnyPartitionWait);
  BOOST_TEST(second->data().empty());
  BOOST_TEST(!second->finished());
  store.SetPartitionUnavailable(program_partition(), false);
  RunToEnd(second);
  BOOST_TEST(second->ended());
}

// Guards against exceeding the budget after the loss of a daemon with unrecorded spending.
BOOST_AUTO_TEST_CASE(budget_holds_when_a_daemon_is_lost_while_the_partition_is_unavailable) {
  constexpr std::uint64_t kBudget = 3 * kTurnTokens;
  std::string previous;
  std::uint64_t tokens = 0;
  for (int i = 1; i <= 8; ++i) {
    const std::string id = "t" + std::to_string(i);
    store.SetPartitionUnavailable(program_partition(), i == 2);
    const auto sink = Submit(id, previous, kBudget);
    RunToEnd(sink);
    if (!sink->ended()) {
      BOOST_TEST(sink->status() == 402);
      break;
    }
    tokens += kTurnTokens;
    previous = id;
    if (i == 2) {
      store.SetPartitionUnavailable(program_partition(), false);
      ReplaceDaemon(2);
    }
  }
  BOOST_TEST(tokens <= kBudget + kTurnTokens);
}

// Guards against a budget that counts one event too many for a broken turn whose last event is
// whole, because its blank line came in a read of its own or its lines end with CRLF.
BOOST_AUTO_TEST_CASE(whole_events_of_a_broken_turn_are_counted_once) {
  const std::vector<std::vector<std::string>> streams = {
      {"data: a\n\n"}, {"data: a\n", "\n"}, {"data: a\r\n\r\n"}, {"data: a\r\n\r", "\n"}};
  for (std::size_t i = 0; i < streams.size(); ++i) {
    program = ProgramId("p" + std::to_string(i));
    engine.hold_responses = true;
    engine.held_response.reset();
    const auto broken = Submit("broken" + std::to_string(i), "", 2 * kTurnTokens);
    Until([&] { return engine.held_response != nullptr; });
    engine.held_response->Start(200, {{"content-type", "text/event-stream"}});
    std::string sent;
    for (const std::string& part : streams[i]) {
      engine.held_response->Write(part);
      sent += part;
      Until([&] { return broken->data() == sent; });
    }
    engine.held_response->Abort();
    RunToEnd(broken);
    BOOST_TEST(!broken->aborted().empty());
    engine.hold_responses = false;
    const auto next = Submit("next" + std::to_string(i), "", 2 * kTurnTokens);
    RunToEnd(next);
    BOOST_TEST(next->status() == 200, sent);
  }
}

// Guards against a stream that is executed twice.
BOOST_AUTO_TEST_CASE(interrupted_turn_is_not_retried) {
  engine.abort_responses = true;
  const auto sink = Submit("t1");
  RunToEnd(sink);
  BOOST_TEST(engine.request_bodies.size() == 1U);
  BOOST_TEST(sink->status() == 502);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
