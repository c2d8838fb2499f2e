#include "src/gateway/turn_run.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// Bound for one event of a stream; real ones have some hundred bytes.
constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;
// Callers leave a stream after a silence of two seconds or more.
constexpr Duration kMaxHoldBack = std::chrono::milliseconds(1600);
// The call to the endpoint ends first, because only it knows whether the turn may have run.
constexpr Duration kCallMargin = std::chrono::milliseconds(20);

}  // namespace

TurnRun::TurnRun(Context& context,
                 std::shared_ptr<ledger::Partition> partition,
                 TurnRequest request,
                 TurnServices services,
                 AnswerSinkPtr sink,
                 std::function<void()> on_ended)
    : context_(context),
      partition_(std::move(partition)),
      request_(std::move(request)),
      services_(std::move(services)),
      sink_(std::move(sink)),
      on_ended_(std::move(on_ended)),
      started_at_(context.loop.Now()),
      deadline_(started_at_ + Duration(request_.left_us)),
      parser_(kMaxEventBytes) {}

void TurnRun::Start() {
  deadline_timer_ = context_.loop.After(Duration(request_.left_us), [this] { OnDeadline(); });
  const ledger::TurnId& previous = request_.program.previous_turn;
  if (!request_.retained || previous.empty()) {
    Admit();
    return;
  }
  if (const auto chain = partition_->ledger().Chain(previous)) {
    TakeChain(*chain);
    Admit();
    return;
  }
  SearchChain();
}

void TurnRun::TakeChain(const std::vector<const ledger::Turn*>& chain) {
  for (const ledger::Turn* turn : chain) {
    chain_body_ += turn->input;
    chain_body_ += turn->output;
  }
}

void TurnRun::SearchChain() {
  services_.find_chain(
      request_.program.previous_turn, [weak = weak_from_this()](const ChainSearchResult& result) {
        const auto self = weak.lock();
        if (!self || self->ended_) {
          return;
        }
        std::visit(Overloaded{[&](const ChainFound& found) {
                                self->imported_ = found.turns;
                                std::vector<const ledger::Turn*> chain;
                                for (const ledger::Turn& turn : self->imported_) {
                                  chain.push_back(&turn);
                                }
                                self->TakeChain(chain);
                                self->Admit();
                              },
                              [&](const ChainUnknown&) {
                                self->EndWithout({.status = 404, .reason = "unknown_turn"});
                              },
                              [&](const ChainUncertain&) {
                                self->EndWithout({.status = 503,
                                                  .reason = "turn_search_incomplete",
                                                  .retry_after = kOwnerRetryAfter});
                              }},
                   result);
      });
}

void TurnRun::Call() {
  CallPlan plan{.id = request_.id,
                .service = request_.service,
                .kind = request_.kind,
                .priority = request_.priority,
                .max_attempts = request_.max_attempts,
                .method = request_.method,
                .target = request_.target,
                .headers = request_.headers,
                .body = chain_body_ + request_.body,
                .deadline = deadline_ - kCallMargin,
                .preferred = services_.preferred_endpoint(request_.program)};
  chain_body_.clear();
  call_ = std::make_shared<EndpointCall>(
      context_, std::move(plan),
      CallEvents{
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
    held_head_ = {status, headers};
    return;
  }
  begun_ = true;
  sink_->Head(status, headers);
}

void TurnRun::OnData(std::string_view data) {
  if (first_event_at_ == MonotonicTime()) {
    first_event_at_ = context_.loop.Now();
  }
  // A piece of an event that breaks off counts as a whole one.
  partial_event_ = data.ends_with("\n\n") ? 0 : 1;
  for (const net::SseEvent& event : parser_.Feed(data)) {
    ++events_passed_;
    if (request_.retained) {
      output_ += event.data;
      output_ += '\n';
    }
  }
  if (reserved_) {
    ExtendClaim();
  }
  Pass(data);
}

void TurnRun::Pass(std::string_view data) {
  if (!reserved_) {
    held_.append(data);
  } else if (request_.retained && partition_->stalled()) {
    PassLater(std::string(data));
  } else {
    PassHeldBack();
    sink_->Data(data);
  }
}

void TurnRun::PassLater(std::string data) {
  // The end of the stream waits for the store. The last piece waits with it for a while, because
  // callers leave a stream that is silent for too long and then run the whole turn again.
  PassHeldBack();
  held_back_ = std::move(data);
  held_back_timer_ = context_.loop.After(kMaxHoldBack, [this] { PassHeldBack(); });
}

void TurnRun::PassHeldBack() {
  held_back_timer_.Cancel();
  if (!held_back_.empty()) {
    const std::string data = std::exchange(held_back_, {});
    sink_->Data(data);
  }
}

void TurnRun::OnCallDone(const Outcome& outcome) {
  if (ended_) {
    return;
  }
  if (!std::holds_alternative<Completed>(outcome)) {
    EndWithout(RefusalFor(outcome));
    return;
  }
  if (!reserved_) {
    // The end waits for the reservation as the events do.
    call_outcome_ = outcome;
    return;
  }
  services_.remember_endpoint(request_.program, call_->endpoint());
  Complete();
}

void TurnRun::Complete() {
  partial_event_ = 0;
  if (!request_.retained || status_ != 200) {
    Settle();
    PassHeldBack();
    sink_->End();
    Ended("completed");
    return;
  }
  RecordTurn();
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
  EndWithout(sent ? RefusalFor(Unknown{.reason = UnknownReason::kTimeout})
                  : RefusalFor(NotRun{.reason = NotRunReason::kDeadlineExceeded}));
}

void TurnRun::EndWithout(const Refusal& refusal) {
  const auto self = shared_from_this();
  Settle();
  Fail(*sink_, begun_, refusal);
  Ended(refusal.reason);
}

void TurnRun::Cancel() {
  if (ended_) {
    return;
  }
  if (call_ != nullptr) {
    call_->Cancel();
  }
  Settle();
  Ended("caller_gone");
}

void TurnRun::Ended(std::string_view outcome) {
  const auto self = shared_from_this();
  ended_ = true;
  deadline_timer_.Cancel();
  anywhere_timer_.Cancel();
  if (const auto cancel = std::exchange(cancel_anywhere_, nullptr)) {
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
               {"deadline_ms", request_.left_us / 1000},
               {"events", static_cast<std::int64_t>(events_passed_)},
               {"max_output", static_cast<std::int64_t>(request_.program.max_output.value())},
               {"budget", static_cast<std::int64_t>(
                              request_.program.budget.value_or(TokenCount()).value())}});
  if (const auto on_ended = std::exchange(on_ended_, nullptr)) {
    on_ended();
  }
}

}  // namespace acaciaspring::gateway
