#include "src/net/http_responder.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "src/net/http_message.h"
#include "src/net/pipelined_input.h"
#include "src/net/socket_state.h"

namespace acaciaspring::net {

H2oResponder::H2oResponder(Loop& loop,
                           h2o_req_t* request,
                           const uv_stream_t* stream,
                           std::shared_ptr<const bool> keep_alive)
    : loop_(loop),
      request_(request),
      stream_(stream),
      keep_alive_(std::move(keep_alive)),
      generator_{.base = {.proceed =
                              [](h2o_generator_t* self, h2o_req_t*) {
                                reinterpret_cast<Generator*>(self)->responder->OnProceed();
                              },
                          // h2o disposes of the request next, which OnDisposed handles.
                          .stop = [](h2o_generator_t*, h2o_req_t*) {}},
                 .responder = this},
      head_only_(ToStringView(request->method) == "HEAD") {}

void H2oResponder::Start(int status, const Headers& headers) {
  if (closed() || started_) {
    return;
  }
  // h2o does not write the head before the first byte of the body.
  SetHead(status, headers, SIZE_MAX);
}

void H2oResponder::Write(std::string_view data) {
  if (closed() || !started_ || head_only_) {
    return;
  }
  pending_.append(data);
  Flush();
}

void H2oResponder::End() {
  if (closed() || !started_) {
    return;
  }
  ended_ = true;
  Flush();
}

void H2oResponder::Abort() {
  if (!closed()) {
    AbortWithoutCallback();
  }
}

void H2oResponder::Respond(int status, const Headers& headers, std::string_view body) {
  if (closed() || started_) {
    return;
  }
  SetHead(status, headers, body.size());
  if (!head_only_) {
    pending_.assign(body);
  }
  ended_ = true;
  Flush();
}

std::size_t H2oResponder::pending_bytes() const {
  return pending_.size();
}

std::size_t H2oResponder::buffered_bytes() const {
  return request_ == nullptr || connection_lost_ ? 0 : pending_.size() + sending_.size();
}

std::uint64_t H2oResponder::delivered_bytes() {
  if (request_ != nullptr && !connection_lost_) {
    // The socket may also hold heads and chunk sizes, so this can be a little too low.
    const std::size_t unacknowledged = UnacknowledgedBytes();
    if (handed_over_bytes_ > unacknowledged) {
      delivered_bytes_ = std::max(delivered_bytes_, handed_over_bytes_ - unacknowledged);
    }
  }
  return delivered_bytes_;
}

std::size_t H2oResponder::UnacknowledgedBytes() const {
  return uv_stream_get_write_queue_size(stream_) +
         ReadSocketState(FileDescriptor()).undelivered_bytes;
}

bool H2oResponder::closed() const {
  return ended_ || connection_lost_ || request_ == nullptr;
}

void H2oResponder::OnClosed(std::function<void()> callback) {
  on_closed_ = std::move(callback);
}

void H2oResponder::SetHead(int status, const Headers& headers, std::size_t content_length) {
  started_ = true;
  request_->res.content_length = content_length;
  request_->res.status = status;
  request_->res.reason = ReasonPhrase(status);
  for (const auto& [original_name, original_value] : headers) {
    const std::string name = LowerCase(original_name);
    // A line break in a name or value would inject further headers.
    if (IsFramingHeader(name) || !IsHeaderText(name) || !IsHeaderText(original_value)) {
      continue;
    }
    const h2o_iovec_t value =
        h2o_strdup(&request_->pool, original_value.data(), original_value.size());
    const h2o_iovec_t key = h2o_strdup(&request_->pool, name.data(), name.size());
    h2o_add_header_by_str(&request_->pool, &request_->res.headers, key.base, key.len,
                          /*maybe_token=*/1, nullptr, value.base, value.len);
  }
  h2o_start_response(request_, &generator_.base);
}

void H2oResponder::Flush() {
  if (in_flight_ || final_sent_ || connection_lost_ || request_ == nullptr ||
      (pending_.empty() && !ended_)) {
    return;
  }
  if (!std::exchange(head_sent_, true) && !*keep_alive_ && !HasPipelinedInput(*request_)) {
    request_->http1_is_persistent = 0;
  }
  sending_ = std::exchange(pending_, {});
  in_flight_ = true;
  final_sent_ = ended_;
  progress_at_ = loop_.Now();
  unacknowledged_at_progress_ = SIZE_MAX;
  handed_over_bytes_ += sending_.size();
  h2o_iovec_t buffer = ToIovec(sending_);
  h2o_send(request_, &buffer, sending_.empty() ? 0 : 1,
           ended_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void H2oResponder::OnProceed() {
  const auto self = shared_from_this();
  in_flight_ = false;
  // Releases the memory, which clear() would keep until the end of the response.
  sending_ = std::string();
  Flush();
}

void H2oResponder::OnDisposed() {
  request_ = nullptr;
  // After the final send h2o does not report whether the response was written or the connection
  // failed, so it counts as written.
  if (!final_sent_) {
    HandleConnectionLoss();
  }
  on_closed_ = nullptr;
}

void H2oResponder::HandleConnectionLoss() {
  connection_lost_ = true;
  pending_.clear();
  if (auto callback = std::exchange(on_closed_, nullptr)) {
    // The callback may destroy the server, which h2o does not allow from within its callbacks.
    loop_.Post([self = weak_from_this(), callback = std::move(callback)] {
      if (const auto responder = self.lock()) {
        callback();
      }
    });
  }
}

void H2oResponder::CheckConnection(Duration io_timeout) {
  if (request_ == nullptr || connection_lost_) {
    return;
  }
  if (in_flight_) {
    const std::size_t unacknowledged = UnacknowledgedBytes();
    if (unacknowledged < unacknowledged_at_progress_) {
      // The first check of a send sets the size to compare with; it is not progress.
      if (unacknowledged_at_progress_ != SIZE_MAX) {
        progress_at_ = loop_.Now();
      }
      unacknowledged_at_progress_ = unacknowledged;
    }
    if (loop_.Now() - progress_at_ > io_timeout) {
      // Makes the pending write fail, after which h2o disposes of the request.
      stalled_ = true;
      Disconnect();
    }
    return;
  }
  char byte = 0;
  const ssize_t received = recv(FileDescriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR)) {
    HandleConnectionLoss();
    AbortConnection();
  }
}

void H2oResponder::AbortWithoutCallback() {
  on_closed_ = nullptr;
  if (request_ != nullptr && !connection_lost_) {
    connection_lost_ = true;
    pending_.clear();
    AbortConnection();
  }
}

void H2oResponder::Disconnect() {
  const int fd = FileDescriptor();
  const bool has_length = request_->res.content_length != SIZE_MAX;
  const bool is_chunked =
      h2o_find_header(&request_->res.headers, H2O_TOKEN_TRANSFER_ENCODING, -1) != -1;
  if (head_sent_ && !has_length && !is_chunked) {
    // An orderly end of the connection would complete the response, so it is reset instead: on
    // Linux, by connecting the socket to an AF_UNSPEC address. h2o uses no chunks for HTTP/1.0 and
    // for a status other than 200.
    const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
    static_cast<void>(connect(fd, &unspecified, sizeof(unspecified)));
  } else {
    shutdown(fd, SHUT_RDWR);
  }
}

void H2oResponder::AbortConnection() {
  request_->http1_is_persistent = 0;
  if (!started_) {
    started_ = true;
    request_->res.status = 503;
    request_->res.reason = ReasonPhrase(503);
    h2o_start_response(request_, &generator_.base);
  }
  if (!in_flight_ && !final_sent_) {
    final_sent_ = true;
    in_flight_ = true;
    Disconnect();
    h2o_send(request_, nullptr, 0, H2O_SEND_STATE_ERROR);
    return;
  }
  Disconnect();
}

int H2oResponder::FileDescriptor() const {
  return h2o_socket_get_fd(request_->conn->callbacks->get_socket(request_->conn));
}

}  // namespace acaciaspring::net
