#include "src/net/http_connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "src/net/http_message.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// Responses to earlier requests that are longer than this close the connection.
constexpr std::size_t kMaxStaleBytes = std::size_t{1} << 20;

}  // namespace

void HttpConnection::Connect(const Address& server) {
  const sockaddr_in socket_address = ToSocketAddress(server);
  uv_tcp_init(loop_.raw(), &socket_);
  socket_.data = this;
  connect_.data = this;
  self_ = shared_from_this();
  closed_ = false;
  const auto on_connected = [](uv_connect_t* request, int status) {
    const auto self = static_cast<HttpConnection*>(request->data)->shared_from_this();
    if (self->closed_) {
      return;
    }
    if (status < 0) {
      self->Disconnect();
      return;
    }
    uv_tcp_nodelay(&self->socket_, 1);
    self->StartReading();
  };
  if (uv_tcp_connect(&connect_, &socket_, reinterpret_cast<const sockaddr*>(&socket_address),
                     on_connected) != 0) {
    Disconnect();
  }
}

void HttpConnection::StartReading() {
  const auto allocate = [](uv_handle_t*, size_t, uv_buf_t* buffer) {
    // Received data is consumed within the read callback, so all connections can share one buffer.
    thread_local std::array<char, 65536> shared{};
    *buffer = uv_buf_init(shared.data(), shared.size());
  };
  const auto on_read = [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    static_cast<HttpConnection*>(stream->data)->OnRead(size, buffer);
  };
  if (uv_read_start(stream(), allocate, on_read) != 0) {
    Disconnect();
    return;
  }
  if (delegate_ != nullptr) {
    delegate_->OnConnected();
  }
}

void HttpConnection::Send(OutgoingRequest outgoing) {
  request_ = std::move(outgoing);
  in_exchange_ = true;
  had_stale_ = false;
  stale_bytes_ = 0;
  StartParser();
  const std::array<uv_buf_t, 2> buffers = {
      uv_buf_init(request_.head.data(), static_cast<unsigned>(request_.head.size())),
      uv_buf_init(request_.body.data(), static_cast<unsigned>(request_.body.size()))};
  write_.data = this;
  writing_ = true;
  // A write error does not end the exchange: a server can reject a request before it has read all
  // of it, and its response may still be readable. Without a response the read fails as well.
  const auto on_written = [](uv_write_t* request, int status) {
    auto* const self = static_cast<HttpConnection*>(request->data);
    self->writing_ = false;
    self->reset_ = self->reset_ || status == UV_ECONNRESET;
  };
  if (uv_write(&write_, stream(), buffers.data(), request_.body.empty() ? 1 : 2, on_written) != 0) {
    writing_ = false;
    Disconnect();
  }
}

void HttpConnection::StartParser() {
  stale_ = false;
  parser_.Start();
}

void HttpConnection::OnRead(ssize_t size, const uv_buf_t* buffer) {
  const auto self = shared_from_this();
  if (size == 0) {
    return;
  }
  if (size == UV_EOF && in_exchange_ && CompleteOnEof()) {
    return;
  }
  if (size < 0 || !in_exchange_) {
    Disconnect();
    return;
  }
  if (delegate_ != nullptr) {
    delegate_->OnReceived();
  }
  Parse(std::string_view(buffer->base, static_cast<std::size_t>(size)));
}

bool HttpConnection::CompleteOnEof() {
  // At the end of the connection the parser completes only a response without a length.
  if (!request_.accept_close_delimited || stale_ || !HasOrderlyEnd() ||
      parser_.ParseEnd() != ResponseParser::State::kComplete) {
    return false;
  }
  FinishResponse(/*reusable=*/false);
  return true;
}

void HttpConnection::Parse(std::string_view data) {
  while (!data.empty()) {
    const ResponseParser::State state = parser_.Parse(data);
    if (closed_) {
      return;
    }
    if (state != ResponseParser::State::kComplete) {
      if (state == ResponseParser::State::kFailed) {
        DiscardInvalid();
      }
      return;
    }
    if (!stale_) {
      // A server that has sent one response twice may do so again, and a copy of a response without
      // an id could not be told from the next one.
      FinishResponse(parser_.keep_alive() && data.empty() && !writing_ && !had_stale_ && has_echo_);
      return;
    }
    if (!parser_.keep_alive()) {
      Disconnect();
      return;
    }
    StartParser();
  }
}

void HttpConnection::FinishResponse(bool reusable) {
  in_exchange_ = false;
  Delegate* const delegate = std::exchange(delegate_, nullptr);
  if (!reusable) {
    Close();
  }
  if (delegate != nullptr) {
    delegate->OnComplete(reusable);
  }
}

ResponseParser::AfterHead HttpConnection::OnResponseHead(int status, const Headers& headers) {
  using enum ResponseParser::AfterHead;
  switch (IdentifyResponse(headers)) {
    case ResponseOwner::kEarlierRequest:
      stale_ = true;
      had_stale_ = true;
      return kBody;
    case ResponseOwner::kUnknown:
      DiscardUnidentified(status);
      return kStop;
    case ResponseOwner::kCurrentRequest:
      break;
  }
  ParseKeepAliveTimeout(headers);
  if (delegate_ != nullptr) {
    delegate_->OnHead(status, headers);
  }
  if (closed_) {
    return kStop;
  }
  return request_.expects_body ? kBody : kEnd;
}

ResponseOwner HttpConnection::IdentifyResponse(const Headers& headers) {
  const bool needs_echo = !request_.echo_header.empty() && !request_.echo_value.empty();
  const std::string_view echo =
      needs_echo ? FindHeader(headers, request_.echo_header) : std::string_view();
  has_echo_ = !needs_echo || !echo.empty();
  return FindResponseOwner(
      {.request_id = needs_echo ? std::string_view(request_.echo_value) : std::string_view(),
       .echoed_id = echo,
       .has_earlier_response = std::exchange(has_response_, true)});
}

void HttpConnection::DiscardUnidentified(int status) {
  Delegate* const delegate = std::exchange(delegate_, nullptr);
  Close();
  if (delegate != nullptr) {
    delegate->OnUnidentifiedResponse(status);
  }
}

void HttpConnection::DiscardInvalid() {
  Delegate* const delegate = std::exchange(delegate_, nullptr);
  Close();
  if (delegate != nullptr) {
    delegate->OnInvalidResponse();
  }
}

void HttpConnection::ParseKeepAliveTimeout(const Headers& headers) {
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view value = FindHeader(headers, "keep-alive");
  const std::size_t found = value.find(kParameter);
  if (found == std::string_view::npos) {
    return;
  }
  const std::string_view digits = value.substr(found + kParameter.size());
  std::uint32_t seconds = 0;
  if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc()) {
    keep_alive_timeout_ = std::chrono::seconds(seconds);
  }
}

bool HttpConnection::OnResponseBody(std::string_view data) {
  if (stale_) {
    stale_bytes_ += data.size();
    return stale_bytes_ <= kMaxStaleBytes;
  }
  if (delegate_ != nullptr) {
    delegate_->OnData(data);
  }
  return !closed_;
}

void HttpConnection::Disconnect() {
  Delegate* const delegate = std::exchange(delegate_, nullptr);
  Close();
  if (delegate != nullptr) {
    delegate->OnDisconnected();
  }
}

void HttpConnection::Close() {
  delegate_ = nullptr;
  if (closed_) {
    return;
  }
  closed_ = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&socket_), [](uv_handle_t* handle) {
    const std::shared_ptr<HttpConnection> self =
        std::move(static_cast<HttpConnection*>(handle->data)->self_);
  });
}

HttpConnection::ReceiveState HttpConnection::PeekReceiveState() {
  uv_os_fd_t fd = -1;
  if (closed_ || uv_fileno(reinterpret_cast<uv_handle_t*>(&socket_), &fd) != 0) {
    return ReceiveState::kFailed;
  }
  char byte = 0;
  const ssize_t received = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return ReceiveState::kData;
  }
  if (received == 0) {
    return ReceiveState::kEnd;
  }
  return errno == EAGAIN || errno == EINTR ? ReceiveState::kOpen : ReceiveState::kFailed;
}

bool HttpConnection::HasOrderlyEnd() {
  // libuv reports UV_EOF without a further read when a hang-up follows the data that it has read,
  // also if the hang-up is a reset. The error of a reset is returned only once, by the read or by a
  // write that came before it.
  return !reset_ && PeekReceiveState() == ReceiveState::kEnd;
}

bool HttpConnection::IsUsable() {
  // The server may have closed the connection without the loop having processed it yet.
  return PeekReceiveState() == ReceiveState::kOpen;
}

}  // namespace acaciaspring::net
