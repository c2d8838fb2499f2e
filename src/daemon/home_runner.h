#ifndef ACACIASPRING_SRC_DAEMON_HOME_RUNNER_H_
#define ACACIASPRING_SRC_DAEMON_HOME_RUNNER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "acaciaspring/program.h"
#include "acaciaspring/routing.h"
#include "acaciaspring/scheduling.h"
#include "src/daemon/cluster.h"

namespace acaciaspring::daemon {

/// @brief Runs the home of this daemon: passes messages and verdicts to program::Home and executes
/// the resulting actions. It appends records, chooses endpoints, sends calls to their dispatchers
/// and results to the entries.
class HomeRunner {
 public:
  HomeRunner(Context context, const Cluster& cluster);

  void OnConfiguration();
  void OnCall(ChannelId channel, const wire::CallRequest& request);
  void OnCallCancelled(ChannelId channel, const wire::CallCancelled& cancelled);
  void OnDispatchEvent(ChannelId channel, const wire::DispatchEvent& event);
  void OnDispatchFinished(ChannelId channel, wire::DispatchFinished finished);
  void OnEndpointReport(const wire::EndpointReport& report);
  void OnChannelClosed(ChannelId channel);
  void OnOwnershipChanged();
  void OnProgramEnded(const ProgramId& program);
  void Tick();

  void SetDraining(ShardId shard, bool draining) { home_.SetDraining(shard, draining); }
  std::set<ShardId> BusyShards() const { return home_.BusyShards(); }
  std::size_t active_calls() const { return home_.active_calls(); }

 private:
  struct PendingDispatch {
    ChannelId channel;
    EndpointId endpoint;
    bool is_model = false;
    bool first_token_received = false;
    std::uint64_t prompt_tokens = 0;
    telemetry::Span span;
  };

  void Execute(program::Actions actions);
  void Execute(program::AppendRecord action);
  void Execute(program::StartDispatch action);
  void Execute(const program::CancelDispatch& action);
  void Execute(program::SendEvent action);
  void Execute(program::SendFinished action);
  void Execute(const program::SendWrongOwner& action);

  /// @brief Appends queued records to the journal, in order, until the queue of the journal is
  /// full.
  void AppendQueued();
  /// @brief Chooses the endpoint of a model call; none if no endpoint is available.
  std::optional<EndpointChoice> ChooseEngine(ExchangeId attempt,
                                             const program::DispatchOrder& order,
                                             const wire::ModelDispatch& work);
  /// @brief Reports an attempt that could not be sent as NotRun. Posted to the event loop, because
  /// the home must not be called while its actions are executed.
  void PostRefusal(ExchangeId attempt, NotRunReason reason);
  void FinishAttempt(ExchangeId attempt,
                     const Outcome& outcome,
                     std::string body,
                     wire::Usage usage);

  Context context_;
  const Cluster& cluster_;
  program::Home home_;
  EndpointChooser chooser_;
  RetryBudget retry_budget_;
  std::unordered_map<ExchangeId, PendingDispatch> pending_dispatches_;
  /// Records that wait for space in the queue of the journal; at most one for each running call.
  std::deque<program::AppendRecord> queued_appends_;
  std::set<EndpointId> configured_endpoints_;
  /// Endpoint of the last attempt of each program; a retry excludes it.
  std::unordered_map<ProgramId, std::vector<EndpointId>> last_endpoints_;
};

/// @brief Endpoint id under which calls to a tool service are dispatched.
EndpointId EndpointOfService(const ServiceId& service);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_HOME_RUNNER_H_
