#include "src/load/program_runner.h"

#include <glog/logging.h>

#include <utility>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

constexpr std::uint32_t kMaxSubAgentTurns = 2;
// A sub-agent's budget is part of its parent's, so it gets only this fraction of a program's
// budget.
constexpr std::uint64_t kSubAgentBudgetDivisor = 10;

std::vector<fakes::Message> ParseHistory(const std::string& body) {
  std::vector<fakes::Message> messages;
  const std::optional<Json::Value> value = fakes::ParseJson(body);
  if (!value || !value->isObject()) {
    return messages;
  }
  for (const Json::Value& message : (*value)["messages"]) {
    if (message.isObject() && message["role"].isString() && message["content"].isString()) {
      messages.push_back({message["role"].asString(), message["content"].asString()});
    }
  }
  return messages;
}

Json::Value MessagesToJson(const std::vector<fakes::Message>& messages) {
  Json::Value list(Json::arrayValue);
  for (const fakes::Message& message : messages) {
    Json::Value entry;
    entry["role"] = message.role;
    entry["content"] = message.content;
    list.append(entry);
  }
  return list;
}

// Returns a field of a JSON object as text; empty if the body is not an object with this field.
std::string ReadField(const std::string& body, const char* name) {
  const std::optional<Json::Value> value = fakes::ParseJson(body);
  const bool convertible = value && value->isObject() && value->isMember(name) &&
                           (*value)[name].isConvertibleTo(Json::stringValue);
  return convertible ? (*value)[name].asString() : "";
}

}  // namespace

ProgramRunner::ProgramRunner(const LoadContext& context, std::uint64_t index, OnDone on_done)
    : context_(context),
      name_(context.options.run_id + "-" + std::to_string(index)),
      plan_(context.options, index),
      parent_{"", plan_.organisation_key(), plan_.class_name()},
      turns_(plan_.turns()),
      on_done_(std::move(on_done)) {}

ProgramRunner::ProgramRunner(const LoadContext& context,
                             std::string name,
                             ParentProgram parent,
                             OnDone on_done)
    : context_(context),
      name_(std::move(name)),
      plan_(context.options, Hash64(name_)),
      parent_(std::move(parent)),
      turns_(std::min(plan_.turns(), kMaxSubAgentTurns)),
      on_done_(std::move(on_done)) {}

void ProgramRunner::Start() {
  started_ = context_.loop.Now();
  Create();
}

std::string ProgramRunner::IdempotencyKey(const std::string& step) const {
  return name_ + "-" + step;
}

void ProgramRunner::Send(CallSpec spec, RetryingCall::OnDone on_done) {
  spec.organisation_key = parent_.organisation_key;
  call_ = std::make_shared<RetryingCall>(context_, std::move(spec), std::move(on_done));
  call_->Start();
}

void ProgramRunner::Create() {
  Json::Value body;
  body["class"] = parent_.class_name;
  const std::uint64_t budget = context_.options.budget;
  body["budget_tokens"] =
      static_cast<Json::UInt64>(parent_.id.empty() ? budget : budget / kSubAgentBudgetDivisor);
  // Each turn has a model call, a tool call and an effect; the rest is for sub-agents.
  body["max_calls"] = turns_ * 4 + 10;
  if (!parent_.id.empty()) {
    body["parent"] = parent_.id;
  }
  Send({.target = "/v1/programs",
        .idempotency_key = IdempotencyKey("create"),
        .body = fakes::WriteJson(body)},
       [this](const CallResult& result) { OnCreated(result); });
}

void ProgramRunner::OnCreated(const CallResult& result) {
  id_ = ReadField(result.body, "program");
  if (result.outcome != CallOutcome::kCompleted || id_.empty()) {
    LOG(WARNING) << "cannot create program " << name_ << ": " << result.code;
    ++context_.report.programs_failed;
    on_done_();
    return;
  }
  pending_messages_.push_back({"system", "agent of program " + name_});
  StartNextTurn();
}

void ProgramRunner::StartNextTurn() {
  if (turn_ == turns_) {
    ReadHistory();
    return;
  }
  ++turn_;
  pending_messages_.push_back({"user", plan_.NextMessageText()});
  Json::Value body;
  body["model"] = context_.options.model;
  body["messages"] = MessagesToJson(pending_messages_);
  body["max_tokens"] = static_cast<Json::UInt64>(context_.options.max_tokens);
  body["stream"] = true;
  Send({.target = ProgramPath("/chat/completions"),
        .idempotency_key = IdempotencyKey("turn-" + std::to_string(turn_)),
        .body = fakes::WriteJson(body),
        .streaming = true},
       [this](const CallResult& result) { OnAnswer(result); });
}

void ProgramRunner::OnAnswer(const CallResult& result) {
  CountCall(result.outcome);
  if (result.first_token_latency) {
    context_.report.first_token_latency.Add(*result.first_token_latency);
  }
  if (result.outcome != CallOutcome::kCompleted) {
    LOG(WARNING) << "turn " << turn_ << " of program " << id_
                 << " did not complete: " << result.code;
    failed_ = true;
    if (result.outcome != CallOutcome::kNotRun) {
      uncertain_messages_ = std::exchange(pending_messages_, {});
    }
    ReadHistory();
    return;
  }
  CheckAnswer(result);
  CallTool();
}

void ProgramRunner::CheckAnswer(const CallResult& result) {
  history_.insert(history_.end(), pending_messages_.begin(), pending_messages_.end());
  pending_messages_.clear();
  const std::string difference =
      result.answer.FindDifference(history_, context_.options.max_tokens);
  if (!difference.empty()) {
    ++context_.report.answers_incomplete;
    failed_ = true;
    LOG(ERROR) << "wrong answer in turn " << turn_ << " of program " << id_ << ": " << difference;
  }
  // Continues with the expected answer, so that a wrong answer is not counted again in later turns.
  last_answer_ = result.answer.ExpectedContent(history_, context_.options.max_tokens);
  history_.push_back({"assistant", last_answer_});
}

std::string ProgramRunner::MakeToolBody(const std::string& operation) const {
  Json::Value body;
  body["operation"] = operation;
  body["arguments"]["text"] = last_answer_;
  return fakes::WriteJson(body);
}

void ProgramRunner::CallTool() {
  if (context_.options.tool_service.empty()) {
    RequestEffect();
    return;
  }
  Send({.target = ProgramPath("/tools/" + context_.options.tool_service),
        .idempotency_key = IdempotencyKey("tool-" + std::to_string(turn_)),
        .body = MakeToolBody("lookup")},
       [this](const CallResult& result) { OnToolDone(result); });
}

void ProgramRunner::OnToolDone(const CallResult& result) {
  CountCall(result.outcome);
  failed_ = failed_ || result.outcome != CallOutcome::kCompleted;
  const std::string tool_result = result.outcome == CallOutcome::kCompleted
                                      ? "ok " + ReadField(result.body, "ok")
                                      : "no answer";
  pending_messages_.push_back({"tool", "lookup " + tool_result});
  RequestEffect();
}

void ProgramRunner::RequestEffect() {
  if (context_.options.effect_service.empty() ||
      !plan_.NextBool(context_.options.effect_probability)) {
    RunSubAgent();
    return;
  }
  ++context_.report.effects_requested;
  Send({.target = ProgramPath("/tools/" + context_.options.effect_service),
        .idempotency_key = IdempotencyKey("effect-" + std::to_string(turn_)),
        .body = MakeToolBody("order"),
        .non_idempotent = true},
       [this](const CallResult& result) { OnEffectDone(result); });
}

void ProgramRunner::OnEffectDone(const CallResult& result) {
  Report& report = context_.report;
  switch (result.outcome) {
    case CallOutcome::kCompleted:
      ++report.effects_completed;
      break;
    case CallOutcome::kNotRun:
      ++report.effects_not_run;
      break;
    case CallOutcome::kFailed:
      ++report.effects_failed;
      break;
    case CallOutcome::kUnknown:
      ++report.effects_unknown;
      break;
  }
  const std::string execution = ReadField(result.body, "execution");
  if (!execution.empty() && execution != "1") {
    ++report.effects_repeated;
    LOG(ERROR) << "effect " << turn_ << " of program " << id_ << " was executed " << execution
               << " times";
  }
  RunSubAgent();
}

void ProgramRunner::RunSubAgent() {
  if (!parent_.id.empty() || !plan_.NextBool(context_.options.sub_agent_probability)) {
    Pause();
    return;
  }
  sub_agent_ = std::make_unique<ProgramRunner>(
      context_, IdempotencyKey("sub-" + std::to_string(turn_)),
      ParentProgram{id_, parent_.organisation_key, parent_.class_name},
      [this] { OnSubAgentDone(); });
  sub_agent_->Start();
}

void ProgramRunner::OnSubAgentDone() {
  pending_messages_.push_back({"tool", "sub-agent " + sub_agent_->last_answer()});
  // The sub-agent calls this function, so it must not be destroyed before it returns.
  context_.loop.Post([finished = std::shared_ptr<ProgramRunner>(std::move(sub_agent_))] {});
  Pause();
}

void ProgramRunner::Pause() {
  if (context_.options.tool_pause_ms == 0 || turn_ == turns_) {
    StartNextTurn();
    return;
  }
  timer_ = context_.loop.After(plan_.NextPause(), [this] { StartNextTurn(); });
}

void ProgramRunner::ReadHistory() {
  Send({.method = "GET", .target = ProgramPath("/history")},
       [this](const CallResult& result) { OnHistory(result); });
}

void ProgramRunner::OnHistory(const CallResult& result) {
  if (result.outcome != CallOutcome::kCompleted) {
    ++context_.report.histories_unread;
    failed_ = true;
    LOG(WARNING) << "cannot read the history of program " << id_ << ": " << result.code;
    End();
    return;
  }
  const std::string difference = FindHistoryDifference(
      ParseHistory(result.body), history_, uncertain_messages_, context_.options.max_tokens);
  if (!difference.empty()) {
    ++context_.report.histories_wrong;
    failed_ = true;
    LOG(ERROR) << "wrong history of program " << id_ << ": " << difference;
  }
  End();
}

void ProgramRunner::End() {
  Send({.method = "DELETE", .target = ProgramPath(""), .idempotency_key = IdempotencyKey("end")},
       [this](const CallResult& result) { OnEnded(result); });
}

void ProgramRunner::OnEnded(const CallResult& result) {
  // These codes mean that an earlier attempt ended the program and its response was lost.
  const bool ended = result.outcome == CallOutcome::kCompleted || result.code == "program_ended" ||
                     result.code == "unknown_program";
  if (failed_ || !ended) {
    ++context_.report.programs_failed;
  } else {
    ++context_.report.programs_finished;
    context_.report.program_latency[parent_.class_name].Add(context_.loop.Now() - started_);
  }
  on_done_();
}

void ProgramRunner::CountCall(CallOutcome outcome) {
  Report& report = context_.report;
  switch (outcome) {
    case CallOutcome::kCompleted:
      ++report.calls_completed;
      break;
    case CallOutcome::kNotRun:
      ++report.calls_not_run;
      break;
    case CallOutcome::kFailed:
      ++report.calls_failed;
      break;
    case CallOutcome::kUnknown:
      ++report.calls_unknown;
      break;
  }
}

}  // namespace acaciaspring::load
