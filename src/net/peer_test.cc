#include <boost/test/unit_test.hpp>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/frame_reader.h"
#include "src/net/message_parts.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

const std::string kKey = "cluster key";

/// @brief One end of a connection, with the messages and events that it has received.
struct TestPeer {
  PeerConnectionPtr connection;
  std::vector<std::string> messages;
  int opened = 0;
  int closed = 0;

  PeerCallbacks Callbacks() {
    return PeerCallbacks{
        .on_open = [this] { ++opened; },
        .on_message = [this](std::string_view payload) { messages.emplace_back(payload); },
        .on_closed = [this] { ++closed; }};
  }
};

struct Acceptor {
  explicit Acceptor(Loop& loop)
      : listener(
            loop,
            kAnyLoopbackPort,
            kKey,
            [this](PeerConnectionPtr connection) {
              accepted_peers.push_back(std::make_unique<TestPeer>());
              accepted_peers.back()->connection = std::move(connection);
              return accepted_peers.back()->Callbacks();
            },
            resources) {}
  PeerResources resources;
  std::vector<std::unique_ptr<TestPeer>> accepted_peers;
  PeerListener listener;
};

/// @brief An initiator that controls each byte sent, to send data that a PeerConnection never
/// sends.
struct RawPeer {
  RawPeer(Loop& loop, Acceptor& acceptor) : connection(loop, acceptor.listener.address()) {
    nonce = wire::MakeNonce();
    connection.Send(std::string_view(nonce.data(), nonce.size()));
    RunUntil(loop, [&] {
      return connection.received().size() >= wire::kNonceBytes &&
             acceptor.accepted_peers.size() == 1 && acceptor.accepted_peers[0]->opened == 1;
    });
    std::copy_n(connection.received().begin(), wire::kNonceBytes, acceptor_nonce.begin());
  }
  wire::FrameAuthenticator Signer(const std::string& key = kKey) const {
    return wire::FrameAuthenticator(key, nonce, acceptor_nonce, wire::Direction::kToAcceptor);
  }
  RawConnection connection;
  wire::Nonce nonce{};
  wire::Nonce acceptor_nonce{};
};

std::string Frame(wire::FrameAuthenticator& signer, std::string_view payload) {
  std::string frame;
  AppendFrame(frame, signer, payload);
  return frame;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer)

// Guards against messages that are lost, truncated or reordered, including messages sent before the
// handshake, empty messages and messages of many frames.
BOOST_AUTO_TEST_CASE(messages_are_delivered_completely_and_in_order) {
  Loop loop;
  Acceptor acceptor(loop);
  PeerResources resources;
  TestPeer initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), resources);
  BOOST_TEST(!initiator.connection->open());
  std::vector<std::string> sent = {"early", "", std::string(std::size_t{24} << 20, 'x'), "late"};
  for (const std::string& message : sent) {
    initiator.connection->Send(message);
  }
  BOOST_TEST(initiator.connection->pending_bytes() > wire::kMaxFrameBytes);
  RunUntil(loop, [&] {
    return acceptor.accepted_peers.size() == 1 &&
           acceptor.accepted_peers[0]->messages.size() == sent.size();
  });
  BOOST_TEST((acceptor.accepted_peers[0]->messages == sent));
  BOOST_TEST(initiator.opened == 1);
  BOOST_TEST(initiator.connection->pending_bytes() == 0U);
  for (int i = 0; i < 1000; ++i) {
    acceptor.accepted_peers[0]->connection->Send(std::to_string(i));
  }
  RunUntil(loop, [&] { return initiator.messages.size() == 1000; });
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(initiator.messages[static_cast<std::size_t>(i)] == std::to_string(i));
  }
  BOOST_CHECK_THROW(initiator.connection->Send(std::string(wire::kMaxMessageBytes + 1, 'x')),
                    MessageTooLargeError);
  BOOST_TEST(acceptor.resources.drops.bad_mac + resources.drops.bad_mac == 0U);
}

// Guards against a closed connection that is not reported to one of its ends, or reported twice.
BOOST_AUTO_TEST_CASE(close_is_reported_once_to_both_ends) {
  Loop loop;
  Acceptor acceptor(loop);
  PeerResources resources;
  TestPeer initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), resources);
  RunUntil(loop, [&] { return initiator.opened == 1 && acceptor.accepted_peers.size() == 1; });
  initiator.connection->Close();
  initiator.connection->Close();
  BOOST_TEST(initiator.closed == 0);
  BOOST_TEST(!initiator.connection->open());
  initiator.connection->Send("ignored");
  RunUntil(loop, [&] { return initiator.closed == 1 && acceptor.accepted_peers[0]->closed == 1; });
  acceptor.accepted_peers[0]->connection->Send("ignored");
  acceptor.accepted_peers[0]->connection->Close();
  initiator.connection.reset();
  RunUntil(loop, [&] { return !acceptor.accepted_peers[0]->connection->open(); });
  BOOST_TEST(initiator.closed == 1);
  BOOST_TEST(acceptor.accepted_peers[0]->closed == 1);
  BOOST_TEST(acceptor.accepted_peers[0]->messages.empty());
}

// Guards against a failed connection attempt that is not reported, so that it is never retried.
BOOST_AUTO_TEST_CASE(failed_connect_is_reported) {
  Loop loop;
  PeerResources resources;
  const Address unused = RawServer(loop).address();
  TestPeer initiator;
  // The listening socket at `unused` is closed in the next iteration.
  loop.Post([&] {
    initiator.connection = ConnectPeer(loop, unused, kKey, initiator.Callbacks(), resources);
    initiator.connection->Send("never sent");
  });
  RunUntil(loop, [&] { return initiator.closed == 1; });
  BOOST_TEST(initiator.opened == 0);
}

// Guards against callbacks into an owner that has destroyed its connection.
BOOST_AUTO_TEST_CASE(destroyed_connection_makes_no_callbacks) {
  Loop loop;
  Acceptor acceptor(loop);
  PeerResources resources;
  TestPeer initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), resources);
  RunUntil(loop, [&] { return initiator.opened == 1 && acceptor.accepted_peers.size() == 1; });
  acceptor.accepted_peers[0]->connection->Send("last");
  initiator.connection.reset();
  RunUntil(loop, [&] { return acceptor.accepted_peers[0]->closed == 1; });
  BOOST_TEST(initiator.closed == 0);
  BOOST_TEST(initiator.messages.empty());
}

// Guards against use after free when a connection is destroyed by its own message callback.
BOOST_AUTO_TEST_CASE(connection_may_be_destroyed_by_its_callback) {
  Loop loop;
  PeerResources resources;
  PeerConnectionPtr accepted;
  int messages = 0;
  PeerListener listener(
      loop, kAnyLoopbackPort, kKey,
      [&](PeerConnectionPtr connection) {
        accepted = std::move(connection);
        return PeerCallbacks{.on_open = {},
                             .on_message =
                                 [&](std::string_view) {
                                   ++messages;
                                   accepted.reset();
                                 },
                             .on_closed = {}};
      },
      resources);
  TestPeer initiator;
  initiator.connection =
      ConnectPeer(loop, listener.address(), kKey, initiator.Callbacks(), resources);
  initiator.connection->Send("one");
  initiator.connection->Send("two");
  RunUntil(loop, [&] { return initiator.closed == 1; });
  BOOST_TEST(messages == 1);
}

// Guards against accepting messages of a process that does not know the cluster key.
BOOST_AUTO_TEST_CASE(forged_frame_is_dropped_and_closes_the_connection) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  auto forger = peer.Signer("another key");
  peer.connection.Send(Frame(forger, "forged"));
  RunUntil(loop,
           [&] { return acceptor.accepted_peers[0]->closed == 1 && peer.connection.ended(); });
  BOOST_TEST(acceptor.resources.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.accepted_peers[0]->messages.empty());
}

// Guards against a frame that is accepted a second time when it is replayed.
BOOST_AUTO_TEST_CASE(replayed_frame_is_dropped_and_closes_the_connection) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  auto signer = peer.Signer();
  const std::string frame = Frame(signer, MakeFrame(FrameKind::kMessage, "once"));
  peer.connection.Send(frame);
  peer.connection.Send(frame);
  RunUntil(loop, [&] { return acceptor.accepted_peers[0]->closed == 1; });
  BOOST_TEST(acceptor.resources.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.accepted_peers[0]->messages == std::vector<std::string>{"once"},
             boost::test_tools::per_element());
}

// Guards against a frame that is recorded on one connection and accepted on another.
BOOST_AUTO_TEST_CASE(frame_of_another_connection_is_dropped) {
  Loop loop;
  std::string recorded;
  {
    Acceptor acceptor(loop);
    RawPeer peer(loop, acceptor);
    auto signer = peer.Signer();
    recorded = Frame(signer, "once");
  }
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  peer.connection.Send(recorded);
  RunUntil(loop, [&] { return acceptor.accepted_peers[0]->closed == 1; });
  BOOST_TEST(acceptor.resources.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.accepted_peers[0]->messages.empty());
}

// Guards against accepting a peer's own frames when an attacker sends them back to it.
BOOST_AUTO_TEST_CASE(reflected_frame_is_dropped) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  peer.connection.ClearReceived();
  acceptor.accepted_peers[0]->connection->Send("to the initiator");
  RunUntil(loop, [&] { return !peer.connection.received().empty(); });
  peer.connection.Send(peer.connection.received());
  RunUntil(loop, [&] { return acceptor.accepted_peers[0]->closed == 1; });
  BOOST_TEST(acceptor.resources.drops.bad_mac == 1U);
}

// Guards against memory that grows with the declared length of a frame.
BOOST_AUTO_TEST_CASE(oversized_frame_closes_the_connection_before_its_payload) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  peer.connection.Send(std::string("\xff\xff\xff\xff", 4));
  RunUntil(loop, [&] { return acceptor.accepted_peers[0]->closed == 1; });
  BOOST_TEST(acceptor.resources.drops.oversized == 1U);
}

// Guards against delivery of an incomplete frame, and against loss of frames that arrive in parts.
BOOST_AUTO_TEST_CASE(frames_are_delivered_when_their_last_byte_arrives) {
  const wire::Nonce nonce = wire::MakeNonce();
  const auto make = [&] {
    return wire::FrameAuthenticator(kKey, nonce, nonce, wire::Direction::kToAcceptor);
  };
  auto signer = make();
  auto verifier = make();
  std::string bytes = Frame(signer, "first");
  bytes += Frame(signer, "");
  bytes += Frame(signer, "third");
  DropCounters drops;
  FrameReader reader(drops);
  std::vector<std::string> payloads;
  for (const char byte : bytes) {
    reader.Append(std::string_view(&byte, 1));
    while (const auto payload = reader.TakePayload(verifier)) {
      payloads.emplace_back(*payload);
    }
  }
  BOOST_TEST((payloads == std::vector<std::string>{"first", "", "third"}));
  BOOST_TEST(!reader.failed());
}

// Guards against an undetected bit flip at any position of a frame.
BOOST_AUTO_TEST_CASE(every_modified_byte_is_detected) {
  const wire::Nonce nonce = wire::MakeNonce();
  const auto make = [&] {
    return wire::FrameAuthenticator(kKey, nonce, nonce, wire::Direction::kToAcceptor);
  };
  auto signer = make();
  const std::string bytes = Frame(signer, "payload");
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    DropCounters drops;
    FrameReader reader(drops);
    auto verifier = make();
    reader.Append(changed);
    BOOST_TEST(!reader.TakePayload(verifier).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
