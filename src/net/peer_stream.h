#ifndef ACACIASPRING_SRC_NET_PEER_STREAM_H_
#define ACACIASPRING_SRC_NET_PEER_STREAM_H_

#include <uv.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/frame_reader.h"

namespace acaciaspring::net {

/// @brief The socket and the state of a peer connection. Lives until libuv has closed the socket.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
 public:
  enum class Role : std::uint8_t { kInitiator, kAcceptor };

  PeerStream(Loop& loop, Role role, std::string cluster_key, DropCounters& drops);

  /// @brief Starts the connection of an initiator.
  void Connect(const Address& address);
  /// @brief Takes the connection that waits at the listener; false if there is none.
  bool Accept(uv_stream_t* listener);
  void SetCallbacks(PeerCallbacks callbacks) { callbacks_ = std::move(callbacks); }

  void Send(std::string_view payload);
  /// @brief Closes, after which on_closed follows.
  void Close();
  /// @brief Closes without callbacks.
  void Abandon();
  bool open() const { return state_ == State::kOpen; }
  std::size_t pending_bytes() const { return pending_.size() + queued_bytes_; }

 private:
  enum class State : std::uint8_t { kConnecting, kHandshake, kOpen, kClosed };

  void StartHandshake();
  void OnRead(ssize_t size, const uv_buf_t* buffer);
  void ReceiveNonce();
  void DeliverPayloads();
  void Flush();
  void OnWritten(int status);
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

  Loop& loop_;
  Role role_;
  std::string cluster_key_;
  PeerCallbacks callbacks_;
  State state_ = State::kConnecting;
  uv_tcp_t socket_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  wire::Nonce nonce_;
  FrameReader reader_;
  std::optional<wire::FrameAuthenticator> signer_;
  std::optional<wire::FrameAuthenticator> verifier_;
  /// Payloads sent before the handshake was done; they cannot be signed yet.
  std::vector<std::string> queued_;
  std::size_t queued_bytes_ = 0;
  /// Frames not yet handed to libuv.
  std::string pending_;
  /// Bytes that libuv refers to.
  std::string sending_;
  bool writing_ = false;
  Timer handshake_timer_;
  /// Keeps the stream until the socket is closed.
  std::shared_ptr<PeerStream> self_;
};

/// @brief The owner's handle; closes the stream when destroyed.
PeerConnectionPtr MakePeerHandle(std::shared_ptr<PeerStream> stream);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_PEER_STREAM_H_
