#include <boost/test/unit_test.hpp>

#include <vector>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

const ProgramId kProgram("p");
constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr WallTime kWallStart{std::chrono::seconds(1'000'000)};

TurnDemand Demand(std::uint64_t budget, std::uint64_t maximum) {
  return {.program = kProgram, .budget = TokenCount(budget), .maximum = TokenCount(maximum)};
}

Turn MakeTurn(const std::string& id, const std::string& previous_turn) {
  return {.id = TurnId(id),
          .previous_turn = TurnId(previous_turn),
          .input = "in-" + id,
          .output = "out-" + id,
          .recorded_at = kWallStart,
          .retention = std::chrono::seconds(60)};
}

/// @brief Returns the claim of a turn of at most `maximum` tokens.
TurnClaim Claim(const ProgramLedger& ledger, std::uint64_t maximum) {
  return ledger.ClaimOf(Demand(0, maximum));
}

/// @brief Admits a turn and makes its record durable.
bool AdmitDurably(ProgramLedger& ledger, const TurnDemand& demand, std::uint64_t& offset) {
  const Admission admission = ledger.Admit(demand, kStart);
  const auto* needed = std::get_if<SpendNeedsRecord>(&admission);
  const auto* granted = std::get_if<SpendGranted>(&admission);
  if (needed != nullptr) {
    ledger.Apply({.spend = needed->spend}, RecordOffset(offset++), kStart);
  } else if (granted != nullptr && granted->spend) {
    ledger.Apply({.spend = granted->spend}, RecordOffset(offset++), kStart);
  }
  return !std::holds_alternative<BudgetSpent>(admission);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(program_ledger)

/// @brief Ends a turn and makes its record durable.
void EndTurnDurably(ProgramLedger& ledger,
                    std::uint64_t maximum,
                    std::uint64_t used,
                    std::uint64_t& offset) {
  const TurnClaim claim = Claim(ledger, maximum);
  const ProgramSpend spend = ledger.SpendAtEnd(claim, TokenCount(used));
  ledger.Settle(claim, TokenCount(used));
  ledger.Apply({.spend = spend}, RecordOffset(offset++), kStart);
}

// Guards against an extra append at the start of each turn: the record at the end of a turn also
// covers the next turn.
BOOST_AUTO_TEST_CASE(record_of_a_turn_covers_the_next_turn) {
  ProgramLedger ledger;
  std::uint64_t offset = 0;
  BOOST_TEST(AdmitDurably(ledger, Demand(1000, 100), offset));
  EndTurnDurably(ledger, 100, 60, offset);
  const Admission next = ledger.Admit(Demand(1000, 100), kStart);
  BOOST_REQUIRE(std::holds_alternative<SpendGranted>(next));
  BOOST_TEST(!std::get<SpendGranted>(next).spend.has_value());
}

// The store is unavailable while programs run. Guards against programs that stop at their next turn
// although they have enough budget left.
BOOST_AUTO_TEST_CASE(running_program_continues_without_the_store) {
  ProgramLedger ledger;
  std::uint64_t offset = 0;
  BOOST_TEST(AdmitDurably(ledger, Demand(9600, 576), offset));
  EndTurnDurably(ledger, 576, 257, offset);
  for (int turn = 0; turn < 8; ++turn) {
    BOOST_TEST(std::holds_alternative<SpendGranted>(ledger.Admit(Demand(9600, 576), kStart)), turn);
    ledger.Settle(Claim(ledger, 576), TokenCount(257));
  }
}

// Two owners are killed within a few seconds. Guards against programs that are refused with 402
// because each later owner counts a whole turn that did not run.
BOOST_AUTO_TEST_CASE(program_between_turns_survives_two_lost_owners) {
  std::uint64_t offset = 0;
  std::vector<ProgramSpend> durable;
  for (int owner = 0; owner < 3; ++owner) {
    ProgramLedger ledger;
    for (const ProgramSpend& spend : durable) {
      ledger.Apply({.spend = spend}, RecordOffset(offset++), kStart);
    }
    ledger.FinishLoading();
    const Admission admission = ledger.Admit(Demand(1800, 576), kStart);
    BOOST_REQUIRE(!std::holds_alternative<BudgetSpent>(admission));
    const TurnClaim claim = Claim(ledger, 576);
    durable.push_back(ledger.SpendAtEnd(claim, TokenCount(112)));
  }
}

// Owners are killed one after the other. Guards against a program with a large budget that is
// refused with 402 because each owner counts what the one before it reserved ahead.
BOOST_AUTO_TEST_CASE(lost_owners_cost_a_large_budget_a_few_turns_each) {
  constexpr std::uint64_t kBudget = 100'000;
  constexpr std::uint64_t kMaximum = 144;
  constexpr int kOwners = 20;
  std::uint64_t offset = 0;
  ProgramSpend durable;
  for (int owner = 0; owner < kOwners; ++owner) {
    ProgramLedger ledger;
    if (owner > 0) {
      ledger.Apply({.spend = durable}, RecordOffset(offset++), kStart);
    }
    ledger.FinishLoading();
    BOOST_REQUIRE_MESSAGE(AdmitDurably(ledger, Demand(kBudget, kMaximum), offset),
                          "refused by owner " << owner);
    durable = ledger.SpendAtEnd(Claim(ledger, kMaximum), TokenCount(kMaximum));
    BOOST_TEST(durable.ceiling.value() <= (owner + 1) * kMaximum * 6);
  }
}

// Guards against turns that exceed their initial share and together hand out more unrecorded tokens
// than the maximum of one turn.
BOOST_AUTO_TEST_CASE(extension_by_more_than_one_turn_beyond_the_ceiling_needs_a_record) {
  ProgramLedger ledger({.budget_share_reserved_ahead = 0});
  BOOST_TEST(std::holds_alternative<SpendGranted>(ledger.Admit(Demand(5000, 300), kStart)));
  BOOST_TEST(std::holds_alternative<SpendGranted>(ledger.Admit(Demand(5000, 300), kStart)));
  TurnClaim first = Claim(ledger, 300);
  TurnClaim second = Claim(ledger, 300);
  BOOST_TEST(first.covered.value() == 100U);
  const Admission extended = ledger.Extend(first);
  BOOST_REQUIRE(std::holds_alternative<SpendNeedsRecord>(extended));
  BOOST_TEST(std::get<SpendNeedsRecord>(extended).spend.ceiling.value() == 400U);
  BOOST_TEST(first.covered.value() == 300U);
  ledger.Settle(second, TokenCount(0));
  ledger.Settle(first, TokenCount(300));
}

// Guards against concurrent sub-agents that together exceed the budget.
BOOST_AUTO_TEST_CASE(turns_in_flight_count_with_their_maximum) {
  ProgramLedger ledger;
  std::uint64_t offset = 0;
  BOOST_TEST(AdmitDurably(ledger, Demand(250, 100), offset));
  BOOST_TEST(AdmitDurably(ledger, Demand(250, 100), offset));
  BOOST_TEST(!AdmitDurably(ledger, Demand(250, 100), offset));
  ledger.Settle(Claim(ledger, 100), TokenCount(10));
  BOOST_TEST(AdmitDurably(ledger, Demand(250, 100), offset));
}

// Guards against tokens that a lost owner handed out but the next owner does not count.
BOOST_AUTO_TEST_CASE(next_owner_counts_the_ceiling_as_spent) {
  ProgramLedger former({.initial_share = 1, .budget_share_reserved_ahead = 0});
  const Admission admission = former.Admit(Demand(1000, 200), kStart);
  const ProgramSpend spend = std::get<SpendGranted>(admission).spend.value();
  BOOST_TEST(spend.ceiling.value() == 200U);
  ProgramLedger next;
  next.Apply({.spend = spend}, RecordOffset(0), kStart);
  next.FinishLoading();
  const Admission refused = next.Admit(Demand(299, 100), kStart);
  BOOST_REQUIRE(std::holds_alternative<BudgetSpent>(refused));
  BOOST_TEST(std::get<BudgetSpent>(refused).spent.value() == 200U);
}

// The store is unavailable when programs start. Guards against first turns that wait for it, and
// against more unrecorded tokens than the maximum of one turn.
BOOST_AUTO_TEST_CASE(only_one_turn_runs_before_its_record_is_durable) {
  ProgramLedger ledger({.initial_share = 1});
  const TurnDemand demand = Demand(1000, 100);
  BOOST_TEST(std::holds_alternative<SpendGranted>(ledger.Admit(demand, kStart)));
  BOOST_TEST(std::holds_alternative<SpendNeedsRecord>(ledger.Admit(demand, kStart)));
  ledger.Settle(Claim(ledger, 100), TokenCount(1));
  ledger.Settle(Claim(ledger, 100), TokenCount(0));
  BOOST_TEST(std::holds_alternative<SpendNeedsRecord>(ledger.Admit(demand, kStart)));
}

// Guards against a queued record that lowers the ceiling on which a running turn relies when it
// becomes durable.
BOOST_AUTO_TEST_CASE(turns_do_not_rely_on_a_ceiling_that_a_queued_record_lowers) {
  ProgramLedger ledger({.initial_share = 1, .budget_share_reserved_ahead = 0});
  std::uint64_t offset = 0;
  BOOST_TEST(AdmitDurably(ledger, Demand(5000, 100), offset));
  BOOST_TEST(AdmitDurably(ledger, Demand(5000, 100), offset));
  const TurnClaim claim = Claim(ledger, 100);
  const ProgramSpend at_end = ledger.SpendAtEnd(claim, TokenCount(1));
  ledger.Settle(claim, TokenCount(1));
  BOOST_TEST(at_end.ceiling.value() == 201U);
  BOOST_TEST(AdmitDurably(ledger, Demand(5000, 100), offset));
  // The durable ceiling is 200 tokens, and 201 after the queued record; this turn needs 301.
  const Admission next = ledger.Admit(Demand(5000, 100), kStart);
  const auto* granted = std::get_if<SpendGranted>(&next);
  BOOST_TEST((granted == nullptr || granted->spend.has_value()));
}

// Guards against a planned handover that reduces the remaining budget of idle programs.
BOOST_AUTO_TEST_CASE(exact_spend_is_recorded_before_a_release) {
  ProgramLedger former;
  std::uint64_t offset = 0;
  AdmitDurably(former, Demand(1000, 100), offset);
  former.Settle(Claim(former, 100), TokenCount(40));
  ProgramLedger next;
  for (const ProgramSpend& spend : former.HandOver()) {
    next.Apply({.spend = spend}, RecordOffset(offset++), kStart);
  }
  next.FinishLoading();
  BOOST_TEST(!std::holds_alternative<BudgetSpent>(next.Admit(Demand(140, 100), kStart)));
  BOOST_TEST(std::holds_alternative<BudgetSpent>(next.Admit(Demand(140, 100), kStart)));
}

// Guards against a record that follows the one of the hand-over and no longer covers the turns in
// flight: a turn ends, and another one needs its last tokens, while the hand-over is not durable.
BOOST_AUTO_TEST_CASE(records_after_a_handover_still_cover_the_turns_in_flight) {
  ProgramLedger former;
  std::uint64_t offset = 0;
  AdmitDurably(former, Demand(300, 100), offset);
  AdmitDurably(former, Demand(300, 100), offset);
  TurnClaim claim = Claim(former, 100);
  BOOST_TEST(former.HandOver().back().ceiling.value() == 200U);
  BOOST_TEST(former.SpendAtEnd(claim, TokenCount(10)).ceiling.value() == 110U);
  former.Settle(claim, TokenCount(10));
  const Admission extended = former.Extend(claim);
  BOOST_REQUIRE(!std::holds_alternative<BudgetSpent>(extended));
  if (const auto* needed = std::get_if<SpendNeedsRecord>(&extended)) {
    BOOST_TEST(needed->spend.ceiling.value() == 110U);
  }
}

// Guards against uncounted tokens of a turn that the former owner is still streaming.
BOOST_AUTO_TEST_CASE(tokens_of_a_turn_of_the_former_owner_are_counted) {
  ProgramLedger ledger;
  const auto spend = ledger.ReserveForFormerOwner(Demand(150, 100), kStart);
  BOOST_REQUIRE(spend.has_value());
  BOOST_TEST(spend->spent.value() == 100U);
  BOOST_TEST(std::holds_alternative<BudgetSpent>(ledger.Admit(Demand(150, 100), kStart)));
}

// Rolling restarts move partitions with turns in flight. Guards against a handover that counts more
// tokens than those turns may still hand out.
BOOST_AUTO_TEST_CASE(handover_counts_turns_in_flight_with_their_maximum) {
  ProgramLedger former;
  std::uint64_t offset = 0;
  AdmitDurably(former, Demand(1800, 576), offset);
  ProgramLedger next;
  for (const ProgramSpend& spend : former.HandOver()) {
    next.Apply({.spend = spend}, RecordOffset(offset++), kStart);
  }
  next.FinishLoading();
  BOOST_TEST(AdmitDurably(next, Demand(1800, 576), offset));
  BOOST_TEST(AdmitDurably(next, Demand(1800, 576), offset));
  BOOST_TEST(!AdmitDurably(next, Demand(1800, 576), offset));
}

// Guards against uncounted tokens that the former owner handed out before it could record them.
// They count even if they exceed the budget.
BOOST_AUTO_TEST_CASE(unrecorded_tokens_are_counted_beyond_the_budget) {
  ProgramLedger ledger;
  std::uint64_t offset = 0;
  AdmitDurably(ledger, Demand(100, 100), offset);
  BOOST_TEST(ledger.AddSpent(kProgram, TokenCount(50), kStart).spent.value() == 50U);
  ledger.Settle(Claim(ledger, 100), TokenCount(10));
  const Admission refused = ledger.Admit(Demand(100, 100), kStart);
  BOOST_TEST(std::get<BudgetSpent>(refused).spent.value() == 60U);
}

// The partition of a looping program moves while several of its turns wait for their reservation.
// Guards against the next owner reserving tokens for these turns beyond the budget.
BOOST_AUTO_TEST_CASE(turns_of_the_former_owner_are_reserved_only_within_the_budget) {
  ProgramLedger ledger;
  std::uint64_t offset = 0;
  BOOST_TEST(AdmitDurably(ledger, Demand(250, 100), offset));
  BOOST_TEST(ledger.ReserveForFormerOwner(Demand(250, 100), kStart).has_value());
  BOOST_TEST(!ledger.ReserveForFormerOwner(Demand(250, 100), kStart).has_value());
}

// Guards against a prompt that lacks a part of the conversation.
BOOST_AUTO_TEST_CASE(chain_is_complete_and_oldest_first_or_absent) {
  ProgramLedger ledger;
  ledger.Apply({.turn = MakeTurn("a", "")}, RecordOffset(0), kStart);
  ledger.Apply({.turn = MakeTurn("b", "a")}, RecordOffset(1), kStart);
  ledger.Apply({.turn = MakeTurn("x", "missing")}, RecordOffset(2), kStart);
  const auto chain = ledger.Chain(TurnId("b"));
  BOOST_REQUIRE(chain.has_value());
  BOOST_REQUIRE(chain->size() == 2U);
  BOOST_TEST(chain->front()->id.value() == "a");
  BOOST_TEST(chain->back()->id.value() == "b");
  BOOST_TEST(!ledger.Chain(TurnId("x")).has_value());
  BOOST_TEST(!ledger.Chain(TurnId("missing")).has_value());
}

// Guards against an endless loop over records that form a cycle.
BOOST_AUTO_TEST_CASE(cyclic_records_are_no_chain) {
  ProgramLedger ledger;
  ledger.Apply({.turn = MakeTurn("a", "b")}, RecordOffset(0), kStart);
  ledger.Apply({.turn = MakeTurn("b", "a")}, RecordOffset(1), kStart);
  BOOST_TEST(!ledger.Chain(TurnId("a")).has_value());
}

// Guards against the removal of an old turn from which a newer, retained turn continues.
BOOST_AUTO_TEST_CASE(turn_is_kept_as_long_as_turns_that_continue_from_it) {
  ProgramLedger ledger({.retention_margin = Duration(0)});
  Turn young = MakeTurn("b", "a");
  young.recorded_at += std::chrono::seconds(50);
  ledger.Apply({.turn = MakeTurn("a", "")}, RecordOffset(0), kStart);
  ledger.Apply({.turn = MakeTurn("lone", "")}, RecordOffset(1), kStart);
  ledger.Apply({.turn = young}, RecordOffset(2), kStart);
  ledger.Expire(kWallStart + std::chrono::seconds(100), kStart);
  BOOST_TEST(ledger.Chain(TurnId("b")).has_value());
  BOOST_TEST(!ledger.Chain(TurnId("lone")).has_value());
  ledger.Expire(kWallStart + std::chrono::seconds(111), kStart);
  BOOST_TEST(ledger.turn_count() == 0U);
}

// Guards against losing the spend of a program that is still running, and against memory that is
// never released.
BOOST_AUTO_TEST_CASE(idle_programs_are_removed_after_their_retention) {
  ProgramLedger ledger({.program_retention = std::chrono::seconds(10)});
  std::uint64_t offset = 0;
  AdmitDurably(ledger, Demand(1000, 100), offset);
  ledger.Expire(kWallStart, kStart + std::chrono::seconds(60));
  BOOST_TEST(ledger.program_count() == 1U);
  ledger.Settle(Claim(ledger, 100), TokenCount(1));
  ledger.Expire(kWallStart, kStart + std::chrono::seconds(60));
  BOOST_TEST(ledger.program_count() == 0U);
}

// Guards against records that the store drops while they are still needed.
BOOST_AUTO_TEST_CASE(old_live_records_are_listed_for_rewriting) {
  ProgramLedger ledger;
  std::uint64_t offset = 5;
  AdmitDurably(ledger, Demand(1000, 100), offset);
  ledger.Apply({.turn = MakeTurn("a", "")}, RecordOffset(9), kStart);
  BOOST_TEST(ledger.OldestNeeded()->value() == 5U);
  BOOST_TEST(ledger.LiveRecordsBefore(RecordOffset(9)).size() == 1U);
  BOOST_TEST(ledger.LiveRecordsBefore(RecordOffset(10)).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ledger
