#include "src/gateway/chain_search.h"

#include <algorithm>
#include <utility>

#include "src/gateway/pending_exchange.h"

namespace acaciaspring::gateway {

namespace {

// Time for the other daemons to search and, where the turn is absent, to query the store. A chain
// that has been announced by then may take longer.
constexpr Duration kSearchTimeout = std::chrono::milliseconds(600);

}  // namespace

void ChainSearch::Find(const ledger::TurnId& turn, MonotonicTime deadline, OnDone on_done) {
  const ExchangeId id = ++last_id_;
  Search& search = searches_[id];
  search.turn = turn;
  search.on_done = std::move(on_done);
  search.started_at = context_.loop.Now();
  search.deadline = deadline;
  search.timer =
      context_.loop.After(kSearchTimeout, [this, id] { FinishIncomplete(id, "no_reply"); });
  if (PeerLinks* links = links_(); links != nullptr) {
    for (const DaemonId& peer : links->OpenPeers()) {
      if (links->Send(peer, ChainQuery{.exchange = id, .turn = turn})) {
        search.awaited.insert(peer);
      }
    }
  }
  SearchLocal(turn, [this, id](ChainReply reply) {
    reply.exchange = id;
    OnReply(context_.options.self.id, std::move(reply));
  });
}

void ChainSearch::HandleQuery(const ChainQuery& query, const ReplyFunction& reply) {
  if (const auto chain = LocalChain(query.turn)) {
    const std::size_t bytes = EncodedBytes(*chain);
    if (bytes > wire::kMaxWholeMessageBytes) {
      reply(ChainReply{.exchange = query.exchange, .chain_bytes = bytes});
      return;
    }
  }
  SearchLocal(query.turn, [exchange = query.exchange, reply](ChainReply found) {
    found.exchange = exchange;
    reply(found);
  });
}

void ChainSearch::HandleFetch(const ChainFetch& fetch, const ReplyFunction& reply) {
  const auto chain = LocalChain(fetch.turn);
  const std::size_t bytes = chain ? EncodedBytes(*chain) : 0;
  if (!chain || bytes > wire::kMaxMessageBytes) {
    reply(ChainReply{.exchange = fetch.exchange,
                     .fault = chain ? "chain_too_large" : "partition_released"});
    return;
  }
  // The chain stays in the ledger until it can be sent, and is copied only then.
  const ChainReply header{.exchange = fetch.exchange};
  reply.Defer({.stream = StreamOf(header),
               .bytes = bytes,
               .make = [this, fetch]() -> std::optional<PeerMessage> {
                 ChainReply found{.exchange = fetch.exchange};
                 if (const auto turns = LocalChain(fetch.turn)) {
                   for (const ledger::Turn* turn : *turns) {
                     found.turns.push_back(*turn);
                   }
                 } else {
                   found.fault = "partition_released";
                 }
                 return found;
               }});
}

std::optional<std::vector<const ledger::Turn*>> ChainSearch::LocalChain(
    const ledger::TurnId& turn) const {
  for (const auto& partition : ownership_.ServedPartitions()) {
    if (auto chain = partition->ledger().Chain(turn)) {
      return chain;
    }
  }
  return std::nullopt;
}

void ChainSearch::SearchLocal(const ledger::TurnId& turn, std::function<void(ChainReply)> on_done) {
  if (const auto chain = LocalChain(turn)) {
    ChainReply reply;
    for (const ledger::Turn* found : *chain) {
      reply.turns.push_back(*found);
    }
    // Posted, so that `on_done` is never called before this function returns.
    context_.loop.Post(
        [on_done, reply = std::move(reply)]() mutable { on_done(std::move(reply)); });
    return;
  }
  struct Pending {
    ChainReply reply;
    std::size_t remaining = 0;
  };
  const auto partitions = ownership_.ServedPartitions();
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

void ChainSearch::OnReply(const DaemonId& daemon, ChainReply reply) {
  const auto found = searches_.find(reply.exchange);
  if (found == searches_.end()) {
    return;
  }
  Search& search = found->second;
  search.awaited.erase(daemon);
  if (!reply.turns.empty()) {
    Finish(reply.exchange, ChainFound{.turns = std::move(reply.turns)});
    return;
  }
  if (reply.chain_bytes > 0) {
    search.sources.push_back(daemon);
    search.chain_bytes = reply.chain_bytes;
    if (search.source.empty()) {
      FetchFromNext(reply.exchange);
    }
    return;
  }
  if (daemon == search.source) {
    OnSourceFailed(reply.exchange, reply.fault.empty() ? "no_chain" : std::move(reply.fault));
    return;
  }
  search.searched.insert(reply.searched.begin(), reply.searched.end());
  if (search.searched.size() >= context_.options.partition_count) {
    Finish(reply.exchange, ChainNotFound{});
    return;
  }
  FinishIfExhausted(reply.exchange);
}

void ChainSearch::FetchFromNext(ExchangeId id) {
  Search& search = searches_.at(id);
  PeerLinks* links = links_();
  while (!search.sources.empty()) {
    search.source = search.sources.front();
    search.sources.pop_front();
    if (links != nullptr &&
        links->Send(search.source, ChainFetch{.exchange = id, .turn = search.turn})) {
      search.timer = context_.loop.After(
          std::max(std::chrono::duration_cast<Duration>(search.deadline - context_.loop.Now()),
                   Duration(0)),
          [this, id] { FinishIncomplete(id, "transfer_timeout"); });
      return;
    }
    search.fault = "source_lost";
  }
  search.source = DaemonId();
  search.timer =
      context_.loop.After(std::max(std::chrono::duration_cast<Duration>(
                                       search.started_at + kSearchTimeout - context_.loop.Now()),
                                   Duration(0)),
                          [this, id] { FinishIncomplete(id, "no_reply"); });
  FinishIfExhausted(id);
}

void ChainSearch::FinishIfExhausted(ExchangeId id) {
  const Search& search = searches_.at(id);
  if (!search.fault.empty() && search.source.empty() && search.awaited.empty()) {
    FinishIncomplete(id, std::string(search.fault));
  }
}

void ChainSearch::OnSourceFailed(ExchangeId id, std::string fault) {
  Search& search = searches_.at(id);
  context_.events.Write(
      "chain_source_failed",
      {{"turn", search.turn.value()}, {"peer", search.source.value()}, {"fault", fault}});
  search.fault = std::move(fault);
  FetchFromNext(id);
}

void ChainSearch::OnPeerDisconnected(const DaemonId& daemon) {
  std::vector<ExchangeId> affected;
  for (auto& [id, search] : searches_) {
    std::erase(search.sources, daemon);
    search.awaited.erase(daemon);
    affected.push_back(id);
  }
  for (const ExchangeId id : affected) {
    const auto found = searches_.find(id);
    if (found == searches_.end()) {
      continue;
    }
    if (found->second.source == daemon) {
      OnSourceFailed(id, "source_lost");
    } else {
      FinishIfExhausted(id);
    }
  }
}

void ChainSearch::FinishIncomplete(ExchangeId id, const std::string& reason) {
  const auto found = searches_.find(id);
  if (found == searches_.end()) {
    return;
  }
  const Search& search = found->second;
  context_.events.Write(
      "chain_search_incomplete",
      {{"turn", search.turn.value()},
       {"reason", reason},
       {"source", search.source.value()},
       {"chain_bytes", static_cast<std::int64_t>(search.chain_bytes)},
       {"searched_partitions", static_cast<std::int64_t>(search.searched.size())},
       {"partitions", static_cast<std::int64_t>(context_.options.partition_count)},
       {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(context_.loop.Now() -
                                                                         search.started_at)
                       .count()}});
  Finish(id, ChainSearchIncomplete{});
}

void ChainSearch::Finish(ExchangeId id, ChainSearchResult result) {
  FinishExchange(searches_, id, std::move(result));
}

}  // namespace acaciaspring::gateway
