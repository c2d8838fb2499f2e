#include "src/daemon/call_relay.h"

#include <glog/logging.h>

#include <charconv>
#include <utility>
#include <vector>

#include "src/daemon/http_responses.h"
#include "src/daemon/json.h"

namespace acaciaspring::daemon {

namespace {

// Delay before a call is sent again after its shard had no live owner or its home was lost.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(20);
// Time after the deadline within which the home must have reported the end of a call.
constexpr Duration kHomeGracePeriod = std::chrono::seconds(3);
// Maximum time that a call waits for a grant of its organisation's limits before it is refused.
constexpr Duration kMaxGrantWait = std::chrono::milliseconds(200);
constexpr Duration kGrantRetryDelay = std::chrono::milliseconds(1);

std::string_view OperationName(const wire::Operation& operation) {
  return std::visit(Overloaded{
                        [](const wire::ModelCall&) -> std::string_view { return "model_call"; },
                        [](const wire::ToolCall&) -> std::string_view { return "tool_call"; },
                        [](const wire::CreateProgram&) -> std::string_view { return "create"; },
                        [](const wire::EndProgram&) -> std::string_view { return "end"; },
                        [](const wire::DescribeProgram&) -> std::string_view { return "describe"; },
                        [](const wire::ReadHistory&) -> std::string_view { return "history"; },
                    },
                    operation);
}

Json::Value MakeChunk(const wire::CallRequest& request) {
  Json::Value chunk;
  chunk["id"] = request.program.value();
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = std::get<wire::ModelCall>(request.operation).model.value();
  chunk["choices"][0]["index"] = 0;
  return chunk;
}

template <class Number>
bool ParseNumber(std::string_view text, Number& number, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

wire::ResumePoint ParseEventId(std::string_view text) {
  const std::size_t dash = text.find('-');
  wire::ResumePoint resume;
  if (dash == std::string_view::npos || !ParseNumber(text.substr(0, dash), resume.bytes, 10) ||
      !ParseNumber(text.substr(dash + 1), resume.hash, 16)) {
    return {};
  }
  return resume;
}

std::string FormatEventId(const wire::ResumePoint& point) {
  std::array<char, 17> hash{};
  std::to_chars(hash.data(), hash.data() + hash.size(), point.hash, 16);
  return std::to_string(point.bytes) + "-" + hash.data();
}

struct CallRelay::RelayedCall {
  wire::CallRequest request;
  net::HttpResponderPtr responder;
  MonotonicTime started_at;
  MonotonicTime deadline;
  telemetry::Span span;
  /// The daemon to which the call was last sent; empty before the first attempt.
  DaemonId home;
  ChannelId channel;
  /// The call counts towards the limits of its organisation.
  bool counted_in_limits = false;
  bool streaming = false;
  bool awaiting_first_text = true;
  net::Timer timer;
};

CallRelay::CallRelay(Context context, const Cluster& cluster, OrganisationLimits& limits)
    : context_(context), cluster_(cluster), limits_(limits) {}

void CallRelay::Start(wire::CallRequest request, net::HttpResponderPtr responder) {
  auto call = std::make_shared<RelayedCall>();
  call->span = StartSpan("entry", request.traceparent);
  call->span.attributes.emplace_back("program", request.program.value());
  call->span.attributes.emplace_back("operation", std::string(OperationName(request.operation)));
  request.traceparent = telemetry::FormatTraceparent(call->span.context);
  call->request = std::move(request);
  call->responder = std::move(responder);
  call->started_at = context_.loop.Now();
  call->deadline = call->started_at + std::chrono::milliseconds(call->request.deadline_ms);
  call->responder->OnClosed([this, weak = std::weak_ptr<RelayedCall>(call)] {
    const CallPtr closed_call = weak.lock();
    if (closed_call == nullptr) {
      return;
    }
    context_.peers.Send(closed_call->channel, wire::CallCancelled{closed_call->request.exchange});
    calls_.erase(closed_call->request.exchange);
    closed_call->timer.Cancel();
    if (std::exchange(closed_call->counted_in_limits, false)) {
      limits_.End(closed_call->request.organisation);
    }
  });
  Admit(call);
}

// Only model and tool calls are limited; the other operations use no endpoint.
void CallRelay::Admit(const CallPtr& call) {
  const bool limited = std::holds_alternative<wire::ModelCall>(call->request.operation) ||
                       std::holds_alternative<wire::ToolCall>(call->request.operation);
  if (!limited) {
    return Send(call);
  }
  const auto refused = limits_.TryStart(call->request.organisation);
  if (!refused.has_value()) {
    call->counted_in_limits = true;
    return Send(call);
  }
  if (context_.loop.Now() - call->started_at >= kMaxGrantWait) {
    return FinishWithOutcome(call, *refused);
  }
  // This entry has no grant before the first call of an organisation requests one, so that call has
  // to wait for it.
  call->timer = context_.loop.After(kGrantRetryDelay, [this, call] {
    if (!call->responder->closed()) {
      Admit(call);
    }
  });
}

void CallRelay::Send(const CallPtr& call) {
  calls_.erase(call->request.exchange);
  const MonotonicTime now = context_.loop.Now();
  if (now >= call->deadline) {
    // If the call was sent and the home has not replied, it is unknown whether it was accepted.
    const bool was_sent = !call->home.empty();
    return FinishWithOutcome(call, was_sent
                                       ? Outcome(Unknown{UnknownReason::kOwnerChanged})
                                       : Outcome(NotRun{NotRunReason::kOwnerUnavailable, 200}));
  }
  const auto owner = cluster_.LiveOwner(ShardOf(call->request.program));
  const auto channel = owner.has_value() ? context_.peers.ChannelTo(*owner) : std::nullopt;
  if (!channel.has_value()) {
    return RetryLater(call, kOwnerRetryDelay);
  }
  call->home = *owner;
  call->channel = *channel;
  call->request.exchange = ++last_exchange_;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(call->deadline - now);
  call->request.deadline_ms = static_cast<std::uint32_t>(remaining.count());
  calls_[call->request.exchange] = call;
  call->timer = context_.loop.After(call->deadline - now + kHomeGracePeriod, [this, call] {
    calls_.erase(call->request.exchange);
    FinishWithOutcome(call, Unknown{UnknownReason::kTimeout});
  });
  context_.peers.Send(call->channel, call->request);
}

void CallRelay::RetryLater(const CallPtr& call, Duration delay) {
  calls_.erase(call->request.exchange);
  call->timer = context_.loop.After(delay, [this, call] { Send(call); });
}

CallRelay::CallPtr CallRelay::Find(ChannelId channel, ExchangeId exchange) {
  const auto found = calls_.find(exchange);
  return found == calls_.end() || found->second->channel != channel ? nullptr : found->second;
}

void CallRelay::OnEvent(ChannelId channel, const wire::CallEvent& event) {
  const CallPtr call = Find(channel, event.exchange);
  if (call == nullptr) {
    return;
  }
  const std::uint64_t expected = call->request.resume.bytes;
  if (event.offset != expected) {
    LOG(WARNING) << "discarded text at offset " << event.offset << " of a call to program "
                 << call->request.program << "; expected " << expected;
    return;
  }
  if (!call->streaming) {
    call->streaming = true;
    call->responder->Start(200,
                           {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
  }
  if (call->awaiting_first_text) {
    call->awaiting_first_text = false;
    const std::chrono::duration<double> first_text_delay = context_.loop.Now() - call->started_at;
    context_.metrics
        .GetDistribution("acaciaspring_first_token_seconds",
                         "Time from the arrival of a model call at the entry to its first text")
        .Record(first_text_delay.count());
  }
  // If the home is lost, the call is sent again with this resume point.
  call->request.resume = wire::ResumePoint{event.offset + event.text.size(), event.hash};
  Json::Value chunk = MakeChunk(call->request);
  chunk["choices"][0]["delta"]["content"] = event.text;
  call->responder->Write("id: " + FormatEventId(call->request.resume) +
                         "\ndata: " + FormatJson(chunk) + "\n\n");
}

void CallRelay::OnFinished(ChannelId channel, const wire::CallFinished& finished) {
  const CallPtr call = Find(channel, finished.exchange);
  if (call == nullptr) {
    return;
  }
  if (const auto* not_run = std::get_if<NotRun>(&finished.outcome)) {
    if (not_run->reason == NotRunReason::kOwnerUnavailable) {
      return RetryLater(call, kOwnerRetryDelay);
    }
  }
  Finish(call, finished);
}

void CallRelay::OnWrongOwner(ChannelId channel, const wire::WrongOwner& wrong_owner) {
  if (const CallPtr call = Find(channel, wrong_owner.exchange)) {
    RetryLater(call, kOwnerRetryDelay);
  }
}

void CallRelay::OnChannelClosed(ChannelId channel) {
  std::vector<CallPtr> lost;
  for (const auto& [exchange, call] : calls_) {
    if (call->channel == channel) {
      lost.push_back(call);
    }
  }
  for (const CallPtr& call : lost) {
    RetryLater(call, kOwnerRetryDelay);
  }
}

void CallRelay::OnOwnershipChanged() {
  std::vector<CallPtr> moved;
  for (const auto& [exchange, call] : calls_) {
    const auto owner = cluster_.LiveOwner(ShardOf(call->request.program));
    if (owner.has_value() && *owner != call->home) {
      moved.push_back(call);
    }
  }
  for (const CallPtr& call : moved) {
    context_.peers.Send(call->channel, wire::CallCancelled{call->request.exchange});
    RetryLater(call, Duration::zero());
  }
}

void CallRelay::FinishWithOutcome(const CallPtr& call, const Outcome& outcome) {
  wire::CallFinished finished;
  finished.outcome = outcome;
  Finish(call, finished);
}

void CallRelay::Finish(const CallPtr& call, const wire::CallFinished& finished) {
  calls_.erase(call->request.exchange);
  call->timer.Cancel();
  if (std::exchange(call->counted_in_limits, false)) {
    limits_.End(call->request.organisation);
  }
  const std::string operation(OperationName(call->request.operation));
  context_.metrics
      .GetCounter("acaciaspring_calls", "Calls by operation and outcome",
                  {{"operation", operation}, {"outcome", std::string(KindName(finished.outcome))}})
      .Increment();
  const std::chrono::duration<double> call_time = context_.loop.Now() - call->started_at;
  context_.metrics
      .GetDistribution("acaciaspring_call_seconds",
                       "Time from the arrival of a call at the entry to its end",
                       {{"operation", operation}})
      .Record(call_time.count());
  FinishSpan(context_.tracer, call->span, finished.outcome);
  if (std::holds_alternative<wire::ModelCall>(call->request.operation) &&
      (call->streaming || std::holds_alternative<Completed>(finished.outcome))) {
    FinishStream(call, finished);
  } else if (std::holds_alternative<Completed>(finished.outcome)) {
    RespondJson(*call->responder, 200, finished.body);
  } else {
    RespondOutcome(*call->responder, finished.outcome);
  }
}

void CallRelay::FinishStream(const CallPtr& call, const wire::CallFinished& finished) {
  if (!call->streaming) {
    call->responder->Start(200,
                           {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
  }
  if (std::holds_alternative<Completed>(finished.outcome)) {
    Json::Value chunk = MakeChunk(call->request);
    chunk["choices"][0]["delta"] = Json::objectValue;
    chunk["choices"][0]["finish_reason"] = finished.body;
    chunk["usage"]["prompt_tokens"] = Json::UInt64(finished.usage.prompt.value());
    chunk["usage"]["completion_tokens"] = Json::UInt64(finished.usage.completion.value());
    chunk["usage"]["cached_tokens"] = Json::UInt64(finished.usage.cached.value());
    call->responder->Write("data: " + FormatJson(chunk) + "\n\ndata: [DONE]\n\n");
  } else {
    call->responder->Write("event: error\ndata: " + ErrorDocument(finished.outcome) + "\n\n");
  }
  call->responder->End();
}

}  // namespace acaciaspring::daemon
