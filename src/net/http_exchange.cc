#include "src/net/http_exchange.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "src/net/http_message.h"

namespace acaciaspring::net {

namespace {

std::string MakeHead(const HttpClientRequest& request, bool keep_alive) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "host").empty()) {
    head += "host: " + request.server.ToString() + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    if (!IsFramingHeader(name)) {
      head += name + ": " + value + "\r\n";
    }
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += keep_alive ? "connection: keep-alive\r\n\r\n" : "connection: close\r\n\r\n";
  return head;
}

HttpExchange& FromClient(h2o_http1client_t* client) {
  return *static_cast<HttpExchange*>(client->data);
}

bool IsEndOfStream(const char* error) {
  return error == h2o_http1client_error_is_eos;
}

bool HasNoSpace(std::string_view text) {
  return !text.empty() && text.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace

HttpExchange::HttpExchange(Loop& loop,
                           HttpClientRequest request,
                           HttpCallbacks callbacks,
                           std::function<void(HttpExchange*)> on_ended)
    : loop_(loop),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      on_ended_(std::move(on_ended)) {
  for (auto& [name, value] : request_.headers) {
    name = LowerCase(name);
  }
}

bool HttpExchange::IsSendable(const HttpClientRequest& request) {
  return HasNoSpace(request.method) && IsHeaderText(request.method) && HasNoSpace(request.target) &&
         IsHeaderText(request.target) &&
         std::all_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
           return HasNoSpace(header.first) && IsHeaderText(header.first) &&
                  header.first.find(':') == std::string::npos && IsHeaderText(header.second);
         });
}

void HttpExchange::Start(h2o_http1client_ctx_t& context, h2o_socketpool_t& pool, bool keep_alive) {
  head_ = MakeHead(request_, keep_alive);
  last_activity_ = loop_.Now();
  ArmTimer(request_.io_timeout);
  // The connection can be ready within the call, and the exchange can have failed at its end.
  const auto self = shared_from_this();
  h2o_http1client_t* client = nullptr;
  in_callback_ = true;
  h2o_http1client_connect_with_pool(&client, this, &context, &pool, OnConnect);
  in_callback_ = false;
  if (!finished_) {
    client_ = client;
  }
}

h2o_http1client_head_cb HttpExchange::OnConnect(h2o_http1client_t* client,
                                                const char* error,
                                                h2o_iovec_t** buffers,
                                                size_t* buffer_count,
                                                int* method_is_head) {
  HttpExchange& self = FromClient(client);
  if (error != nullptr) {
    self.client_ = nullptr;
    self.Finish(HttpNotSent{});
    return nullptr;
  }
  const int enabled = 1;
  setsockopt(h2o_socket_get_fd(client->sock), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  self.sent_ = true;
  self.last_activity_ = self.loop_.Now();
  self.buffers_ = {ToIovec(self.head_), ToIovec(self.request_.body)};
  *buffers = self.buffers_.data();
  *buffer_count = self.request_.body.empty() ? 1 : 2;
  *method_is_head = self.request_.method == "HEAD" ? 1 : 0;
  return OnHead;
}

h2o_http1client_body_cb HttpExchange::OnHead(h2o_http1client_t* client,
                                             const char* error,
                                             int /*minor_version*/,
                                             int status,
                                             h2o_iovec_t /*message*/,
                                             h2o_header_t* headers,
                                             size_t header_count,
                                             int /*head_size*/) {
  const auto self = FromClient(client).shared_from_this();
  Headers converted;
  converted.reserve(header_count);
  for (size_t i = 0; i < header_count; ++i) {
    converted.emplace_back(LowerCase(View(*headers[i].name)), View(headers[i].value));
  }
  self->in_callback_ = true;
  const h2o_http1client_body_cb next = self->ReceiveHead(error, status, std::move(converted));
  self->in_callback_ = false;
  if (self->cancelled_) {
    self->client_ = nullptr;
    self->ReleaseCallbacks();
    return nullptr;
  }
  return next;
}

h2o_http1client_body_cb HttpExchange::ReceiveHead(const char* error, int status, Headers headers) {
  last_activity_ = loop_.Now();
  if (error != nullptr && !IsEndOfStream(error)) {
    client_ = nullptr;
    Finish(HttpInterrupted{});
    return nullptr;
  }
  status_ = status;
  ends_with_connection_ = FindHeader(headers, "content-length").empty() &&
                          LowerCase(FindHeader(headers, "transfer-encoding")) != "chunked";
  if (callbacks_.on_head) {
    callbacks_.on_head(status, headers);
  }
  if (cancelled_) {
    return nullptr;
  }
  if (IsEndOfStream(error)) {
    client_ = nullptr;
    Finish(HttpFinished{.status = status_});
    return nullptr;
  }
  return OnBody;
}

int HttpExchange::OnBody(h2o_http1client_t* client, const char* error) {
  const auto self = FromClient(client).shared_from_this();
  self->last_activity_ = self->loop_.Now();
  self->in_callback_ = true;
  if (error == nullptr || IsEndOfStream(error)) {
    self->DeliverBody(&client->sock->input);
  }
  self->in_callback_ = false;
  if (self->cancelled_) {
    self->client_ = nullptr;
    self->ReleaseCallbacks();
    return 1;
  }
  if (error == nullptr) {
    return 0;
  }
  self->client_ = nullptr;
  if (IsEndOfStream(error) && !self->ends_with_connection_) {
    self->Finish(HttpFinished{.status = self->status_});
  } else {
    self->Finish(HttpInterrupted{});
  }
  return 0;
}

void HttpExchange::DeliverBody(h2o_buffer_t** input) {
  const std::size_t size = (*input)->size;
  if (size > 0 && callbacks_.on_data) {
    callbacks_.on_data(std::string_view((*input)->bytes, size));
  }
  h2o_buffer_consume(input, size);
}

void HttpExchange::ArmTimer(Duration delay) {
  timer_ = loop_.After(delay, [this] { OnTimer(); });
}

void HttpExchange::OnTimer() {
  const auto self = shared_from_this();
  const Duration silence = loop_.Now() - last_activity_;
  if (silence < request_.io_timeout) {
    ArmTimer(request_.io_timeout - silence);
    return;
  }
  if (client_ != nullptr) {
    h2o_http1client_cancel(std::exchange(client_, nullptr));
  }
  if (sent_) {
    Finish(HttpInterrupted{.timed_out = true});
  } else {
    Finish(HttpNotSent{});
  }
}

void HttpExchange::Finish(const HttpResult& result) {
  if (finished_ || cancelled_) {
    return;
  }
  finished_ = true;
  result_ = result;
  timer_.Cancel();
  // Called from the loop, so that on_done is never called from within Send and may destroy the
  // client, and so that the connection is back in the pool before the next request is sent.
  loop_.Post([self = shared_from_this()] { self->Report(); });
}

void HttpExchange::Report() {
  if (cancelled_) {
    return;
  }
  cancelled_ = true;
  const auto on_done = std::move(callbacks_.on_done);
  ReleaseCallbacks();
  if (on_done) {
    on_done(result_);
  }
}

void HttpExchange::Cancel() {
  if (cancelled_) {
    return;
  }
  const auto self = shared_from_this();
  cancelled_ = true;
  timer_.Cancel();
  if (in_callback_) {
    return;
  }
  if (client_ != nullptr) {
    h2o_http1client_cancel(std::exchange(client_, nullptr));
  }
  ReleaseCallbacks();
}

void HttpExchange::ReleaseCallbacks() {
  // The callbacks may own the handle of this exchange, whose destructor calls back.
  const HttpCallbacks released = std::exchange(callbacks_, {});
  if (const auto on_ended = std::exchange(on_ended_, nullptr)) {
    on_ended(this);
  }
}

}  // namespace acaciaspring::net
