#include <boost/test/unit_test.hpp>

#include "src/journal/test_log.h"

namespace acaciaspring::journal {

namespace {

/// A log in which "d1" owns the shard of the live program "p".
struct ProgramFixture {
  ProgramFixture() {
    BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d1", program)));
    BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Creation(log, "p"))));
  }
  EffectIntended Intent(const std::string& key, const std::string& digest = "digest") const {
    return {program, log.EpochOf(program), IdempotencyKey(key), ServiceId("orders"), digest};
  }
  EffectFinished Finish(const std::string& key, Outcome outcome) const {
    return {program, log.EpochOf(program), IdempotencyKey(key), outcome, "body"};
  }
  SpendAuthorised Spend(std::uint64_t amount) const {
    return {program, log.EpochOf(program), TokenCount(amount)};
  }
  ProgramEnded End(const ProgramId& id) const {
    return {id, log.EpochOf(id), EndReason::kRequested};
  }
  TestLog log;
  ProgramId program = IdOf("p");
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(state, ProgramFixture)

// Two turns with one number, a gap in the numbers or a repeated key would corrupt the history.
BOOST_AUTO_TEST_CASE(turns_are_contiguous_and_keys_unique) {
  BOOST_TEST(IsRejected(log.Append("d1", MakeTurn(log, program, 2)), RejectReason::kWrongTurn));
  BOOST_TEST(IsAccepted(log.Append("d1", MakeTurn(log, program, 1))));
  TurnCommitted repeated = MakeTurn(log, program, 2);
  repeated.key = IdempotencyKey("turn-1");
  BOOST_TEST(IsRejected(log.Append("d1", repeated), RejectReason::kKeyExists));
  TurnCommitted other_turn_1 = MakeTurn(log, program, 1);
  other_turn_1.key = IdempotencyKey("other");
  BOOST_TEST(IsRejected(log.Append("d1", other_turn_1), RejectReason::kWrongTurn));
  BOOST_TEST(IsAccepted(log.Append("d1", MakeTurn(log, program, 2))));
  const Program& state = log.Get(program);
  BOOST_TEST(state.turn_count.value() == 2U);
  BOOST_TEST(state.spent.value() == 20U);
  BOOST_TEST(state.chain == NextChain(NextChain("", TurnNumber(1), state.turns[0]), TurnNumber(2),
                                      state.turns[1]));
}

// A former owner that resumes after a pause must not change a program that has a new owner.
BOOST_AUTO_TEST_CASE(records_of_a_former_owner_are_rejected) {
  const TurnCommitted old = MakeTurn(log, program, 1);
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", program)));
  BOOST_TEST(IsRejected(log.Append("d1", old), RejectReason::kStaleEpoch));
  TurnCommitted forged = old;
  forged.epoch = log.EpochOf(program);
  BOOST_TEST(IsRejected(log.Append("d1", forged), RejectReason::kNotOwner));
  BOOST_TEST(IsAccepted(log.Append("d2", MakeTurn(log, program, 1))));
}

// Two daemons that claim a shard at the same time must not both own it.
BOOST_AUTO_TEST_CASE(first_of_two_concurrent_claims_wins) {
  const Offset observed = log.head();
  ShardsClaimed claim{{}, DaemonId("d2"), Incarnation(1), observed};
  claim.shards.Add(ShardOf(program));
  BOOST_TEST(IsAccepted(log.AppendObserved("d2", observed, claim)));
  claim.owner = DaemonId("d3");
  BOOST_TEST(IsRejected(log.AppendObserved("d3", observed, claim), RejectReason::kStaleEpoch));
  BOOST_TEST(log.state().OwnerOf(ShardOf(program))->daemon.value() == "d2");
}

// A claim on behalf of another daemon would make that daemon an owner without its knowledge.
BOOST_AUTO_TEST_CASE(claims_for_another_daemon_are_rejected) {
  ShardsClaimed claim{{}, DaemonId("d2"), Incarnation(1), log.head()};
  claim.shards.Add(ShardOf(program));
  BOOST_TEST(IsRejected(log.Append("d3", claim), RejectReason::kInvalid));
  BOOST_TEST(log.state().OwnerOf(ShardOf(program))->daemon.value() == "d1");
}

// A crashed owner may have spent the authorised amount, so it is charged. An owner that releases
// its shard has not spent it.
BOOST_AUTO_TEST_CASE(claim_without_release_spends_the_authorised_amount) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Spend(300))));
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", program)));
  BOOST_TEST(log.Get(program).spent.value() == 300U);
  BOOST_TEST(log.Get(program).authorised.value() == 0U);
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d2", Spend(200))));
  BOOST_TEST_REQUIRE(IsAccepted(log.Release("d2", program)));
  BOOST_TEST(IsRejected(log.Append("d2", Spend(100)), RejectReason::kNotOwner));
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d3", program)));
  BOOST_TEST(log.Get(program).spent.value() == 300U);
  BOOST_TEST(log.Get(program).authorised.value() == 200U);
}

// A delayed copy of a release must not end a newer claim of the same daemon.
BOOST_AUTO_TEST_CASE(old_release_does_not_end_a_newer_claim) {
  const Offset observed = log.head();
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d1", program)));
  ShardsReleased release{{}, DaemonId("d1")};
  release.shards.Add(ShardOf(program));
  BOOST_TEST(IsRejected(log.AppendObserved("d1", observed, release), RejectReason::kNotOwner));
  BOOST_TEST(!log.state().OwnerOf(ShardOf(program))->released);
}

BOOST_AUTO_TEST_CASE(spend_is_authorised_within_the_budget_only) {
  BOOST_TEST(IsRejected(log.Append("d1", Spend(1001)), RejectReason::kBudgetExhausted));
  BOOST_TEST(IsAccepted(log.Append("d1", Spend(1000))));
  BOOST_TEST(IsAccepted(log.Append("d1", MakeTurn(log, program, 1, 950, 100))));
  BOOST_TEST(log.Get(program).authorised.value() == 50U);
}

// A call that overran its authorisation has been executed; rejecting its record would lose the
// spent tokens.
BOOST_AUTO_TEST_CASE(overrun_is_recorded_and_counted) {
  BOOST_TEST(IsAccepted(log.Append("d1", MakeTurn(log, program, 1, 1200, 100))));
  BOOST_TEST(log.Get(program).spent.value() == 1200U);
  BOOST_TEST(log.Get(program).authorised.value() == 0U);
  BOOST_TEST(log.state().counters().budget_violations == 1U);
}

// A second accepted intent would allow a parts order to be executed twice.
BOOST_AUTO_TEST_CASE(an_effect_runs_once_per_key) {
  BOOST_TEST(IsAccepted(log.Append("d1", Intent("k"))));
  BOOST_TEST(IsRejected(log.Append("d1", Intent("k")), RejectReason::kKeyExists));
  BOOST_TEST(IsAccepted(log.Append("d1", Finish("k", NotRun{}))));
  BOOST_TEST(IsRejected(log.Append("d1", Finish("k", Completed{})), RejectReason::kNoIntent));
  BOOST_TEST(IsRejected(log.Append("d1", Intent("k", "other")), RejectReason::kKeyConflict));
  BOOST_TEST(IsAccepted(log.Append("d1", Intent("k"))));
  BOOST_TEST(IsAccepted(log.Append("d1", Finish("k", Unknown{}))));
  BOOST_TEST(IsRejected(log.Append("d1", Intent("k")), RejectReason::kKeyExists));
  BOOST_TEST(IsRejected(log.Append("d1", Finish("none", Completed{})), RejectReason::kNoIntent));
}

// A key identifies one call; if a call of another kind could reuse it, its caller would get a wrong
// result.
BOOST_AUTO_TEST_CASE(keys_are_shared_by_all_kinds_of_calls) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", MakeTurn(log, program, 1))));
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Intent("effect"))));
  ToolCallCommitted tool{
      program, log.EpochOf(program), IdempotencyKey("tool"), ServiceId("stock"), Completed{}, "3"};
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", tool)));
  BOOST_TEST(IsRejected(log.Append("d1", tool), RejectReason::kKeyExists));
  tool.key = IdempotencyKey("turn-1");
  BOOST_TEST(IsRejected(log.Append("d1", tool), RejectReason::kKeyConflict));
  tool.key = IdempotencyKey("effect");
  BOOST_TEST(IsRejected(log.Append("d1", tool), RejectReason::kKeyConflict));
  BOOST_TEST(IsRejected(log.Append("d1", Intent("tool")), RejectReason::kKeyConflict));
  TurnCommitted turn = MakeTurn(log, program, 2);
  turn.key = IdempotencyKey("effect");
  BOOST_TEST(IsRejected(log.Append("d1", turn), RejectReason::kKeyConflict));
}

// An idempotent call without a definite result must remain repeatable.
BOOST_AUTO_TEST_CASE(unknown_idempotent_results_can_be_replaced) {
  ToolCallCommitted tool{
      program, log.EpochOf(program), IdempotencyKey("tool"), ServiceId("stock"), Unknown{}, ""};
  BOOST_TEST(IsAccepted(log.Append("d1", tool)));
  tool.outcome = Completed{};
  BOOST_TEST(IsAccepted(log.Append("d1", tool)));
  BOOST_TEST(IsRejected(log.Append("d1", tool), RejectReason::kKeyExists));
}

// A program in an endless loop must stop at its call limit.
BOOST_AUTO_TEST_CASE(calls_of_every_kind_count_against_the_limit) {
  for (std::uint32_t call = 1; call <= 8; ++call) {
    BOOST_TEST(IsAccepted(log.Append("d1", MakeTurn(log, program, call, 1, 1))));
  }
  BOOST_TEST(IsAccepted(log.Append("d1", Intent("nine"))));
  ToolCallCommitted tool{
      program, log.EpochOf(program), IdempotencyKey("ten"), ServiceId("stock"), Completed{}, ""};
  BOOST_TEST(IsAccepted(log.Append("d1", tool)));
  BOOST_TEST(IsRejected(log.Append("d1", MakeTurn(log, program, 9, 1, 1)),
                        RejectReason::kCallLimitReached));
  BOOST_TEST(IsRejected(log.Append("d1", Intent("more")), RejectReason::kCallLimitReached));
  BOOST_TEST(IsAccepted(log.Append("d1", Finish("nine", Completed{}))));
}

BOOST_AUTO_TEST_CASE(creation_is_idempotent_and_ids_are_checked) {
  BOOST_TEST(IsRejected(log.Append("d1", Creation(log, "p")), RejectReason::kProgramExists));
  BOOST_TEST(IsRejected(log.Append("d1", Creation(log, "p", 7)), RejectReason::kKeyConflict));
  ProgramCreated wrong = Creation(log, "q");
  wrong.program = program;
  wrong.epoch = log.EpochOf(program);
  BOOST_TEST(IsRejected(log.Append("d1", wrong), RejectReason::kInvalid));
}

// The budget of a sub-agent is reserved from that of its parent, so that a tree cannot spend more
// than the budget of its root.
BOOST_AUTO_TEST_CASE(children_spend_from_the_parents_budget) {
  const ProgramId child = IdOf("c");
  const ProgramId grandchild = IdOf("g");
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", child)));
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", grandchild)));
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Spend(300))));
  BOOST_TEST(IsRejected(log.Append("d2", Creation(log, "c", 701, program)),
                        RejectReason::kBudgetExhausted));
  BOOST_TEST(IsAccepted(log.Append("d2", Creation(log, "c", 700, program))));
  BOOST_TEST(IsAccepted(log.Append("d2", Creation(log, "g", 100, child))));
  BOOST_TEST(log.Get(grandchild).root.value() == program.value());
  BOOST_TEST(IsAccepted(log.Append("d2", MakeTurn(log, grandchild, 1, 60, 0))));
  BOOST_TEST(IsAccepted(log.Append("d2", End(grandchild))));
  BOOST_TEST(log.Get(child).reserved.value() == 0U);
  BOOST_TEST(log.Get(child).spent.value() == 60U);
  BOOST_TEST(IsAccepted(log.Append("d2", End(child))));
  BOOST_TEST(log.Get(program).reserved.value() == 0U);
  BOOST_TEST(log.Get(program).spent.value() == 60U);
}

BOOST_AUTO_TEST_CASE(a_parent_must_be_live_and_of_the_same_organisation) {
  const ProgramId child = IdOf("c");
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", child)));
  BOOST_TEST(IsRejected(log.Append("d2", Creation(log, "c", 1, IdOf("none"))),
                        RejectReason::kUnknownParent));
  ProgramCreated foreign = Creation(log, "c", 1, program);
  foreign.organisation = OrganisationId("rival");
  foreign.program = MakeProgramId(foreign.organisation, foreign.key);
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", foreign.program)));
  foreign.epoch = log.EpochOf(foreign.program);
  BOOST_TEST(IsRejected(log.Append("d2", foreign), RejectReason::kUnknownParent));
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", End(program))));
  BOOST_TEST(
      IsRejected(log.Append("d2", Creation(log, "c", 1, program)), RejectReason::kParentEnded));
}

// A child that outlives its parent would run without a caller and keep engine memory allocated.
BOOST_AUTO_TEST_CASE(the_end_of_a_program_ends_its_children) {
  const ProgramId child = IdOf("c");
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", child)));
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d2", Creation(log, "c", 500, program))));
  BOOST_TEST_REQUIRE(
      IsAccepted(log.Append("d2", SpendAuthorised{child, log.EpochOf(child), TokenCount(40)})));
  BOOST_TEST(log.state().live_program_count() == 2U);
  BOOST_TEST(IsAccepted(log.Append("d1", End(program))));
  BOOST_TEST(log.state().live_program_count() == 0U);
  BOOST_TEST((log.Get(child).end_reason == EndReason::kParentEnded));
  // The child's owner may have a call in flight, so the authorised amount counts as spent.
  BOOST_TEST(log.Get(program).spent.value() == 40U);
  BOOST_TEST(IsRejected(log.Append("d2", MakeTurn(log, child, 1)), RejectReason::kProgramEnded));
}

BOOST_AUTO_TEST_CASE(tombstones_expire_after_their_retention) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", MakeTurn(log, program, 1))));
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", End(program))));
  BOOST_TEST(log.Get(program).turns.empty());
  BOOST_TEST(log.Get(program).turn_count.value() == 1U);
  BOOST_TEST(IsRejected(log.Append("d1", MakeTurn(log, program, 2)), RejectReason::kProgramEnded));
  log.AdvanceTime(std::chrono::hours(24));
  BOOST_TEST(
      IsRejected(log.Append("d1", MakeTurn(log, program, 2)), RejectReason::kUnknownProgram));
  BOOST_TEST(log.state().FindProgram(program) == nullptr);
}

// If an acknowledgement is lost after the append took effect, the retry appends a second copy.
BOOST_AUTO_TEST_CASE(repeated_entries_have_no_effect) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", MakeTurn(log, program, 1))));
  const Offset turn = log.head();
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Spend(100))));
  BOOST_TEST(IsDuplicate(log.AppendAgain(turn)));
  BOOST_TEST(IsDuplicate(log.AppendAgain(Offset(1))));
  BOOST_TEST(log.Get(program).spent.value() == 10U);
}

// If two operators change the same revision, the second change must not silently revert the first.
BOOST_AUTO_TEST_CASE(configuration_changes_need_the_current_base) {
  BOOST_TEST(IsAccepted(log.Append("d1", ConfigChanged{Revision(), "one", "ann"})));
  const Revision first_revision = log.state().revision();
  BOOST_TEST(first_revision.value() == log.head().value());
  BOOST_TEST(IsRejected(log.Append("d2", ConfigChanged{Revision(), "two", "bob"}),
                        RejectReason::kBaseRevisionConflict));
  BOOST_TEST(
      IsRejected(log.Append("d2", ConfigCheckpoint{Revision(), "old"}), RejectReason::kOutdated));
  BOOST_TEST(log.state().document() == "one");
  BOOST_TEST(IsAccepted(log.Append("d2", ConfigChanged{first_revision, "two", "bob"})));
}

// A checkpoint from before the creation of a child must not undo the reservation for the child.
BOOST_AUTO_TEST_CASE(outdated_checkpoints_do_not_replace_newer_state) {
  const ProgramId child = IdOf("c");
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d2", child)));
  const Offset observed = log.head();
  const ProgramCheckpoint checkpoint{program, log.EpochOf(program), log.Get(program)};
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d2", Creation(log, "c", 500, program))));
  BOOST_TEST(IsRejected(log.AppendObserved("d1", observed, checkpoint), RejectReason::kOutdated));
  BOOST_TEST(log.Get(program).reserved.value() == 500U);
}

BOOST_AUTO_TEST_CASE(records_that_observed_a_later_offset_are_invalid) {
  BOOST_TEST(IsRejected(log.AppendObserved("d1", log.head() + Offset(1), Spend(1)),
                        RejectReason::kInvalid));
}

// Offsets of unknown programs are kept for a bounded number of entries, so the lag of a creation
// must be bounded too.
BOOST_AUTO_TEST_CASE(creations_beyond_the_maximum_lag_are_outdated) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Claim("d1", IdOf("q"))));
  const Offset observed = log.head();
  const ProgramCreated creation = Creation(log, "q");
  for (int entry = 0; entry < 10'000; ++entry) {
    log.Append("d2", ConfigCheckpoint{});
  }
  BOOST_TEST(IsRejected(log.AppendObserved("d1", observed, creation), RejectReason::kOutdated));
  BOOST_TEST(IsAccepted(log.Append("d1", creation)));
}

BOOST_AUTO_TEST_CASE(malformed_entries_are_counted_and_skipped) {
  State state;
  state.ApplyMalformed(Offset(1), WallTime());
  BOOST_TEST(state.counters().malformed_entries == 1U);
  BOOST_TEST(state.applied_offset().value() == 1U);
}

// A snapshot that loses data would make the states of two daemons differ from then on.
BOOST_AUTO_TEST_CASE(a_decoded_snapshot_equals_the_original) {
  BOOST_TEST_REQUIRE(IsAccepted(log.Append("d1", Intent("k"))));
  State copy = State::Decode(log.state().Encode());
  BOOST_TEST(copy.Encode() == log.state().Encode());
  BOOST_TEST(copy.live_program_count() == 1U);
  BOOST_TEST(copy.ProgramsOf(ShardOf(program)).size() == 1U);
  BOOST_CHECK_THROW(State::Decode("garbage"), wire::DecodeError);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
