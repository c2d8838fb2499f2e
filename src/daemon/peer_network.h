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

/// @brief Identifies an authenticated connection to another daemon, or the loopback channel of this
/// daemon. A daemon sends requests on connections that it opened itself; the replies arrive in
/// order on the same connection. Once a channel has closed, no more messages arrive on it.
using ChannelId = StrongNumber<struct ChannelIdTag>;

struct PeerNetworkOptions {
  DaemonId self;
  Incarnation incarnation;
  net::Address listen;
  std::string cluster_key;
  /// A channel with more unsent bytes is closed, so that a slow reader cannot exhaust memory.
  std::size_t max_pending_bytes = std::size_t{64} << 20;
};

struct PeerHandlers {
  std::function<void(ChannelId channel, wire::Message message)> on_message;
  /// Called when a channel has closed, which ends every exchange on it.
  std::function<void(ChannelId channel)> on_closed;
};

/// @brief Connections to the other daemons.
class PeerNetwork {
 public:
  PeerNetwork(net::Loop& loop, PeerNetworkOptions options, PeerHandlers handlers);
  ~PeerNetwork();

  /// @brief Sets the address on which a daemon listens. Closes the open channel to the daemon if
  /// the address has changed.
  void SetPeer(const DaemonId& peer, const net::Address& address);
  /// @brief Closes the channel that this daemon opened to `peer`, if there is one.
  void ClosePeer(const DaemonId& peer);
  /// @brief Channel for requests to the daemon, which is connected if necessary; none if the
  /// address of the daemon is unknown.
  std::optional<ChannelId> ChannelTo(const DaemonId& peer);
  /// @brief Sends a message; does nothing if the channel is closed.
  void Send(ChannelId channel, const wire::Message& message);

  const net::DropCounters& drops() const { return resources_.drops; }
  std::size_t open_channels() const { return channels_.size(); }

 private:
  struct Channel {
    net::PeerConnectionPtr connection;
    /// Empty if the other daemon opened the connection.
    DaemonId peer;
  };

  static constexpr ChannelId kLoopback{1};

  net::PeerCallbacks MakeCallbacks(ChannelId channel);
  void OnPayload(ChannelId channel, std::string_view payload);
  void OnClosed(ChannelId channel);

  net::Loop& loop_;
  PeerNetworkOptions options_;
  PeerHandlers handlers_;
  net::PeerResources resources_;
  std::map<DaemonId, net::Address> addresses_;
  /// Channels that this daemon opened.
  std::map<DaemonId, ChannelId> outgoing_;
  std::unordered_map<ChannelId, Channel> channels_;
  ChannelId last_channel_ = kLoopback;
  std::unique_ptr<net::PeerListener> listener_;
  /// Set to false by the destructor; callbacks that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_PEER_NETWORK_H_
