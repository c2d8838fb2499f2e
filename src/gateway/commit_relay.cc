#include "src/gateway/commit_relay.h"

#include <algorithm>
#include <utility>

#include "src/gateway/pending_exchange.h"
#include "src/gateway/recorder_choice.h"

namespace acaciaspring::gateway {

namespace {

// An append takes 10 ms and a message between zones a few milliseconds; if there is no reply within
// this time, the next recorder is asked.
constexpr Duration kNextRecorderDelay = std::chrono::milliseconds(250);
// The recorder may have other records to append, and the request has to reach it first.
constexpr int kTransferMultiple = 2;

}  // namespace

Duration CommitRelay::NextRecorderDelay(const CommitRequest& request) const {
  return kNextRecorderDelay +
         kTransferMultiple * ledger::TransferTime(EncodedBytes(request.turns),
                                                  context_.options.partition.bytes_per_second);
}

ledger::PartitionId CommitRelay::PartitionFor(const CommitRequest& request) const {
  return ledger::PartitionOf(request.program, context_.options.partition_count);
}

ExchangeId CommitRelay::Commit(CommitRequest request,
                               MonotonicTime deadline,
                               std::function<void(bool)> on_done) {
  const ExchangeId id = ++last_id_;
  request.exchange = id;
  const auto remaining = std::chrono::duration_cast<Duration>(deadline - context_.loop.Now());
  Pending& pending = pending_[id];
  pending.request = std::move(request);
  pending.on_done = std::move(on_done);
  pending.timer =
      context_.loop.After(std::max(remaining, Duration(0)), [this, id] { Finish(id, false); });
  // Posted, because this may be called from a callback of the partition that has just been lost.
  context_.loop.Post([this, id] { Dispatch(id); });
  return id;
}

void CommitRelay::Dispatch(ExchangeId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end() || !found->second.sent_to.empty()) {
    return;
  }
  Pending& pending = found->second;
  if (pending.request.any_partition) {
    DispatchToRecorder(id, pending);
    return;
  }
  const ledger::PartitionId partition = PartitionFor(pending.request);
  if (const auto serving = ownership_.FindServing(partition)) {
    pending.sent_to = context_.options.self.id;
    Record(serving, pending.request, [this](const CommitReply& reply) { OnReply(reply); });
    return;
  }
  const auto owner = ownership_.RemoteOwner(partition);
  PeerLinks* links = links_();
  if (owner && links != nullptr && SendTo(*links, *owner, id)) {
    pending.sent_to = *owner;
  }
}

bool CommitRelay::SendTo(PeerLinks& links, const DaemonId& daemon, ExchangeId id) {
  const CommitRequest& request = pending_.at(id).request;
  const std::size_t bytes = EncodedBytes(request.turns);
  if (bytes <= wire::kMaxWholeMessageBytes) {
    return links.Send(daemon, request);
  }
  const CommitRequest header{.exchange = id};
  return links.Defer(daemon, {.stream = StreamOf(header),
                              .bytes = bytes,
                              .make = [this, daemon, id]() -> std::optional<PeerMessage> {
                                const auto found = pending_.find(id);
                                if (found == pending_.end() || found->second.sent_to != daemon) {
                                  return std::nullopt;
                                }
                                return found->second.request;
                              }});
}

void CommitRelay::DispatchToRecorder(ExchangeId id, Pending& pending) {
  const auto local = ownership_.WritablePartitions();
  PeerLinks* links = links_();
  const auto peers = links == nullptr ? std::vector<DaemonId>() : links->WritablePeers();
  const RecorderChoice choice = ChooseRecorder({.program = pending.request.program,
                                                .attempt = pending.attempt,
                                                .local_partitions = local.size(),
                                                .peers = peers.size()});
  const bool asked =
      std::visit(Overloaded{[&](const LocalRecorder& recorder) {
                              pending.sent_to = context_.options.self.id;
                              Record(local[recorder.index], pending.request,
                                     [this](const CommitReply& reply) { OnReply(reply); });
                              return true;
                            },
                            [&](const PeerRecorder& recorder) {
                              pending.sent_to = peers[recorder.index];
                              return SendTo(*links, pending.sent_to, id);
                            },
                            [](const NoRecorder&) { return false; }},
                 choice);
  if (!asked) {
    return;
  }
  ++pending.attempt;
  pending.next_recorder_timer = context_.loop.After(NextRecorderDelay(pending.request), [this, id] {
    if (const auto found = pending_.find(id); found != pending_.end()) {
      found->second.sent_to = DaemonId();
      Dispatch(id);
    }
  });
}

void CommitRelay::Record(const std::shared_ptr<ledger::Partition>& partition,
                         const CommitRequest& request,
                         std::function<void(const CommitReply&)> on_done) {
  ledger::Record record;
  if (request.reserved_tokens > TokenCount()) {
    record.spend = partition->ledger().ReserveForFormerOwner(
        {.program = request.program, .budget = request.budget, .maximum = request.reserved_tokens},
        context_.loop.Now());
    if (!record.spend) {
      context_.events.Write("reservation_refused",
                            {{"program", request.program.value()},
                             {"partition", static_cast<std::int64_t>(partition->id().value())},
                             {"epoch", static_cast<std::int64_t>(partition->epoch().value())},
                             {"tokens", static_cast<std::int64_t>(request.reserved_tokens.value())},
                             {"budget", static_cast<std::int64_t>(request.budget.value())}});
      on_done({.exchange = request.exchange, .budget_exceeded = true});
      return;
    }
  }
  if (request.used_tokens > TokenCount()) {
    record.spend =
        partition->ledger().AddSpent(request.program, request.used_tokens, context_.loop.Now());
  }
  if (!request.turns.empty()) {
    record.turn = request.turns.back();
  }
  // Appends are acknowledged in order, so the result of the last one covers the earlier ones.
  for (std::size_t i = 0; i + 1 < request.turns.size(); ++i) {
    if (!partition->ledger().HasTurn(request.turns[i].id)) {
      partition->Append({.turn = request.turns[i]}, [](bool) {});
    }
  }
  partition->Append(record,
                    [exchange = request.exchange, on_done = std::move(on_done)](bool durable) {
                      on_done({.exchange = exchange, .durable = durable});
                    });
}

std::shared_ptr<ledger::Partition> CommitRelay::LocalPartitionFor(
    const CommitRequest& request) const {
  if (!request.any_partition) {
    return ownership_.FindServing(PartitionFor(request));
  }
  const auto local = ownership_.WritablePartitions();
  const auto choice =
      ChooseRecorder({.program = request.program, .local_partitions = local.size()});
  const auto* recorder = std::get_if<LocalRecorder>(&choice);
  return recorder == nullptr || request.turns.empty() ? nullptr : local[recorder->index];
}

void CommitRelay::HandleRequest(const CommitRequest& request, const ReplyFunction& reply) {
  const auto partition = LocalPartitionFor(request);
  if (partition == nullptr) {
    reply(CommitReply{.exchange = request.exchange});
    return;
  }
  Record(partition, request, [reply](const CommitReply& result) { reply(result); });
}

void CommitRelay::OnReply(const CommitReply& reply) {
  if (reply.durable || reply.budget_exceeded) {
    Finish(reply.exchange, reply.durable);
    return;
  }
  // The daemon can no longer record the request; it is sent again once another one is known.
  if (const auto found = pending_.find(reply.exchange); found != pending_.end()) {
    found->second.sent_to = DaemonId();
  }
}

void CommitRelay::RetryWaiting() {
  if (pending_.empty()) {
    return;
  }
  // Evaluated once for all requests, because many turns wait during an outage of the whole store.
  const PeerLinks* links = links_();
  const bool can_record = !ownership_.WritablePartitions().empty() ||
                          (links != nullptr && !links->WritablePeers().empty());
  std::vector<ExchangeId> waiting;
  for (const auto& [id, pending] : pending_) {
    if (pending.sent_to.empty() && (can_record || !pending.request.any_partition)) {
      waiting.push_back(id);
    }
  }
  for (const ExchangeId id : waiting) {
    Dispatch(id);
  }
}

void CommitRelay::OnPeerDisconnected(const DaemonId& daemon) {
  // The request may have been recorded nevertheless; recording it twice does no harm.
  for (auto& [id, pending] : pending_) {
    if (pending.sent_to == daemon) {
      pending.sent_to = DaemonId();
    }
  }
}

void CommitRelay::Finish(ExchangeId id, bool durable) {
  FinishExchange(pending_, id, durable);
}

}  // namespace acaciaspring::gateway
