#include "src/gateway/turn_router.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// A turn waits for its partition to get an owner for at most its remaining time divided by this. A
// takeover after a crash takes 1.5 to 2 s.
constexpr int kHoldDivisor = 2;
// The owner gets an earlier deadline, because only it knows whether the turn may have run; its
// response must arrive before the deadline here.
constexpr Duration kOwnerResponseMargin = std::chrono::milliseconds(20);
// Limit for the remembered endpoints of sessions and programs; beyond it, all are forgotten.
constexpr std::size_t kMaxRememberedSessions = 50'000;

/// @brief Sends the response to the daemon that requested the turn.
class PeerResponseSink : public ResponseSink {
 public:
  PeerResponseSink(ExchangeId exchange, ReplyFunction reply)
      : exchange_(exchange), reply_(std::move(reply)) {}
  void Head(int status, const net::Headers& headers) override {
    reply_(TurnHead{
        .exchange = exchange_, .status = static_cast<std::uint16_t>(status), .headers = headers});
  }
  void Data(std::string_view data) override {
    reply_(TurnData{.exchange = exchange_, .data = std::string(data)});
  }
  void End() override { reply_(TurnEnd{.exchange = exchange_}); }
  void Abort(const std::string& reason) override {
    reply_(TurnAborted{.exchange = exchange_, .reason = reason});
  }
  void SendError(const HttpError& error) override {
    reply_(TurnRejected{.exchange = exchange_, .error = error});
  }

 private:
  ExchangeId exchange_;
  ReplyFunction reply_;
};

}  // namespace

TurnRouter::TurnRouter(Context& context, Ownership& ownership, std::function<PeerLinks*()> links)
    : context_(context),
      ownership_(ownership),
      links_(links),
      chain_search_(context, ownership, links),
      commit_relay_(context, ownership, links) {}

ledger::PartitionId TurnRouter::PartitionFor(const TurnRequest& request) const {
  return ledger::PartitionOf(request.program.program, context_.options.partition_count);
}

ExchangeId TurnRouter::Submit(TurnRequest request, ResponseSinkPtr sink) {
  const ExchangeId id = ++last_id_;
  request.exchange = id;
  SubmittedTurn& turn = submitted_[id];
  turn.deadline = context_.loop.Now() + Duration(request.remaining_us);
  turn.request = std::move(request);
  turn.sink = std::move(sink);
  turn.deadline_timer =
      context_.loop.After(Duration(turn.request.remaining_us), [this, id] { OnDeadline(id); });
  Dispatch(id);
  return id;
}

void TurnRouter::Dispatch(ExchangeId id) {
  SubmittedTurn& turn = submitted_.at(id);
  const ledger::PartitionId partition = PartitionFor(turn.request);
  if (auto serving = ownership_.FindServing(partition)) {
    RunLocally(id, std::move(serving));
    return;
  }
  const auto owner = ownership_.RemoteOwner(partition);
  PeerLinks* links = links_();
  if (owner && links != nullptr && SendToOwner(*links, *owner, id)) {
    turn.state = State::kRemote;
    turn.owner = *owner;
    turn.hold_started = false;
    turn.hold_timer.Cancel();
    return;
  }
  HoldForOwner(id);
}

bool TurnRouter::SendToOwner(PeerLinks& links, const DaemonId& owner, ExchangeId id) {
  const auto update = [this](SubmittedTurn& turn) {
    turn.request.remaining_us = std::chrono::duration_cast<Duration>(
                                    turn.deadline - kOwnerResponseMargin - context_.loop.Now())
                                    .count();
  };
  SubmittedTurn& turn = submitted_.at(id);
  update(turn);
  if (turn.request.body.size() <= wire::kMaxWholeMessageBytes) {
    return links.Send(owner, turn.request);
  }
  const TurnRequest header{.exchange = id};
  return links.Defer(owner, {.stream = StreamOf(header),
                             .bytes = turn.request.body.size(),
                             .make = [this, owner, id, update]() -> std::optional<PeerMessage> {
                               SubmittedTurn* const waiting = FindRemote(id, owner);
                               if (waiting == nullptr) {
                                 return std::nullopt;
                               }
                               update(*waiting);
                               return waiting->request;
                             }});
}

void TurnRouter::HoldForOwner(ExchangeId id) {
  SubmittedTurn& turn = submitted_.at(id);
  if (!turn.hold_started) {
    const Duration hold = Duration(turn.request.remaining_us) / kHoldDivisor;
    turn.hold_started = true;
    turn.hold_timer = context_.loop.After(hold, [this, id] {
      FailWith(id, {.status = 503, .reason = "no_owner", .retry_after = kOwnerRetryAfter});
    });
  }
  turn.state = State::kWaiting;
}

void TurnRouter::RunLocally(ExchangeId id, std::shared_ptr<ledger::Partition> partition) {
  SubmittedTurn& turn = submitted_.at(id);
  turn.state = State::kLocal;
  turn.hold_timer.Cancel();
  turn.deadline_timer.Cancel();
  turn.request.remaining_us =
      std::chrono::duration_cast<Duration>(turn.deadline - context_.loop.Now()).count();
  turn.run = MakeRun(std::move(partition), std::move(turn.request), turn.sink,
                     [this, id] { submitted_.erase(id); });
  StartRun(std::shared_ptr<TurnRun>(turn.run));
}

std::shared_ptr<TurnRun> TurnRouter::MakeRun(std::shared_ptr<ledger::Partition> partition,
                                             TurnRequest request,
                                             ResponseSinkPtr sink,
                                             std::function<void()> on_ended) {
  const auto key = std::make_shared<std::weak_ptr<TurnRun>>();
  auto run = std::make_shared<TurnRun>(context_, std::move(partition), std::move(request),
                                       MakeDependencies(), std::move(sink),
                                       [this, key, on_ended = std::move(on_ended)] {
                                         // Keeps the run alive until its current callback returns.
                                         context_.loop.Post([run = key->lock()] {});
                                         runs_.erase(key->lock());
                                         on_ended();
                                       });
  *key = run;
  return run;
}

void TurnRouter::StartRun(const std::shared_ptr<TurnRun>& run) {
  runs_.insert(run);
  run->Start();
}

TurnDependencies TurnRouter::MakeDependencies() {
  return {
      .find_chain =
          [this](const ledger::TurnId& turn, MonotonicTime deadline,
                 std::function<void(ChainSearchResult)> on_done) {
            chain_search_.Find(turn, deadline, std::move(on_done));
          },
      .preferred_endpoint =
          [this](const ProgramContext& program) {
            // Requests without a session must not share one endpoint.
            auto found = program.session.value().empty()
                             ? last_endpoint_.end()
                             : last_endpoint_.find(program.session.value());
            if (found == last_endpoint_.end()) {
              found = last_endpoint_.find(program.program.value());
            }
            return found == last_endpoint_.end() ? EndpointId() : found->second;
          },
      .remember_endpoint =
          [this](const ProgramContext& program, const EndpointId& endpoint) {
            if (last_endpoint_.size() > kMaxRememberedSessions) {
              last_endpoint_.clear();
            }
            last_endpoint_[program.session.value()] = endpoint;
            last_endpoint_[program.program.value()] = endpoint;
          },
      .commit_at_next_owner =
          [this](CommitRequest request, MonotonicTime deadline, std::function<void(bool)> on_done) {
            commit_relay_.Commit(std::move(request), deadline, std::move(on_done));
          },
      .record_in_any_partition =
          [this](CommitRequest request, MonotonicTime deadline, std::function<void(bool)> on_done) {
            const ExchangeId id =
                commit_relay_.Commit(std::move(request), deadline, std::move(on_done));
            return [this, id] { commit_relay_.Cancel(id); };
          }};
}

void TurnRouter::RetryWaitingTurns() {
  commit_relay_.RetryWaiting();
  std::vector<ExchangeId> waiting;
  for (const auto& [id, turn] : submitted_) {
    if (turn.state == State::kWaiting) {
      waiting.push_back(id);
    }
  }
  for (const ExchangeId id : waiting) {
    if (submitted_.contains(id)) {
      Dispatch(id);
    }
  }
}

void TurnRouter::FailWith(ExchangeId id, const HttpError& error) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end()) {
    return;
  }
  const ResponseSinkPtr sink = found->second.sink;
  const bool response_started = found->second.response_started;
  submitted_.erase(found);
  Fail(*sink, response_started, error);
}

void TurnRouter::OnDeadline(ExchangeId id) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end() || found->second.state == State::kLocal) {
    return;
  }
  if (found->second.state == State::kWaiting) {
    FailWith(id, MakeHttpError(NotRun{.reason = NotRunReason::kDeadlineExceeded}));
    return;
  }
  if (PeerLinks* links = links_(); links != nullptr) {
    links->Send(found->second.owner, TurnCancelled{.exchange = id});
  }
  FailWith(id, MakeHttpError(Unknown{.reason = UnknownReason::kTimeout}));
}

void TurnRouter::Cancel(ExchangeId id) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end()) {
    return;
  }
  const std::shared_ptr<TurnRun> run = found->second.run;
  if (run != nullptr) {
    run->Cancel();
    return;
  }
  if (PeerLinks* links = links_(); found->second.state == State::kRemote && links != nullptr) {
    links->Send(found->second.owner, TurnCancelled{.exchange = id});
  }
  submitted_.erase(id);
}

TurnRouter::SubmittedTurn* TurnRouter::FindRemote(ExchangeId id, const DaemonId& owner) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end() || found->second.state != State::kRemote ||
      found->second.owner != owner) {
    return nullptr;
  }
  return &found->second;
}

void TurnRouter::OnMessage(const DaemonId& daemon,
                           PeerMessage message,
                           const ReplyFunction& reply) {
  std::visit(
      Overloaded{[](PeerHello&) {},
                 [](PeerStatus&) {},
                 [](PeerLoad&) {},
                 [](PeerDemand&) {},
                 [](PeerRateLimits&) {},
                 [](PeerCrashReports&) {},
                 [](PeerSeenEndpoints&) {},
                 [](ConfigurationQuery&) {},
                 [](ConfigurationReply&) {},
                 [](PeerPermitRequest&) {},
                 [](PeerPermitGrant&) {},
                 [&](TurnRequest& request) { OnTurnRequest(daemon, std::move(request), reply); },
                 [&](TurnHead& head) { OnTurnHead(daemon, head); },
                 [&](TurnData& data) { OnTurnData(daemon, data); },
                 [&](TurnEnd& end) { OnTurnEnd(daemon, end); },
                 [&](TurnAborted& aborted) {
                   if (FindRemote(aborted.exchange, daemon) != nullptr) {
                     FailWith(aborted.exchange, {.status = 502, .reason = aborted.reason});
                   }
                 },
                 [&](TurnRejected& rejected) { OnTurnRejected(daemon, rejected); },
                 [&](TurnCancelled& cancelled) {
                   const auto found =
                       peer_turns_.find({.requester = daemon, .exchange = cancelled.exchange});
                   if (found != peer_turns_.end()) {
                     if (const auto run = found->second.lock()) {
                       run->Cancel();
                     }
                   }
                 },
                 [&](ChainQuery& query) { chain_search_.HandleQuery(query, reply); },
                 [&](ChainReply& found) { chain_search_.OnReply(daemon, std::move(found)); },
                 [&](ChainFetch& fetch) { chain_search_.HandleFetch(fetch, reply); },
                 [&](CommitRequest& commit) { commit_relay_.HandleRequest(commit, reply); },
                 [&](CommitReply& result) { commit_relay_.OnReply(result); }},
      message);
}

void TurnRouter::BreakOff(ExchangeId id, std::string_view fault) {
  const SubmittedTurn& turn = submitted_.at(id);
  context_.events.Write("invalid_peer_response", {{"id", turn.request.id.value()},
                                                  {"peer", turn.owner.value()},
                                                  {"fault", std::string(fault)}});
  if (PeerLinks* links = links_(); links != nullptr) {
    links->Send(turn.owner, TurnCancelled{.exchange = id});
  }
  FailWith(id, MakeHttpError(Unknown{.reason = UnknownReason::kConnectionLost}));
}

void TurnRouter::OnTurnHead(const DaemonId& daemon, const TurnHead& head) {
  SubmittedTurn* turn = FindRemote(head.exchange, daemon);
  if (turn == nullptr) {
    return;
  }
  if (turn->response_started) {
    BreakOff(head.exchange, "second_head");
    return;
  }
  // A daemon of an older version may pass on more than this one accepts from an endpoint.
  if (!net::IsResponseHead(head.status, head.headers)) {
    BreakOff(head.exchange, "invalid_head");
    return;
  }
  turn->response_started = true;
  turn->sink->Head(head.status, head.headers);
}

void TurnRouter::OnTurnData(const DaemonId& daemon, const TurnData& data) {
  SubmittedTurn* turn = FindRemote(data.exchange, daemon);
  if (turn == nullptr) {
    return;
  }
  // Malformed messages are dropped, so the head may be missing.
  if (!turn->response_started) {
    BreakOff(data.exchange, "data_before_head");
    return;
  }
  turn->sink->Data(data.data);
}

void TurnRouter::OnTurnEnd(const DaemonId& daemon, const TurnEnd& end) {
  SubmittedTurn* turn = FindRemote(end.exchange, daemon);
  if (turn == nullptr) {
    return;
  }
  if (!turn->response_started) {
    BreakOff(end.exchange, "end_before_head");
    return;
  }
  const ResponseSinkPtr sink = turn->sink;
  submitted_.erase(end.exchange);
  sink->End();
}

void TurnRouter::OnTurnRejected(const DaemonId& daemon, const TurnRejected& rejected) {
  SubmittedTurn* turn = FindRemote(rejected.exchange, daemon);
  if (turn == nullptr) {
    return;
  }
  if (rejected.not_owner && !turn->response_started) {
    ownership_.ForgetDaemon(daemon);
    turn->state = State::kWaiting;
    Dispatch(rejected.exchange);
    return;
  }
  constexpr int kFirstErrorStatus = 400;
  if (rejected.error.status < kFirstErrorStatus ||
      !net::IsResponseHead(rejected.error.status, {})) {
    BreakOff(rejected.exchange, "invalid_error");
    return;
  }
  FailWith(rejected.exchange, rejected.error);
}

void TurnRouter::OnTurnRequest(const DaemonId& daemon,
                               TurnRequest request,
                               const ReplyFunction& reply) {
  const auto partition = ownership_.FindServing(PartitionFor(request));
  if (partition == nullptr) {
    reply(TurnRejected{.exchange = request.exchange, .not_owner = true});
    return;
  }
  if (!context_.buffers.AcceptRequest()) {
    reply(TurnRejected{.exchange = request.exchange, .error = MakeMemoryError()});
    return;
  }
  const PeerTurnKey key{.requester = daemon, .exchange = request.exchange};
  const auto sink = std::make_shared<PeerResponseSink>(request.exchange, reply);
  const auto run =
      MakeRun(partition, std::move(request), sink, [this, key] { peer_turns_.erase(key); });
  peer_turns_[key] = run;
  StartRun(run);
}

void TurnRouter::OnPeerDisconnected(const DaemonId& daemon) {
  commit_relay_.OnPeerDisconnected(daemon);
  chain_search_.OnPeerDisconnected(daemon);
  std::vector<ExchangeId> failed;
  for (const auto& [id, turn] : submitted_) {
    if (turn.state == State::kRemote && turn.owner == daemon) {
      failed.push_back(id);
    }
  }
  for (const ExchangeId id : failed) {
    FailWith(id, MakeHttpError(Unknown{.reason = UnknownReason::kOwnerChanged}));
  }
}

void TurnRouter::OnRequesterDisconnected(const DaemonId& daemon) {
  std::vector<std::shared_ptr<TurnRun>> abandoned;
  for (const auto& [key, run] : peer_turns_) {
    if (key.requester == daemon) {
      abandoned.push_back(run.lock());
    }
  }
  for (const auto& run : abandoned) {
    if (run != nullptr) {
      run->Cancel();
    }
  }
}

}  // namespace acaciaspring::gateway
