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
#include "src/net/message_parts.h"

namespace acaciaspring::net {

/// @brief The socket and protocol state of a peer connection. It exists until libuv has closed the
/// socket.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
 public:
  enum class Role : std::uint8_t { kInitiator, kAcceptor };

  PeerStream(Loop& loop, Role role, std::string cluster_key, PeerResources& resources);

  /// @brief Starts to connect, as the initiator.
  void Connect(const Address& address);
  /// @brief Accepts the pending connection of the listener. Returns false on failure.
  bool Accept(uv_stream_t* listener);
  void SetCallbacks(PeerCallbacks callbacks) { callbacks_ = std::move(callbacks); }

  void Send(MessageStreamId stream, std::string_view payload);
  void SendDeferred(DeferredMessage message);
  void Withdraw(MessageStreamId stream);
  /// @brief Closes the connection. on_closed is called from the loop.
  void Close();
  /// @brief Closes the connection without calling on_closed.
  void CloseWithoutCallback();
  bool open() const { return state_ == State::kOpen; }
  std::size_t pending_bytes() const { return pending_.size() + sender_.queued_bytes(); }
  std::size_t undelivered_bytes() const;

 private:
  enum class State : std::uint8_t { kConnecting, kHandshake, kOpen, kClosed };

  void StartHandshake();
  void OnRead(ssize_t size, const uv_buf_t* buffer);
  void ReceiveNonce();
  void DeliverFrames();
  /// @brief Handles a frame. Returns false if it violates the protocol.
  bool OnFrame(std::string_view frame);
  bool OnPart(std::string_view body, bool last);
  void Deliver(std::string_view payload);
  /// @brief Writes the frames that may be sent now.
  void WriteFrames();
  static void WriteFramesOf(const std::weak_ptr<PeerStream>& stream);
  /// @brief Closes the connection and returns false if the peer does not read.
  bool CheckPendingBytes();
  void Flush();
  void OnWritten(int status);
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

  Loop& loop_;
  Role role_;
  std::string cluster_key_;
  PeerResources& resources_;
  PeerCallbacks callbacks_;
  State state_ = State::kConnecting;
  uv_tcp_t socket_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  wire::Nonce nonce_;
  FrameReader reader_;
  std::optional<wire::FrameAuthenticator> signer_;
  std::optional<wire::FrameAuthenticator> verifier_;
  MessageSender sender_;
  MessageReceiver receiver_;
  /// Frames not yet handed to libuv.
  std::string pending_;
  /// Bytes handed to libuv, which accesses them until they are written.
  std::string sending_;
  bool writing_ = false;
  /// WriteFrames() is running, further up the stack.
  bool framing_ = false;
  Timer handshake_timer_;
  /// Keeps the stream alive until libuv has closed the socket.
  std::shared_ptr<PeerStream> self_;
};

/// @brief Returns a handle that closes the stream when destroyed.
PeerConnectionPtr MakePeerHandle(std::shared_ptr<PeerStream> stream);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_PEER_STREAM_H_
