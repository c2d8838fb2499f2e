#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>

#include "acaciaspring/program.h"

namespace acaciaspring::program {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProgramId kProgram = MakeProgramId(OrganisationId("org"), IdempotencyKey("create"));

// A Home with its journal state in virtual time. Appends can be held back to test the behaviour
// before their verdicts arrive.
class HomeFixture {
 public:
  HomeFixture() : home(state, MakeOptions()) {
    Limits limits;
    limits.program_budget = TokenCount(100'000);
    limits.services[ServiceId("order")] = ServiceOptions{false, seconds(5)};
    limits.services[ServiceId("search")] = ServiceOptions{true, seconds(5)};
    limits.priority_classes.insert(PriorityClassId("normal"));
    home.SetLimits(limits);
    Claim("d1", Incarnation(1));
    SendCall("create", wire::CreateProgram{PriorityClassId("normal"), TokenCount(100'000), 20, {}});
    BOOST_REQUIRE(HasOutcome("create"));
  }

  static HomeOptions MakeOptions() {
    HomeOptions options;
    options.self = DaemonId("d1");
    options.incarnation = Incarnation(1);
    return options;
  }

  void Claim(const std::string& daemon, Incarnation incarnation) {
    journal::ShardsClaimed record;
    for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
      record.shards.Add(ShardId(shard));
    }
    record.owner = DaemonId(daemon);
    record.incarnation = incarnation;
    record.observed = offset;
    Append(daemon, incarnation, record);
    Execute(home.OnOwnershipChanged());
  }

  journal::Verdict Append(const std::string& daemon,
                          Incarnation incarnation,
                          journal::Record record) {
    journal::Batch batch;
    journal::Envelope envelope;
    envelope.id = journal::RecordId{DaemonId(daemon), incarnation, ++sequence};
    envelope.observed = offset;
    envelope.record = std::move(record);
    batch.envelopes.push_back(std::move(envelope));
    return state.Apply(++offset, WallTime(milliseconds(offset.value())), batch).at(0).verdict;
  }

  Subscriber SendCall(const std::string& key,
                      wire::Operation operation,
                      wire::ResumePoint resume = {},
                      const std::string& organisation = "org") {
    wire::CallRequest request;
    request.exchange = ++exchange;
    request.organisation = OrganisationId(organisation);
    request.program = kProgram;
    request.key = IdempotencyKey(key);
    request.operation = std::move(operation);
    request.deadline_ms = 10'000;
    request.resume = resume;
    const Subscriber subscriber{1, request.exchange};
    keys[subscriber] = key;
    Execute(home.OnCall(now, subscriber, request));
    return subscriber;
  }

  Subscriber CallModel(const std::string& key, wire::ResumePoint resume = {}) {
    return SendCall(key,
                    wire::ModelCall{ModelId("m"), R"([{"role":"user","content":")" + key + R"("}])",
                                    TokenCount(100)},
                    resume);
  }

  void Execute(Actions actions) {
    for (Action& action : actions) {
      std::visit([this](auto& value) { Handle(std::move(value)); }, action);
    }
  }

  void Handle(AppendRecord action) {
    held_appends.push_back(std::move(action));
    if (!hold_appends) {
      ReleaseAppends();
    }
  }
  void Handle(StartDispatch action) { dispatches.push_back(std::move(action)); }
  void Handle(CancelDispatch action) { cancelled.push_back(action.attempt); }
  void Handle(SendEvent action) { texts[action.to] += action.text; }
  void Handle(SendFinished action) { results[keys[action.to]] = action; }
  void Handle(SendWrongOwner action) { wrong_owner.push_back(keys[action.to]); }

  void ReleaseAppends() {
    while (!held_appends.empty()) {
      AppendRecord action = std::move(held_appends.front());
      held_appends.pop_front();
      const journal::Verdict verdict = Append("d1", Incarnation(1), std::move(action.record));
      Execute(home.OnVerdict(now, action.append, verdict));
    }
  }

  void SendToken(std::uint64_t index, const std::string& text) {
    Execute(home.OnDispatchEvent(now, dispatches.back().attempt, index, text));
  }
  void FinishDispatch(const Outcome& outcome, wire::Usage usage = {}, std::string body = "") {
    Execute(
        home.OnDispatchFinished(now, dispatches.back().attempt, outcome, std::move(body), usage));
  }
  void CompleteTurn(const std::string& text) {
    SendToken(0, text);
    FinishDispatch(Completed{}, wire::Usage{TokenCount(10), TokenCount(5), TokenCount(0)});
  }

  bool HasOutcome(const std::string& key) const { return results.contains(key); }
  const Outcome& OutcomeOf(const std::string& key) const { return results.at(key).outcome; }
  const journal::Program& program() const { return *state.FindProgram(kProgram); }
  bool WithinBudget() const {
    return program().spent + program().authorised + program().reserved <= program().budget;
  }

  journal::State state;
  Home home;
  MonotonicTime now{seconds(100)};
  Offset offset;
  std::uint64_t sequence = 0;
  ExchangeId exchange;
  bool hold_appends = false;
  std::deque<AppendRecord> held_appends;
  std::vector<StartDispatch> dispatches;
  std::vector<ExchangeId> cancelled;
  std::map<Subscriber, std::string> keys;
  std::map<Subscriber, std::string> texts;
  std::map<std::string, SendFinished> results;
  std::vector<std::string> wrong_owner;
};

bool IsNotRun(const Outcome& outcome, NotRunReason reason) {
  const auto* not_run = std::get_if<NotRun>(&outcome);
  return not_run != nullptr && not_run->reason == reason;
}

const wire::ToolCall kOrderCall{ServiceId("order"), R"({"part":"sieve"})"};
const wire::ToolCall kSearchCall{ServiceId("search"), R"({"q":"huller"})"};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(home, HomeFixture)

// Concurrent calls of one program would start from the same history, so that the answer of one
// would be missing from the prompt of the other.
BOOST_AUTO_TEST_CASE(calls_run_one_at_a_time_in_order) {
  CallModel("a");
  CallModel("b");
  BOOST_TEST(dispatches.size() == 1U);
  CompleteTurn("first ");
  BOOST_TEST(dispatches.size() == 2U);
  const auto& second = std::get<wire::ModelDispatch>(dispatches.back().order.work);
  BOOST_TEST(second.messages.find("first ") != std::string::npos);
  CompleteTurn("second ");
  BOOST_TEST(program().turns.size() == 2U);
}

// A final event sent before the record is in the log would acknowledge a turn that a crash can
// lose.
BOOST_AUTO_TEST_CASE(turn_is_acknowledged_after_its_record) {
  const Subscriber caller = CallModel("a");
  hold_appends = true;
  CompleteTurn("text ");
  BOOST_TEST(texts[caller] == "text ");
  BOOST_TEST(!HasOutcome("a"));
  ReleaseAppends();
  BOOST_TEST(std::holds_alternative<Completed>(OutcomeOf("a")));
}

// A caller that reconnects must receive the rest of its answer without gaps or repetitions.
BOOST_AUTO_TEST_CASE(answer_resumes_after_the_received_part) {
  CallModel("a");
  SendToken(0, "one ");
  SendToken(1, "two ");
  const Subscriber resumed = CallModel("a", {4, Hash64("one ")});
  BOOST_TEST(texts[resumed] == "two ");
  SendToken(2, "three ");
  BOOST_TEST(texts[resumed] == "two three ");
  FinishDispatch(Completed{});
  const Subscriber replayed = CallModel("a", {8, Hash64("one two ")});
  BOOST_TEST(texts[replayed] == "three ");
  BOOST_TEST(dispatches.size() == 1U);
}

// A retry may produce a different text; the caller must not receive a mixture of both attempts.
BOOST_AUTO_TEST_CASE(changed_answer_is_not_appended_to_the_earlier_text) {
  const Subscriber first = CallModel("a");
  SendToken(0, "one ");
  FinishDispatch(Unknown{UnknownReason::kConnectionLost});
  BOOST_TEST(dispatches.size() == 2U);
  SendToken(0, "other ");
  BOOST_TEST(texts[first] == "one ");
  BOOST_CHECK(OutcomeOf("a") == Outcome(Failed{FailureReason::kAnswerChanged}));
  const Subscriber resumed = CallModel("a");
  BOOST_TEST(texts[resumed] == "other ");
  CallModel("a", {4, Hash64("one ")});
  BOOST_CHECK(OutcomeOf("a") == Outcome(Failed{FailureReason::kAnswerChanged}));
}

// A retry that repeats the text already sent must not fail the call or send that text again.
BOOST_AUTO_TEST_CASE(identical_second_attempt_continues_the_answer) {
  const Subscriber caller = CallModel("a");
  SendToken(0, "one ");
  FinishDispatch(Unknown{UnknownReason::kConnectionLost});
  SendToken(0, "one ");
  SendToken(1, "two ");
  BOOST_TEST(texts[caller] == "one two ");
}

// Repeated tokens and late tokens of an earlier attempt would corrupt the answer.
BOOST_AUTO_TEST_CASE(late_and_repeated_tokens_are_discarded) {
  const Subscriber caller = CallModel("a");
  SendToken(0, "one ");
  SendToken(0, "one ");
  const ExchangeId old_attempt = dispatches.back().attempt;
  FinishDispatch(Unknown{UnknownReason::kConnectionLost});
  Execute(home.OnDispatchEvent(now, old_attempt, 1, "late "));
  BOOST_TEST(texts[caller] == "one ");
}

// An attempt whose connection is lost may have spent its upper bound. Without a charge for it,
// retries could exceed the budget.
BOOST_AUTO_TEST_CASE(attempts_with_unknown_end_are_charged) {
  CallModel("a");
  while (!HasOutcome("a")) {
    BOOST_REQUIRE(WithinBudget());
    FinishDispatch(Unknown{UnknownReason::kConnectionLost});
  }
  BOOST_TEST(dispatches.size() == 3U);
  BOOST_CHECK(std::holds_alternative<Unknown>(OutcomeOf("a")));
  BOOST_TEST(program().spent.value() >= 3 * 100U);
  BOOST_TEST(WithinBudget());
}

// The upper bound of each call must fit into the remaining budget, also when the usage of earlier
// calls was above the estimate.
BOOST_AUTO_TEST_CASE(budget_limits_every_call) {
  for (int call = 0; call < 19; ++call) {
    const std::string key = "k" + std::to_string(call);
    CallModel(key);
    if (HasOutcome(key)) {
      BOOST_TEST(IsNotRun(OutcomeOf(key), NotRunReason::kBudgetExhausted));
      return;
    }
    const auto& work = std::get<wire::ModelDispatch>(dispatches.back().order.work);
    const TokenCount prompt = dispatches.back().order.prompt_estimate;
    BOOST_TEST((program().spent + prompt + work.max_tokens) <= program().budget);
    SendToken(0, "x ");
    FinishDispatch(Completed{}, wire::Usage{prompt + TokenCount(9000), work.max_tokens, {}});
  }
  BOOST_FAIL("no call was refused with kBudgetExhausted");
}

// A program in an endless loop of calls must be stopped by its call limit.
BOOST_AUTO_TEST_CASE(calls_beyond_the_limit_are_refused) {
  for (int call = 0; call < 20; ++call) {
    SendCall("s" + std::to_string(call), kSearchCall);
    FinishDispatch(Completed{}, {}, "{}");
  }
  SendCall("one-more", kSearchCall);
  BOOST_TEST(IsNotRun(OutcomeOf("one-more"), NotRunReason::kCallLimitReached));
  BOOST_TEST(dispatches.size() == 20U);
}

// If the intent is not in the log before the dispatch, the next owner of the shard cannot tell that
// the call may have run.
BOOST_AUTO_TEST_CASE(non_idempotent_call_is_dispatched_after_its_intent) {
  hold_appends = true;
  SendCall("order", kOrderCall);
  BOOST_TEST(dispatches.empty());
  ReleaseAppends();
  BOOST_TEST(dispatches.size() == 1U);
  FinishDispatch(Completed{}, {}, R"({"ok":true})");
  BOOST_TEST(!HasOutcome("order"));
  ReleaseAppends();
  BOOST_TEST(results.at("order").body == R"({"ok":true})");
  SendCall("order", kOrderCall);
  BOOST_TEST(dispatches.size() == 1U);
}

// A call that timed out may have run, so a repeated request must not execute it a second time.
BOOST_AUTO_TEST_CASE(non_idempotent_call_with_unknown_end_is_never_repeated) {
  SendCall("order", kOrderCall);
  FinishDispatch(Unknown{UnknownReason::kTimeout});
  BOOST_CHECK(std::holds_alternative<Unknown>(OutcomeOf("order")));
  SendCall("order", kOrderCall);
  BOOST_CHECK(std::holds_alternative<Unknown>(OutcomeOf("order")));
  BOOST_TEST(dispatches.size() == 1U);
}

// A recorded intent must not block later requests when the call certainly did not run.
BOOST_AUTO_TEST_CASE(non_idempotent_call_that_did_not_run_may_be_repeated) {
  SendCall("order", kOrderCall);
  FinishDispatch(NotRun{NotRunReason::kEndpointUnavailable, 10});
  BOOST_TEST(IsNotRun(OutcomeOf("order"), NotRunReason::kEndpointUnavailable));
  SendCall("order", kOrderCall);
  BOOST_TEST(dispatches.size() == 2U);
}

// The previous owner may have dispatched the call before it lost the shard, so the new owner must
// not dispatch it.
BOOST_AUTO_TEST_CASE(new_owner_reports_an_open_intent_as_unknown) {
  Append("d1", Incarnation(1),
         journal::EffectIntended{kProgram, state.OwnerOf(ShardOf(kProgram))->epoch,
                                 IdempotencyKey("order"), ServiceId("order"),
                                 HashHex(kOrderCall.body)});
  Claim("d2", Incarnation(7));
  Claim("d1", Incarnation(1));
  SendCall("order", kOrderCall);
  BOOST_CHECK(OutcomeOf("order") == Outcome(Unknown{UnknownReason::kIntentWithoutEnd}));
  BOOST_TEST(dispatches.empty());
}

// The deadline passes before the intent is accepted. The caller has received NotRun, so the call
// must not be dispatched when the verdict arrives.
BOOST_AUTO_TEST_CASE(intent_accepted_after_the_deadline_is_cancelled) {
  hold_appends = true;
  SendCall("order", kOrderCall);
  now += seconds(11);
  Execute(home.Tick(now));
  BOOST_TEST(IsNotRun(OutcomeOf("order"), NotRunReason::kDeadlineExceeded));
  ReleaseAppends();
  BOOST_TEST(dispatches.empty());
  hold_appends = false;
  SendCall("order", kOrderCall);
  BOOST_TEST(dispatches.size() == 1U);
}

// A daemon that is paused during a takeover of its shard must not dispatch under its old epoch.
BOOST_AUTO_TEST_CASE(paused_owner_does_not_dispatch_after_a_takeover) {
  hold_appends = true;
  SendCall("order", kOrderCall);
  Claim("d2", Incarnation(1));
  ReleaseAppends();
  BOOST_TEST(dispatches.empty());
  BOOST_TEST(std::count(wrong_owner.begin(), wrong_owner.end(), "order") == 1);
}

// The new owner executes the calls, so the previous owner must cancel and redirect its own.
BOOST_AUTO_TEST_CASE(takeover_cancels_running_calls) {
  CallModel("a");
  CallModel("b");
  Claim("d2", Incarnation(1));
  BOOST_TEST(cancelled.size() == 1U);
  BOOST_TEST(wrong_owner.size() == 2U);
  BOOST_TEST(home.active_calls() == 0U);
}

// A shard is released once no call is running; new calls would delay the release without limit.
BOOST_AUTO_TEST_CASE(draining_shard_finishes_accepted_calls_only) {
  CallModel("a");
  home.SetDraining(ShardOf(kProgram), true);
  CallModel("b");
  BOOST_TEST(IsNotRun(OutcomeOf("b"), NotRunReason::kOwnerUnavailable));
  CompleteTurn("x ");
  BOOST_CHECK(std::holds_alternative<Completed>(OutcomeOf("a")));
  BOOST_TEST(home.BusyShards().empty());
}

// A call that starts while the log is unavailable could not record its result.
BOOST_AUTO_TEST_CASE(calls_are_refused_while_the_log_is_unavailable) {
  home.SetLogAvailable(false);
  CallModel("a");
  BOOST_TEST(IsNotRun(OutcomeOf("a"), NotRunReason::kLogUnavailable));
  BOOST_TEST(dispatches.empty());
}

// A turn that finishes while the log is unavailable must not be acknowledged before its record is
// accepted, and must be kept afterwards.
BOOST_AUTO_TEST_CASE(turn_during_a_log_outage_is_unknown_until_its_record_is_accepted) {
  CallModel("a");
  hold_appends = true;
  CompleteTurn("x ");
  now += seconds(11);
  Execute(home.Tick(now));
  BOOST_CHECK(std::holds_alternative<Unknown>(OutcomeOf("a")));
  ReleaseAppends();
  const Subscriber resumed = CallModel("a");
  BOOST_TEST(texts[resumed] == "x ");
  BOOST_CHECK(std::holds_alternative<Completed>(OutcomeOf("a")));
  BOOST_TEST(dispatches.size() == 1U);
}

// A reused key must not return the result of a different request.
BOOST_AUTO_TEST_CASE(same_key_with_another_body_is_a_conflict) {
  SendCall("order", kOrderCall);
  FinishDispatch(Completed{}, {}, "{}");
  SendCall("order", wire::ToolCall{ServiceId("order"), R"({"part":"belt"})"});
  BOOST_TEST(IsNotRun(OutcomeOf("order"), NotRunReason::kKeyConflict));
}

// An organisation must not read or use the programs of another one.
BOOST_AUTO_TEST_CASE(programs_of_other_organisations_are_unknown) {
  SendCall("foreign-history", wire::ReadHistory{}, {}, "other");
  BOOST_TEST(IsNotRun(OutcomeOf("foreign-history"), NotRunReason::kUnknownProgram));
  SendCall("foreign-call", kOrderCall, {}, "other");
  BOOST_TEST(IsNotRun(OutcomeOf("foreign-call"), NotRunReason::kUnknownProgram));
}

// A dispatcher that never reports the end of an attempt must not block the program.
BOOST_AUTO_TEST_CASE(attempt_without_an_end_is_cancelled_after_the_deadline) {
  CallModel("a");
  now += seconds(13);
  Execute(home.Tick(now));
  BOOST_TEST(cancelled.size() == 1U);
  BOOST_CHECK(std::holds_alternative<Unknown>(OutcomeOf("a")));
  BOOST_TEST(home.active_calls() == 0U);
}

// An ended program keeps only its identity and totals, so it cannot execute further calls.
BOOST_AUTO_TEST_CASE(ended_program_accepts_no_calls) {
  SendCall("end", wire::EndProgram{});
  BOOST_CHECK(std::holds_alternative<Completed>(OutcomeOf("end")));
  CallModel("a");
  BOOST_TEST(IsNotRun(OutcomeOf("a"), NotRunReason::kProgramEnded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::program
