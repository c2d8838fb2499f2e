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

/// @brief Where a sub-agent belongs.
struct ParentProgram {
  std::string id;
  std::string organisation_key;
  std::string class_name;
};

/// @brief Runs one agent program: creation, dependent model calls with tool calls, effects and
/// sub-agents between them, comparison of the history, end. Counts in the report.
class ProgramRunner {
 public:
  using OnDone = std::function<void()>;

  ProgramRunner(const LoadContext& context, std::uint64_t index, OnDone on_done);
  /// @brief A sub-agent; `name` distinguishes its idempotency keys.
  ProgramRunner(const LoadContext& context, std::string name, ParentProgram parent, OnDone on_done);
  void Start();
  /// @brief The last answer, which a sub-agent reports to its parent.
  std::string last_answer() const { return last_answer_; }

 private:
  void Send(CallSpec spec, RetryingCall::OnDone on_done);
  void Create();
  void OnCreated(const CallResult& result);
  void NextTurn();
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
  void CountCall(CallEnd end);
  std::string ToolBody(const std::string& operation) const;
  std::string Key(const std::string& step) const;
  std::string Path(const std::string& rest) const { return "/v1/programs/" + id_ + rest; }

  LoadContext context_;
  std::string name_;
  ProgramPlan plan_;
  ParentProgram parent_;
  std::uint32_t turns_;
  OnDone on_done_;
  std::string id_;
  std::uint32_t turn_ = 0;
  bool failed_ = false;
  /// Accepted messages in order.
  std::vector<fakes::Message> history_;
  /// Messages of the next turn.
  std::vector<fakes::Message> pending_;
  /// The turn that ended as Unknown: the history may or may not contain it.
  std::vector<fakes::Message> uncertain_;
  std::string last_answer_;
  MonotonicTime started_;
  std::shared_ptr<RetryingCall> call_;
  std::unique_ptr<ProgramRunner> sub_agent_;
  net::Timer timer_;
};

/// @brief What is wrong with the stored history, or empty. `uncertain` holds the messages of a turn
/// that ended as Unknown; the history may end with them and their answer.
std::string FindHistoryDifference(const std::vector<fakes::Message>& stored,
                                  std::vector<fakes::Message> expected,
                                  const std::vector<fakes::Message>& uncertain,
                                  std::uint64_t max_tokens);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_PROGRAM_RUNNER_H_
