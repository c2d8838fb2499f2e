#include "src/load/retrying_call.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(500);
constexpr std::size_t kLargestBody = std::size_t{64} << 20;

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
      backoff_(kFirstBackoff) {}

void RetryingCall::Start() {
  started_ = context_.loop.Now();
  deadline_ = started_ + std::chrono::seconds(context_.options.deadline_s);
  SendAttempt();
}

void RetryingCall::SendAttempt() {
  address_ = context_.directory.Choose(address_);
  status_ = 0;
  body_.clear();
  received_ = false;
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
                                 // The owner may drop this object from within its callback.
                                 if (const auto self = weak.lock()) {
                                   self->OnAttemptDone(result);
                                 }
                               }});
}

void RetryingCall::OnData(std::string_view data) {
  received_ = true;
  if (spec_.streaming && status_ == 200) {
    parser_->Feed(data);
  } else if (body_.size() + data.size() <= kLargestBody) {
    body_ += data;
  }
}

void RetryingCall::OnEvent(const SseEvent& event) {
  result_.answer.Take(event);
  if (!result_.first_token_latency && result_.answer.has_content()) {
    result_.first_token_latency = context_.loop.Now() - started_;
  }
}

void RetryingCall::OnAttemptDone(const net::HttpResult& result) {
  if (!on_done_) {
    return;
  }
  if (spec_.streaming && result_.answer.done()) {
    Finish(CallEnd::kCompleted);
    return;
  }
  if (std::holds_alternative<net::HttpFinished>(result)) {
    OnAnswer();
    return;
  }
  context_.directory.ReportFailure(*address_);
  if (std::holds_alternative<net::HttpInterrupted>(result)) {
    may_have_run_ = true;
    if (spec_.streaming && status_ == 200 && received_) {
      ++context_.report.answers_cut;
    }
  }
  Retry(backoff_, may_have_run_ ? CallEnd::kUnknown : CallEnd::kNotRun);
}

void RetryingCall::OnAnswer() {
  if (spec_.streaming && status_ == 200) {
    may_have_run_ = true;
    if (result_.answer.error()) {
      OnError(*result_.answer.error());
      return;
    }
    // The stream ended regularly but without [DONE].
    ++context_.report.answers_cut;
    Retry(backoff_, CallEnd::kUnknown);
    return;
  }
  if (status_ >= 200 && status_ < 300) {
    result_.body = std::move(body_);
    Finish(CallEnd::kCompleted);
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
    // A 5xx answer means that this entry cannot serve the call now; another one may.
    if (delay.count() > 0 || status_ >= 500) {
      Retry(std::max(delay, backoff_), CallEnd::kNotRun);
    } else {
      Finish(CallEnd::kNotRun);
    }
    return;
  }
  if (result_.code == "answer_changed") {
    // The call was run again and its answer differs: the received part is void.
    result_.answer = AnswerCollector();
    Retry(backoff_, CallEnd::kUnknown);
    return;
  }
  if (outcome == "failed") {
    Finish(CallEnd::kFailed);
    return;
  }
  if (outcome == "unknown") {
    may_have_run_ = true;
    if (spec_.non_idempotent) {
      Finish(CallEnd::kUnknown);
    } else {
      // The stored answer is returned under the same key once its record is accepted.
      Retry(std::max(delay, backoff_), CallEnd::kUnknown);
    }
    return;
  }
  if (status_ >= 500 || status_ == 429) {
    may_have_run_ = may_have_run_ || status_ >= 500;
    Retry(std::max(delay, backoff_), may_have_run_ ? CallEnd::kUnknown : CallEnd::kNotRun);
    return;
  }
  Finish(CallEnd::kFailed);
}

void RetryingCall::Retry(Duration delay, CallEnd end_if_too_late) {
  if (context_.loop.Now() + delay >= deadline_) {
    Finish(end_if_too_late);
    return;
  }
  ++context_.report.retries;
  result_.answer.PrepareResume();
  backoff_ = std::min(backoff_ * 2, kLongestBackoff);
  timer_ = context_.loop.After(delay, [this] { SendAttempt(); });
}

void RetryingCall::Finish(CallEnd end) {
  // A refusal of the last attempt says nothing about an earlier one that may have run.
  result_.end = end == CallEnd::kNotRun && may_have_run_ ? CallEnd::kUnknown : end;
  if (end != CallEnd::kCompleted) {
    VLOG(1) << spec_.method << " " << spec_.target << " ended with status " << status_ << " code "
            << result_.code;
  }
  if (const OnDone done = std::exchange(on_done_, nullptr)) {
    done(result_);
  }
}

}  // namespace acaciaspring::load
