#ifndef ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_
#define ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"
#include "src/gateway/turn_run.h"

namespace acaciaspring::gateway {

/// @brief Searches the partitions of all daemons for a turn. A program may continue from a turn of
/// another program, which can be stored in any partition.
class ChainSearch {
 public:
  using OnDone = std::function<void(const ChainSearchResult&)>;

  ChainSearch(Context& context, Ownership& ownership, std::function<PeerLinks*()> links)
      : context_(context), ownership_(ownership), links_(std::move(links)) {}

  void Find(const ledger::TurnId& turn, OnDone on_done);
  /// @brief Handles a query from another daemon.
  void HandleQuery(const ChainQuery& query, const ReplyFunction& reply);
  void OnReply(const ChainReply& reply);

 private:
  struct Search {
    OnDone on_done;
    std::set<ledger::PartitionId> searched;
    net::Timer timer;
  };

  /// @brief Searches the partitions of this daemon. If the turn is not there, confirms with the
  /// store that the partitions are still owned here.
  void SearchLocal(const ledger::TurnId& turn, std::function<void(ChainReply)> on_done);
  void Finish(ExchangeId id, const ChainSearchResult& result);

  Context& context_;
  Ownership& ownership_;
  std::function<PeerLinks*()> links_;
  std::unordered_map<ExchangeId, Search> searches_;
  ExchangeId last_id_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CHAIN_SEARCH_H_
