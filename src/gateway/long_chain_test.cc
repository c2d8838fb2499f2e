#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/gateway/test_cluster.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kInputBytes = 3'500'000;
const std::string kEvent = "data: e\n\n";

/// @brief Two daemons, each with half of the partitions, before an engine that can hold its
/// responses.
struct Fixture {
  Fixture() {
    cluster.Configure(
        {.version = ConfigurationVersion(1),
         .routes = {{.name = "turns",
                     .host = "h",
                     .path_prefix = "/",
                     .kind = RequestKind::kStream,
                     .timeout = Duration(std::chrono::hours(1)),
                     .services = {{.service = ServiceId("engines")}},
                     .max_attempts = 1,
                     .retained = true,
                     .retention = std::chrono::seconds(600)}},
         .services = {{.id = ServiceId("engines"), .tokens_per_event = TokenCount(1)}}},
        {{.id = EndpointId("e"),
          .service = ServiceId("engines"),
          .address = engine.address(),
          .slots = 50}});
    for (const auto& daemon : cluster.daemons) {
      daemon->server.SetLimits(std::size_t{16} << 20, std::chrono::seconds(30));
    }
    Assign(0, {0, 1}, 2);
    Assign(1, {2, 3}, 2);
    // Each daemon knows which partitions the other one owns once it has forwarded a turn.
    Complete(0, "f0", ProgramOf(2), "", "i");
    Complete(1, "f1", ProgramOf(0), "", "i");
  }

  void Assign(std::size_t daemon, const std::vector<std::uint32_t>& ids, std::uint64_t epoch) {
    std::vector<AssignedPartition> assigned;
    for (const std::uint32_t id : ids) {
      assigned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(epoch)});
    }
    cluster.daemons.at(daemon)->gateway.SetAssignment(assigned, ledger::OwnerEpoch(epoch), [] {});
  }
  /// @brief A program whose turns are stored in the partition.
  std::string ProgramOf(std::uint32_t partition) {
    for (;;) {
      std::string program = "p" + std::to_string(++programs);
      if (ledger::PartitionOf(ProgramId(program), kClusterPartitions) ==
          ledger::PartitionId(partition)) {
        return program;
      }
    }
  }
  std::unique_ptr<net::RawConnection> Start(std::size_t daemon,
                                            const std::string& id,
                                            const std::string& program,
                                            const std::string& previous,
                                            const std::string& input) {
    return cluster.Send(
        daemon, "/turn",
        "x-id: " + id + "\r\nx-program: " + program + "\r\nx-previous: " + previous + "\r\n",
        input);
  }
  ReadResponse Complete(std::size_t daemon,
                        const std::string& id,
                        const std::string& program,
                        const std::string& previous,
                        const std::string& input) {
    const auto caller = Start(daemon, id, program, previous, input);
    cluster.Until([&] { return TestCluster::IsOver(*caller); });
    return ParseResponse(*caller);
  }
  /// @brief Runs a conversation at the first daemon. Returns the id of its last turn.
  std::string Converse(int turns, std::size_t input_bytes) {
    const std::string program = ProgramOf(0);
    std::string previous;
    for (int i = 0; i < turns; ++i) {
      const std::string id = "c" + std::to_string(i);
      const std::string input(input_bytes, static_cast<char>('a' + i % 26));
      BOOST_REQUIRE(Complete(0, id, program, previous, input).whole);
      previous = id;
      chain += input + "e\n";
    }
    return previous;
  }

  TestCluster cluster;
  int programs = 0;
  /// What an engine is to receive before the input of the next turn.
  std::string chain;
  std::map<std::string, std::string> bodies;
  bool hold = false;
  std::map<std::string, net::HttpResponderPtr> held;
  net::HttpServer engine{
      cluster.loop,
      {.listen = net::kAnyLoopbackPort, .max_body_bytes = std::size_t{64} << 20},
      [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
        const std::string id(net::FindHeader(request.headers, "x-id"));
        bodies[id] = request.body;
        if (hold) {
          held[id] = responder;
        } else {
          responder->Respond(200, {{"x-id", id}, {"content-type", "text/event-stream"}}, kEvent);
        }
      }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(long_chain, Fixture)

// Guards against conversations that programs of other daemons can't continue because their turns
// together exceed one frame between daemons.
BOOST_AUTO_TEST_CASE(chain_of_many_frames_is_continued_at_another_daemon) {
  const std::string last = Converse(3, kInputBytes);
  const ReadResponse response = Complete(1, "next", ProgramOf(2), last, "and?");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.whole);
  BOOST_TEST((bodies["next"] == chain + "and?"));
}

// The same with a conversation of many turns, and with a turn that reaches the owner of its program
// through the daemon that has the conversation.
BOOST_AUTO_TEST_CASE(chain_of_many_turns_is_continued_through_another_daemon) {
  const std::string last = Converse(90, 100'000);
  const ReadResponse response = Complete(0, "next", ProgramOf(3), last, "and?");
  BOOST_TEST(response.status == 200);
  BOOST_TEST((bodies["next"] == chain + "and?"));
}

// Guards against programs that fail because several long chains are sent at the same time.
BOOST_AUTO_TEST_CASE(several_programs_continue_a_long_chain_at_once) {
  const std::string last = Converse(3, kInputBytes);
  std::vector<std::unique_ptr<net::RawConnection>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(Start(1, "next" + std::to_string(i), ProgramOf(2), last, "and?"));
  }
  for (int i = 0; i < 8; ++i) {
    cluster.Until([&] { return TestCluster::IsOver(*callers.at(static_cast<std::size_t>(i))); });
    BOOST_TEST(ParseResponse(*callers.at(static_cast<std::size_t>(i))).status == 200);
    BOOST_TEST((bodies["next" + std::to_string(i)] == chain + "and?"));
  }
}

// Guards against a turn with a long chain that is broken off because its partition moves, or is
// unavailable, while it runs: the next owner is sent the whole chain.
BOOST_AUTO_TEST_CASE(long_chain_is_recorded_by_the_next_owner) {
  const std::string last = Converse(3, kInputBytes);
  hold = true;
  const std::string program = ProgramOf(2);
  const auto caller = Start(1, "next", program, last, "and?");
  cluster.Until([&] { return held.contains("next"); });
  Assign(0, {0, 1, 2, 3}, 3);
  // The former owner learns of the move when the store refuses its record.
  hold = false;
  held["next"]->Respond(200, {{"x-id", "next"}, {"content-type", "text/event-stream"}}, kEvent);
  cluster.Until([&] { return TestCluster::IsOver(*caller); });
  BOOST_TEST(ParseResponse(*caller).whole);
  BOOST_TEST(Complete(0, "after", program, "next", "so").status == 200);
  BOOST_TEST((bodies["after"] == chain + "and?e\nso"));
}

// Guards against a large turn that does not reach the owner of its program.
BOOST_AUTO_TEST_CASE(turn_of_many_frames_is_forwarded) {
  const std::string input(10'000'000, 'x');
  BOOST_TEST(Complete(0, "large", ProgramOf(2), "", input).status == 200);
  BOOST_TEST((bodies["large"] == input));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
