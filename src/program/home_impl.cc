#include "src/program/home_impl.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::program {

namespace {

// Spend authorised by the ProgramCreated record, so that the first turn needs no separate append.
constexpr TokenCount kInitialAuthorisation{8192};

}  // namespace

HomeImpl::HomeImpl(const journal::State& state, HomeOptions options)
    : state_(state), options_(std::move(options)) {}

Actions HomeImpl::TakeActions() {
  return std::exchange(actions_, {});
}

const journal::ShardOwner* HomeImpl::OwnershipOf(ShardId shard) const {
  const journal::ShardOwner* owner = state_.OwnerOf(shard);
  if (owner == nullptr || owner->released || owner->daemon != options_.self ||
      owner->incarnation != options_.incarnation) {
    return nullptr;
  }
  return owner;
}

const journal::Program* HomeImpl::FindVisibleProgram(const wire::CallRequest& request) const {
  const journal::Program* program = state_.FindProgram(request.program);
  if (program == nullptr || program->organisation != request.organisation) {
    return nullptr;
  }
  return program;
}

void HomeImpl::OnCall(const Subscriber& from, const wire::CallRequest& request) {
  const ShardId shard = ShardOf(request.program);
  if (OwnershipOf(shard) == nullptr) {
    const journal::ShardOwner* owner = state_.OwnerOf(shard);
    actions_.push_back(SendWrongOwner{from, owner == nullptr ? DaemonId() : owner->daemon,
                                      owner == nullptr ? Epoch() : owner->epoch});
    return;
  }
  const journal::Program* program = FindVisibleProgram(request);
  const bool creates = std::holds_alternative<wire::CreateProgram>(request.operation);
  if (program == nullptr && !creates) {
    return Refuse(from, NotRunReason::kUnknownProgram);
  }
  if (std::holds_alternative<wire::DescribeProgram>(request.operation)) {
    actions_.push_back(
        SendFinished{from, Completed{}, DescriptionAsJson(request.program, *program), {}});
    return;
  }
  if (std::holds_alternative<wire::ReadHistory>(request.operation)) {
    actions_.push_back(SendFinished{from, Completed{}, HistoryAsJson(*program), {}});
    return;
  }
  if (AttachToActiveCall(from, request) || ReplayResult(from, request)) {
    return;
  }
  if (!creates && program->ended && !std::holds_alternative<wire::EndProgram>(request.operation)) {
    return Refuse(from, NotRunReason::kProgramEnded);
  }
  if (draining_.contains(shard)) {
    return Refuse(from, NotRunReason::kOwnerUnavailable);
  }
  if (!log_available_) {
    return Refuse(from, NotRunReason::kLogUnavailable);
  }
  Enqueue(from, request);
}

bool HomeImpl::AttachToActiveCall(const Subscriber& from, const wire::CallRequest& request) {
  const auto it = programs_.find(request.program);
  if (it == programs_.end()) {
    return false;
  }
  const auto attach = [&](Call& call) {
    if (call.request.key != request.key || call.request.organisation != request.organisation) {
      return false;
    }
    if (!IsSameOperation(call.request.operation, request.operation)) {
      Refuse(from, NotRunReason::kKeyConflict);
      return true;
    }
    call.subscriptions.push_back(Subscription{from, request.resume});
    return true;
  };
  ProgramCalls& calls = it->second;
  if (calls.running.has_value() && attach(calls.running->call)) {
    Deliver(*calls.running);
    return true;
  }
  return std::any_of(calls.queue.begin(), calls.queue.end(), attach);
}

void HomeImpl::Enqueue(const Subscriber& from, const wire::CallRequest& request) {
  const auto it = programs_.try_emplace(request.program).first;
  ProgramCalls& calls = it->second;
  if (calls.queue.size() >= limits_.queued_calls_per_program) {
    return Refuse(from, NotRunReason::kQueueFull);
  }
  Call call;
  call.request = request;
  call.subscriptions.push_back(Subscription{from, request.resume});
  call.deadline = now_ + std::chrono::milliseconds(request.deadline_ms);
  calls.queue.push_back(std::move(call));
  StartNextCall(it);
}

void HomeImpl::StartNextCall(CallsIterator it) {
  ProgramCalls& calls = it->second;
  if (calls.running.has_value()) {
    return;
  }
  if (calls.queue.empty()) {
    programs_.erase(it);
    return;
  }
  const journal::ShardOwner* owner = OwnershipOf(ShardOf(it->first));
  if (owner == nullptr) {
    return DropCalls(it);
  }
  calls.running.emplace();
  calls.running->call = std::move(calls.queue.front());
  calls.queue.pop_front();
  calls.running->epoch = owner->epoch;
  if (now_ >= calls.running->call.deadline) {
    return Finish(it, NotRun{NotRunReason::kDeadlineExceeded}, "", {});
  }
  const journal::Program* program = state_.FindProgram(it->first);
  const wire::Operation operation = calls.running->call.request.operation;
  if (!std::holds_alternative<wire::CreateProgram>(operation) &&
      (program == nullptr || program->ended) &&
      !std::holds_alternative<wire::EndProgram>(operation)) {
    return Finish(it, NotRun{NotRunReason::kProgramEnded}, "", {});
  }
  std::visit([&](const auto& value) { StartOperation(it, value); }, operation);
}

template <class Operation>
void HomeImpl::StartOperation(CallsIterator it, const Operation&) {
  Finish(it, NotRun{NotRunReason::kInvalidRequest}, "", {});
}

void HomeImpl::StartOperation(CallsIterator it, const wire::CreateProgram& operation) {
  RunningCall& running = *it->second.running;
  const wire::CallRequest& request = running.call.request;
  if (!limits_.priority_classes.contains(operation.priority_class)) {
    return Finish(it, NotRun{NotRunReason::kInvalidRequest}, "", {});
  }
  journal::ProgramCreated record;
  record.program = request.program;
  record.epoch = running.epoch;
  record.organisation = request.organisation;
  record.key = request.key;
  record.priority_class = operation.priority_class;
  record.budget = operation.budget.value() == 0
                      ? limits_.program_budget
                      : std::min(operation.budget, limits_.program_budget);
  record.max_calls = operation.max_calls == 0
                         ? limits_.program_max_calls
                         : std::min(operation.max_calls, limits_.program_max_calls);
  record.parent = operation.parent;
  record.authorised = std::min(record.budget, kInitialAuthorisation);
  Append(running, Phase::kCreating, std::move(record));
}

void HomeImpl::StartOperation(CallsIterator it, const wire::EndProgram&) {
  RunningCall& running = *it->second.running;
  const journal::Program* program = state_.FindProgram(it->first);
  if (program == nullptr || program->ended) {
    return Finish(it, Completed{}, "{}", {});
  }
  journal::ProgramEnded record;
  record.program = it->first;
  record.epoch = running.epoch;
  Append(running, Phase::kEnding, std::move(record));
}

void HomeImpl::Append(RunningCall& running, Phase phase, journal::Record record) {
  running.phase = phase;
  running.append = ++last_append_;
  pending_appends_[running.append] = running.call.request.program;
  actions_.push_back(AppendRecord{running.append, std::move(record)});
}

void HomeImpl::Dispatch(CallsIterator it) {
  RunningCall& running = *it->second.running;
  const journal::Program& program = *state_.FindProgram(it->first);
  const journal::Program* root = state_.FindProgram(program.root);
  running.phase = Phase::kDispatching;
  running.attempt = ++last_attempt_;
  running.attempt_text.clear();
  running.next_index = 0;
  attempts_[running.attempt] = it->first;

  DispatchOrder order;
  order.program = it->first;
  order.root = program.root;
  order.organisation = program.organisation;
  order.priority_class = program.priority_class;
  order.attained = root == nullptr ? program.spent : root->spent;
  order.prompt_estimate = running.prompt_bound;
  order.deadline = running.call.deadline;
  order.traceparent = running.call.request.traceparent;
  order.retry = running.attempts++;
  if (const auto* model = std::get_if<wire::ModelCall>(&running.call.request.operation)) {
    order.work = MakeDispatch(running, *model);
  } else {
    const auto& tool = std::get<wire::ToolCall>(running.call.request.operation);
    const auto service = limits_.services.find(tool.service);
    if (service != limits_.services.end()) {
      order.deadline = std::min(order.deadline, now_ + service->second.timeout);
    }
    order.work = MakeDispatch(running, tool);
  }
  actions_.push_back(StartDispatch{running.attempt, std::move(order)});
}

bool HomeImpl::CanRetry(const RunningCall& running) const {
  return running.attempts < options_.max_attempts && now_ < running.call.deadline;
}

void HomeImpl::Finish(CallsIterator it,
                      const Outcome& outcome,
                      std::string body,
                      wire::Usage usage) {
  RunningCall& running = *it->second.running;
  NotifyFinished(running.call, outcome, body, usage);
  attempts_.erase(running.attempt);
  it->second.running.reset();
  StartNextCall(it);
}

void HomeImpl::DropCalls(CallsIterator it) {
  ProgramCalls& calls = it->second;
  if (calls.running.has_value()) {
    NotifyWrongOwner(calls.running->call);
    if (attempts_.erase(calls.running->attempt) > 0) {
      actions_.push_back(CancelDispatch{calls.running->attempt});
    }
  }
  for (const Call& call : calls.queue) {
    NotifyWrongOwner(call);
  }
  programs_.erase(it);
}

void HomeImpl::OnDispatchEvent(ExchangeId attempt, std::uint64_t index, std::string_view text) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    OnModelEvent(programs_.find(found->second), index, text);
  }
}

void HomeImpl::OnDispatchFinished(ExchangeId attempt,
                                  const Outcome& outcome,
                                  std::string body,
                                  wire::Usage usage) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const auto it = programs_.find(found->second);
  attempts_.erase(found);
  if (std::holds_alternative<wire::ModelCall>(it->second.running->call.request.operation)) {
    OnModelFinished(it, outcome, std::move(body), usage);
  } else {
    OnToolFinished(it, outcome, std::move(body));
  }
}

void HomeImpl::OnOwnershipChanged() {
  for (auto it = programs_.begin(); it != programs_.end();) {
    const auto current = it++;
    const journal::ShardOwner* owner = OwnershipOf(ShardOf(current->first));
    const auto& running = current->second.running;
    if (owner == nullptr || (running.has_value() && running->epoch != owner->epoch)) {
      DropCalls(current);
    }
  }
}

void HomeImpl::Tick() {
  for (auto it = programs_.begin(); it != programs_.end();) {
    const auto current = it++;
    for (Call& call : current->second.queue) {
      if (now_ >= call.deadline) {
        NotifyFinished(call, NotRun{NotRunReason::kDeadlineExceeded}, "", {});
      }
    }
    std::erase_if(current->second.queue, [&](const Call& call) { return now_ >= call.deadline; });
    if (current->second.running.has_value() && now_ >= current->second.running->call.deadline) {
      OnDeadlinePassed(current);
    }
  }
}

void HomeImpl::OnDeadlinePassed(CallsIterator it) {
  RunningCall& running = *it->second.running;
  switch (running.phase) {
    case Phase::kDispatching:
      if (now_ >= running.call.deadline + options_.dispatch_grace) {
        const ExchangeId attempt = running.attempt;
        actions_.push_back(CancelDispatch{attempt});
        OnDispatchFinished(attempt, Unknown{UnknownReason::kTimeout}, "", {});
      }
      return;
    case Phase::kAuthorising:
    case Phase::kRecordingIntent:
      running.expired = true;
      if (running.may_have_run) {
        return NotifyFinished(running.call, Unknown{UnknownReason::kLogUnavailable}, "", {});
      }
      return NotifyFinished(running.call, NotRun{NotRunReason::kDeadlineExceeded}, "", {});
    case Phase::kCreating:
    case Phase::kEnding:
    case Phase::kCharging:
    case Phase::kCancellingIntent:
    case Phase::kCommitting:
      running.expired = true;
      return NotifyFinished(running.call, Unknown{UnknownReason::kLogUnavailable}, "", {});
  }
}

void HomeImpl::RemoveSubscriptions(const std::function<bool(const Subscriber&)>& matches) {
  const auto remove = [&](Call& call) {
    std::erase_if(call.subscriptions, [&](const Subscription& subscription) {
      return matches(subscription.subscriber);
    });
  };
  for (auto& [program, calls] : programs_) {
    if (calls.running.has_value()) {
      remove(calls.running->call);
    }
    std::for_each(calls.queue.begin(), calls.queue.end(), remove);
  }
}

}  // namespace acaciaspring::program
