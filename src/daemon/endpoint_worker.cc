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
constexpr Duration kSilenceTimeout = std::chrono::seconds(5);
constexpr std::uint32_t kUnavailableRetryMs = 100;
constexpr double kInitialOutputTokens = 64;
constexpr double kInitialServiceSeconds = 0.1;
// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;

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

struct EndpointWorker::Item {
  QueuedCallId id;
  ChannelId channel;
  wire::DispatchRequest request;
  MonotonicTime enqueued_at;
  MonotonicTime deadline;
  telemetry::Span span;
  QueuedCall queued;
  bool running = false;
  endpoint::CallPtr call;
};

EndpointWorker::EndpointWorker(Context context, EndpointTarget target)
    : context_(context),
      target_(std::move(target)),
      queue_(std::make_unique<EndpointQueue>(MakeQueueOptions(context.document))),
      mean_output_(kInitialOutputTokens),
      mean_cost_(kInitialOutputTokens) {}

EndpointWorker::~EndpointWorker() = default;

void EndpointWorker::Configure(EndpointTarget target) {
  target_ = std::move(target);
  auto queue = std::make_unique<EndpointQueue>(MakeQueueOptions(context_.document));
  std::vector<ItemPtr> refused;
  for (const auto& [id, item] : items_) {
    if (item->running) {
      continue;
    }
    try {
      queue->Push(item->queued);
    } catch (const SchedulingError&) {
      refused.push_back(item);
    }
  }
  queue_ = std::move(queue);
  for (const ItemPtr& item : refused) {
    Refuse(item, NotRunReason::kInvalidRequest, 0);
  }
  if (target_.leaving) {
    RefuseQueued(NotRunReason::kEndpointUnavailable);
  }
  Pump();
}

QueuedCall EndpointWorker::MakeQueuedCall(const Item& item) const {
  QueuedCall call;
  call.id = item.id;
  call.organisation = item.request.organisation;
  call.program = item.request.program;
  call.root_program = item.request.root;
  call.priority_class = item.request.priority_class;
  call.attained_service = item.request.attained;
  call.expected_prompt = is_engine() ? item.request.prompt_estimate : TokenCount();
  call.expected_output = TokenCount(is_engine() ? static_cast<std::uint64_t>(mean_output_) : 1);
  call.deadline = item.deadline;
  call.enqueued_at = item.enqueued_at;
  return call;
}

EndpointOccupancy EndpointWorker::Occupancy() const {
  EndpointOccupancy occupancy;
  occupancy.running = static_cast<std::uint32_t>(running_);
  occupancy.concurrency = target_.concurrency;
  occupancy.mean_call_cost = is_engine() ? mean_cost_ : 1;
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
  auto item = std::make_shared<Item>();
  item->id = ++last_id_;
  item->channel = channel;
  item->enqueued_at = context_.loop.Now();
  item->deadline = item->enqueued_at + std::chrono::milliseconds(request.deadline_ms);
  item->span = StartSpan("dispatcher", request.traceparent);
  item->request = std::move(request);
  if (!available()) {
    return Refuse(item, NotRunReason::kEndpointUnavailable, kUnavailableRetryMs);
  }
  item->queued = MakeQueuedCall(*item);
  try {
    const AdmissionDecision decision =
        admission_.Decide(*queue_, item->queued, Occupancy(), item->enqueued_at);
    if (const auto* refused = std::get_if<NotRun>(&decision)) {
      return Refuse(item, refused->reason, refused->retry_after_ms);
    }
    if (!queue_->Push(item->queued)) {
      return Refuse(item, NotRunReason::kQueueFull, kUnavailableRetryMs);
    }
  } catch (const SchedulingError&) {
    return Refuse(item, NotRunReason::kInvalidRequest, 0);
  }
  items_[item->id] = item;
  Pump();
}

void EndpointWorker::Pump() {
  while (running_ < target_.concurrency && available()) {
    const auto next = queue_->Pop(context_.loop.Now());
    if (!next.has_value()) {
      return;
    }
    Run(items_.at(next->id));
  }
}

void EndpointWorker::Run(const ItemPtr& item) {
  item->running = true;
  ++running_;
  const std::chrono::duration<double> waited = context_.loop.Now() - item->enqueued_at;
  context_.metrics
      .GetDistribution("acaciaspring_queue_seconds", "Time in the queue of an endpoint by class",
                       {{"class", item->request.priority_class.value()}})
      .Record(waited.count());
  std::visit(Overloaded{
                 [&](const wire::ModelDispatch& work) { RunModel(item, work); },
                 [&](const wire::ToolDispatch& work) { RunTool(item, work); },
                 [&](const wire::ReleaseDispatch&) { Finish(item, Completed{}, "", {}); },
             },
             item->request.work);
}

void EndpointWorker::RunModel(const ItemPtr& item, const wire::ModelDispatch& work) {
  if (work.hold) {
    held_.insert(item->request.program);
  }
  endpoint::ModelCallOptions options;
  options.engine = target_.address;
  options.program = item->request.program;
  options.model = work.model;
  options.messages = work.messages;
  options.max_tokens = work.max_tokens;
  options.priority = static_cast<int>(queue_->Policy(item->request.priority_class).rank);
  options.hold = work.hold;
  options.first_token_timeout = std::min(kFirstTokenTimeout, item->deadline - context_.loop.Now());
  options.idle_timeout = kSilenceTimeout;
  options.traceparent = telemetry::FormatTraceparent(item->span.context);
  endpoint::ModelCallbacks callbacks;
  callbacks.on_token = [this, item](std::uint64_t index, std::string_view text) {
    context_.peers.Send(item->channel,
                        wire::DispatchEvent{item->request.exchange, index, std::string(text)});
  };
  callbacks.on_finished = [this, item](const Outcome& outcome, const wire::Usage& usage) {
    Finish(item, outcome, "", usage);
  };
  item->call = endpoint::StartModelCall(context_.http, options, std::move(callbacks));
}

void EndpointWorker::RunTool(const ItemPtr& item, const wire::ToolDispatch& work) {
  const auto* service = std::get_if<ServiceTarget>(&target_.kind);
  if (service == nullptr) {
    return Finish(item, NotRun{NotRunReason::kInvalidRequest}, "", {});
  }
  endpoint::ToolCallOptions options;
  options.service = target_.address;
  options.operation = service->operation;
  options.key = work.key;
  options.body = work.body;
  options.timeout = std::min(service->timeout, item->deadline - context_.loop.Now());
  options.traceparent = telemetry::FormatTraceparent(item->span.context);
  item->call = endpoint::StartToolCall(context_.http, options,
                                       [this, item](const Outcome& outcome, std::string body) {
                                         Finish(item, outcome, std::move(body), {});
                                       });
}

// The shares count every call that was popped, also one that ended early.
void EndpointWorker::SettleShares(const Item& item, const wire::Usage& usage) {
  if (!is_engine()) {
    return;
  }
  try {
    const TokenCount computed = usage.prompt - std::min(usage.cached, usage.prompt);
    queue_->OnServed(item.queued, computed, usage.completion);
  } catch (const SchedulingError&) {
    LOG(INFO) << "class " << item.request.priority_class << " was removed while its call ran";
  }
}

void EndpointWorker::Finish(const ItemPtr& item,
                            const Outcome& outcome,
                            std::string body,
                            wire::Usage usage) {
  // Keeps the exchange alive until its callback has returned.
  const endpoint::CallPtr call = std::move(item->call);
  if (items_.erase(item->id) > 0 && item->running) {
    --running_;
    SettleShares(*item, usage);
    if (std::holds_alternative<Completed>(outcome) && is_engine()) {
      const auto output = static_cast<double>(usage.completion.value());
      mean_output_ += kSampleWeight * (output - mean_output_);
      mean_cost_ += kSampleWeight * (queue_->Cost(item->queued) - mean_cost_);
    }
  }
  FinishSpan(context_.tracer, item->span, outcome);
  wire::DispatchFinished finished;
  finished.exchange = item->request.exchange;
  finished.outcome = outcome;
  finished.body = std::move(body);
  finished.usage = usage;
  context_.peers.Send(item->channel, finished);
  Pump();
}

void EndpointWorker::Refuse(const ItemPtr& item,
                            NotRunReason reason,
                            std::uint32_t retry_after_ms) {
  items_.erase(item->id);
  FinishSpan(context_.tracer, item->span, NotRun{reason, retry_after_ms});
  wire::DispatchFinished finished;
  finished.exchange = item->request.exchange;
  finished.outcome = NotRun{reason, retry_after_ms};
  context_.peers.Send(item->channel, finished);
}

void EndpointWorker::RefuseQueued(NotRunReason reason) {
  std::vector<ItemPtr> queued;
  for (const auto& [id, item] : items_) {
    if (!item->running) {
      queued.push_back(item);
    }
  }
  for (const ItemPtr& item : queued) {
    queue_->Remove(item->id);
    Refuse(item, reason, kUnavailableRetryMs);
  }
}

void EndpointWorker::Cancel(ChannelId channel, ExchangeId exchange) {
  for (const auto& [id, item] : items_) {
    if (item->channel != channel || item->request.exchange != exchange) {
      continue;
    }
    const ItemPtr found = item;
    if (!found->running) {
      queue_->Remove(found->id);
      return Refuse(found, NotRunReason::kCancelled, 0);
    }
    if (is_engine()) {
      found->call->Cancel();
      return Finish(found, Unknown{UnknownReason::kConnectionLost}, "", {});
    }
    return;
  }
}

void EndpointWorker::CancelChannel(ChannelId channel) {
  std::vector<ExchangeId> exchanges;
  for (const auto& [id, item] : items_) {
    if (item->channel == channel) {
      exchanges.push_back(item->request.exchange);
    }
  }
  for (const ExchangeId exchange : exchanges) {
    Cancel(channel, exchange);
  }
}

void EndpointWorker::Tick(bool assigned) {
  const MonotonicTime now = context_.loop.Now();
  for (const QueuedCall& expired : queue_->ExpireBefore(now)) {
    Refuse(items_.at(expired.id), NotRunReason::kDeadlineExceeded, 0);
  }
  std::vector<ItemPtr> late;
  for (const auto& [id, item] : items_) {
    if (item->running && now >= item->deadline) {
      late.push_back(item);
    }
  }
  for (const ItemPtr& item : late) {
    if (item->call != nullptr) {
      item->call->Cancel();
    }
    Finish(item, Unknown{UnknownReason::kTimeout}, "", {});
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
