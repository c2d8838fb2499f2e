#include "src/load/retrying_call.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20;

std::string StringField(const Json::Value& object, const char* name) {
  return object.isObject() && object[name].isString() ? object[name].asString() : "";
}

Duration RetryAfter(const Json::Value& error) {
  const Json::Value& delay =
      error.isObject() ? error["retry_after_ms"] : Json::Value::nullSingleton();
  return std::chrono::milliseconds(delay.isUInt() ? delay.asUInt() : 0);
}

}  // namespace

RetryingCall::RetryingCall(const LoadContext& context, CallSpec spec, OnDone on_done)
    : context_(context),
      spec_(std::move(spec)),
      on_done_(std::move(on_done)),
      backoff_(kInitialBackoff) {}

void RetryingCall::Start() {
  started_ = context_.loop.Now();
  deadline_ = started_ + std::chrono::seconds(context_.options.deadline_s);
  SendAttempt();
}

void RetryingCall::SendAttempt() {
  address_ = context_.directory.Choose(address_);
  status_ = 0;
  body_.clear();
  data_received_ = false;
  parser_ = std::make_unique<SseParser>([this](const SseEvent& event) { OnEvent(event); });
  net::HttpClientRequest request{
      .server = *address_,
      .method = spec_.method,
      .target = spec_.target,
      .headers = {{"authorization", "Bearer " + spec_.organisation_key}},
      .body = spec_.body,
      .io_timeout = std::min<Duration>(std::chrono::milliseconds(context_.options.io_timeout_ms),
                                       deadline_ - context_.loop.Now())};
  if (!spec_.body.empty()) {
    request.headers.emplace_back("content-type", "application/json");
  }
  if (!spec_.idempotency_key.empty()) {
    request.headers.emplace_back("idempotency-key", spec_.idempotency_key);
  }
  if (!result_.answer.last_id().empty()) {
    request.headers.emplace_back("last-event-id", result_.answer.last_id());
  }
  call_ = context_.client.Send(
      std::move(request), {.on_head = [this](int status, const net::Headers&) { status_ = status; },
                           .on_data = [this](std::string_view data) { OnData(data); },
                           .on_done =
                               [weak = weak_from_this()](const net::HttpResult& result) {
                                 // The owner may destroy this object in its callback.
                                 if (const auto self = weak.lock()) {
                                   self->OnAttemptDone(result);
                                 }
                               }});
}

void RetryingCall::OnData(std::string_view data) {
  data_received_ = true;
  if (spec_.streaming && status_ == 200) {
    parser_->Feed(data);
  } else if (body_.size() + data.size() <= kMaxBodyBytes) {
    body_ += data;
  }
}

void RetryingCall::OnEvent(const SseEvent& event) {
  result_.answer.AddEvent(event);
  if (!result_.first_token_latency && result_.answer.has_content()) {
    result_.first_token_latency = context_.loop.Now() - started_;
  }
}

void RetryingCall::OnAttemptDone(const net::HttpResult& result) {
  if (!on_done_) {
    return;
  }
  if (spec_.streaming && result_.answer.done()) {
    Finish(CallOutcome::kCompleted);
    return;
  }
  if (std::holds_alternative<net::HttpFinished>(result)) {
    OnResponse();
    return;
  }
  context_.directory.ReportFailure(*address_);
  if (std::holds_alternative<net::HttpInterrupted>(result)) {
    may_have_run_ = true;
    if (spec_.streaming && status_ == 200 && data_received_) {
      ++context_.report.answers_cut;
    }
  }
  Retry(backoff_, may_have_run_ ? CallOutcome::kUnknown : CallOutcome::kNotRun);
}

void RetryingCall::OnResponse() {
  if (spec_.streaming && status_ == 200) {
    may_have_run_ = true;
    if (result_.answer.error()) {
      OnError(*result_.answer.error());
      return;
    }
    // The response ended normally but without [DONE].
    ++context_.report.answers_cut;
    Retry(backoff_, CallOutcome::kUnknown);
    return;
  }
  if (status_ >= 200 && status_ < 300) {
    result_.body = std::move(body_);
    Finish(CallOutcome::kCompleted);
    return;
  }
  const std::optional<Json::Value> body = fakes::ParseJson(body_);
  OnError(body && body->isObject() ? (*body)["error"] : Json::Value());
}

void RetryingCall::OnError(const Json::Value& error) {
  result_.code = StringField(error, "code");
  const std::string outcome = StringField(error, "outcome");
  const Duration delay = RetryAfter(error);
  if (outcome == "not_run") {
    // After a 5xx response without a retry delay, another entry may be able to serve the call.
    if (delay.count() > 0 || status_ >= 500) {
      Retry(std::max(delay, backoff_), CallOutcome::kNotRun);
    } else {
      Finish(CallOutcome::kNotRun);
    }
    return;
  }
  if (result_.code == "answer_changed") {
    // The call was run again with a different answer, so the part received before is invalid.
    result_.answer = AnswerCollector();
    Retry(backoff_, CallOutcome::kUnknown);
    return;
  }
  if (outcome == "failed") {
    Finish(CallOutcome::kFailed);
    return;
  }
  if (outcome == "unknown") {
    may_have_run_ = true;
    if (spec_.non_idempotent) {
      Finish(CallOutcome::kUnknown);
    } else {
      // A retry with the same key returns the stored answer once its record is accepted.
      Retry(std::max(delay, backoff_), CallOutcome::kUnknown);
    }
    return;
  }
  if (status_ >= 500 || status_ == 429) {
    may_have_run_ = may_have_run_ || status_ >= 500;
    Retry(std::max(delay, backoff_), may_have_run_ ? CallOutcome::kUnknown : CallOutcome::kNotRun);
    return;
  }
  Finish(CallOutcome::kFailed);
}

void RetryingCall::Retry(Duration delay, CallOutcome outcome_at_deadline) {
  if (context_.loop.Now() + delay >= deadline_) {
    Finish(outcome_at_deadline);
    return;
  }
  ++context_.report.retries;
  result_.answer.PrepareResume();
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  timer_ = context_.loop.After(delay, [this] { SendAttempt(); });
}

void RetryingCall::Finish(CallOutcome outcome) {
  // NotRun refers to the last attempt only; an earlier attempt may have run.
  result_.outcome =
      outcome == CallOutcome::kNotRun && may_have_run_ ? CallOutcome::kUnknown : outcome;
  if (outcome != CallOutcome::kCompleted) {
    VLOG(1) << spec_.method << " " << spec_.target << " failed: status " << status_
            << ", error code " << result_.code;
  }
  if (const OnDone on_done = std::exchange(on_done_, nullptr)) {
    on_done(result_);
  }
}

}  // namespace acaciaspring::load
