#include "src/daemon/endpoint_worker.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciaspring::daemon {

namespace {

constexpr Duration kLoadPollPeriod = std::chrono::milliseconds(300);
constexpr Duration kHoldPollPeriod = std::chrono::seconds(1);
constexpr Duration kFirstTokenTimeout = std::chrono::seconds(20);
constexpr Duration kIdleTimeout = std::chrono::seconds(5);
constexpr std::uint32_t kRefusalRetryMs = 100;
constexpr double kInitialOutputTokens = 64;
constexpr double kInitialServiceSeconds = 0.1;
// Weight of a new sample in the moving averages of output tokens and cost per call.
constexpr double kNewSampleWeight = 0.1;

EndpointQueueOptions MakeQueueOptions(const config::Document& document) {
  EndpointQueueOptions options;
  for (const auto& [id, priority_class] : document.priority_classes) {
    options.classes.push_back(
        {id, priority_class.rank, priority_class.minimum_share, priority_class.first_token_target});
  }
  for (const auto& [id, organisation] : document.organisations) {
    options.organisation_weights[id] = organisation.weight;
  }
  return options;
}

}  // namespace

struct EndpointWorker::ActiveCall {
  QueuedCallId id;
  ChannelId channel;
  wire::DispatchRequest request;
  MonotonicTime enqueued_at;
  MonotonicTime deadline;
  telemetry::Span span;
  QueuedCall queued;
  bool running = false;
  endpoint::CallPtr endpoint_call;
};

EndpointWorker::EndpointWorker(Context context, EndpointTarget target)
    : context_(context),
      target_(std::move(target)),
      queue_(std::make_unique<EndpointQueue>(MakeQueueOptions(context.document))),
      mean_output_tokens_(kInitialOutputTokens),
      mean_call_cost_(kInitialOutputTokens) {}

EndpointWorker::~EndpointWorker() = default;

void EndpointWorker::Configure(EndpointTarget target) {
  target_ = std::move(target);
  auto queue = std::make_unique<EndpointQueue>(MakeQueueOptions(context_.document));
  std::vector<ActiveCallPtr> refused;
  for (const auto& [id, call] : active_calls_) {
    if (call->running) {
      continue;
    }
    try {
      queue->Push(call->queued);
    } catch (const SchedulingError&) {
      refused.push_back(call);
    }
  }
  queue_ = std::move(queue);
  for (const ActiveCallPtr& call : refused) {
    Refuse(call, NotRunReason::kInvalidRequest, 0);
  }
  if (target_.leaving) {
    RefuseQueued(NotRunReason::kEndpointUnavailable);
  }
  StartQueuedCalls();
}

QueuedCall EndpointWorker::MakeQueuedCall(const ActiveCall& call) const {
  QueuedCall queued;
  queued.id = call.id;
  queued.organisation = call.request.organisation;
  queued.program = call.request.program;
  queued.root_program = call.request.root;
  queued.priority_class = call.request.priority_class;
  queued.attained_service = call.request.attained_service;
  queued.expected_prompt = is_engine() ? call.request.prompt_estimate : TokenCount();
  queued.expected_output =
      TokenCount(is_engine() ? static_cast<std::uint64_t>(mean_output_tokens_) : 1);
  queued.deadline = call.deadline;
  queued.enqueued_at = call.enqueued_at;
  return queued;
}

EndpointOccupancy EndpointWorker::Occupancy() const {
  EndpointOccupancy occupancy;
  occupancy.running = static_cast<std::uint32_t>(running_);
  occupancy.concurrency = target_.concurrency;
  occupancy.mean_call_cost = is_engine() ? mean_call_cost_ : 1;
  occupancy.cost_per_second =
      target_.concurrency *
      std::visit(Overloaded{
                     [](const EngineTarget& engine) { return engine.decode_tokens_per_second; },
                     [](const ServiceTarget&) { return 1 / kInitialServiceSeconds; },
                 },
                 target_.kind);
  return occupancy;
}

void EndpointWorker::Push(ChannelId channel, wire::DispatchRequest request) {
  auto call = std::make_shared<ActiveCall>();
  call->id = ++last_id_;
  call->channel = channel;
  call->enqueued_at = context_.loop.Now();
  call->deadline = call->enqueued_at + std::chrono::milliseconds(request.deadline_ms);
  call->span = StartSpan("dispatcher", request.traceparent);
  call->request = std::move(request);
  if (!available()) {
    return Refuse(call, NotRunReason::kEndpointUnavailable, kRefusalRetryMs);
  }
  call->queued = MakeQueuedCall(*call);
  try {
    const AdmissionDecision decision =
        admission_.Decide(*queue_, call->queued, Occupancy(), call->enqueued_at);
    if (const auto* refused = std::get_if<NotRun>(&decision)) {
      return Refuse(call, refused->reason, refused->retry_after_ms);
    }
    if (!queue_->Push(call->queued)) {
      return Refuse(call, NotRunReason::kQueueFull, kRefusalRetryMs);
    }
  } catch (const SchedulingError&) {
    return Refuse(call, NotRunReason::kInvalidRequest, 0);
  }
  active_calls_[call->id] = call;
  StartQueuedCalls();
}

void EndpointWorker::StartQueuedCalls() {
  while (running_ < target_.concurrency && available()) {
    const auto next = queue_->Pop(context_.loop.Now());
    if (!next.has_value()) {
      return;
    }
    Run(active_calls_.at(next->id));
  }
}

void EndpointWorker::Run(const ActiveCallPtr& call) {
  call->running = true;
  ++running_;
  const std::chrono::duration<double> queue_time = context_.loop.Now() - call->enqueued_at;
  context_.metrics
      .GetDistribution("acaciaspring_queue_seconds",
                       "Time that a call waits in the queue of an endpoint, by class",
                       {{"class", call->request.priority_class.value()}})
      .Record(queue_time.count());
  std::visit(Overloaded{
                 [&](const wire::ModelDispatch& work) { RunModel(call, work); },
                 [&](const wire::ToolDispatch& work) { RunTool(call, work); },
                 [&](const wire::ReleaseDispatch&) { Finish(call, Completed{}, "", {}); },
             },
             call->request.work);
}

void EndpointWorker::RunModel(const ActiveCallPtr& call, const wire::ModelDispatch& work) {
  if (work.hold) {
    possible_holds_.insert(call->request.program);
  }
  endpoint::ModelCallOptions options;
  options.engine = target_.address;
  options.program = call->request.program;
  options.model = work.model;
  options.messages = work.messages;
  options.max_tokens = work.max_tokens;
  options.priority = static_cast<int>(queue_->Policy(call->request.priority_class).rank);
  options.hold = work.hold;
  options.first_token_timeout = std::min(kFirstTokenTimeout, call->deadline - context_.loop.Now());
  options.idle_timeout = kIdleTimeout;
  options.traceparent = telemetry::FormatTraceparent(call->span.context);
  endpoint::ModelCallbacks callbacks;
  callbacks.on_token = [this, call](std::uint64_t index, std::string_view text) {
    context_.peers.Send(call->channel,
                        wire::DispatchEvent{call->request.exchange, index, std::string(text)});
  };
  callbacks.on_finished = [this, call](const Outcome& outcome, const wire::Usage& usage) {
    Finish(call, outcome, "", usage);
  };
  call->endpoint_call = endpoint::StartModelCall(context_.http, options, std::move(callbacks));
}

void EndpointWorker::RunTool(const ActiveCallPtr& call, const wire::ToolDispatch& work) {
  const auto* service = std::get_if<ServiceTarget>(&target_.kind);
  if (service == nullptr) {
    return Finish(call, NotRun{NotRunReason::kInvalidRequest}, "", {});
  }
  endpoint::ToolCallOptions options;
  options.service = target_.address;
  options.operation = service->operation;
  options.key = work.key;
  options.body = work.body;
  options.timeout = std::min(service->timeout, call->deadline - context_.loop.Now());
  options.traceparent = telemetry::FormatTraceparent(call->span.context);
  call->endpoint_call = endpoint::StartToolCall(
      context_.http, options, [this, call](const Outcome& outcome, std::string body) {
        Finish(call, outcome, std::move(body), {});
      });
}

// Counts the tokens that a call used towards the shares of its class and organisation, even if the
// call ended early.
void EndpointWorker::RecordServedCost(const ActiveCall& call, const wire::Usage& usage) {
  if (!is_engine()) {
    return;
  }
  try {
    const TokenCount computed = usage.prompt - std::min(usage.cached, usage.prompt);
    queue_->OnServed(call.queued, computed, usage.completion);
  } catch (const SchedulingError&) {
    LOG(INFO) << "priority class " << call.request.priority_class
              << " was removed while a call of it was running";
  }
}

void EndpointWorker::Finish(const ActiveCallPtr& call,
                            const Outcome& outcome,
                            std::string body,
                            wire::Usage usage) {
  // Finish() may run within a callback of `endpoint_call`, which must exist until that returns.
  const endpoint::CallPtr endpoint_call = std::move(call->endpoint_call);
  if (active_calls_.erase(call->id) > 0 && call->running) {
    --running_;
    RecordServedCost(*call, usage);
    if (std::holds_alternative<Completed>(outcome) && is_engine()) {
      const auto output = static_cast<double>(usage.completion.value());
      mean_output_tokens_ += kNewSampleWeight * (output - mean_output_tokens_);
      mean_call_cost_ += kNewSampleWeight * (queue_->Cost(call->queued) - mean_call_cost_);
    }
  }
  FinishSpan(context_.tracer, call->span, outcome);
  wire::DispatchFinished finished;
  finished.exchange = call->request.exchange;
  finished.outcome = outcome;
  finished.body = std::move(body);
  finished.usage = usage;
  context_.peers.Send(call->channel, finished);
  StartQueuedCalls();
}

void EndpointWorker::Refuse(const ActiveCallPtr& call,
                            NotRunReason reason,
                            std::uint32_t retry_after_ms) {
  active_calls_.erase(call->id);
  FinishSpan(context_.tracer, call->span, NotRun{reason, retry_after_ms});
  wire::DispatchFinished finished;
  finished.exchange = call->request.exchange;
  finished.outcome = NotRun{reason, retry_after_ms};
  context_.peers.Send(call->channel, finished);
}

void EndpointWorker::RefuseQueued(NotRunReason reason) {
  std::vector<ActiveCallPtr> queued;
  for (const auto& [id, call] : active_calls_) {
    if (!call->running) {
      queued.push_back(call);
    }
  }
  for (const ActiveCallPtr& call : queued) {
    queue_->Remove(call->id);
    Refuse(call, reason, kRefusalRetryMs);
  }
}

void EndpointWorker::Cancel(ChannelId channel, ExchangeId exchange) {
  for (const auto& [id, call] : active_calls_) {
    if (call->channel != channel || call->request.exchange != exchange) {
      continue;
    }
    const ActiveCallPtr found = call;
    if (!found->running) {
      queue_->Remove(found->id);
      return Refuse(found, NotRunReason::kCancelled, 0);
    }
    if (is_engine()) {
      found->endpoint_call->Cancel();
      return Finish(found, Unknown{UnknownReason::kConnectionLost}, "", {});
    }
    return;
  }
}

void EndpointWorker::CancelChannel(ChannelId channel) {
  std::vector<ExchangeId> exchanges;
  for (const auto& [id, call] : active_calls_) {
    if (call->channel == channel) {
      exchanges.push_back(call->request.exchange);
    }
  }
  for (const ExchangeId exchange : exchanges) {
    Cancel(channel, exchange);
  }
}

void EndpointWorker::Tick(bool assigned) {
  const MonotonicTime now = context_.loop.Now();
  for (const QueuedCall& expired : queue_->ExpireBefore(now)) {
    Refuse(active_calls_.at(expired.id), NotRunReason::kDeadlineExceeded, 0);
  }
  std::vector<ActiveCallPtr> overdue;
  for (const auto& [id, call] : active_calls_) {
    if (call->running && now >= call->deadline) {
      overdue.push_back(call);
    }
  }
  for (const ActiveCallPtr& call : overdue) {
    if (call->endpoint_call != nullptr) {
      call->endpoint_call->Cancel();
    }
    Finish(call, Unknown{UnknownReason::kTimeout}, "", {});
  }
  if (!assigned || !is_engine()) {
    return;
  }
  if (now >= next_load_poll_) {
    next_load_poll_ = now + kLoadPollPeriod;
    PollLoad();
  }
  if (now >= next_hold_poll_) {
    next_hold_poll_ = now + kHoldPollPeriod;
    PollHolds();
  }
}

wire::EndpointReport EndpointWorker::MakeReport() const {
  wire::EndpointReport report;
  report.endpoint = target_.id;
  report.running = static_cast<std::uint32_t>(running_);
  report.queued = static_cast<std::uint32_t>(queue_->size());
  report.available = available();
  return report;
}

}  // namespace acaciaspring::daemon
