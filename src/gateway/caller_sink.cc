#include "src/gateway/caller_sink.h"

#include <cstdio>
#include <utility>

#include "src/gateway/leaving_notice.h"

namespace acaciaspring::gateway {

namespace {

// Limits the memory for a caller that reads more slowly than its endpoint sends.
constexpr std::size_t kMaxPendingBytes = std::size_t{4} << 20;

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
  return text.data();
}

}  // namespace

CallerSink::CallerSink(Context& context,
                       const CallerRequest& request,
                       net::HttpResponderPtr responder)
    : context_(context),
      id_(request.id),
      connection_(request.connection),
      responder_(std::move(responder)),
      buffer_(context.buffers.NewId()),
      held_(context.buffers, request.body.size()),
      arrived_at_(context.loop.Now()) {}

void CallerSink::Head(int status, const net::Headers& headers) {
  status_ = status;
  responder_->Start(status, TakeRelayedLeaving(context_, id_, headers));
}

void CallerSink::Data(std::string_view data) {
  if (ended_) {
    return;
  }
  responder_->Write(data);
  if (responder_->pending_bytes() > kMaxPendingBytes) {
    CloseSlow();
  } else if (context_.buffers.enabled()) {
    context_.buffers.OnWritten(buffer_, responder_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->CloseSlow();
      }
    });
  }
}

void CallerSink::CloseSlow() {
  if (ended_) {
    return;
  }
  Abort("caller_too_slow");
  if (on_gone_) {
    // Posted, because this may be called by the request that the callback cancels.
    context_.loop.Post(on_gone_);
  }
}

void CallerSink::End() {
  responder_->End();
  context_.buffers.OnEnded(buffer_, responder_);
  Log("answered");
}

void CallerSink::Abort(const std::string& reason) {
  responder_->Abort();
  Log("aborted:" + reason);
}

void CallerSink::SendError(const HttpError& error) {
  status_ = error.status;
  net::Headers headers;
  if (!id_.empty()) {
    headers.emplace_back(context_.options.headers.request_id, id_.value());
  }
  if (error.retry_after > Duration(0)) {
    headers.emplace_back("retry-after", FormatSeconds(error.retry_after));
  }
  responder_->Respond(error.status, headers, error.reason + "\n");
  context_.buffers.OnEnded(buffer_, responder_);
  Log("refused:" + error.reason);
}

void CallerSink::OnCallerGone(std::function<void()> callback) {
  on_gone_ = std::move(callback);
  responder_->OnClosed([this] {
    if (!ended_) {
      Log("caller_gone");
      on_gone_();
    }
  });
}

void CallerSink::Log(const std::string& outcome) {
  if (ended_) {
    return;
  }
  ended_ = true;
  const auto total =
      std::chrono::duration_cast<std::chrono::milliseconds>(context_.loop.Now() - arrived_at_);
  std::vector<telemetry::EventField> fields{
      {"id", id_.value()},
      {"conn", static_cast<std::int64_t>(connection_.value())},
      {"route", route_},
      {"version", static_cast<std::int64_t>(version_.value())},
      {"status", static_cast<std::int64_t>(status_)},
      {"outcome", outcome},
      {"total_ms", total.count()}};
  if (!organisation_.empty()) {
    fields.push_back({"organisation", organisation_.value()});
  }
  context_.events.Write("request", fields);
  context_.metrics
      .GetCounter("acaciaspring_requests_total", "Caller requests by outcome",
                  {{"outcome", outcome}})
      .Increment();
  context_.metrics
      .GetDistribution("acaciaspring_request_seconds",
                       "Time from the arrival of a request to the end of its response")
      .Record(std::chrono::duration<double>(total).count());
}

}  // namespace acaciaspring::gateway
