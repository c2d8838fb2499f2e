#include "src/daemon/peer_network.h"

#include <glog/logging.h>

#include <utility>

namespace acaciaspring::daemon {

PeerNetwork::PeerNetwork(net::Loop& loop, PeerNetworkOptions options, PeerHandlers handlers)
    : loop_(loop), options_(std::move(options)), handlers_(std::move(handlers)) {
  auto on_accept = [this](net::PeerConnectionPtr connection) {
    const ChannelId channel = ++last_channel_;
    channels_[channel] = Channel{std::move(connection), DaemonId()};
    return MakeCallbacks(channel);
  };
  listener_ = std::make_unique<net::PeerListener>(loop_, options_.listen, options_.cluster_key,
                                                  std::move(on_accept), resources_);
}

PeerNetwork::~PeerNetwork() {
  *alive_ = false;
}

void PeerNetwork::SetPeer(const DaemonId& peer, const net::Address& address) {
  const auto known = addresses_.find(peer);
  if (known != addresses_.end() && known->second == address) {
    return;
  }
  ClosePeer(peer);
  addresses_[peer] = address;
}

void PeerNetwork::ClosePeer(const DaemonId& peer) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end()) {
    return;
  }
  const ChannelId channel = found->second;
  const net::PeerConnectionPtr connection = channels_.at(channel).connection;
  OnClosed(channel);
  connection->Close();
}

std::optional<ChannelId> PeerNetwork::ChannelTo(const DaemonId& peer) {
  if (peer == options_.self) {
    return kLoopback;
  }
  const auto open = outgoing_.find(peer);
  if (open != outgoing_.end()) {
    return open->second;
  }
  const auto address = addresses_.find(peer);
  if (address == addresses_.end()) {
    return std::nullopt;
  }
  const ChannelId channel = ++last_channel_;
  outgoing_[peer] = channel;
  channels_[channel] = Channel{nullptr, peer};
  channels_[channel].connection = net::ConnectPeer(loop_, address->second, options_.cluster_key,
                                                   MakeCallbacks(channel), resources_);
  Send(channel, wire::Hello{options_.self, options_.incarnation});
  return channel;
}

void PeerNetwork::Send(ChannelId channel, const wire::Message& message) {
  if (channel == kLoopback) {
    loop_.Post([this, alive = alive_, message] {
      if (*alive) {
        handlers_.on_message(kLoopback, message);
      }
    });
    return;
  }
  const auto found = channels_.find(channel);
  if (found == channels_.end() || found->second.connection == nullptr) {
    return;
  }
  const net::PeerConnectionPtr connection = found->second.connection;
  if (connection->pending_bytes() > options_.max_pending_bytes) {
    LOG(WARNING) << "closing channel " << channel << ": too many unsent bytes";
    OnClosed(channel);
    connection->Close();
    return;
  }
  connection->Send(wire::Encode(message));
}

net::PeerCallbacks PeerNetwork::MakeCallbacks(ChannelId channel) {
  return {
      .on_open = nullptr,
      .on_message =
          [this, alive = alive_, channel](std::string_view payload) {
            if (*alive) {
              OnPayload(channel, payload);
            }
          },
      .on_closed =
          [this, alive = alive_, channel] {
            if (*alive) {
              OnClosed(channel);
            }
          },
  };
}

void PeerNetwork::OnPayload(ChannelId channel, std::string_view payload) {
  wire::Message message;
  try {
    message = wire::Decode<wire::Message>(payload);
  } catch (const wire::DecodeError& error) {
    ++resources_.drops.malformed;
    LOG(WARNING) << "dropped a message on channel " << channel << ": " << error.what();
    return;
  }
  if (std::holds_alternative<wire::Hello>(message)) {
    return;
  }
  handlers_.on_message(channel, std::move(message));
}

void PeerNetwork::OnClosed(ChannelId channel) {
  const auto found = channels_.find(channel);
  if (found == channels_.end()) {
    return;
  }
  const DaemonId peer = found->second.peer;
  channels_.erase(found);
  if (!peer.empty()) {
    outgoing_.erase(peer);
  }
  handlers_.on_closed(channel);
}

}  // namespace acaciaspring::daemon
