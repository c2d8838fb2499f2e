#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/peer_links.h"
#include "src/gateway/test_daemon.h"

namespace acaciaspring::gateway {

namespace {

const std::string kClusterKey = "key";

Member MakeMember(const std::string& id) {
  return {.id = DaemonId(id), .peer_address = net::ReservedAddress()};
}

/// @brief A daemon that claims all partitions and answers each turn with scripted messages.
struct ScriptedOwner {
  ScriptedOwner(net::Loop& event_loop, Member member, net::Address front)
      : loop(event_loop),
        self(std::move(member)),
        front_address(std::move(front)),
        listener(
            loop,
            self.peer_address,
            kClusterKey,
            [this](net::PeerConnectionPtr connection) { return Accept(std::move(connection)); },
            resources),
        heartbeat(loop.Every(std::chrono::milliseconds(20), [this] { SendStatus(); })) {}

  net::PeerCallbacks Accept(net::PeerConnectionPtr connection) {
    from_front = std::move(connection);
    return {.on_message = [this](std::string_view payload) { OnMessage(payload); }};
  }
  void SendStatus() {
    if (to_front == nullptr) {
      to_front = net::ConnectPeer(loop, front_address, kClusterKey, {}, resources);
      to_front->Send(EncodePeerMessage(PeerHello{.member = self}));
    }
    PeerStatus status{.ready = true};
    for (std::uint32_t id = 0; id < kPartitionCount; ++id) {
      status.owned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(1)});
    }
    to_front->Send(EncodePeerMessage(status));
  }
  void OnMessage(std::string_view payload) {
    const PeerMessage message = DecodePeerMessage(payload);
    if (std::holds_alternative<TurnCancelled>(message)) {
      ++cancelled;
    }
    const auto* request = std::get_if<TurnRequest>(&message);
    if (request == nullptr) {
      return;
    }
    ++requests;
    for (std::size_t i = 0; i < script.size(); ++i) {
      std::visit(Overloaded{[&](auto& typed) requires requires { typed.exchange;
    }
    { typed.exchange = request->exchange; }
    , [](auto&) {}
  },
                 script[i]);
  std::string bytes = EncodePeerMessage(script[i]);
  if (i == malformed) {
    bytes.pop_back();
  }
  from_front->Send(bytes);
}
}  // namespace

net::Loop& loop;
Member self;
net::Address front_address;
std::vector<PeerMessage> script;
/// Index of a message that is sent without its last byte.
std::optional<std::size_t> malformed;
int requests = 0;
int cancelled = 0;
net::PeerResources resources;
net::PeerConnectionPtr from_front;
net::PeerConnectionPtr to_front;
net::PeerListener listener;
net::Timer heartbeat;
};  // namespace acaciaspring::gateway

/// @brief A daemon that owns no partition, so that it sends each turn to the scripted owner.
struct Front {
  Front(net::Loop& loop, ledger::TestStore& store, const Member& self)
      : context(
            loop,
            {.self = self, .partition_count = kPartitionCount, .headers = MakeTestHeaderNames()}),
        ownership(context, store, [] {}),
        links(context,
              kClusterKey,
              {.on_status =
                   [this](const DaemonId& daemon, const PeerStatus& status) {
                     ownership.OnStatus(daemon, status);
                     router.RetryWaitingTurns();
                   },
               .on_message =
                   [this](const DaemonId& daemon, PeerMessage message, const ReplyFunction& reply) {
                     router.OnMessage(daemon, std::move(message), reply);
                   },
               .on_connected = [](const DaemonId&) {},
               .on_disconnected =
                   [this](const DaemonId& daemon) {
                     ownership.ForgetDaemon(daemon);
                     router.OnPeerDisconnected(daemon);
                   },
               .on_exited = [](const Member&) {},
               .on_requester_disconnected = [](const DaemonId&) {}}),
        router(context, ownership, [this] { return &links; }) {}

  Context context;
  Ownership ownership;
  PeerLinks links;
  TurnRouter router;
};

struct Fixture {
  Fixture() { front.links.SetMembers({owner_member, front_member}); }

  /// @brief Runs one turn that the owner answers with `script`.
  std::shared_ptr<RecordingSink> Run(std::vector<PeerMessage> script) {
    owner.script = std::move(script);
    auto sink = std::make_shared<RecordingSink>();
    front.router.Submit(MakeTurnRequest(ProgramId("p"), "t", "", 10 * kTurnTokens), sink);
    net::RunUntil(loop, [&] { return sink->finished(); });
    return sink;
  }

  net::Loop loop;
  ledger::TestStore store;
  Member owner_member = MakeMember("owner");
  Member front_member = MakeMember("front");
  Front front{loop, store, front_member};
  ScriptedOwner owner{loop, owner_member, front_member.peer_address};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_response, Fixture)

// Guards against an answer that a daemon of an older version passes on although no server may send
// it, and against answers whose messages are lost or out of order.
BOOST_AUTO_TEST_CASE(broken_answers_of_peers_do_not_reach_callers) {
  const TurnHead head{.status = 200};
  const TurnData data{.data = "data: o\n\n"};
  std::vector<std::vector<PeerMessage>> scripts;
  for (const int status : {0, 2, 99, 100, 101, 199, 600, 999, 65535}) {
    scripts.push_back({TurnHead{.status = static_cast<std::uint16_t>(status)}, data, TurnEnd{}});
    if (status != 0) {
      scripts.push_back({TurnRejected{.error = {.status = status, .reason = "r"}}});
    }
  }
  scripts.push_back({TurnRejected{.error = {.status = 0, .reason = "r"}}});
  scripts.push_back({TurnRejected{.error = {.status = 200, .reason = "r"}}});
  const std::vector<std::pair<std::string, std::string>> headers = {
      {"x bad", "1"}, {"x-bad ", "1"}, {"", "1"},     {"x\x01", "1"},
      {"x:", "1"},    {"x", "a\r\nb"}, {"x", "a\nb"}, {"x", std::string(1, '\0')}};
  for (const auto& header : headers) {
    scripts.push_back({TurnHead{.status = 200, .headers = {header}}, data, TurnEnd{}});
  }
  scripts.push_back({data, TurnEnd{}});
  scripts.push_back({data, head, data, TurnEnd{}});
  scripts.push_back({TurnEnd{}});
  int expected_requests = 0;
  for (const auto& script : scripts) {
    const auto sink = Run(script);
    const std::string name = "script " + std::to_string(++expected_requests);
    BOOST_TEST(sink->status() == 502, name);
    BOOST_TEST(sink->data().empty(), name);
    BOOST_TEST(!sink->ended(), name);
  }
  BOOST_TEST(owner.requests == expected_requests);
  net::RunUntil(loop, [&] { return owner.cancelled > 0; });
}

// Guards against a second head, or a refusal, within a response that has begun.
BOOST_AUTO_TEST_CASE(response_of_a_peer_has_one_head) {
  const TurnHead head{.status = 200};
  const TurnData data{.data = "data: o\n\n"};
  for (const PeerMessage& second :
       {PeerMessage(TurnHead{.status = 500}), PeerMessage(head),
        PeerMessage(TurnRejected{.error = {.status = 503, .reason = "r"}})}) {
    const auto sink = Run({head, data, second, data, TurnEnd{}});
    BOOST_TEST(sink->status() == 200);
    BOOST_TEST(sink->data() == data.data);
    BOOST_TEST(!sink->ended());
    BOOST_TEST(!sink->aborted().empty());
  }
}

// Guards against a response without the part that could not be decoded, and against a caller that
// waits for the end of one.
BOOST_AUTO_TEST_CASE(response_with_a_malformed_message_is_broken_off) {
  const TurnData data{.data = "data: o\n\n"};
  const std::vector<PeerMessage> script = {TurnHead{.status = 200, .headers = {{"x", "1"}}}, data,
                                           data, TurnEnd{}};
  for (std::size_t i = 0; i < script.size(); ++i) {
    owner.malformed = i;
    const auto sink = Run(script);
    BOOST_TEST(!sink->ended(), i);
    BOOST_TEST(sink->data().size() == (i < 2 ? 0 : i - 1) * data.data.size(), i);
  }
  owner.malformed = 0;
  BOOST_TEST(Run({TurnRejected{.error = {.status = 503, .reason = "r"}}})->status() == 502);
  // The connection is opened again.
  owner.malformed.reset();
  BOOST_TEST(Run(script)->ended());
}

BOOST_AUTO_TEST_CASE(sound_answers_of_peers_reach_callers) {
  for (const int status : {200, 299, 404, 500, 599}) {
    const auto sink = Run({TurnHead{.status = static_cast<std::uint16_t>(status),
                                    .headers = {{"x-empty", ""}, {"x", "a\tb \xc3\xa4 \x01"}}},
                           TurnData{.data = "data: o\n\n"}, TurnEnd{}});
    BOOST_TEST(sink->ended());
    BOOST_TEST(sink->status() == status);
    BOOST_TEST(sink->data() == "data: o\n\n");
  }
  for (const int status : {400, 402, 404, 429, 502, 503, 504}) {
    BOOST_TEST(Run({TurnRejected{.error = {.status = status, .reason = "r"}}})->status() == status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
