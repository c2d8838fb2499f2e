#ifndef ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_
#define ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/program/call.h"

namespace acaciaspring::program {

/// @brief Implementation of Home. Verdicts on records, model calls, tool calls and the delivery of
/// answers are implemented in separate source files.
class HomeImpl {
 public:
  HomeImpl(const journal::State& state, HomeOptions options);

  void OnCall(const Subscriber& from, const wire::CallRequest& request);
  void RemoveSubscriptions(const std::function<bool(const Subscriber&)>& matches);
  void OnVerdict(AppendId append, const journal::Verdict& verdict);
  void OnDispatchEvent(ExchangeId attempt, std::uint64_t index, std::string_view text);
  void OnDispatchFinished(ExchangeId attempt,
                          const Outcome& outcome,
                          std::string body,
                          wire::Usage usage);
  void OnOwnershipChanged();
  void Tick();

  /// @brief Returns the actions requested since the previous call.
  Actions TakeActions();

  const journal::State& state_;
  HomeOptions options_;
  Limits limits_;
  bool log_available_ = true;
  std::set<ShardId> draining_;
  std::unordered_map<ProgramId, ProgramCalls> programs_;
  MonotonicTime now_;

 private:
  using CallsIterator = std::unordered_map<ProgramId, ProgramCalls>::iterator;

  // Implemented in home_impl.cc.
  /// @brief Ownership of the shard if this incarnation of the daemon holds it, otherwise null.
  const journal::ShardOwner* OwnershipOf(ShardId shard) const;
  /// @brief Null if the program is unknown or belongs to another organisation.
  const journal::Program* FindVisibleProgram(const wire::CallRequest& request) const;
  /// @brief Subscribes to the queued or running call with the same key, or refuses a conflicting
  /// request. False if there is no such call.
  bool AttachToActiveCall(const Subscriber& from, const wire::CallRequest& request);
  void Enqueue(const Subscriber& from, const wire::CallRequest& request);
  void StartNextCall(CallsIterator it);
  void StartOperation(CallsIterator it, const wire::CreateProgram& operation);
  void StartOperation(CallsIterator it, const wire::EndProgram& operation);
  template <class Operation>
  void StartOperation(CallsIterator it, const Operation& operation);
  void Append(RunningCall& running, Phase phase, journal::Record record);
  void Dispatch(CallsIterator it);
  void Finish(CallsIterator it, const Outcome& outcome, std::string body, wire::Usage usage);
  /// @brief Redirects all calls of the program to the owner of its shard and removes them.
  void DropCalls(CallsIterator it);
  void OnDeadlinePassed(CallsIterator it);
  bool CanRetry(const RunningCall& running) const;

  // Implemented in verdicts.cc.
  void OnAccepted(CallsIterator it);
  void OnRejected(CallsIterator it, const journal::Rejected& rejected);

  // Implemented in model_call.cc.
  void StartOperation(CallsIterator it, const wire::ModelCall& operation);
  wire::ModelDispatch MakeDispatch(const RunningCall& running, const wire::ModelCall& call) const;
  void OnModelEvent(CallsIterator it, std::uint64_t index, std::string_view text);
  void OnModelFinished(CallsIterator it,
                       const Outcome& outcome,
                       std::string body,
                       wire::Usage usage);
  void OnModelOutcomeUnknown(CallsIterator it, const Unknown& unknown);
  void CommitTurn(CallsIterator it, wire::Usage usage);
  journal::SpendAuthorised MakeSpendAuthorised(const RunningCall& running,
                                               TokenCount charged,
                                               TokenCount amount) const;

  // Implemented in tool_call.cc.
  void StartOperation(CallsIterator it, const wire::ToolCall& operation);
  wire::ToolDispatch MakeDispatch(const RunningCall& running, const wire::ToolCall& call) const;
  void OnToolFinished(CallsIterator it, const Outcome& outcome, std::string body);
  bool IsIdempotent(const wire::ToolCall& call) const;

  // Implemented in delivery.cc.
  /// @brief Answers a request whose key already has a recorded result, or refuses a conflicting
  /// one. False if the call is still to be executed.
  bool ReplayResult(const Subscriber& from, const wire::CallRequest& request);
  void Deliver(RunningCall& running);
  /// @brief Sends the part of the answer that the subscriber does not have. False if the text that
  /// the subscriber has differs from the answer; the subscriber has then been sent a failure.
  bool DeliverTo(Subscription& subscription, const std::string& answer);
  /// @brief Updates the answer with the text of the current attempt.
  void MergeAttempt(RunningCall& running, bool complete);
  /// @brief Sends the outcome to all subscribers and removes their subscriptions.
  void NotifyFinished(Call& call,
                      const Outcome& outcome,
                      const std::string& body,
                      wire::Usage usage);
  void NotifyWrongOwner(const Call& call);
  void Refuse(const Subscriber& to, NotRunReason reason);
  std::uint32_t RetryDelay(NotRunReason reason) const;

  // Programs of the appends with a pending verdict and of the running attempts.
  std::unordered_map<AppendId, ProgramId> pending_appends_;
  std::unordered_map<ExchangeId, ProgramId> attempts_;
  AppendId last_append_;
  ExchangeId last_attempt_;
  Actions actions_;
};

/// @brief JSON results of CreateProgram, DescribeProgram and ReadHistory.
std::string CreationAsJson(const ProgramId& id);
std::string DescriptionAsJson(const ProgramId& id, const journal::Program& program);
std::string HistoryAsJson(const journal::Program& program);
/// @brief JSON array of all recorded messages of the program, followed by the elements of the JSON
/// array `messages`.
std::string ComposePrompt(const journal::Program& program, const std::string& messages);

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_
