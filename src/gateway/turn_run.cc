#include "src/gateway/turn_run.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Bound for one event of a stream; real ones have some hundred bytes.
constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;
// Callers leave a stream after a silence of two seconds or more.
constexpr Duration kMaxHoldBack = std::chrono::milliseconds(1600);
// The call to the endpoint ends first, because only it knows whether the turn may have run.
constexpr Duration kCallMargin = std::chrono::milliseconds(20);
// Time for the next owner to count tokens of a turn that has ended.
constexpr Duration kLateCommitTime = std::chrono::seconds(10);
// Beyond it the partition is probably away; a slow store answers in 240 ms.
constexpr Duration kRecordAnywhereAfter = std::chrono::milliseconds(300);
// A partition moves within about this time.
constexpr Duration kOwnerRetryAfter = std::chrono::milliseconds(300);

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

void TurnRun::Admit() {
  if (!partition_->admits()) {
    // The partition moved while the chain was searched.
    EndWithout({.status = 503, .reason = "owner_changed", .retry_after = kOwnerRetryAfter});
    return;
  }
  if (!request_.program.budget) {
    admitted_ = true;
    reserved_ = true;
    Call();
    return;
  }
  const ledger::TurnDemand demand{.program = request_.program.program,
                                  .budget = *request_.program.budget,
                                  .maximum = request_.program.max_output};
  const ledger::Admission admission = partition_->ledger().Admit(demand, context_.loop.Now());
  if (const auto* spent = std::get_if<ledger::BudgetSpent>(&admission)) {
    context_.events.Write("budget_spent",
                          {{"id", request_.id.value()},
                           {"program", request_.program.program.value()},
                           {"budget", static_cast<std::int64_t>(request_.program.budget->value())},
                           {"spent", static_cast<std::int64_t>(spent->spent.value())},
                           {"in_flight", static_cast<std::int64_t>(spent->in_flight.value())},
                           {"epoch", static_cast<std::int64_t>(partition_->epoch().value())}});
    EndWithout({.status = 402, .reason = "budget_spent"});
    return;
  }
  admitted_ = true;
  claim_ = partition_->ledger().ClaimOf(demand);
  Reserve(admission, TokenCount());
  if (!ended_) {
    Call();
  }
}

void TurnRun::Reserve(const ledger::Admission& admission, TokenCount counted) {
  if (const auto* needed = std::get_if<ledger::SpendNeedsRecord>(&admission)) {
    reserved_ = false;
    partition_->Append({.spend = needed->spend}, [weak = weak_from_this(), counted](bool durable) {
      if (const auto self = weak.lock()) {
        self->OnReservation(durable, counted);
      }
    });
    return;
  }
  reserved_ = true;
  if (const auto& ahead = std::get<ledger::SpendGranted>(admission).spend) {
    // Kept alive until the record's fate is known.
    partition_->Append({.spend = ahead}, [self = shared_from_this(), counted](bool durable) {
      if (!durable && !self->record_lost_) {
        self->record_lost_ = true;
        self->counted_ = counted;
      }
      self->CountElsewhere();
    });
  }
}

void TurnRun::ExtendClaim() {
  const TokenCount handed_out((events_passed_ + partial_event_) *
                              request_.tokens_per_event.value());
  if (!admitted_ || !request_.program.budget || handed_out <= claim_.covered) {
    return;
  }
  const TokenCount counted = claim_.covered;
  Reserve(partition_->ledger().Extend(claim_), counted);
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

void TurnRun::OnReservation(bool durable, TokenCount counted) {
  if (durable || ended_) {
    OnReserved(durable);
    return;
  }
  // The partition has moved; its next owner reserves the tokens instead.
  services_.commit_elsewhere({.program = request_.program.program,
                              .tokens = claim_.covered - counted,
                              .budget = *request_.program.budget},
                             deadline_, [weak = weak_from_this()](bool reserved) {
                               if (const auto self = weak.lock()) {
                                 self->OnReserved(reserved);
                               }
                             });
}

void TurnRun::OnReserved(bool durable) {
  if (ended_) {
    return;
  }
  if (!durable) {
    if (call_ != nullptr) {
      call_->Cancel();
    }
    EndWithout({.status = 502, .reason = "owner_changed"});
    return;
  }
  reserved_ = true;
  if (held_head_) {
    const auto head = *std::exchange(held_head_, std::nullopt);
    begun_ = true;
    sink_->Head(head.first, head.second);
  }
  // Older than what was held for the reservation.
  PassHeldBack();
  if (!held_.empty()) {
    const std::string held = std::exchange(held_, {});
    sink_->Data(held);
  }
  if (call_outcome_) {
    OnCallDone(*call_outcome_);
  }
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

void TurnRun::RecordTurn() {
  recording_since_ = context_.loop.Now();
  for (const ledger::Turn& turn : imported_) {
    partition_->Append({.turn = turn}, [](bool) {});
  }
  ledger::Record record;
  const TokenCount used(events_passed_ * request_.tokens_per_event.value());
  if (request_.program.budget) {
    record.spend = partition_->ledger().SpendAtEnd(claim_, used);
  }
  record.turn = ledger::Turn{.id = ledger::TurnId(request_.id.value()),
                             .parent = request_.program.previous_turn,
                             .input = std::move(request_.body),
                             .output = std::move(output_),
                             .recorded_at = net::Loop::WallNow(),
                             .retention = Duration(request_.retention_us)};
  recording_ = record.turn;
  Settle();
  const auto self = shared_from_this();
  if (partition_->stalled()) {
    RecordAnywhere();
  } else {
    anywhere_timer_ = context_.loop.After(kRecordAnywhereAfter, [this] { RecordAnywhere(); });
  }
  partition_->Append(record, [weak = weak_from_this()](bool durable) {
    const auto live = weak.lock();
    if (!live || live->ended_) {
      return;
    }
    if (durable) {
      live->OnRecorded(true);
    } else {
      live->RecordAtNextOwner();
    }
  });
}

void TurnRun::RecordAtNextOwner() {
  // The next owner has counted the tokens, which were below the recorded ceiling. It does not have
  // the turns of the chain whose records were lost with the partition.
  std::vector<ledger::Turn> turns = imported_;
  for (const ledger::Turn& turn :
       partition_->ledger().UnrecordedOf(request_.program.previous_turn)) {
    turns.push_back(turn);
  }
  turns.push_back(*recording_);
  services_.commit_elsewhere({.program = request_.program.program, .turns = std::move(turns)},
                             deadline_, [weak = weak_from_this()](bool recorded) {
                               if (const auto live = weak.lock()) {
                                 live->OnRecorded(recorded);
                               }
                             });
}

void TurnRun::RecordAnywhere() {
  std::vector<ledger::Turn> turns = imported_;
  const ledger::TurnId& previous = request_.program.previous_turn;
  if (!previous.empty() && turns.empty()) {
    const auto chain = partition_->ledger().Chain(previous);
    if (!chain) {
      return;
    }
    for (const ledger::Turn* turn : *chain) {
      turns.push_back(*turn);
    }
  }
  turns.push_back(*recording_);
  cancel_anywhere_ = services_.record_anywhere(
      {.program = request_.program.program, .turns = turns, .anywhere = true}, deadline_,
      [weak = weak_from_this(), turns](bool durable) {
        const auto self = weak.lock();
        if (!self || self->ended_ || !durable) {
          return;
        }
        // The program's next turn finds its chain here.
        self->partition_->ledger().AddRecordedElsewhere(turns);
        self->context_.events.Write("recorded_elsewhere",
                                    {{"id", self->request_.id.value()},
                                     {"partition", self->partition_->id().value()},
                                     {"turns", static_cast<std::int64_t>(turns.size())}});
        self->OnRecorded(true);
      });
}

void TurnRun::OnRecorded(bool durable) {
  if (ended_) {
    return;
  }
  if (durable) {
    const auto self = shared_from_this();
    PassHeldBack();
    sink_->End();
    Ended("completed");
  } else {
    EndWithout({.status = 502, .reason = "owner_changed"});
  }
}

void TurnRun::Settle() {
  if (!admitted_) {
    return;
  }
  admitted_ = false;
  if (request_.program.budget) {
    used_ = TokenCount((events_passed_ + partial_event_) * request_.tokens_per_event.value());
    partition_->ledger().Settle(claim_, used_);
    CountElsewhere();
  }
}

void TurnRun::CountElsewhere() {
  if (record_lost_ && !admitted_ && used_ > counted_) {
    record_lost_ = false;
    services_.commit_elsewhere(
        {.program = request_.program.program, .handed_out = used_ - counted_},
        context_.loop.Now() + kLateCommitTime, [](bool) {});
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
