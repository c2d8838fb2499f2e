#include "src/daemon/home_runner.h"

#include <glog/logging.h>

#include <utility>

namespace acaciaspring::daemon {

namespace {

// Lower bound of the remaining time that is sent to a dispatcher as the deadline.
constexpr std::uint32_t kMinDeadlineMs = 1;
constexpr std::string_view kServicePrefix = "service/";
// Expected number of output tokens of a model call; used only for routing.
constexpr std::uint64_t kExpectedOutputTokens = 64;

program::HomeOptions MakeHomeOptions(const Context& context) {
  program::HomeOptions options;
  options.self = context.settings.daemon;
  options.incarnation = context.incarnation;
  return options;
}

EndpointSpeed MakeSpeed(const config::Endpoint& endpoint) {
  EndpointSpeed speed;
  speed.prefill_tokens_per_second = endpoint.prefill_tokens_per_second;
  speed.token_interval =
      Duration(static_cast<std::int64_t>(1e6 / endpoint.decode_tokens_per_second));
  speed.concurrency = endpoint.concurrency;
  return speed;
}

}  // namespace

EndpointId EndpointOfService(const ServiceId& service) {
  return EndpointId(std::string(kServicePrefix) + service.value());
}

HomeRunner::HomeRunner(Context context, const Cluster& cluster)
    : context_(context),
      cluster_(cluster),
      home_(context.journal.state(), MakeHomeOptions(context)) {}

void HomeRunner::OnConfiguration() {
  const config::Document& document = context_.document;
  program::Limits limits;
  limits.program_budget = document.limits.program_budget;
  limits.program_max_calls = document.limits.program_max_calls;
  limits.max_output = document.limits.max_output;
  limits.queued_calls_per_program = document.limits.queued_calls_per_program;
  limits.max_message_bytes = document.limits.max_message_bytes;
  for (const auto& [id, service] : document.services) {
    limits.services[id] = program::ServiceOptions{service.idempotent, service.timeout};
  }
  for (const auto& [id, priority_class] : document.priority_classes) {
    limits.priority_classes.insert(id);
  }
  home_.SetLimits(std::move(limits));

  RetryBudgetOptions retry_options;
  retry_options.ratio = document.policy.retry_ratio;
  retry_budget_ = RetryBudget(retry_options);

  std::set<EndpointId> configured;
  for (const auto& [id, endpoint] : document.endpoints) {
    EndpointDescription description;
    description.id = id;
    description.zone = endpoint.zone;
    for (const ModelId& model : endpoint.models) {
      description.services.emplace_back(model.value());
    }
    description.speed = MakeSpeed(endpoint);
    chooser_.SetEndpoint(description);
    chooser_.SetLeaving(id, endpoint.state == config::EndpointState::kLeaving);
    configured.insert(id);
  }
  for (const EndpointId& id : configured_endpoints_) {
    if (!configured.contains(id)) {
      chooser_.RemoveEndpoint(id);
    }
  }
  configured_endpoints_ = std::move(configured);
}

void HomeRunner::OnCall(ChannelId channel, const wire::CallRequest& request) {
  home_.SetLogAvailable(context_.journal.available());
  Execute(home_.OnCall(context_.loop.Now(), {channel.value(), request.exchange}, request));
}

void HomeRunner::OnCallCancelled(ChannelId channel, const wire::CallCancelled& cancelled) {
  home_.OnCallCancelled({channel.value(), cancelled.exchange});
}

void HomeRunner::OnDispatchEvent(ChannelId channel, const wire::DispatchEvent& event) {
  const auto pending = pending_dispatches_.find(event.exchange);
  if (pending == pending_dispatches_.end() || pending->second.channel != channel) {
    return;
  }
  if (!pending->second.first_token_received) {
    pending->second.first_token_received = true;
    chooser_.OnFirstToken(InFlightId(event.exchange.value()), context_.loop.Now());
  }
  Execute(home_.OnDispatchEvent(context_.loop.Now(), event.exchange, event.index, event.text));
}

void HomeRunner::OnDispatchFinished(ChannelId channel, wire::DispatchFinished finished) {
  const auto pending = pending_dispatches_.find(finished.exchange);
  if (pending == pending_dispatches_.end() || pending->second.channel != channel) {
    return;
  }
  FinishAttempt(finished.exchange, finished.outcome, std::move(finished.body), finished.usage);
}

void HomeRunner::FinishAttempt(ExchangeId attempt,
                               const Outcome& outcome,
                               std::string body,
                               wire::Usage usage) {
  const auto pending = pending_dispatches_.find(attempt);
  if (pending != pending_dispatches_.end()) {
    PendingDispatch& dispatch = pending->second;
    if (dispatch.is_model) {
      const bool completed = std::holds_alternative<Completed>(outcome);
      const TokenCount cached = completed ? usage.prompt + usage.completion : TokenCount();
      chooser_.OnFinished(InFlightId(attempt.value()), cached, context_.loop.Now());
    }
    FinishSpan(context_.tracer, std::move(dispatch.span), outcome);
    pending_dispatches_.erase(pending);
  }
  Execute(home_.OnDispatchFinished(context_.loop.Now(), attempt, outcome, std::move(body), usage));
}

void HomeRunner::OnEndpointReport(const wire::EndpointReport& report) {
  LoadReport load;
  load.running = report.running;
  load.waiting = report.queued;
  load.leaving = !report.available;
  load.sampled_at = context_.loop.Now();
  chooser_.OnLoad(report.endpoint, load);
}

void HomeRunner::OnChannelClosed(ChannelId channel) {
  home_.OnChannelClosed(channel.value());
  std::vector<ExchangeId> lost;
  for (const auto& [attempt, dispatch] : pending_dispatches_) {
    if (dispatch.channel == channel) {
      lost.push_back(attempt);
    }
  }
  for (const ExchangeId attempt : lost) {
    FinishAttempt(attempt, Unknown{UnknownReason::kConnectionLost}, "", {});
  }
}

void HomeRunner::OnOwnershipChanged() {
  Execute(home_.OnOwnershipChanged());
}

void HomeRunner::OnProgramEnded(const ProgramId& program) {
  chooser_.cache().RemovePrefix(PrefixOfProgram(program));
  last_endpoints_.erase(program);
}

void HomeRunner::Tick() {
  home_.SetLogAvailable(context_.journal.available());
  AppendQueued();
  Execute(home_.Tick(context_.loop.Now()));
}

void HomeRunner::Execute(program::Actions actions) {
  for (program::Action& action : actions) {
    std::visit([this](auto& value) { Execute(std::move(value)); }, action);
  }
}

void HomeRunner::Execute(program::AppendRecord action) {
  queued_appends_.push_back(std::move(action));
  AppendQueued();
}

// A record that does not fit into the queue of the journal is kept and appended later; without it
// the tokens that a call has spent would not be accounted for.
void HomeRunner::AppendQueued() {
  while (!queued_appends_.empty()) {
    const program::AppendRecord& next = queued_appends_.front();
    const program::AppendId append = next.append;
    const auto result =
        context_.journal.Append(next.record, [this, append](const journal::Verdict& verdict) {
          Execute(home_.OnVerdict(context_.loop.Now(), append, verdict));
        });
    if (std::holds_alternative<journal::QueueFull>(result)) {
      return;
    }
    queued_appends_.pop_front();
    if (std::holds_alternative<journal::RecordTooLarge>(result)) {
      LOG(ERROR) << "record exceeds the maximum size of a log entry and was not appended";
      context_.loop.Post([this, append] {
        Execute(home_.OnVerdict(context_.loop.Now(), append,
                                journal::Rejected{journal::RejectReason::kInvalid}));
      });
    }
  }
}

std::optional<EndpointChoice> HomeRunner::ChooseEngine(ExchangeId attempt,
                                                       const program::DispatchOrder& order,
                                                       const wire::ModelDispatch& work) {
  RoutingRequest request;
  request.service = ServiceId(work.model.value());
  request.zone = context_.settings.zone;
  request.program_prefix = PrefixOfProgram(order.program);
  request.prompt = order.prompt_estimate;
  request.expected_output = std::min(work.max_tokens, TokenCount(kExpectedOutputTokens));
  if (order.retry > 0) {
    request.excluded = last_endpoints_[order.program];
  }
  auto choice = chooser_.Choose(request, context_.loop.Now(), context_.random);
  if (!choice.has_value() && !request.excluded.empty()) {
    // No other endpoint is available, so the one that failed before is tried again.
    request.excluded.clear();
    choice = chooser_.Choose(request, context_.loop.Now(), context_.random);
  }
  if (choice.has_value()) {
    chooser_.OnStarted(InFlightId(attempt.value()), request, *choice, context_.loop.Now());
    last_endpoints_[order.program] = {choice->endpoint};
  }
  return choice;
}

void HomeRunner::Execute(program::StartDispatch action) {
  const program::DispatchOrder& order = action.order;
  if (order.retry == 0) {
    retry_budget_.OnRequest();
  } else if (!retry_budget_.TryRetry()) {
    return PostRefusal(action.attempt, NotRunReason::kOverloaded);
  }
  wire::DispatchRequest request;
  placement::EndpointLocation location;
  location.region = membership::Region(context_.settings.region);
  if (const auto* model = std::get_if<wire::ModelDispatch>(&order.work)) {
    const auto choice = ChooseEngine(action.attempt, order, *model);
    if (!choice.has_value()) {
      return PostRefusal(action.attempt, NotRunReason::kNoEndpoint);
    }
    request.endpoint = choice->endpoint;
    location.zone = context_.document.endpoints.at(choice->endpoint).zone;
  } else {
    request.endpoint = EndpointOfService(std::get<wire::ToolDispatch>(order.work).service);
  }
  location.endpoint = request.endpoint;
  const auto dispatcher = cluster_.placement().Dispatcher(location);
  const auto channel =
      dispatcher.has_value() ? context_.peers.ChannelTo(*dispatcher) : std::nullopt;
  if (!channel.has_value()) {
    return PostRefusal(action.attempt, NotRunReason::kOwnerUnavailable);
  }
  PendingDispatch& pending = pending_dispatches_[action.attempt];
  pending.channel = *channel;
  pending.endpoint = request.endpoint;
  pending.is_model = std::holds_alternative<wire::ModelDispatch>(order.work);
  pending.span = StartSpan("home", order.traceparent);
  pending.span.attributes.emplace_back("endpoint", request.endpoint.value());

  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - context_.loop.Now());
  request.exchange = action.attempt;
  request.organisation = order.organisation;
  request.program = order.program;
  request.root = order.root;
  request.priority_class = order.priority_class;
  request.attained_service = order.attained;
  request.prompt_estimate = order.prompt_estimate;
  request.deadline_ms = std::max(
      kMinDeadlineMs, static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 0)));
  std::visit([&](const auto& work) { request.work = work; }, order.work);
  request.traceparent = telemetry::FormatTraceparent(pending.span.context);
  context_.peers.Send(*channel, request);
}

void HomeRunner::PostRefusal(ExchangeId attempt, NotRunReason reason) {
  context_.loop.Post([this, attempt, reason] {
    FinishAttempt(attempt, NotRun{reason, 200}, "", {});
  });
}

void HomeRunner::Execute(const program::CancelDispatch& action) {
  const auto pending = pending_dispatches_.find(action.attempt);
  if (pending == pending_dispatches_.end()) {
    return;
  }
  context_.peers.Send(pending->second.channel, wire::DispatchCancelled{action.attempt});
  if (pending->second.is_model) {
    chooser_.OnFinished(InFlightId(action.attempt.value()), TokenCount(), context_.loop.Now());
  }
  FinishSpan(context_.tracer, std::move(pending->second.span), Failed{FailureReason::kCancelled});
  pending_dispatches_.erase(pending);
}

void HomeRunner::Execute(program::SendEvent action) {
  context_.peers.Send(
      ChannelId(action.to.channel),
      wire::CallEvent{action.to.exchange, action.offset, std::move(action.text), action.hash});
}

void HomeRunner::Execute(program::SendFinished action) {
  context_.peers.Send(
      ChannelId(action.to.channel),
      wire::CallFinished{action.to.exchange, action.outcome, std::move(action.body), action.usage});
}

void HomeRunner::Execute(const program::SendWrongOwner& action) {
  context_.peers.Send(ChannelId(action.to.channel),
                      wire::WrongOwner{action.to.exchange, action.owner, action.epoch});
}

}  // namespace acaciaspring::daemon
