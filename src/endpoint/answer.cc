#include "src/endpoint/answer.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "src/endpoint/json.h"

namespace acaciaspring::endpoint {

namespace {

std::uint32_t Clamp(std::uint64_t milliseconds) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(milliseconds, std::numeric_limits<std::uint32_t>::max()));
}

/// @brief From the error object of the body, or from Retry-After in seconds; 0 if neither tells.
std::uint32_t RetryAfterMs(const Answer& answer) {
  if (const auto body = ParseJson(answer.body)) {
    if (const auto delay = UnsignedMember(Member(*body, "error"), "retry_after_ms")) {
      return Clamp(*delay);
    }
  }
  const std::string_view header = net::FindHeader(answer.headers, "retry-after");
  std::uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), seconds);
  // A date is as good as no value: the clocks of endpoints are not synchronised with ours.
  if (error != std::errc() || end != header.data() + header.size()) {
    return 0;
  }
  return Clamp(std::uint64_t{seconds} * 1000);
}

Outcome OutcomeOfStatus(const Answer& answer) {
  const int status = answer.status;
  if (status >= 200 && status < 300) {
    return Completed{};
  }
  if (status == 429 || status == 503) {
    // A bare status may come from a component that failed while the call was running.
    if (answer.body.empty() && net::FindHeader(answer.headers, "retry-after").empty()) {
      return Unknown{UnknownReason::kConnectionLost};
    }
    return NotRun{
        .reason = status == 429 ? NotRunReason::kOverloaded : NotRunReason::kEndpointUnavailable,
        .retry_after_ms = RetryAfterMs(answer)};
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
  // An endpoint that fails with 5xx may have failed after the effect.
  return Unknown{UnknownReason::kConnectionLost};
}

/// @brief Owned by the handle of the user; without it the exchange ends.
class Collector : public Call, public std::enable_shared_from_this<Collector> {
 public:
  Collector(net::Loop& loop,
            Duration timeout,
            std::size_t max_bytes,
            std::function<void(Answer answer)> on_done)
      : loop_(loop),
        started_(loop.Now()),
        timeout_(timeout),
        max_bytes_(max_bytes),
        on_done_(std::move(on_done)) {}
  Collector(const Collector&) = delete;
  Collector& operator=(const Collector&) = delete;
  ~Collector() override { Cancel(); }

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
    answer_.status = status;
    answer_.headers = headers;
    // Until the first byte the exchange's own timeout holds, which knows whether anything was sent.
    const Duration elapsed = std::chrono::duration_cast<Duration>(loop_.Now() - started_);
    timer_ = loop_.After(std::max(Duration(0), timeout_ - elapsed),
                         [this] { Finish(net::HttpInterrupted{.timed_out = true}); });
  }

  void OnData(std::string_view data) {
    if (answer_.body.size() + data.size() > max_bytes_) {
      answer_.too_large = true;
      Finish(net::HttpInterrupted{});
      return;
    }
    answer_.body.append(data);
  }

  void Finish(const net::HttpResult& result) {
    const auto self = shared_from_this();
    answer_.result = result;
    const auto on_done = std::exchange(on_done_, nullptr);
    Cancel();
    if (on_done) {
      on_done(std::move(answer_));
    }
  }

  net::Loop& loop_;
  MonotonicTime started_;
  Duration timeout_;
  std::size_t max_bytes_;
  std::function<void(Answer answer)> on_done_;
  Answer answer_;
  net::Timer timer_;
  std::shared_ptr<net::HttpCall> call_;
};

}  // namespace

bool IsSuccess(const Answer& answer) {
  return std::holds_alternative<net::HttpFinished>(answer.result) && answer.status >= 200 &&
         answer.status < 300;
}

Outcome OutcomeOf(const Answer& answer) {
  if (answer.too_large) {
    return Failed{FailureReason::kTooLarge};
  }
  return std::visit(Overloaded{
                        [&](const net::HttpFinished&) { return OutcomeOfStatus(answer); },
                        [](const net::HttpNotSent&) -> Outcome {
                          return NotRun{.reason = NotRunReason::kEndpointUnavailable};
                        },
                        [](const net::HttpInterrupted& broken) -> Outcome {
                          return Unknown{broken.timed_out ? UnknownReason::kTimeout
                                                          : UnknownReason::kConnectionLost};
                        },
                    },
                    answer.result);
}

RequestFailure FailureOf(const Answer& answer) {
  using Kind = RequestFailure::Kind;
  if (answer.too_large) {
    return {.kind = Kind::kTooLarge, .status = answer.status};
  }
  return std::visit(
      Overloaded{
          [&](const net::HttpFinished&) -> RequestFailure {
            return {.kind = IsSuccess(answer) ? Kind::kInvalidAnswer : Kind::kRefused,
                    .status = answer.status};
          },
          [](const net::HttpNotSent&) -> RequestFailure { return {.kind = Kind::kNotSent}; },
          [&](const net::HttpInterrupted& broken) -> RequestFailure {
            return {.kind = broken.timed_out ? Kind::kTimeout : Kind::kConnectionLost,
                    .status = answer.status};
          },
      },
      answer.result);
}

CallPtr Collect(net::HttpClient& client,
                net::HttpClientRequest request,
                Duration timeout,
                std::size_t max_bytes,
                std::function<void(Answer answer)> on_done) {
  auto collector =
      std::make_shared<Collector>(client.loop(), timeout, max_bytes, std::move(on_done));
  collector->Start(client, std::move(request));
  return collector;
}

}  // namespace acaciaspring::endpoint
