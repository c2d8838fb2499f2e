#include "src/net/peer_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "src/net/socket_address.h"
#include "src/net/socket_state.h"

namespace acaciaspring::net {

namespace {

// A connection without a nonce is closed: it may come from a port scan or from a peer that hangs.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(5);
// The kernel closes a connection whose data is unacknowledged for this time. Without the limit,
// messages to a failed VM would wait for the default of 15 minutes.
constexpr unsigned kTcpUserTimeoutMs = 10'000;
constexpr unsigned kKeepAliveSeconds = 5;
// Limits the memory for a peer that does not read. Messages that wait for the peer to accept them
// do not count.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} << 20;

}  // namespace

PeerStream::PeerStream(Loop& loop, Role role, std::string cluster_key, PeerResources& resources)
    : loop_(loop),
      role_(role),
      cluster_key_(std::move(cluster_key)),
      resources_(resources),
      nonce_(wire::MakeNonce()),
      reader_(resources.drops),
      sender_(resources.sending,
              [this] { loop_.Post([weak = weak_from_this()] { WriteFramesOf(weak); }); }),
      receiver_(resources.receiving,
                [this] { loop_.Post([weak = weak_from_this()] { WriteFramesOf(weak); }); }) {}

void PeerStream::Connect(const Address& address) {
  const sockaddr_in socket_address = ToSocketAddress(address);
  uv_tcp_init(loop_.raw(), &socket_);
  socket_.data = this;
  connect_.data = this;
  self_ = shared_from_this();
  handshake_timer_ = loop_.After(kHandshakeTimeout, [this] { Close(); });
  const auto on_connected = [](uv_connect_t* request, int status) {
    auto* self = static_cast<PeerStream*>(request->data);
    if (self->state_ == State::kClosed) {
      return;
    }
    if (status < 0) {
      self->Close();
    } else {
      self->StartHandshake();
    }
  };
  if (uv_tcp_connect(&connect_, &socket_, reinterpret_cast<const sockaddr*>(&socket_address),
                     on_connected) != 0) {
    Close();
  }
}

bool PeerStream::Accept(uv_stream_t* listener) {
  uv_tcp_init(loop_.raw(), &socket_);
  socket_.data = this;
  self_ = shared_from_this();
  if (uv_accept(listener, stream()) != 0) {
    CloseWithoutCallback();
    return false;
  }
  handshake_timer_ = loop_.After(kHandshakeTimeout, [this] { Close(); });
  // The callbacks are set after this call, which is safe because nothing is received before the
  // next loop iteration.
  StartHandshake();
  return state_ != State::kClosed;
}

void PeerStream::StartHandshake() {
  state_ = State::kHandshake;
  uv_tcp_nodelay(&socket_, 1);
  uv_tcp_keepalive(&socket_, 1, kKeepAliveSeconds);
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&socket_), &fd) == 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  }
  pending_.assign(nonce_.data(), nonce_.size());
  Flush();
  const auto allocate = [](uv_handle_t*, size_t, uv_buf_t* buffer) {
    // Received data is consumed within the read callback, so all streams can share one buffer.
    thread_local std::array<char, 65536> shared{};
    *buffer = uv_buf_init(shared.data(), shared.size());
  };
  const auto on_read = [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    static_cast<PeerStream*>(stream->data)->OnRead(size, buffer);
  };
  if (uv_read_start(stream(), allocate, on_read) != 0) {
    Close();
  }
}

void PeerStream::OnRead(ssize_t size, const uv_buf_t* buffer) {
  const auto self = shared_from_this();
  if (size < 0) {
    Close();
    return;
  }
  reader_.Append(std::string_view(buffer->base, static_cast<std::size_t>(size)));
  if (state_ == State::kHandshake) {
    ReceiveNonce();
  }
  if (state_ == State::kOpen) {
    DeliverFrames();
  }
}

void PeerStream::ReceiveNonce() {
  const auto peer_nonce = reader_.TakeNonce();
  if (!peer_nonce) {
    return;
  }
  const bool is_initiator = role_ == Role::kInitiator;
  const wire::Nonce& initiator = is_initiator ? nonce_ : *peer_nonce;
  const wire::Nonce& acceptor = is_initiator ? *peer_nonce : nonce_;
  wire::FrameAuthenticator to_acceptor(cluster_key_, initiator, acceptor,
                                       wire::Direction::kToAcceptor);
  wire::FrameAuthenticator to_initiator(cluster_key_, initiator, acceptor,
                                        wire::Direction::kToInitiator);
  signer_ = is_initiator ? to_acceptor : to_initiator;
  verifier_ = is_initiator ? to_initiator : to_acceptor;
  state_ = State::kOpen;
  handshake_timer_.Cancel();
  WriteFrames();
  if (callbacks_.on_open) {
    callbacks_.on_open();
  }
}

void PeerStream::DeliverFrames() {
  while (state_ == State::kOpen) {
    const auto frame = reader_.TakePayload(*verifier_);
    if (!frame) {
      break;
    }
    bool valid = false;
    try {
      valid = OnFrame(*frame);
    } catch (const wire::DecodeError&) {
      // Handled like any other frame that violates the protocol.
    }
    if (!valid) {
      ++resources_.drops.malformed;
      Close();
    }
  }
  if (reader_.failed()) {
    Close();
  }
  if (state_ == State::kOpen) {
    WriteFrames();
  }
}

bool PeerStream::OnFrame(std::string_view frame) {
  if (frame.empty()) {
    return false;
  }
  const std::string_view body = frame.substr(1);
  switch (static_cast<FrameKind>(frame.front())) {
    case FrameKind::kMessage:
      Deliver(body);
      return true;
    case FrameKind::kPart:
      return OnPart(body, /*last=*/false);
    case FrameKind::kLastPart:
      return OnPart(body, /*last=*/true);
    case FrameKind::kOffer: {
      const auto header = wire::Decode<TransferHeader>(body);
      return receiver_.OnOffer(header.transfer, header.bytes);
    }
    case FrameKind::kWithdrawn:
      receiver_.OnWithdrawn(wire::Decode<TransferHeader>(body).transfer);
      return true;
    case FrameKind::kAccept:
      sender_.OnAccepted(wire::Decode<TransferHeader>(body).transfer);
      return true;
    case FrameKind::kCredit:
      sender_.OnCredit(wire::Decode<TransferHeader>(body).bytes);
      return true;
  }
  return false;
}

bool PeerStream::OnPart(std::string_view body, bool last) {
  const auto header = wire::Decode<TransferHeader>(body.substr(0, kTransferHeaderBytes));
  const PartResult result =
      receiver_.OnPart(header.transfer, body.substr(kTransferHeaderBytes), last);
  return std::visit(Overloaded{[this](const AssembledMessage& message) {
                                 Deliver(message.payload);
                                 return true;
                               },
                               [](const PartsMissing&) { return true; },
                               [](const InvalidPart&) { return false; }},
                    result);
}

void PeerStream::Deliver(std::string_view payload) {
  if (callbacks_.on_message) {
    loop_.RunGuarded([&] { callbacks_.on_message(payload); });
  }
}

std::size_t PeerStream::undelivered_bytes() const {
  uv_os_fd_t fd = -1;
  if (!open() || uv_fileno(reinterpret_cast<const uv_handle_t*>(&socket_), &fd) != 0) {
    return 0;
  }
  return pending_.size() + (writing_ ? sending_.size() : 0) + ReadSocketState(fd).undelivered_bytes;
}

bool PeerStream::CheckPendingBytes() {
  if (pending_.size() + sender_.ready_bytes() > kMaxPendingBytes) {
    Close();
    return false;
  }
  return true;
}

void PeerStream::Send(MessageStreamId stream, std::string_view payload) {
  if (state_ == State::kClosed) {
    return;
  }
  if (payload.size() > wire::kMaxMessageBytes) {
    throw MessageTooLargeError("message of " + std::to_string(payload.size()) +
                               " bytes exceeds the limit of " +
                               std::to_string(wire::kMaxMessageBytes));
  }
  if (!CheckPendingBytes()) {
    return;
  }
  if (state_ == State::kOpen && !framing_ && !sender_.IsBlocked(stream) &&
      payload.size() <= wire::kMaxWholeMessageBytes) {
    AppendFrame(pending_, *signer_, MakeFrame(FrameKind::kMessage, payload));
    Flush();
    return;
  }
  sender_.Add(stream, std::string(payload));
  WriteFrames();
}

void PeerStream::SendDeferred(DeferredMessage message) {
  if (state_ == State::kClosed || !CheckPendingBytes()) {
    return;
  }
  // Runs within callbacks of the socket, where nothing else catches its exceptions.
  message.encode = [this, encode = std::move(message.encode)] {
    std::optional<std::string> payload;
    loop_.RunGuarded([&] { payload = encode(); });
    return payload;
  };
  sender_.Add(std::move(message));
  WriteFrames();
}

void PeerStream::Withdraw(MessageStreamId stream) {
  sender_.Withdraw(stream);
  WriteFrames();
}

void PeerStream::WriteFramesOf(const std::weak_ptr<PeerStream>& stream) {
  if (const auto live = stream.lock()) {
    live->WriteFrames();
  }
}

void PeerStream::WriteFrames() {
  if (state_ != State::kOpen || std::exchange(framing_, true)) {
    return;
  }
  while (const auto frame = receiver_.Next()) {
    AppendFrame(pending_, *signer_, *frame);
  }
  while (const auto frame = sender_.Next()) {
    AppendFrame(pending_, *signer_, *frame);
  }
  framing_ = false;
  Flush();
}

void PeerStream::Flush() {
  if (writing_ || pending_.empty()) {
    return;
  }
  sending_ = std::exchange(pending_, {});
  uv_buf_t buffer = uv_buf_init(sending_.data(), static_cast<unsigned>(sending_.size()));
  write_.data = this;
  writing_ = true;
  const auto on_written = [](uv_write_t* request, int status) {
    static_cast<PeerStream*>(request->data)->OnWritten(status);
  };
  if (uv_write(&write_, stream(), &buffer, 1, on_written) != 0) {
    writing_ = false;
    Close();
  }
}

void PeerStream::OnWritten(int status) {
  writing_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (status < 0) {
    Close();
    return;
  }
  Flush();
}

void PeerStream::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  handshake_timer_.Cancel();
  pending_.clear();
  sender_.Clear();
  receiver_.Clear();
  uv_close(reinterpret_cast<uv_handle_t*>(&socket_), [](uv_handle_t* handle) {
    const std::shared_ptr<PeerStream> self =
        std::move(static_cast<PeerStream*>(handle->data)->self_);
    // The callbacks may own the connection's handle; release them so that it can be destroyed.
    const PeerCallbacks callbacks = std::exchange(self->callbacks_, {});
    if (callbacks.on_closed) {
      callbacks.on_closed();
    }
  });
}

void PeerStream::CloseWithoutCallback() {
  // A callback may be running, so the callbacks are released only when the socket is closed.
  callbacks_.on_closed = nullptr;
  Close();
}

}  // namespace acaciaspring::net
