#include "src/gateway/endpoint_call.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// A connection within a region opens in a few milliseconds; an endpoint that takes longer has
// stopped or its connection backlog is full.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Attempts that were not executed may be repeated this many times beyond the route's limit, which
// counts executions.
constexpr std::uint32_t kMaxRejections = 3;
// Buffered responses that are larger than this are forwarded before they are complete.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10;
// Minimum time for an attempt of an idempotent request before another endpoint is tried.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(250);
// The body of a rejection is read so that the connection can be used again, but a faulty endpoint
// may send it without end.
constexpr std::size_t kMaxRejectionBytes = std::size_t{16} << 10;
constexpr Duration kMaxRejectionTime = std::chrono::milliseconds(100);

}  // namespace

EndpointCall::EndpointCall(Context& context, CallPlan plan, CallCallbacks callbacks)
    : context_(context),
      plan_(std::move(plan)),
      held_(context.buffers, 2 * plan_.body.size()),
      callbacks_(std::move(callbacks)) {}

bool EndpointCall::IsStream() const {
  return plan_.kind == RequestKind::kStream || plan_.kind == RequestKind::kResumableStream;
}

bool EndpointCall::HasEvents() const {
  return IsStream() && status_ < 300;
}

bool EndpointCall::MayRunAgain() const {
  return plan_.kind == RequestKind::kIdempotent && !delivering_;
}

void EndpointCall::Start() {
  const auto remaining = std::chrono::duration_cast<Duration>(plan_.deadline - context_.loop.Now());
  deadline_timer_ = context_.loop.After(std::max(remaining, Duration(0)), [this] { OnDeadline(); });
  if (plan_.prompt.shared_prefix) {
    context_.endpoints.OnDemand(plan_.service, *plan_.prompt.shared_prefix, context_.loop.Now());
  }
  Attempt();
}

EndpointQuery EndpointCall::MakeQuery() const {
  return {.service = plan_.service,
          .preferred = plan_.preferred,
          .excluded = tried_endpoints_,
          .prompt = plan_.prompt};
}

bool EndpointCall::RefuseIfKeyInvalid() {
  if (!plan_.credential) {
    return false;
  }
  const auto decision = context_.caller_keys.Check(*plan_.credential, net::Loop::BootNow());
  return std::visit(Overloaded{[](const organisations::KeyHolds&) { return false; },
                               [&](const organisations::KeyRefused&) {
                                 FinishLater(NotRun{.reason = NotRunReason::kKeyRefused});
                                 return true;
                               },
                               [&](const organisations::KeyUnconfirmed&) {
                                 FinishLater(NotRun{.reason = NotRunReason::kKeyUnconfirmed});
                                 return true;
                               }},
                    decision);
}

void EndpointCall::Attempt() {
  if (RefuseIfQuarantined() || RefuseIfKeyInvalid() || !HasOrganisationPermit()) {
    return;
  }
  CountPassedOver();
  const MonotonicTime now = context_.loop.Now();
  const PermitQueue& queue = context_.waiting_calls.queue();
  const bool others_first = queue.CountAhead(plan_.service, plan_.priority) > 0 &&
                            context_.endpoints.ForecastPermit(MakeQuery(), now).has_value();
  if (!others_first && TryAttempt()) {
    return;
  }
  const auto forecast = context_.endpoints.ForecastPermit(MakeQuery(), now);
  if (!forecast) {
    FinishWithoutEndpoint();
    return;
  }
  std::visit(Overloaded{[&](const WaitForPermit& wait) { Wait(wait, *forecast); },
                        [&](const RefuseCall& refuse) { FinishRateLimited(refuse.retry_after); }},
             queue.Decide(plan_.service, plan_.priority, *forecast, now, plan_.deadline));
}

void EndpointCall::FinishLater(const NotRun& not_run) {
  const Outcome outcome = possible_runs_ == 0
                              ? Outcome(not_run)
                              : Outcome(Unknown{.reason = UnknownReason::kConnectionLost});
  // Posted, so that no callback runs before Start returns.
  context_.loop.Post([weak = weak_from_this(), outcome] {
    if (const auto self = weak.lock()) {
      self->Finish(outcome);
    }
  });
}

bool EndpointCall::TryAttempt() {
  const RegisteredEndpoint* endpoint =
      context_.endpoints.Choose(MakeQuery(), context_.loop.Now(), context_.random);
  if (endpoint == nullptr) {
    return false;
  }
  StopWaiting();
  attempt_permit_ = std::exchange(permit_, std::nullopt);
  endpoint_ = endpoint->id;
  endpoint_started_at_ms_ = endpoint->started_at_ms;
  endpoint_address_ = endpoint->address;
  tried_endpoints_.push_back(endpoint->id);
  ++attempts_;
  rejected_ = false;
  received_bytes_ = 0;
  status_ = 0;
  buffered_body_.clear();
  in_flight_ = true;
  attempt_started_ = context_.loop.Now();
  events_ = 0;
  stream_boundary_ = {};
  context_.endpoints.OnStarted(endpoint_, attempt_started_);
  if (plan_.kind == RequestKind::kIdempotent && possible_runs_ + 1 < plan_.max_attempts) {
    const auto remaining =
        std::chrono::duration_cast<Duration>(plan_.deadline - context_.loop.Now());
    attempt_timer_ = context_.loop.After(std::max(kMinAttemptTime, remaining / 3),
                                         [this] { OnAttemptTimeout(); });
  }
  http_call_ = context_.client.Send(
      MakeRequest(*endpoint),
      {.on_head = [this](int status, const net::Headers& headers) { OnHead(status, headers); },
       .on_data = [this](std::string_view data) { OnData(data); },
       .on_done =
           [this](const net::HttpResult& result) {
             const auto self = shared_from_this();
             OnDone(result);
           }});
  return true;
}

net::HttpClientRequest EndpointCall::MakeRequest(const RegisteredEndpoint& endpoint) const {
  const HeaderNames& names = context_.options.headers;
  const auto remaining = std::chrono::duration_cast<Duration>(plan_.deadline - context_.loop.Now());
  const auto remaining_ms = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
  net::HttpClientRequest request{.server = endpoint.address,
                                 .method = plan_.method,
                                 .target = plan_.target,
                                 .headers = plan_.headers,
                                 .body = plan_.body,
                                 .io_timeout = std::max(remaining, Duration(0)) + kConnectTimeout,
                                 .connect_timeout = kConnectTimeout,
                                 .echo_header = names.request_id,
                                 .echo_value = plan_.id.value(),
                                 .accept_close_delimited = true};
  request.headers.emplace_back(names.deadline_ms, std::to_string(remaining_ms));
  request.headers.emplace_back(names.expected_endpoint, endpoint.id.value());
  if (IsStream()) {
    request.headers.emplace_back(names.priority, std::to_string(std::min(plan_.priority, 9U)));
  }
  return request;
}

void EndpointCall::OnHead(int status, const net::Headers& headers) {
  status_ = status;
  response_headers_ = headers;
  rejected_ =
      !net::FindHeader(headers, context_.options.headers.not_executed).empty() || status == 421;
  ReadRateLimit(headers);
  ReadLeaving();
  if (rejected_) {
    attempt_timer_ = context_.loop.After(kMaxRejectionTime, [this] { AbandonRejection(); });
    return;
  }
  // Only successful streams are forwarded at once; errors are buffered, because an idempotent
  // request may be repeated at another endpoint.
  if (HasEvents()) {
    StartDelivery();
  } else if (status < 300) {
    ReportFirstEvent(context_.loop.Now());
  }
}

void EndpointCall::ReportFirstEvent(MonotonicTime now) {
  context_.endpoints.OnFirstEvent(
      endpoint_, std::chrono::duration_cast<Duration>(now - attempt_started_), now);
}

void EndpointCall::OnData(std::string_view data) {
  received_bytes_ += data.size();
  if (rejected_) {
    if (received_bytes_ > kMaxRejectionBytes) {
      // Not from within the callback of the attempt that this ends.
      attempt_timer_ = context_.loop.After(Duration(0), [this] { AbandonRejection(); });
    }
    return;
  }
  if (received_bytes_ > context_.options.max_response_bytes) {
    attempt_timer_ = context_.loop.After(Duration(0), [this] { OnResponseTooLarge(); });
    http_call_->Cancel();
    return;
  }
  if (delivering_) {
    if (HasEvents()) {
      stream_boundary_.Feed(data);
    }
    MeasureStream(data);
    callbacks_.on_data(data);
    return;
  }
  buffered_body_.append(data);
  held_.Set(2 * plan_.body.size() + buffered_body_.size());
  if (buffered_body_.size() > kMaxBufferedBytes) {
    StartDelivery();
  }
}

void EndpointCall::MeasureStream(std::string_view data) {
  if (!IsStream() || !data.ends_with("\n\n")) {
    return;
  }
  last_event_at_ = context_.loop.Now();
  if (++events_ == 1) {
    first_event_at_ = last_event_at_;
    ReportFirstEvent(first_event_at_);
  }
}

void EndpointCall::StartDelivery() {
  delivering_ = true;
  attempt_timer_.Cancel();
  callbacks_.on_head(status_, response_headers_);
  if (!buffered_body_.empty()) {
    const std::string buffered = std::exchange(buffered_body_, {});
    held_.Set(2 * plan_.body.size());
    callbacks_.on_data(buffered);
  }
}

void EndpointCall::OnDone(const net::HttpResult& result) {
  if (done_) {
    return;
  }
  if (rejected_) {
    // Nothing was executed, even if the body of the rejection is incomplete.
    OnRejected();
    return;
  }
  std::visit(
      Overloaded{[&](const net::HttpFinished&) {
                   if (IsStream() && stream_boundary_.inside_event()) {
                     // The endpoint broke the stream off, whatever its framing says.
                     OnInterrupted({});
                   } else {
                     OnResponseComplete();
                   }
                 },
                 [&](const net::HttpNotSent&) {
                   KeepPermit();
                   EndAttempt(AttemptResult::kFailed);
                   RetryOrFinish(NotRun{.reason = NotRunReason::kEndpointUnavailable});
                 },
                 [&](const net::HttpInterrupted& interrupted) { OnInterrupted(interrupted); }},
      result);
}

void EndpointCall::OnResponseComplete() {
  ++possible_runs_;
  ReportCompletion();
  const bool server_error = status_ >= 500;
  EndAttempt(server_error ? AttemptResult::kFailed : AttemptResult::kSucceeded);
  if (server_error && MayRunAgain() && possible_runs_ < plan_.max_attempts) {
    Attempt();
    return;
  }
  const auto self = shared_from_this();
  if (events_ > 0 && !server_error) {
    const MonotonicTime now = context_.loop.Now();
    context_.endpoints.OnStreamCompleted(
        endpoint_,
        {.duration = std::chrono::duration_cast<Duration>(now - attempt_started_),
         .streaming = std::chrono::duration_cast<Duration>(last_event_at_ - first_event_at_),
         .events = events_},
        now);
  }
  if (!delivering_) {
    StartDelivery();
  }
  if (!done_) {
    Finish(Completed{});
  }
}

void EndpointCall::OnRejected() {
  KeepPermit();
  // With status 421, a different endpoint responds at the address of the chosen one.
  EndAttempt(status_ == 421 ? AttemptResult::kFailed : AttemptResult::kRejected);
  RetryOrFinish(NotRun{.reason = NotRunReason::kOverloaded});
}

void EndpointCall::AbandonRejection() {
  const auto self = shared_from_this();
  if (!in_flight_ || done_) {
    return;
  }
  http_call_->Cancel();
  OnRejected();
}

void EndpointCall::OnResponseTooLarge() {
  const auto self = shared_from_this();
  if (!in_flight_ || done_) {
    return;
  }
  context_.events.Write("response_too_large",
                        {{"id", plan_.id.value()},
                         {"endpoint", endpoint_.value()},
                         {"bytes", static_cast<std::int64_t>(received_bytes_)}});
  ++possible_runs_;
  EndAttempt(AttemptResult::kFailed);
  Finish(Unknown{.reason = UnknownReason::kConnectionLost});
}

void EndpointCall::OnInterrupted(const net::HttpInterrupted& interrupted) {
  ++possible_runs_;
  if (interrupted.unidentified_status != 0) {
    LogUnidentifiedResponse(interrupted.unidentified_status);
  } else if (!interrupted.timed_out) {
    if (interrupted.invalid_response) {
      LogInvalidResponse();
    }
    ReportInterruption();
  }
  EndAttempt(AttemptResult::kFailed);
  const Unknown unknown{interrupted.timed_out ? UnknownReason::kTimeout
                                              : UnknownReason::kConnectionLost};
  if (MayRunAgain()) {
    RetryOrFinish(unknown);
  } else {
    Finish(unknown);
  }
}

void EndpointCall::OnAttemptTimeout() {
  const auto self = shared_from_this();
  if (!in_flight_ || delivering_ || done_) {
    return;
  }
  http_call_->Cancel();
  OnInterrupted({.timed_out = true});
}

void EndpointCall::OnDeadline() {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  if (in_flight_) {
    http_call_->Cancel();
    if (rejected_) {
      KeepPermit();
    } else {
      ++possible_runs_;
    }
    EndAttempt(rejected_ ? AttemptResult::kRejected : AttemptResult::kFailed);
  }
  if (possible_runs_ == 0) {
    Finish(NotRun{.reason = NotRunReason::kDeadlineExceeded});
  } else {
    Finish(Unknown{.reason = UnknownReason::kTimeout});
  }
}

void EndpointCall::RetryOrFinish(const Outcome& outcome) {
  const bool time_left = context_.loop.Now() < plan_.deadline;
  if (time_left && possible_runs_ < plan_.max_attempts &&
      attempts_ < plan_.max_attempts + kMaxRejections) {
    Attempt();
    return;
  }
  // An earlier attempt may have been executed, even if the last one was not.
  if (possible_runs_ > 0 && std::holds_alternative<NotRun>(outcome)) {
    Finish(Unknown{.reason = UnknownReason::kConnectionLost});
    return;
  }
  Finish(outcome);
}

void EndpointCall::EndAttempt(AttemptResult result) {
  in_flight_ = false;
  if (attempt_permit_) {
    context_.permits.CountUsed(attempt_permit_->organisation);
    attempt_permit_.reset();
  }
  if (result == AttemptResult::kRejected || result == AttemptResult::kFailed) {
    LogAttempt(result);
  }
  attempt_timer_.Cancel();
  const MonotonicTime now = context_.loop.Now();
  context_.endpoints.OnFinished(endpoint_, result, now,
                                std::chrono::duration_cast<Duration>(now - attempt_started_));
  CloseIdleIfLeaving();
}

void EndpointCall::Finish(const Outcome& outcome) {
  if (done_) {
    return;
  }
  done_ = true;
  StopWaiting();
  ReleasePermit();
  deadline_timer_.Cancel();
  attempt_timer_.Cancel();
  const CallCallbacks callbacks = std::exchange(callbacks_, {});
  callbacks.on_done(outcome);
}

void EndpointCall::Cancel() {
  if (done_) {
    return;
  }
  done_ = true;
  StopWaiting();
  if (in_flight_ && rejected_) {
    KeepPermit();
  }
  ReleasePermit();
  deadline_timer_.Cancel();
  attempt_timer_.Cancel();
  if (http_call_ != nullptr) {
    http_call_->Cancel();
  }
  if (in_flight_) {
    EndAttempt(AttemptResult::kCancelled);
  }
  // Cancel may be called from one of the callbacks, which must stay alive until it returns.
  context_.loop.Post([callbacks = std::exchange(callbacks_, {})] {});
}

}  // namespace acaciaspring::gateway
