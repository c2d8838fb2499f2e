#include "src/gateway/turn_run.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// Time for the next owner to count tokens of a turn that has ended.
constexpr Duration kLateCommitTime = std::chrono::seconds(10);

}  // namespace

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
  if (!admitted_ || !request_.program.budget || HandedOut() <= claim_.covered) {
    return;
  }
  const TokenCount counted = claim_.covered;
  Reserve(partition_->ledger().Extend(claim_), counted);
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

TokenCount TurnRun::HandedOut() const {
  return TokenCount((events_passed_ + partial_event_) * request_.tokens_per_event.value());
}

void TurnRun::Settle() {
  if (!admitted_) {
    return;
  }
  admitted_ = false;
  if (request_.program.budget) {
    used_ = HandedOut();
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

}  // namespace acaciaspring::gateway
