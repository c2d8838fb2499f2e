#include "src/net/http_exchange.h"

#include <algorithm>
#include <utility>

#include "src/net/http_message.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

std::string BuildRequestHead(const HttpClientRequest& request) {
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
  return head + "connection: keep-alive\r\n\r\n";
}

bool IsNonEmptyWithoutBlanks(std::string_view text) {
  return !text.empty() && text.find_first_of(" \t") == std::string_view::npos;
}

/// @brief True when method, target and headers can be sent as they are.
bool IsSendable(const HttpClientRequest& request) {
  return IsNonEmptyWithoutBlanks(request.method) && IsHeaderText(request.method) &&
         IsNonEmptyWithoutBlanks(request.target) && IsHeaderText(request.target) &&
         std::all_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
           return IsNonEmptyWithoutBlanks(header.first) && IsHeaderText(header.first) &&
                  header.first.find(':') == std::string::npos && IsHeaderText(header.second);
         });
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

void HttpExchange::Start(const std::shared_ptr<HttpPool>& pool) {
  ToSocketAddress(request_.server);
  if (!IsSendable(request_)) {
    Finish(HttpNotSent{});
    return;
  }
  pool_ = pool;
  started_at_ = loop_.Now();
  last_activity_ = started_at_;
  ArmTimer(std::min(request_.io_timeout, request_.connect_timeout));
  connection_ = pool->Acquire(request_.server);
  if (connection_ != nullptr) {
    connection_->SetDelegate(this);
    OnConnected();
    return;
  }
  connection_ = std::make_shared<HttpConnection>(loop_);
  connection_->SetDelegate(this);
  connection_->Connect(request_.server);
}

void HttpExchange::OnConnected() {
  last_activity_ = loop_.Now();
  sent_ = true;
  std::string head = BuildRequestHead(request_);
  connection_->Send({.head = std::move(head),
                     .body = std::move(request_.body),
                     .expects_body = request_.method != "HEAD",
                     .echo_header = request_.echo_header,
                     .echo_value = request_.echo_value,
                     .accept_close_delimited = request_.accept_close_delimited});
}

void HttpExchange::OnReceived() {
  last_activity_ = loop_.Now();
}

void HttpExchange::OnHead(int status, const Headers& headers) {
  const auto self = shared_from_this();
  status_ = status;
  if (callbacks_.on_head) {
    RunCallback([&] { callbacks_.on_head(status, headers); });
  }
}

void HttpExchange::RunCallback(const std::function<void()>& callback) {
  in_callback_ = true;
  const bool succeeded = loop_.RunGuarded(callback);
  if (!succeeded && !ended_ && !has_result_) {
    connection_->Close();
    connection_.reset();
    Finish(HttpInterrupted{});
  }
  in_callback_ = false;
  if (ended_) {
    ReleaseCallbacks();
  }
}

void HttpExchange::OnData(std::string_view data) {
  const auto self = shared_from_this();
  if (callbacks_.on_data && !has_result_) {
    RunCallback([&] { callbacks_.on_data(data); });
  }
}

void HttpExchange::OnComplete(bool reusable) {
  const auto connection = std::exchange(connection_, nullptr);
  if (reusable) {
    if (const auto pool = pool_.lock()) {
      pool->Release(request_.server, connection);
    } else {
      connection->Close();
    }
  }
  Finish(HttpFinished{.status = status_});
}

void HttpExchange::OnDisconnected() {
  connection_.reset();
  if (sent_) {
    Finish(HttpInterrupted{});
  } else {
    Finish(HttpNotSent{});
  }
}

void HttpExchange::OnUnidentifiedResponse(int status) {
  connection_.reset();
  Finish(HttpInterrupted{.unidentified_status = status});
}

void HttpExchange::OnInvalidResponse() {
  connection_.reset();
  Finish(HttpInterrupted{.invalid_response = true});
}

void HttpExchange::ArmTimer(Duration delay) {
  timer_ =
      loop_.After(std::min(delay, std::max(RemainingTotal(), Duration(0))), [this] { OnTimer(); });
}

Duration HttpExchange::RemainingTotal() const {
  return request_.total_timeout - std::chrono::duration_cast<Duration>(loop_.Now() - started_at_);
}

void HttpExchange::OnTimer() {
  // Received bytes do not restart the timer. Instead it is rearmed here if there was activity.
  const Duration idle_time = loop_.Now() - last_activity_;
  const Duration limit =
      sent_ ? request_.io_timeout : std::min(request_.io_timeout, request_.connect_timeout);
  if (idle_time < limit && RemainingTotal() > Duration(0)) {
    ArmTimer(limit - idle_time);
    return;
  }
  connection_->Close();
  connection_.reset();
  if (sent_) {
    Finish(HttpInterrupted{.timed_out = true});
  } else {
    Finish(HttpNotSent{});
  }
}

void HttpExchange::Finish(const HttpResult& result) {
  has_result_ = true;
  result_ = result;
  timer_.Cancel();
  // Posted to the loop, so that on_done is never called from within Send and may destroy the
  // client.
  loop_.Post([self = shared_from_this()] { self->NotifyDone(); });
}

void HttpExchange::NotifyDone() {
  if (ended_) {
    return;
  }
  ended_ = true;
  const auto on_done = std::move(callbacks_.on_done);
  ReleaseCallbacks();
  if (on_done) {
    on_done(result_);
  }
}

void HttpExchange::Cancel() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  ended_ = true;
  timer_.Cancel();
  if (connection_ != nullptr) {
    connection_->Close();
    connection_.reset();
  }
  if (!in_callback_) {
    ReleaseCallbacks();
  }
}

void HttpExchange::SetIoTimeout(Duration timeout) {
  if (ended_ || has_result_) {
    return;
  }
  request_.io_timeout = timeout;
  // An exchange that is already past the new timeout ends from the loop too, not from this call.
  ArmTimer(std::max(Duration(0),
                    timeout - std::chrono::duration_cast<Duration>(loop_.Now() - last_activity_)));
}

void HttpExchange::ReleaseCallbacks() {
  // The callbacks may own the handle of this exchange, whose destructor calls Cancel.
  const HttpCallbacks released = std::exchange(callbacks_, {});
  if (const auto on_ended = std::exchange(on_ended_, nullptr)) {
    on_ended(this);
  }
}

}  // namespace acaciaspring::net
