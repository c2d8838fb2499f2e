#include "src/gateway/chain_search.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/gateway/test_daemon.h"

namespace acaciaspring::gateway {

namespace {

const std::string kClusterKey = "key";
constexpr std::uint64_t kChainBytes = 10'000'000;
constexpr Duration kTimeLeft = std::chrono::hours(1);

/// @brief A daemon that announces a long chain and answers the request for it as told.
struct ScriptedSource {
  ScriptedSource(net::Loop& loop, const std::string& id)
      : self{.id = DaemonId(id), .peer_address = net::ReservedAddress()},
        listener(
            loop,
            self.peer_address,
            kClusterKey,
            [this](net::PeerConnectionPtr accepted) {
              connection = std::move(accepted);
              return net::PeerCallbacks{
                  .on_message = [this](std::string_view payload) { OnMessage(payload); }};
            },
            resources) {}

  void OnMessage(std::string_view payload) {
    const PeerMessage message = DecodePeerMessage(payload);
    if (const auto* query = std::get_if<ChainQuery>(&message)) {
      Send({.exchange = query->exchange, .chain_bytes = kChainBytes});
    } else if (const auto* fetch = std::get_if<ChainFetch>(&message)) {
      ++fetches;
      if (answer) {
        ChainReply reply = *answer;
        reply.exchange = fetch->exchange;
        Send(reply);
      } else {
        connection->Close();
      }
    }
  }
  void Send(const ChainReply& reply) const {
    connection->Send(StreamOf(reply), EncodePeerMessage(reply));
  }

  Member self;
  net::PeerResources resources;
  net::PeerConnectionPtr connection;
  net::PeerListener listener;
  /// Closes the connection instead if it is not set.
  std::optional<ChainReply> answer;
  int fetches = 0;
};

struct Fixture {
  /// @brief Searches while the sources are connected. The time left is too long to wait for.
  ChainSearchResult Find() {
    links.SetMembers({sources[0].self, sources[1].self});
    RunUntil(loop, store, [&] { return links.OpenPeers().size() == 2; });
    std::optional<ChainSearchResult> result;
    search.Find(ledger::TurnId("t"), loop.Now() + kTimeLeft,
                [&](ChainSearchResult found) { result = std::move(found); });
    RunUntil(loop, store, [&] { return result.has_value(); });
    return *result;
  }

  net::Loop loop;
  ledger::TestStore store;
  Context context{loop,
                  {.self = {.id = DaemonId("self"), .peer_address = net::ReservedAddress()},
                   .partition_count = kPartitionCount,
                   .headers = MakeTestHeaderNames()}};
  Ownership ownership{context, store, [] {}};
  ScriptedSource sources[2] = {{loop, "a"}, {loop, "b"}};
  PeerLinks links{
      context,
      kClusterKey,
      {.on_message =
           [this](const DaemonId& daemon, PeerMessage message, const ReplyFunction&) {
             if (auto* reply = std::get_if<ChainReply>(&message)) {
               search.OnReply(daemon, std::move(*reply));
             }
           },
       .on_connected = [](const DaemonId&) {},
       .on_disconnected = [this](const DaemonId& daemon) { search.OnPeerDisconnected(daemon); },
       .on_exited = [](const Member&) {},
       .on_requester_disconnected = [](const DaemonId&) {}}};
  ChainSearch search{context, ownership, [this] { return &links; }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(chain_search, Fixture)

// Guards against a long chain that is sent by every daemon that has it.
BOOST_AUTO_TEST_CASE(chain_is_fetched_from_one_daemon) {
  for (ScriptedSource& source : sources) {
    source.answer = ChainReply{.turns = {{.id = ledger::TurnId("t")}}};
  }
  BOOST_TEST(std::holds_alternative<ChainFound>(Find()));
  BOOST_TEST(sources[0].fetches + sources[1].fetches == 1);
}

// Guards against a turn that fails although a second daemon has its chain.
BOOST_AUTO_TEST_CASE(next_daemon_is_asked_when_the_first_releases_the_chain) {
  sources[0].answer = ChainReply{.fault = "partition_released"};
  sources[1].answer = ChainReply{.turns = {{.id = ledger::TurnId("t")}}};
  BOOST_TEST(std::holds_alternative<ChainFound>(Find()));
  BOOST_TEST(sources[1].fetches == 1);
}

// Guards against a turn that waits until its deadline for a chain that no daemon sends.
BOOST_AUTO_TEST_CASE(search_ends_when_the_daemons_that_have_the_chain_are_lost) {
  BOOST_TEST(std::holds_alternative<ChainSearchIncomplete>(Find()));
  BOOST_TEST(sources[0].fetches + sources[1].fetches == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
