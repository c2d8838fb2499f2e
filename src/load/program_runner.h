#ifndef ACACIASPRING_SRC_LOAD_PROGRAM_RUNNER_H_
#define ACACIASPRING_SRC_LOAD_PROGRAM_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "src/load/program_plan.h"
#include "src/load/retrying_call.h"

namespace acaciaspring::load {

/// @brief Parent of a sub-agent, which inherits its organisation and priority class. The id is
/// empty for a program without a parent.
struct ParentProgram {
  std::string id;
  std::string organisation_key;
  std::string class_name;
};

/// @brief Runs one agent program and adds its results to the report. Creates the program, runs its
/// turns (a model call, then tool call, effect and sub-agent as configured), verifies the stored
/// history and ends the program.
class ProgramRunner {
 public:
  using OnDone = std::function<void()>;

  ProgramRunner(const LoadContext& context, std::uint64_t index, OnDone on_done);
  /// @brief Constructs a sub-agent. `name` is the prefix of its idempotency keys.
  ProgramRunner(const LoadContext& context, std::string name, ParentProgram parent, OnDone on_done);
  void Start();
  /// @brief Content of the last answer, which the parent of a sub-agent receives.
  std::string last_answer() const { return last_answer_; }

 private:
  void Send(CallSpec spec, RetryingCall::OnDone on_done);
  void Create();
  void OnCreated(const CallResult& result);
  void StartNextTurn();
  void OnAnswer(const CallResult& result);
  void CheckAnswer(const CallResult& result);
  void CallTool();
  void OnToolDone(const CallResult& result);
  void RequestEffect();
  void OnEffectDone(const CallResult& result);
  void RunSubAgent();
  void OnSubAgentDone();
  void Pause();
  void ReadHistory();
  void OnHistory(const CallResult& result);
  void End();
  void OnEnded(const CallResult& result);
  void CountCall(CallOutcome outcome);
  std::string MakeToolBody(const std::string& operation) const;
  std::string IdempotencyKey(const std::string& step) const;
  std::string ProgramPath(const std::string& rest) const { return "/v1/programs/" + id_ + rest; }

  LoadContext context_;
  std::string name_;
  ProgramPlan plan_;
  ParentProgram parent_;
  std::uint32_t turns_;
  OnDone on_done_;
  std::string id_;
  std::uint32_t turn_ = 0;
  bool failed_ = false;
  /// Expected history: the messages and answers of all completed turns.
  std::vector<fakes::Message> history_;
  /// Messages to send with the next turn.
  std::vector<fakes::Message> pending_messages_;
  /// Messages of the turn that failed or has an unknown outcome; the stored history may or may not
  /// contain them.
  std::vector<fakes::Message> uncertain_messages_;
  std::string last_answer_;
  MonotonicTime started_;
  std::shared_ptr<RetryingCall> call_;
  std::unique_ptr<ProgramRunner> sub_agent_;
  net::Timer timer_;
};

/// @brief Returns a description of the first difference between the stored and the expected
/// history; empty if there is none. `uncertain` holds the messages of a turn of which it is unknown
/// whether it was stored; the stored history may end with them and their answer.
std::string FindHistoryDifference(const std::vector<fakes::Message>& stored,
                                  std::vector<fakes::Message> expected,
                                  const std::vector<fakes::Message>& uncertain,
                                  std::uint64_t max_tokens);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_PROGRAM_RUNNER_H_
