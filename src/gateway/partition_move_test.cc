#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/gateway/test_cluster.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::uint64_t kTokensPerEvent = kClusterMaxOutput / 2;
// Three turns at their maximum and a half.
constexpr std::uint64_t kBudget = 3 * kClusterMaxOutput + kTokensPerEvent;
const std::string kWholeTurn = "data: e\n\ndata: e\n\n";

/// @brief Two daemons before an engine that begins each response at once and holds its events.
struct Fixture {
  Fixture() {
    cluster.Configure({.version = ConfigurationVersion(1),
                       .routes = {{.name = "turns",
                                   .host = "h",
                                   .path_prefix = "/",
                                   .kind = RequestKind::kStream,
                                   .timeout = Duration(std::chrono::hours(1)),
                                   .services = {{.service = ServiceId("engines")}},
                                   .max_attempts = 1,
                                   .retained = true,
                                   .retention = std::chrono::seconds(60)}},
                       .services = {{.id = ServiceId("engines"),
                                     .tokens_per_event = TokenCount(kTokensPerEvent)}}},
                      {{.id = EndpointId("e"),
                        .service = ServiceId("engines"),
                        .address = engine.address(),
                        .slots = 20}});
    // Both daemons know the owner once a turn has been forwarded to it.
    const auto first = Start(1, "first", "another");
    EndAll();
    Until([&] { return TestCluster::IsOver(*first); });
  }

  void Until(const std::function<bool()>& condition) { cluster.Until(condition); }
  /// @brief Sends a turn of the program and waits until the engine runs it or it is refused.
  std::unique_ptr<net::RawConnection> Start(std::size_t daemon,
                                            const std::string& id,
                                            const std::string& program = "p") {
    auto caller = cluster.Send(daemon, "/turn",
                               "x-id: " + id + "\r\nx-program: " + program +
                                   "\r\nx-budget: " + std::to_string(budget) + "\r\n",
                               "i");
    Until([&] { return running.contains(id) || TestCluster::IsOver(*caller); });
    return caller;
  }
  /// @brief Moves all partitions as the member group does: the new owner is told once the former
  /// one has released them.
  void Move(std::size_t from, std::size_t to, std::uint64_t generation) {
    bool released = false;
    cluster.daemons.at(from)->gateway.SetAssignment({}, ledger::OwnerEpoch(generation),
                                                    [&] { released = true; });
    Until([&] { return released; });
    AssignAll(to, generation);
  }
  void AssignAll(std::size_t daemon, std::uint64_t generation) {
    std::vector<AssignedPartition> assigned;
    for (std::uint32_t id = 0; id < kClusterPartitions; ++id) {
      assigned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(generation)});
    }
    cluster.daemons.at(daemon)->gateway.SetAssignment(assigned, ledger::OwnerEpoch(generation),
                                                      [] {});
  }
  void SetAllUnavailable(bool unavailable) {
    for (std::uint32_t id = 0; id < kClusterPartitions; ++id) {
      cluster.store.SetPartitionUnavailable(ledger::PartitionId(id), unavailable);
    }
  }
  /// @brief Ends all turns at the engine, each after `events` events.
  void EndAll(int events = 2) {
    for (const auto& [id, responder] : std::exchange(running, {})) {
      for (int i = 0; i < events; ++i) {
        responder->Write("data: e\n\n");
      }
      responder->End();
    }
  }
  /// @brief Starts turns until one is refused; returns those that run.
  std::vector<std::unique_ptr<net::RawConnection>> StartUntilSpent(std::size_t daemon) {
    std::vector<std::unique_ptr<net::RawConnection>> callers;
    for (;;) {
      auto caller = Start(daemon, "t" + std::to_string(++started));
      if (ParseResponse(*caller).status == 402) {
        return callers;
      }
      callers.push_back(std::move(caller));
    }
  }

  TestCluster cluster;
  int started = 0;
  std::uint64_t budget = kBudget;
  std::map<std::string, net::HttpResponderPtr> running;
  net::HttpServer engine{
      cluster.loop,
      {.listen = net::kAnyLoopbackPort},
      [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
        const std::string id(net::FindHeader(request.headers, "x-id"));
        responder->Start(200, {{"x-id", id}, {"content-type", "text/event-stream"}});
        running[id] = responder;
      }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partition_move, Fixture)

// Guards against a turn that is broken off when another daemon starts: the new owner of its
// partition admits further turns, and then has no tokens for the rest of this one.
BOOST_AUTO_TEST_CASE(running_turns_keep_their_tokens_when_their_partition_is_reassigned) {
  const auto turns = StartUntilSpent(0);
  BOOST_TEST(turns.size() == 3U);
  Move(0, 1, 2);
  const auto others = StartUntilSpent(1);
  BOOST_TEST(others.empty());
  EndAll();
  for (const auto& turn : turns) {
    Until([&] { return TestCluster::IsOver(*turn); });
    BOOST_TEST(ParseResponse(*turn).whole);
    BOOST_TEST(ParseResponse(*turn).body == kWholeTurn);
  }
}

// The same with turns that reach their owner through another daemon, and with a partition that
// moves back while they still run.
BOOST_AUTO_TEST_CASE(running_turns_keep_their_tokens_when_their_partition_moves_twice) {
  const auto turns = StartUntilSpent(1);
  BOOST_TEST(turns.size() == 3U);
  Move(0, 1, 2);
  Move(1, 0, 3);
  BOOST_TEST(StartUntilSpent(0).empty());
  EndAll();
  for (const auto& turn : turns) {
    Until([&] { return TestCluster::IsOver(*turn); });
    BOOST_TEST(ParseResponse(*turn).whole);
    BOOST_TEST(ParseResponse(*turn).body == kWholeTurn);
  }
}

// The store turns the owner away while sub-agents run side by side. Guards against tokens beyond
// what the record covers for which a turn has waited: nobody counts them, and the program exceeds
// its budget.
BOOST_AUTO_TEST_CASE(turns_that_waited_for_a_record_hand_out_what_it_covers) {
  constexpr std::size_t kSubAgents = 12;
  budget = kSubAgents * kClusterMaxOutput + kTokensPerEvent;
  SetAllUnavailable(true);
  const auto turns = StartUntilSpent(0);
  BOOST_TEST(turns.size() == kSubAgents);
  EndAll();
  const auto is_whole = [](const auto& turn) { return ParseResponse(*turn).whole; };
  BOOST_TEST(std::none_of(turns.begin(), turns.end(), is_whole));
  bool released = false;
  cluster.daemons[0]->gateway.SetAssignment({}, ledger::OwnerEpoch(2), [&] { released = true; });
  Until([&] { return released; });
  SetAllUnavailable(false);
  AssignAll(1, 2);
  Until([&] { return std::all_of(turns.begin(), turns.end(), is_whole); });
  for (const auto& turn : turns) {
    BOOST_TEST(ParseResponse(*turn).body == kWholeTurn);
  }
  const auto others = StartUntilSpent(1);
  BOOST_TEST((turns.size() + others.size()) * kClusterMaxOutput <= budget + kClusterMaxOutput);
}

// Guards against tokens that are lost to a program because its former owner had reserved them
// ahead: what is left of the budget after a move is what the turns have not used.
BOOST_AUTO_TEST_CASE(nothing_stays_reserved_ahead_when_a_partition_moves) {
  const auto turn = Start(0, "turn");
  EndAll(1);
  Until([&] { return TestCluster::IsOver(*turn); });
  Move(0, 1, 2);
  BOOST_TEST(StartUntilSpent(1).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
