#ifndef ACACIASPRING_SRC_DAEMON_PEER_NETWORK_H_
#define ACACIASPRING_SRC_DAEMON_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::daemon {

/// @brief One authenticated connection to another daemon, or the loopback within this one. A
/// request goes out on the sender's own connection and its replies come back on the same one, in
/// order; when the channel closes, both sides know that nothing more will arrive on it.
using ChannelId = StrongNumber<struct ChannelIdTag>;

struct PeerNetworkOptions {
  DaemonId self;
  Incarnation incarnation;
  net::Address listen;
  std::string cluster_key;
  /// A channel with more unsent bytes is closed, so that one slow reader cannot exhaust memory.
  std::size_t max_pending_bytes = std::size_t{64} << 20;
};

struct PeerHandlers {
  std::function<void(ChannelId channel, wire::Message message)> on_message;
  /// Every exchange on the channel is over.
  std::function<void(ChannelId channel)> on_closed;
};

/// @brief Connections to the other daemons.
class PeerNetwork {
 public:
  PeerNetwork(net::Loop& loop, PeerNetworkOptions options, PeerHandlers handlers);
  ~PeerNetwork();

  /// @brief Where a daemon listens; a changed address closes the old channel.
  void SetPeer(const DaemonId& peer, const net::Address& address);
  /// @brief Closes the channel to a daemon that is dead or paused.
  void ClosePeer(const DaemonId& peer);
  /// @brief Channel for requests to the daemon; connects when needed. Nothing for an unknown
  /// daemon.
  std::optional<ChannelId> ChannelTo(const DaemonId& peer);
  /// @brief Ignored when the channel is closed.
  void Send(ChannelId channel, const wire::Message& message);

  const net::DropCounters& drops() const { return drops_; }
  std::size_t open_channels() const { return channels_.size(); }

 private:
  struct Channel {
    net::PeerConnectionPtr connection;
    /// Empty for a channel that the other side opened.
    DaemonId peer;
  };

  static constexpr ChannelId kLoopback{1};

  net::PeerCallbacks MakeCallbacks(ChannelId channel);
  void OnPayload(ChannelId channel, std::string_view payload);
  void OnClosed(ChannelId channel);

  net::Loop& loop_;
  PeerNetworkOptions options_;
  PeerHandlers handlers_;
  net::DropCounters drops_;
  std::map<DaemonId, net::Address> addresses_;
  std::map<DaemonId, ChannelId> outgoing_;
  std::unordered_map<ChannelId, Channel> channels_;
  ChannelId last_channel_ = kLoopback;
  std::unique_ptr<net::PeerListener> listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_PEER_NETWORK_H_
