#include "src/gateway/chain_search.h"

#include <utility>

#include "src/gateway/pending_exchange.h"

namespace acaciaspring::gateway {

namespace {

// Time for the other daemons to search and, where the turn is absent, to query the store.
constexpr Duration kSearchTimeout = std::chrono::milliseconds(600);

}  // namespace

void ChainSearch::Find(const ledger::TurnId& turn, OnDone on_done) {
  const ExchangeId id = ++last_id_;
  Search& search = searches_[id];
  search.on_done = std::move(on_done);
  search.timer =
      context_.loop.After(kSearchTimeout, [this, id] { Finish(id, ChainSearchIncomplete{}); });
  SearchLocal(turn, [this, id](ChainReply reply) {
    reply.exchange = id;
    OnReply(reply);
  });
  if (PeerLinks* links = links_(); links != nullptr) {
    for (const DaemonId& peer : links->OpenPeers()) {
      links->Send(peer, ChainQuery{.exchange = id, .turn = turn});
    }
  }
}

void ChainSearch::HandleQuery(const ChainQuery& query, const ReplyFunction& reply) {
  SearchLocal(query.turn, [exchange = query.exchange, reply](ChainReply found) {
    found.exchange = exchange;
    reply(found);
  });
}

void ChainSearch::SearchLocal(const ledger::TurnId& turn, std::function<void(ChainReply)> on_done) {
  const auto partitions = ownership_.ServedPartitions();
  for (const auto& partition : partitions) {
    if (const auto chain = partition->ledger().Chain(turn)) {
      ChainReply reply;
      for (const ledger::Turn* found : *chain) {
        reply.turns.push_back(*found);
      }
      // Posted, so that `on_done` is never called before this function returns.
      context_.loop.Post([on_done, reply = std::move(reply)] { on_done(reply); });
      return;
    }
  }
  struct Pending {
    ChainReply reply;
    std::size_t remaining = 0;
  };
  const auto pending = std::make_shared<Pending>();
  pending->remaining = partitions.size();
  for (const auto& partition : partitions) {
    // A turn that is known without its complete chain does not count as absent.
    const bool absent = !partition->ledger().HasTurn(turn);
    partition->Confirm([pending, on_done, absent, id = partition->id()](bool owned) {
      if (owned && absent) {
        pending->reply.searched.push_back(id);
      }
      if (--pending->remaining == 0) {
        on_done(std::move(pending->reply));
      }
    });
  }
}

void ChainSearch::OnReply(const ChainReply& reply) {
  const auto found = searches_.find(reply.exchange);
  if (found == searches_.end()) {
    return;
  }
  if (!reply.turns.empty()) {
    Finish(reply.exchange, ChainFound{.turns = reply.turns});
    return;
  }
  found->second.searched.insert(reply.searched.begin(), reply.searched.end());
  if (found->second.searched.size() >= context_.options.partition_count) {
    Finish(reply.exchange, ChainNotFound{});
  }
}

void ChainSearch::Finish(ExchangeId id, const ChainSearchResult& result) {
  FinishExchange(searches_, id, result);
}

}  // namespace acaciaspring::gateway
