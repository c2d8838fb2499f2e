#include "src/gateway/turn_run.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// Limit for one event of a stream; typical events have a few hundred bytes.
constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;
// Callers abandon a stream that is silent for two seconds or more.
constexpr Duration kMaxForwardDelay = std::chrono::milliseconds(1600);
// The call gets an earlier deadline, because only the call knows whether the turn may have run.
constexpr Duration kCallMargin = std::chrono::milliseconds(20);

}  // namespace

TurnRun::TurnRun(Context& context,
                 std::shared_ptr<ledger::Partition> partition,
                 TurnRequest request,
                 TurnDependencies dependencies,
                 ResponseSinkPtr sink,
                 std::function<void()> on_ended)
    : context_(context),
      partition_(std::move(partition)),
      request_(std::move(request)),
      held_(context.buffers, request_.body.size()),
      dependencies_(std::move(dependencies)),
      sink_(std::move(sink)),
      on_ended_(std::move(on_ended)),
      started_at_(context.loop.Now()),
      deadline_(started_at_ + Duration(request_.remaining_us)),
      parser_(kMaxEventBytes) {}

void TurnRun::Start() {
  deadline_timer_ = context_.loop.After(Duration(request_.remaining_us), [this] { OnDeadline(); });
  const ledger::TurnId& previous = request_.program.previous_turn;
  if (!request_.retained || previous.empty()) {
    Admit();
    return;
  }
  if (const auto chain = partition_->ledger().Chain(previous)) {
    AddChainToBody(*chain);
    Admit();
    return;
  }
  SearchChain();
}

void TurnRun::AddChainToBody(const std::vector<const ledger::Turn*>& chain) {
  for (const ledger::Turn* turn : chain) {
    chain_body_ += turn->input;
    chain_body_ += turn->output;
  }
  UpdateHeldBytes();
}

void TurnRun::UpdateHeldBytes() {
  if (!context_.buffers.enabled()) {
    return;
  }
  std::size_t bytes = request_.body.size() + chain_body_.size() + output_.size() +
                      data_awaiting_reservation_.size() + delayed_data_.size();
  for (const ledger::Turn& turn : imported_turns_) {
    bytes += turn.input.size() + turn.output.size();
  }
  held_.Set(bytes);
}

void TurnRun::SearchChain() {
  dependencies_.find_chain(
      request_.program.previous_turn, deadline_,
      [weak = weak_from_this()](ChainSearchResult result) {
        const auto self = weak.lock();
        if (!self || self->ended_) {
          return;
        }
        std::visit(Overloaded{[&](ChainFound& found) {
                                self->imported_turns_ = std::move(found.turns);
                                std::vector<const ledger::Turn*> chain;
                                for (const ledger::Turn& turn : self->imported_turns_) {
                                  chain.push_back(&turn);
                                }
                                self->AddChainToBody(chain);
                                self->Admit();
                              },
                              [&](const ChainNotFound&) {
                                self->FailWith({.status = 404, .reason = "unknown_turn"});
                              },
                              [&](const ChainSearchIncomplete&) {
                                self->FailWith({.status = 503,
                                                .reason = "turn_search_incomplete",
                                                .retry_after = kOwnerRetryAfter});
                              }},
                   result);
      });
}

void TurnRun::StartCall() {
  CallPlan plan{.id = request_.id,
                .service = request_.service,
                .kind = request_.kind,
                .priority = request_.priority,
                .max_attempts = request_.max_attempts,
                .method = request_.method,
                .target = request_.target,
                .headers = request_.headers,
                .body = chain_body_ + request_.body,
                .added_bytes = chain_body_.size(),
                .deadline = deadline_ - kCallMargin,
                .preferred = dependencies_.preferred_endpoint(request_.program),
                .prompt = request_.prompt,
                .credential = request_.credential,
                .program_started = program_started_};
  chain_body_ = std::string();
  UpdateHeldBytes();
  call_ = std::make_shared<EndpointCall>(
      context_, std::move(plan),
      CallCallbacks{
          .on_head = [this](int status, const net::Headers& headers) { OnHead(status, headers); },
          .on_data = [this](std::string_view data) { OnData(data); },
          .on_done =
              [this](const Outcome& outcome) {
                const auto self = shared_from_this();
                OnCallDone(outcome);
              }});
  call_->Start();
}

void TurnRun::OnHead(int status, const net::Headers& headers) {
  status_ = status;
  if (!reserved_) {
    head_awaiting_reservation_ = {status, headers};
    return;
  }
  response_started_ = true;
  sink_->Head(status, headers);
}

void TurnRun::OnData(std::string_view data) {
  if (first_event_at_ == MonotonicTime()) {
    first_event_at_ = context_.loop.Now();
  }
  stream_boundary_.Feed(data);
  for (const net::SseEvent& event : parser_.Feed(data)) {
    ++events_received_;
    if (request_.retained) {
      output_ += event.data;
      output_ += '\n';
    }
  }
  if (parser_.overflowed()) {
    // The tokens of a stream that forms no events cannot be counted.
    overflow_timer_ = context_.loop.After(Duration(0), [this] { OnStreamOverflow(); });
    return;
  }
  if (reserved_) {
    ExtendClaim();
  }
  Forward(data);
}

void TurnRun::Forward(std::string_view data) {
  if (!reserved_) {
    data_awaiting_reservation_.append(data);
  } else if (request_.retained && partition_->stalled()) {
    DelayData(std::string(data));
  } else {
    FlushDelayedData();
    sink_->Data(data);
  }
  UpdateHeldBytes();
}

void TurnRun::DelayData(std::string data) {
  // The end of the stream waits until the store is available. The latest data waits with it, but
  // only for a limited time, because callers abandon a stream that is silent for too long and then
  // run the whole turn again.
  FlushDelayedData();
  delayed_data_ = std::move(data);
  delayed_data_timer_ = context_.loop.After(kMaxForwardDelay, [this] { FlushDelayedData(); });
}

void TurnRun::FlushDelayedData() {
  delayed_data_timer_.Cancel();
  if (!delayed_data_.empty()) {
    const std::string data = std::exchange(delayed_data_, {});
    sink_->Data(data);
  }
}

void TurnRun::OnCallDone(const Outcome& outcome) {
  if (ended_) {
    return;
  }
  if (!std::holds_alternative<Completed>(outcome)) {
    FailWith(MakeHttpError(outcome));
    return;
  }
  if (!reserved_) {
    // Like the data, the end of the response waits for the reservation.
    call_outcome_ = outcome;
    return;
  }
  dependencies_.remember_endpoint(request_.program, call_->endpoint());
  Complete();
}

void TurnRun::Complete() {
  stream_boundary_ = {};
  if (!request_.retained || status_ != 200) {
    Settle();
    FlushDelayedData();
    sink_->End();
    Finish("completed");
    return;
  }
  RecordTurn();
}

void TurnRun::OnStreamOverflow() {
  const auto self = shared_from_this();
  if (!ended_) {
    call_->Cancel();
    FailWith({.status = 502, .reason = "invalid_stream"});
  }
}

void TurnRun::OnDeadline() {
  const auto self = shared_from_this();
  if (ended_) {
    return;
  }
  const bool sent = call_ != nullptr;
  if (sent) {
    call_->Cancel();
  }
  FailWith(sent ? MakeHttpError(Unknown{.reason = UnknownReason::kTimeout})
                : MakeHttpError(NotRun{.reason = NotRunReason::kDeadlineExceeded}));
}

void TurnRun::FailWith(const HttpError& error) {
  const auto self = shared_from_this();
  Settle();
  Fail(*sink_, response_started_, error);
  Finish(error.reason);
}

void TurnRun::Cancel() {
  if (ended_) {
    return;
  }
  if (call_ != nullptr) {
    call_->Cancel();
  }
  Settle();
  Finish("caller_gone");
}

void TurnRun::Finish(std::string_view outcome) {
  const auto self = shared_from_this();
  ended_ = true;
  deadline_timer_.Cancel();
  any_partition_timer_.Cancel();
  if (const auto cancel = std::exchange(cancel_any_partition_, nullptr)) {
    cancel();
  }
  const MonotonicTime now = context_.loop.Now();
  const auto ms = [&](MonotonicTime at) {
    return at == MonotonicTime()
               ? std::int64_t{-1}
               : std::chrono::duration_cast<std::chrono::milliseconds>(at - started_at_).count();
  };
  context_.events.Write(
      "turn", {{"id", request_.id.value()},
               {"program", request_.program.program.value()},
               {"partition", static_cast<std::int64_t>(partition_->id().value())},
               {"epoch", static_cast<std::int64_t>(partition_->epoch().value())},
               {"endpoint", call_ == nullptr ? std::string() : call_->endpoint().value()},
               {"status", static_cast<std::int64_t>(status_)},
               {"outcome", std::string(outcome)},
               {"first_event_ms", ms(first_event_at_)},
               {"recording_since_ms", ms(recording_since_)},
               {"total_ms", ms(now)},
               {"deadline_ms", request_.remaining_us / 1000},
               {"events", static_cast<std::int64_t>(events_received_)},
               {"max_output", static_cast<std::int64_t>(request_.program.max_output.value())},
               {"budget", static_cast<std::int64_t>(
                              request_.program.budget.value_or(TokenCount()).value())}});
  if (const auto on_ended = std::exchange(on_ended_, nullptr)) {
    on_ended();
  }
}

}  // namespace acaciaspring::gateway
