#ifndef ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_
#define ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/program/call.h"

namespace acaciaspring::program {

/// @brief Implementation of Home. Model calls, tool calls and the delivery of answers each have a
/// source file of their own.
class HomeImpl {
 public:
  HomeImpl(const journal::State& state, HomeOptions options);

  void OnCall(const Subscriber& from, const wire::CallRequest& request);
  void RemoveListeners(const std::function<bool(const Subscriber&)>& matches);
  void OnVerdict(AppendId append, const journal::Verdict& verdict);
  void OnDispatchEvent(ExchangeId attempt, std::uint64_t index, std::string_view text);
  void OnDispatchFinished(ExchangeId attempt,
                          const Outcome& outcome,
                          std::string body,
                          wire::Usage usage);
  void OnOwnershipChanged();
  void Tick();

  Actions TakeActions();

  const journal::State& state_;
  HomeOptions options_;
  Limits limits_;
  bool log_available_ = true;
  std::set<ShardId> draining_;
  std::unordered_map<ProgramId, ProgramCalls> programs_;
  MonotonicTime now_;

 private:
  using Entry = std::unordered_map<ProgramId, ProgramCalls>::iterator;

  // home_impl.cc
  const journal::ShardOwner* OwnOwner(ShardId shard) const;
  const journal::Program* VisibleProgram(const wire::CallRequest& request) const;
  bool AttachToActive(const Subscriber& from, const wire::CallRequest& request);
  void Accept(const Subscriber& from, const wire::CallRequest& request);
  void StartNext(Entry entry);
  void Begin(Entry entry, const wire::CreateProgram& operation);
  void Begin(Entry entry, const wire::EndProgram& operation);
  template <class Operation>
  void Begin(Entry entry, const Operation& operation);
  void Append(RunningCall& running, Phase phase, journal::Record record);
  void Dispatch(Entry entry);
  void Finish(Entry entry, const Outcome& outcome, std::string body, wire::Usage usage);
  void Drop(Entry entry);
  void TickRunning(Entry entry);
  bool CanRetry(const RunningCall& running) const;

  // verdicts.cc
  void OnAccepted(Entry entry);
  void OnRejected(Entry entry, const journal::Rejected& rejected);

  // model_call.cc
  void Begin(Entry entry, const wire::ModelCall& operation);
  wire::ModelDispatch MakeDispatch(const RunningCall& running, const wire::ModelCall& call) const;
  void OnModelEvent(Entry entry, std::uint64_t index, std::string_view text);
  void OnModelFinished(Entry entry, const Outcome& outcome, std::string body, wire::Usage usage);
  void OnModelLost(Entry entry, const Unknown& unknown);
  void CommitTurn(Entry entry, wire::Usage usage);
  journal::SpendAuthorised MakeCharge(const RunningCall& running,
                                      TokenCount charged,
                                      TokenCount amount) const;

  // tool_call.cc
  void Begin(Entry entry, const wire::ToolCall& operation);
  wire::ToolDispatch MakeDispatch(const RunningCall& running, const wire::ToolCall& call) const;
  void OnToolFinished(Entry entry, const Outcome& outcome, std::string body);
  bool IsIdempotent(const wire::ToolCall& call) const;

  // delivery.cc
  bool Replay(const Subscriber& from, const wire::CallRequest& request);
  void Deliver(RunningCall& running);
  bool DeliverTo(Listener& listener, const std::string& answer);
  void MergeAttempt(RunningCall& running, bool complete);
  void Tell(Call& call, const Outcome& outcome, const std::string& body, wire::Usage usage);
  void TellWrongOwner(const Call& call);
  void Refuse(const Subscriber& to, NotRunReason reason);
  std::uint32_t RetryDelay(NotRunReason reason) const;

  std::unordered_map<AppendId, ProgramId> pending_appends_;
  std::unordered_map<ExchangeId, ProgramId> attempts_;
  AppendId last_append_;
  ExchangeId last_attempt_;
  Actions actions_;
};

/// @brief JSON documents that callers receive.
std::string CreatedAsJson(const ProgramId& id);
std::string DescribeAsJson(const ProgramId& id, const journal::Program& program);
std::string HistoryAsJson(const journal::Program& program);
/// @brief JSON array of all messages of the program followed by `messages`.
std::string ComposePrompt(const journal::Program& program, const std::string& messages);

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_SRC_PROGRAM_HOME_IMPL_H_
