#include <boost/test/unit_test.hpp>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/frame_reader.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

const std::string kKey = "cluster key";

/// @brief One side of a connection and what it has seen.
struct Side {
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
              sides.push_back(std::make_unique<Side>());
              sides.back()->connection = std::move(connection);
              return sides.back()->Callbacks();
            },
            drops) {}
  DropCounters drops;
  std::vector<std::unique_ptr<Side>> sides;
  PeerListener listener;
};

/// @brief Speaks the protocol byte by byte as an initiator, to send what a real peer never sends.
struct RawPeer {
  RawPeer(Loop& loop, Acceptor& acceptor) : connection(loop, acceptor.listener.address()) {
    nonce = wire::MakeNonce();
    connection.Send(std::string_view(nonce.data(), nonce.size()));
    RunUntil(loop, [&] {
      return connection.received().size() >= wire::kNonceBytes && acceptor.sides.size() == 1 &&
             acceptor.sides[0]->opened == 1;
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

// Guards against messages that are lost, cut or reordered, among them those sent before the
// handshake, empty ones and the largest.
BOOST_AUTO_TEST_CASE(messages_arrive_whole_and_in_order) {
  Loop loop;
  Acceptor acceptor(loop);
  DropCounters drops;
  Side initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), drops);
  BOOST_TEST(!initiator.connection->open());
  std::vector<std::string> sent = {"early", "", std::string(wire::kMaxFrameBytes, 'x'), "late"};
  for (const std::string& message : sent) {
    initiator.connection->Send(message);
  }
  BOOST_TEST(initiator.connection->pending_bytes() > wire::kMaxFrameBytes);
  RunUntil(loop, [&] {
    return acceptor.sides.size() == 1 && acceptor.sides[0]->messages.size() == sent.size();
  });
  BOOST_TEST((acceptor.sides[0]->messages == sent));
  BOOST_TEST(initiator.opened == 1);
  BOOST_TEST(initiator.connection->pending_bytes() == 0U);
  for (int i = 0; i < 1000; ++i) {
    acceptor.sides[0]->connection->Send(std::to_string(i));
  }
  RunUntil(loop, [&] { return initiator.messages.size() == 1000; });
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(initiator.messages[static_cast<std::size_t>(i)] == std::to_string(i));
  }
  BOOST_CHECK_THROW(initiator.connection->Send(std::string(wire::kMaxFrameBytes + 1, 'x')),
                    MessageTooLargeError);
  BOOST_TEST(acceptor.drops.bad_mac + drops.bad_mac == 0U);
}

// Guards against a loss of the connection that one side does not notice, or notices twice.
BOOST_AUTO_TEST_CASE(both_sides_learn_of_the_end_once) {
  Loop loop;
  Acceptor acceptor(loop);
  DropCounters drops;
  Side initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), drops);
  RunUntil(loop, [&] { return initiator.opened == 1 && acceptor.sides.size() == 1; });
  initiator.connection->Close();
  initiator.connection->Close();
  BOOST_TEST(initiator.closed == 0);
  BOOST_TEST(!initiator.connection->open());
  initiator.connection->Send("ignored");
  RunUntil(loop, [&] { return initiator.closed == 1 && acceptor.sides[0]->closed == 1; });
  acceptor.sides[0]->connection->Send("ignored");
  acceptor.sides[0]->connection->Close();
  initiator.connection.reset();
  RunUntil(loop, [&] { return !acceptor.sides[0]->connection->open(); });
  BOOST_TEST(initiator.closed == 1);
  BOOST_TEST(acceptor.sides[0]->closed == 1);
  BOOST_TEST(acceptor.sides[0]->messages.empty());
}

// Guards against a reconnect loop that never learns of a failed attempt.
BOOST_AUTO_TEST_CASE(failed_connect_is_reported) {
  Loop loop;
  DropCounters drops;
  const Address unused = RawServer(loop).address();
  Side initiator;
  // The listener of the address is closed in the next iteration.
  loop.Post([&] {
    initiator.connection = ConnectPeer(loop, unused, kKey, initiator.Callbacks(), drops);
    initiator.connection->Send("never sent");
  });
  RunUntil(loop, [&] { return initiator.closed == 1; });
  BOOST_TEST(initiator.opened == 0);
}

// Guards against callbacks into an owner that has destroyed its connection.
BOOST_AUTO_TEST_CASE(destroyed_connection_makes_no_callbacks) {
  Loop loop;
  Acceptor acceptor(loop);
  DropCounters drops;
  Side initiator;
  initiator.connection =
      ConnectPeer(loop, acceptor.listener.address(), kKey, initiator.Callbacks(), drops);
  RunUntil(loop, [&] { return initiator.opened == 1 && acceptor.sides.size() == 1; });
  acceptor.sides[0]->connection->Send("last");
  initiator.connection.reset();
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1; });
  BOOST_TEST(initiator.closed == 0);
  BOOST_TEST(initiator.messages.empty());
}

// Guards against use of a connection that its own message callback has destroyed.
BOOST_AUTO_TEST_CASE(connection_may_be_destroyed_by_its_callback) {
  Loop loop;
  DropCounters drops;
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
      drops);
  Side initiator;
  initiator.connection = ConnectPeer(loop, listener.address(), kKey, initiator.Callbacks(), drops);
  initiator.connection->Send("one");
  initiator.connection->Send("two");
  RunUntil(loop, [&] { return initiator.closed == 1; });
  BOOST_TEST(messages == 1);
}

// Guards against messages of a process that does not know the cluster key.
BOOST_AUTO_TEST_CASE(forged_frame_is_dropped_and_closes) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  auto forger = peer.Signer("another key");
  peer.connection.Send(Frame(forger, "forged"));
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1 && peer.connection.ended(); });
  BOOST_TEST(acceptor.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.sides[0]->messages.empty());
}

// Guards against a recorded frame that is accepted again.
BOOST_AUTO_TEST_CASE(replayed_frame_is_dropped_and_closes) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  auto signer = peer.Signer();
  const std::string frame = Frame(signer, "once");
  peer.connection.Send(frame);
  peer.connection.Send(frame);
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1; });
  BOOST_TEST(acceptor.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.sides[0]->messages == std::vector<std::string>{"once"},
             boost::test_tools::per_element());
}

// Guards against a frame recorded on one connection that is accepted on another.
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
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1; });
  BOOST_TEST(acceptor.drops.bad_mac == 1U);
  BOOST_TEST(acceptor.sides[0]->messages.empty());
}

// Guards against a peer's own frames that an attacker sends back to it.
BOOST_AUTO_TEST_CASE(reflected_frame_is_dropped) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  peer.connection.ClearReceived();
  acceptor.sides[0]->connection->Send("to the initiator");
  RunUntil(loop, [&] { return !peer.connection.received().empty(); });
  peer.connection.Send(peer.connection.received());
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1; });
  BOOST_TEST(acceptor.drops.bad_mac == 1U);
}

// Guards against memory that grows with a claimed length.
BOOST_AUTO_TEST_CASE(oversized_frame_closes_before_its_payload) {
  Loop loop;
  Acceptor acceptor(loop);
  RawPeer peer(loop, acceptor);
  peer.connection.Send(std::string("\xff\xff\xff\xff", 4));
  RunUntil(loop, [&] { return acceptor.sides[0]->closed == 1; });
  BOOST_TEST(acceptor.drops.oversized == 1U);
}

// Guards against a frame that is delivered although it is cut, or although its parts arrive apart.
BOOST_AUTO_TEST_CASE(frame_may_arrive_byte_by_byte_but_not_cut) {
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
  BOOST_TEST(!reader.broken());
}

// Guards against a flipped bit in any place that goes unnoticed.
BOOST_AUTO_TEST_CASE(every_changed_byte_is_noticed) {
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
