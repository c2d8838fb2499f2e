#include "src/gateway/turn_router.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Longest wait for a partition to get an owner, as a share of the caller's deadline. A takeover
// after a crash takes 1.5 to 2 s.
constexpr int kHoldShare = 2;
// The owner's answer, which knows whether the turn may have run, arrives before the deadline here.
constexpr Duration kOwnerMargin = std::chrono::milliseconds(20);
// Sessions whose last endpoint is remembered; beyond it all are forgotten.
constexpr std::size_t kMaxRememberedSessions = 50'000;

/// @brief Sends the answer to the daemon that asked for the turn.
class PeerSink : public AnswerSink {
 public:
  PeerSink(ExchangeId exchange, PeerReply reply) : exchange_(exchange), reply_(std::move(reply)) {}
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
  void Refuse(const Refusal& refusal) override {
    reply_(TurnRefused{.exchange = exchange_, .refusal = refusal});
  }

 private:
  ExchangeId exchange_;
  PeerReply reply_;
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

ExchangeId TurnRouter::Submit(TurnRequest request, AnswerSinkPtr sink) {
  const ExchangeId id = ++last_id_;
  request.exchange = id;
  Submitted& turn = submitted_[id];
  turn.deadline = context_.loop.Now() + Duration(request.left_us);
  turn.request = std::move(request);
  turn.sink = std::move(sink);
  turn.deadline_timer =
      context_.loop.After(Duration(turn.request.left_us), [this, id] { OnDeadline(id); });
  Dispatch(id);
  return id;
}

void TurnRouter::Dispatch(ExchangeId id) {
  Submitted& turn = submitted_.at(id);
  const ledger::PartitionId partition = PartitionFor(turn.request);
  if (auto serving = ownership_.Serving(partition)) {
    RunHere(id, std::move(serving));
    return;
  }
  const auto owner = ownership_.RemoteOwner(partition);
  PeerLinks* links = links_();
  if (owner && links != nullptr) {
    turn.request.left_us =
        std::chrono::duration_cast<Duration>(turn.deadline - kOwnerMargin - context_.loop.Now())
            .count();
    if (links->Send(*owner, turn.request)) {
      turn.state = State::kRemote;
      turn.owner = *owner;
      turn.held = false;
      turn.hold_timer.Cancel();
      return;
    }
  }
  HoldFor(id);
}

void TurnRouter::HoldFor(ExchangeId id) {
  Submitted& turn = submitted_.at(id);
  if (!turn.held) {
    const Duration hold = Duration(turn.request.left_us) / kHoldShare;
    turn.held = true;
    turn.hold_timer = context_.loop.After(hold, [this, id] {
      EndWith(id, {.status = 503, .reason = "no_owner", .retry_after = kOwnerRetryAfter});
    });
  }
  turn.state = State::kWaiting;
}

void TurnRouter::RunHere(ExchangeId id, std::shared_ptr<ledger::Partition> partition) {
  Submitted& turn = submitted_.at(id);
  turn.state = State::kLocal;
  turn.hold_timer.Cancel();
  turn.deadline_timer.Cancel();
  turn.request.left_us =
      std::chrono::duration_cast<Duration>(turn.deadline - context_.loop.Now()).count();
  turn.run = MakeRun(std::move(partition), std::move(turn.request), turn.sink,
                     [this, id] { submitted_.erase(id); });
  StartRun(std::shared_ptr<TurnRun>(turn.run));
}

std::shared_ptr<TurnRun> TurnRouter::MakeRun(std::shared_ptr<ledger::Partition> partition,
                                             TurnRequest request,
                                             AnswerSinkPtr sink,
                                             std::function<void()> on_ended) {
  const auto key = std::make_shared<std::weak_ptr<TurnRun>>();
  auto run =
      std::make_shared<TurnRun>(context_, std::move(partition), std::move(request), MakeServices(),
                                std::move(sink), [this, key, on_ended = std::move(on_ended)] {
                                  // The run is still executing its last call.
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

TurnServices TurnRouter::MakeServices() {
  return {
      .find_chain =
          [this](const ledger::TurnId& turn,
                 std::function<void(const ChainSearchResult&)> on_done) {
            chain_search_.Find(turn, std::move(on_done));
          },
      .preferred_endpoint =
          [this](const ProgramContext& program) {
            auto found = last_endpoint_.find(program.session.value());
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
      .commit_elsewhere =
          [this](CommitRequest request, MonotonicTime deadline, std::function<void(bool)> on_done) {
            commit_relay_.Commit(std::move(request), deadline, std::move(on_done));
          },
      .record_anywhere =
          [this](CommitRequest request, MonotonicTime deadline, std::function<void(bool)> on_done) {
            const ExchangeId id =
                commit_relay_.Commit(std::move(request), deadline, std::move(on_done));
            return [this, id] { commit_relay_.Cancel(id); };
          }};
}

void TurnRouter::Retry() {
  commit_relay_.Retry();
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

void TurnRouter::EndWith(ExchangeId id, const Refusal& refusal) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end()) {
    return;
  }
  const AnswerSinkPtr sink = found->second.sink;
  const bool begun = found->second.begun;
  submitted_.erase(found);
  Fail(*sink, begun, refusal);
}

void TurnRouter::OnDeadline(ExchangeId id) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end() || found->second.state == State::kLocal) {
    return;
  }
  if (found->second.state == State::kWaiting) {
    EndWith(id, RefusalFor(NotRun{.reason = NotRunReason::kDeadlineExceeded}));
    return;
  }
  if (PeerLinks* links = links_(); links != nullptr) {
    links->Send(found->second.owner, TurnCancelled{.exchange = id});
  }
  EndWith(id, RefusalFor(Unknown{.reason = UnknownReason::kTimeout}));
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

TurnRouter::Submitted* TurnRouter::Find(ExchangeId id, const DaemonId& owner) {
  const auto found = submitted_.find(id);
  if (found == submitted_.end() || found->second.state != State::kRemote ||
      found->second.owner != owner) {
    return nullptr;
  }
  return &found->second;
}

void TurnRouter::OnMessage(const DaemonId& daemon, PeerMessage message, const PeerReply& reply) {
  std::visit(Overloaded{[](PeerHello&) {}, [](PeerStatus&) {},
                        [&](TurnRequest& request) { OnAsked(daemon, std::move(request), reply); },
                        [&](TurnHead& head) {
                          if (Submitted* turn = Find(head.exchange, daemon)) {
                            turn->begun = true;
                            turn->sink->Head(head.status, head.headers);
                          }
                        },
                        [&](TurnData& data) {
                          if (Submitted* turn = Find(data.exchange, daemon)) {
                            turn->sink->Data(data.data);
                          }
                        },
                        [&](TurnEnd& end) {
                          if (Submitted* turn = Find(end.exchange, daemon)) {
                            const AnswerSinkPtr sink = turn->sink;
                            submitted_.erase(end.exchange);
                            sink->End();
                          }
                        },
                        [&](TurnAborted& aborted) {
                          if (Find(aborted.exchange, daemon) != nullptr) {
                            EndWith(aborted.exchange, {.status = 502, .reason = aborted.reason});
                          }
                        },
                        [&](TurnRefused& refused) {
                          Submitted* turn = Find(refused.exchange, daemon);
                          if (turn == nullptr) {
                            return;
                          }
                          if (refused.not_owner && !turn->begun) {
                            ownership_.ForgetDaemon(daemon);
                            turn->state = State::kWaiting;
                            Dispatch(refused.exchange);
                            return;
                          }
                          EndWith(refused.exchange, refused.refusal);
                        },
                        [&](TurnCancelled& cancelled) {
                          const auto found =
                              asked_.find({.asker = daemon, .exchange = cancelled.exchange});
                          if (found != asked_.end()) {
                            if (const auto run = found->second.lock()) {
                              run->Cancel();
                            }
                          }
                        },
                        [&](ChainQuery& query) { chain_search_.Answer(query, reply); },
                        [&](ChainReply& found) { chain_search_.OnReply(found); },
                        [&](CommitRequest& commit) { commit_relay_.Answer(commit, reply); },
                        [&](CommitReply& answer) { commit_relay_.OnReply(answer); }},
             message);
}

void TurnRouter::OnAsked(const DaemonId& daemon, TurnRequest request, const PeerReply& reply) {
  const auto partition = ownership_.Serving(PartitionFor(request));
  if (partition == nullptr) {
    reply(TurnRefused{.exchange = request.exchange, .not_owner = true});
    return;
  }
  const AskedTurn key{.asker = daemon, .exchange = request.exchange};
  const auto sink = std::make_shared<PeerSink>(request.exchange, reply);
  const auto run = MakeRun(partition, std::move(request), sink, [this, key] { asked_.erase(key); });
  asked_[key] = run;
  StartRun(run);
}

void TurnRouter::OnPeerLost(const DaemonId& daemon) {
  commit_relay_.OnPeerLost(daemon);
  std::vector<ExchangeId> lost;
  for (const auto& [id, turn] : submitted_) {
    if (turn.state == State::kRemote && turn.owner == daemon) {
      lost.push_back(id);
    }
  }
  for (const ExchangeId id : lost) {
    EndWith(id, RefusalFor(Unknown{.reason = UnknownReason::kOwnerChanged}));
  }
}

void TurnRouter::OnAskerLost(const DaemonId& daemon) {
  std::vector<std::shared_ptr<TurnRun>> orphans;
  for (const auto& [key, run] : asked_) {
    if (key.asker == daemon) {
      orphans.push_back(run.lock());
    }
  }
  for (const auto& run : orphans) {
    if (run != nullptr) {
      run->Cancel();
    }
  }
}

}  // namespace acaciaspring::gateway
