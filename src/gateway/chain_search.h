#ifndef ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_
#define ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"
#include "src/gateway/turn_run.h"

namespace acaciaspring::gateway {

/// @brief Searches the partitions of all daemons for a turn. A program may continue from a turn of
/// another program, which can be stored in any partition. Long chains are announced first and
/// fetched from one daemon.
class ChainSearch {
 public:
  using OnDone = std::function<void(ChainSearchResult)>;

  ChainSearch(Context& context, Ownership& ownership, std::function<PeerLinks*()> links)
      : context_(context), ownership_(ownership), links_(std::move(links)) {}

  /// @brief Ends with ChainSearchIncomplete at `deadline` if a chain has not arrived by then.
  void Find(const ledger::TurnId& turn, MonotonicTime deadline, OnDone on_done);
  /// @brief Handles a query from another daemon.
  void HandleQuery(const ChainQuery& query, const ReplyFunction& reply);
  void HandleFetch(const ChainFetch& fetch, const ReplyFunction& reply);
  void OnReply(const DaemonId& daemon, ChainReply reply);
  void OnPeerDisconnected(const DaemonId& daemon);

 private:
  struct Search {
    ledger::TurnId turn;
    OnDone on_done;
    MonotonicTime started_at;
    MonotonicTime deadline;
    /// Other daemons that have not answered the query.
    std::set<DaemonId> awaited;
    std::set<ledger::PartitionId> searched;
    /// Daemons that have announced the chain and have not been asked for it.
    std::deque<DaemonId> sources;
    /// The daemon that sends the chain; empty if none does.
    DaemonId source;
    std::uint64_t chain_bytes = 0;
    /// Why the last source did not send the chain.
    std::string fault;
    net::Timer timer;
  };

  /// @brief Searches the partitions of this daemon. If the turn is not there, confirms with the
  /// store that the partitions are still owned here.
  void SearchLocal(const ledger::TurnId& turn, std::function<void(ChainReply)> on_done);
  std::optional<std::vector<const ledger::Turn*>> LocalChain(const ledger::TurnId& turn) const;
  /// @brief Requests the chain from the next source. If there is none, waits for the daemons that
  /// have not answered the query, or ends the search.
  void FetchFromNext(ExchangeId id);
  /// @brief Ends a search whose sources have failed once all daemons have answered.
  void FinishIfExhausted(ExchangeId id);
  /// @brief The source of a search does not send the chain.
  void OnSourceFailed(ExchangeId id, std::string fault);
  void FinishIncomplete(ExchangeId id, const std::string& reason);
  void Finish(ExchangeId id, ChainSearchResult result);

  Context& context_;
  Ownership& ownership_;
  std::function<PeerLinks*()> links_;
  std::unordered_map<ExchangeId, Search> searches_;
  ExchangeId last_id_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_
