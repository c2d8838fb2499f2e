#ifndef ACACIASPRING_SRC_GATEWAY_TURN_ROUTER_H_
#define ACACIASPRING_SRC_GATEWAY_TURN_ROUTER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "src/gateway/chain_search.h"
#include "src/gateway/commit_relay.h"
#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"
#include "src/gateway/turn_run.h"

namespace acaciaspring::gateway {

/// @brief Sends each turn to the owner of its program, which may be this daemon, and runs the turns
/// of local partitions.
class TurnRouter {
 public:
  TurnRouter(Context& context, Ownership& ownership, std::function<PeerLinks*()> links);

  /// @brief Returns the id for Cancel.
  ExchangeId Submit(TurnRequest request, ResponseSinkPtr sink);
  void Cancel(ExchangeId id);

  /// @brief Dispatches the turns that wait for an owner.
  void RetryWaitingTurns();
  void OnMessage(const DaemonId& daemon, PeerMessage message, const ReplyFunction& reply);
  void OnPeerDisconnected(const DaemonId& daemon);
  void OnRequesterDisconnected(const DaemonId& daemon);
  /// @brief Number of turns submitted here that have not ended, plus the number that run here.
  std::size_t open_turns() const { return submitted_.size() + runs_.size(); }

 private:
  enum class State : std::uint8_t { kWaiting, kRemote, kLocal };
  struct SubmittedTurn {
    TurnRequest request;
    ResponseSinkPtr sink;
    State state = State::kWaiting;
    DaemonId owner;
    bool response_started = false;
    /// The limited time for which the turn waits for an owner has started.
    bool hold_started = false;
    MonotonicTime deadline;
    net::Timer hold_timer;
    net::Timer deadline_timer;
    std::shared_ptr<TurnRun> run;
  };
  struct PeerTurnKey {
    DaemonId requester;
    ExchangeId exchange;
    auto operator<=>(const PeerTurnKey&) const = default;
  };

  void Dispatch(ExchangeId id);
  /// @brief Sends a request to the owner of its partition. Returns false if there is no connection.
  bool SendToOwner(PeerLinks& links, const DaemonId& owner, ExchangeId id);
  void RunLocally(ExchangeId id, std::shared_ptr<ledger::Partition> partition);
  void HoldForOwner(ExchangeId id);
  void OnDeadline(ExchangeId id);
  void FailWith(ExchangeId id, const HttpError& error);
  /// @brief Ends a turn whose owner sends no valid response.
  void BreakOff(ExchangeId id, std::string_view fault);
  void OnTurnHead(const DaemonId& daemon, const TurnHead& head);
  void OnTurnData(const DaemonId& daemon, const TurnData& data);
  void OnTurnEnd(const DaemonId& daemon, const TurnEnd& end);
  void OnTurnRejected(const DaemonId& daemon, const TurnRejected& rejected);
  void OnTurnRequest(const DaemonId& daemon, TurnRequest request, const ReplyFunction& reply);
  void StartRun(const std::shared_ptr<TurnRun>& run);
  std::shared_ptr<TurnRun> MakeRun(std::shared_ptr<ledger::Partition> partition,
                                   TurnRequest request,
                                   ResponseSinkPtr sink,
                                   std::function<void()> on_ended);
  TurnDependencies MakeDependencies();
  ledger::PartitionId PartitionFor(const TurnRequest& request) const;
  SubmittedTurn* FindRemote(ExchangeId id, const DaemonId& owner);

  Context& context_;
  Ownership& ownership_;
  std::function<PeerLinks*()> links_;
  ChainSearch chain_search_;
  CommitRelay commit_relay_;
  std::unordered_map<ExchangeId, SubmittedTurn> submitted_;
  std::map<PeerTurnKey, std::weak_ptr<TurnRun>> peer_turns_;
  std::set<std::shared_ptr<TurnRun>> runs_;
  ExchangeId last_id_;
  /// Endpoint of the last turn, by session and by program.
  std::unordered_map<std::string, EndpointId> last_endpoint_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TURN_ROUTER_H_
