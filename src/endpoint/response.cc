#include "src/endpoint/response.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "src/endpoint/json.h"

namespace acaciaspring::endpoint {

namespace {

std::uint32_t ClampToUint32(std::uint64_t milliseconds) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(milliseconds, std::numeric_limits<std::uint32_t>::max()));
}

/// @brief The retry delay from the error object of the body, otherwise from a Retry-After header in
/// seconds; 0 if there is neither.
std::uint32_t RetryAfterMs(const Response& response) {
  if (const auto body = ParseJson(response.body)) {
    if (const auto delay = UnsignedMember(Member(*body, "error"), "retry_after_ms")) {
      return ClampToUint32(*delay);
    }
  }
  const std::string_view header = net::FindHeader(response.headers, "retry-after");
  std::uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), seconds);
  // A date in Retry-After is ignored: the clocks of endpoints are not synchronised with this host.
  if (error != std::errc() || end != header.data() + header.size()) {
    return 0;
  }
  return ClampToUint32(std::uint64_t{seconds} * 1000);
}

Outcome OutcomeForStatus(const Response& response) {
  const int status = response.status;
  if (status >= 200 && status < 300) {
    return Completed{};
  }
  if (status == 429 || status == 503) {
    // A status without body and Retry-After may come from a proxy or another component that failed
    // while the call was running.
    if (response.body.empty() && net::FindHeader(response.headers, "retry-after").empty()) {
      return Unknown{UnknownReason::kConnectionLost};
    }
    return NotRun{
        .reason = status == 429 ? NotRunReason::kOverloaded : NotRunReason::kEndpointUnavailable,
        .retry_after_ms = RetryAfterMs(response)};
  }
  if (status == 413) {
    return Failed{FailureReason::kTooLarge};
  }
  if (status >= 400 && status < 500) {
    return Failed{FailureReason::kRefusedByService};
  }
  if (status >= 300 && status < 400) {
    return Failed{FailureReason::kInvalidAnswer};
  }
  // An endpoint that responds with another 5xx status may have failed after the call took effect.
  return Unknown{UnknownReason::kConnectionLost};
}

/// @brief Receives one response. Owned by the caller of Execute; its destructor aborts the
/// exchange.
class ResponseCollector : public Call, public std::enable_shared_from_this<ResponseCollector> {
 public:
  ResponseCollector(net::Loop& loop,
                    Duration timeout,
                    std::size_t max_bytes,
                    std::function<void(Response response)> on_done)
      : loop_(loop),
        started_at_(loop.Now()),
        timeout_(timeout),
        max_bytes_(max_bytes),
        on_done_(std::move(on_done)) {}
  ResponseCollector(const ResponseCollector&) = delete;
  ResponseCollector& operator=(const ResponseCollector&) = delete;
  ~ResponseCollector() override { Cancel(); }

  void Start(net::HttpClient& client, net::HttpClientRequest request) {
    request.io_timeout = timeout_;
    call_ = client.Send(
        std::move(request),
        {.on_head = [this](int status, const net::Headers& headers) { OnHead(status, headers); },
         .on_data = [this](std::string_view data) { OnData(data); },
         .on_done = [this](const net::HttpResult& result) { Finish(result); }});
  }

  void Cancel() override {
    timer_.Cancel();
    call_.reset();
    on_done_ = nullptr;
  }

 private:
  void OnHead(int status, const net::Headers& headers) {
    response_.status = status;
    response_.headers = headers;
    // Until the response head arrives, the I/O timeout of the HTTP call applies: its result tells
    // whether the request was sent.
    const Duration elapsed = std::chrono::duration_cast<Duration>(loop_.Now() - started_at_);
    timer_ = loop_.After(std::max(Duration(0), timeout_ - elapsed),
                         [this] { Finish(net::HttpInterrupted{.timed_out = true}); });
  }

  void OnData(std::string_view data) {
    if (response_.body.size() + data.size() > max_bytes_) {
      response_.too_large = true;
      Finish(net::HttpInterrupted{});
      return;
    }
    response_.body.append(data);
  }

  void Finish(const net::HttpResult& result) {
    const auto self = shared_from_this();
    response_.result = result;
    const auto on_done = std::exchange(on_done_, nullptr);
    Cancel();
    if (on_done) {
      on_done(std::move(response_));
    }
  }

  net::Loop& loop_;
  MonotonicTime started_at_;
  Duration timeout_;
  std::size_t max_bytes_;
  std::function<void(Response response)> on_done_;
  Response response_;
  net::Timer timer_;
  std::shared_ptr<net::HttpCall> call_;
};

}  // namespace

bool IsSuccess(const Response& response) {
  return std::holds_alternative<net::HttpFinished>(response.result) && response.status >= 200 &&
         response.status < 300;
}

Outcome ToOutcome(const Response& response) {
  if (response.too_large) {
    return Failed{FailureReason::kTooLarge};
  }
  return std::visit(Overloaded{
                        [&](const net::HttpFinished&) { return OutcomeForStatus(response); },
                        [](const net::HttpNotSent&) -> Outcome {
                          return NotRun{.reason = NotRunReason::kEndpointUnavailable};
                        },
                        [](const net::HttpInterrupted& interrupted) -> Outcome {
                          return Unknown{interrupted.timed_out ? UnknownReason::kTimeout
                                                               : UnknownReason::kConnectionLost};
                        },
                    },
                    response.result);
}

RequestFailure ToRequestFailure(const Response& response) {
  using Kind = RequestFailure::Kind;
  if (response.too_large) {
    return {.kind = Kind::kTooLarge, .status = response.status};
  }
  return std::visit(
      Overloaded{
          [&](const net::HttpFinished&) -> RequestFailure {
            return {.kind = IsSuccess(response) ? Kind::kInvalidAnswer : Kind::kRefused,
                    .status = response.status};
          },
          [](const net::HttpNotSent&) -> RequestFailure { return {.kind = Kind::kNotSent}; },
          [&](const net::HttpInterrupted& interrupted) -> RequestFailure {
            return {.kind = interrupted.timed_out ? Kind::kTimeout : Kind::kConnectionLost,
                    .status = response.status};
          },
      },
      response.result);
}

CallPtr Execute(net::HttpClient& client,
                net::HttpClientRequest request,
                Duration timeout,
                std::size_t max_bytes,
                std::function<void(Response response)> on_done) {
  auto collector =
      std::make_shared<ResponseCollector>(client.loop(), timeout, max_bytes, std::move(on_done));
  collector->Start(client, std::move(request));
  return collector;
}

}  // namespace acaciaspring::endpoint
