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

HttpConnection& FromParser(http_parser* parser) {
  return *static_cast<HttpConnection*>(parser->data);
}

bool IsInformational(const http_parser& parser) {
  return parser.status_code >= 100 && parser.status_code < 200;
}

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
  complete_ = false;
  stale_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  headers_.clear();
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
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
      http_parser_execute(&parser_, &ParserSettings(), nullptr, 0) != 0 || !complete_) {
    return false;
  }
  FinishResponse(/*reusable=*/false);
  return true;
}

void HttpConnection::Parse(std::string_view data) {
  while (!data.empty()) {
    const std::size_t parsed =
        http_parser_execute(&parser_, &ParserSettings(), data.data(), data.size());
    if (closed_) {
      return;
    }
    if (!complete_) {
      if (parsed != data.size() || parser_.upgrade != 0U || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        Disconnect();
      }
      return;
    }
    data.remove_prefix(parsed);
    if (!stale_) {
      // A server that has sent one response twice may do so again, and a copy of a response without
      // an id could not be told from the next one.
      FinishResponse(keep_alive_ && data.empty() && !writing_ && !had_stale_ && has_echo_);
      return;
    }
    if (!keep_alive_) {
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

const http_parser_settings& HttpConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks{};
    callbacks.on_header_field = [](http_parser* parser, const char* data, size_t size) {
      HttpConnection& self = FromParser(parser);
      if (self.in_header_value_) {
        self.StoreHeader();
      }
      self.header_name_.append(data, size);
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* data, size_t size) {
      // Also called, with no bytes, for a header without a value.
      FromParser(parser).in_header_value_ = true;
      FromParser(parser).header_value_.append(data, size);
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return FromParser(parser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* parser, const char* data, size_t size) {
      return FromParser(parser).OnBody(std::string_view(data, size));
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      return FromParser(parser).OnMessageComplete();
    };
    return callbacks;
  }();
  return settings;
}

void HttpConnection::StoreHeader() {
  headers_.emplace_back(LowerCase(header_name_), std::move(header_value_));
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

int HttpConnection::OnHeadersComplete() {
  constexpr int kNoBody = 1;
  constexpr int kStop = -1;
  if (in_header_value_) {
    StoreHeader();
  }
  if (IsInformational(parser_)) {
    headers_.clear();
    return 0;
  }
  const int status = static_cast<int>(parser_.status_code);
  switch (IdentifyResponse()) {
    case ResponseOwner::kEarlierRequest:
      stale_ = true;
      had_stale_ = true;
      return 0;
    case ResponseOwner::kUnknown:
      DiscardUnidentified(status);
      return kStop;
    case ResponseOwner::kCurrentRequest:
      break;
  }
  ParseKeepAliveTimeout();
  if (delegate_ != nullptr) {
    delegate_->OnHead(status, headers_);
  }
  if (closed_) {
    return kStop;
  }
  return request_.expects_body ? 0 : kNoBody;
}

ResponseOwner HttpConnection::IdentifyResponse() {
  const bool needs_echo = !request_.echo_header.empty() && !request_.echo_value.empty();
  const std::string_view echo =
      needs_echo ? FindHeader(headers_, request_.echo_header) : std::string_view();
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

void HttpConnection::ParseKeepAliveTimeout() {
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view value = FindHeader(headers_, "keep-alive");
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

int HttpConnection::OnBody(std::string_view data) {
  if (stale_) {
    stale_bytes_ += data.size();
    return stale_bytes_ > kMaxStaleBytes ? 1 : 0;
  }
  if (delegate_ != nullptr) {
    delegate_->OnData(data);
  }
  return closed_ ? 1 : 0;
}

int HttpConnection::OnMessageComplete() {
  if (IsInformational(parser_)) {
    return 0;
  }
  complete_ = true;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  // Stop the parser at the end of the message: the bytes after it are not part of this response.
  http_parser_pause(&parser_, 1);
  return 0;
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
