#include "src/gateway/turn_run.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Time for the next owner to count tokens of a turn that has ended.
constexpr Duration kLateCommitTimeout = std::chrono::seconds(10);

}  // namespace

void TurnRun::Admit() {
  if (!partition_->admits()) {
    // The partition moved during the search for the chain.
    FailWith({.status = 503, .reason = "owner_changed", .retry_after = kOwnerRetryAfter});
    return;
  }
  program_started_ = !request_.program.previous_turn.empty() ||
                     partition_->ledger().HasStarted(request_.program.program);
  if (!request_.program.budget) {
    admitted_ = true;
    reserved_ = true;
    StartCall();
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
    FailWith({.status = 402, .reason = "budget_spent"});
    return;
  }
  admitted_ = true;
  claim_ = partition_->ledger().ClaimOf(demand);
  ReserveTokens(admission, TokenCount());
  if (!ended_) {
    StartCall();
  }
}

void TurnRun::ReserveTokens(const ledger::Admission& admission, TokenCount covered_before) {
  if (const auto* needed = std::get_if<ledger::SpendNeedsRecord>(&admission)) {
    reserved_ = false;
    partition_->Append({.spend = needed->spend},
                       [weak = weak_from_this(), covered_before](bool durable) {
                         if (const auto self = weak.lock()) {
                           self->OnReservationAppended(durable, covered_before);
                         }
                       });
    return;
  }
  reserved_ = true;
  if (const auto& ahead = std::get<ledger::SpendGranted>(admission).spend) {
    // Keeps the run alive until the result of the append is known.
    const CoveredTokens covered{.from = covered_before, .to = claim_.covered};
    partition_->Append({.spend = ahead}, [self = shared_from_this(), covered](bool durable) {
      if (!durable && !self->partition_->ledger().IsCovered(self->request_.program.program)) {
        self->unrecorded_.push_back(covered);
        self->CommitUnrecordedTokens();
      }
    });
  }
}

void TurnRun::ExtendClaim() {
  // An engine that exceeds the maximum of the turn has no more tokens to ask for.
  if (!admitted_ || !request_.program.budget || UsedTokens() <= claim_.covered ||
      claim_.covered == claim_.maximum) {
    return;
  }
  const TokenCount covered_before = claim_.covered;
  ReserveTokens(partition_->ledger().Extend(claim_), covered_before);
}

void TurnRun::OnReservationAppended(bool durable, TokenCount covered_before) {
  // A hand-over that was recorded before the partition was released covers the turn whole.
  if (durable || ended_ || partition_->ledger().IsCovered(request_.program.program)) {
    OnReservationDone(true);
    return;
  }
  // The partition has moved; its next owner reserves the tokens instead.
  dependencies_.commit_at_next_owner({.program = request_.program.program,
                                      .reserved_tokens = claim_.covered - covered_before,
                                      .budget = *request_.program.budget},
                                     deadline_, [weak = weak_from_this()](bool reserved) {
                                       if (const auto self = weak.lock()) {
                                         self->OnReservationDone(reserved);
                                       }
                                     });
}

void TurnRun::OnReservationDone(bool durable) {
  if (ended_) {
    return;
  }
  if (!durable) {
    if (call_ != nullptr) {
      call_->Cancel();
    }
    FailWith({.status = 502, .reason = "owner_changed"});
    return;
  }
  reserved_ = true;
  // The engine may have sent more meanwhile than the record covers.
  ExtendClaim();
  if (!reserved_ || ended_) {
    return;
  }
  if (head_awaiting_reservation_) {
    const auto head = *std::exchange(head_awaiting_reservation_, std::nullopt);
    response_started_ = true;
    sink_->Head(head.first, head.second);
  }
  // The delayed data precedes the data that waited for the reservation.
  FlushDelayedData();
  if (!data_awaiting_reservation_.empty()) {
    const std::string data = std::exchange(data_awaiting_reservation_, {});
    sink_->Data(data);
  }
  if (call_outcome_) {
    OnCallDone(*call_outcome_);
  }
}

TokenCount TurnRun::UsedTokens() const {
  const std::uint64_t partial_events = stream_boundary_.inside_event() ? 1 : 0;
  return TokenCount((events_received_ + partial_events) * request_.tokens_per_event.value());
}

void TurnRun::Settle() {
  if (!admitted_) {
    return;
  }
  admitted_ = false;
  if (request_.program.budget) {
    settled_tokens_ = UsedTokens();
    partition_->ledger().Settle(claim_, settled_tokens_);
    CommitUnrecordedTokens();
  }
}

void TurnRun::CommitUnrecordedTokens() {
  if (admitted_) {
    return;
  }
  TokenCount used;
  for (const CoveredTokens& covered : std::exchange(unrecorded_, {})) {
    used += std::min(settled_tokens_, covered.to) - std::min(settled_tokens_, covered.from);
  }
  if (used > TokenCount()) {
    dependencies_.commit_at_next_owner({.program = request_.program.program, .used_tokens = used},
                                       context_.loop.Now() + kLateCommitTimeout, [](bool) {});
  }
}

}  // namespace acaciaspring::gateway
