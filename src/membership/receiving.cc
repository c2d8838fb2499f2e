#include <algorithm>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

constexpr std::size_t kForwardFanout = 2;
// Answers to syncs in one period. The minimum is granted without budget, because a seed uses that
// up for its acknowledgements when all daemons start at once.
constexpr std::size_t kMaxSyncAnswers = 2;
constexpr std::size_t kMinSyncAnswers = 1;
constexpr std::size_t kMaxRelays = 64;
// More than fit into one datagram.
constexpr std::size_t kMaxSyncUpdates = 40;
constexpr int kQuietPeriods = 10;

/// @brief True if the update states the liveness that the table already holds.
bool IsCurrent(const Update& update, const Entry& entry) {
  if (update.incarnation != entry.member.incarnation) {
    return false;
  }
  const bool same = (update.Is(UpdateKind::kAlive) && entry.liveness == Liveness::kAlive) ||
                    (update.Is(UpdateKind::kSuspect) && entry.liveness == Liveness::kSuspect) ||
                    (update.Is(UpdateKind::kDead) && entry.liveness == Liveness::kDead);
  return same && update.refutation == entry.member.refutation;
}

}  // namespace

void Members::Impl::Receive(MonotonicTime now,
                            const net::Address& from,
                            std::string_view payload,
                            Datagrams& out) {
  const std::optional<Envelope> envelope = DecodeEnvelope(payload);
  if (!envelope.has_value()) {
    ++counters.malformed;
    return;
  }
  if (!Admit(*envelope, from, out)) {
    return;
  }
  const bool sync = std::holds_alternative<SyncAnswer>(envelope->body);
  const bool introduction = sync || std::holds_alternative<Push>(envelope->body);
  const std::size_t known_before = table.entries().size();
  for (const Update& update : envelope->updates) {
    TakeUpdate(update, introduction, now, out);
  }
  if (sync) {
    learning = learning && table.entries().size() > known_before;
  }
  TakeSenderState(*envelope, now, out);
  const Entry* sender = table.Find(envelope->sender);
  const bool known = sender != nullptr && sender->member.incarnation == envelope->incarnation;
  if (!known && !std::holds_alternative<ProfileRequest>(envelope->body)) {
    Send(from, ProfileRequest{}, {}, out);
  }
  TakeBody(*envelope, from, now, out);
  if (known) {
    MaybeSync(*envelope, from, now, out);
  }
}

bool Members::Impl::Admit(const Envelope& envelope, const net::Address& from, Datagrams& out) {
  if (envelope.sender == options.self) {
    superseded = superseded || envelope.incarnation > options.incarnation;
    return false;
  }
  Entry* sender = table.Find(envelope.sender);
  if (sender == nullptr || envelope.incarnation > sender->member.incarnation) {
    return true;
  }
  if (envelope.incarnation < sender->member.incarnation) {
    if (std::holds_alternative<Probe>(envelope.body)) {
      // Tells an earlier run, which may have been paused, that it has been replaced.
      Send(from, Push{}, {MemberTable::Describe(*sender, UpdateKind::kAlive)}, out);
    }
    return false;
  }
  if (!sender->replay.Accept(envelope.counter)) {
    ++counters.replayed;
    return false;
  }
  return true;
}

void Members::Impl::TakeSenderState(const Envelope& envelope, MonotonicTime now, Datagrams& out) {
  Entry* sender = table.Find(envelope.sender);
  if (sender == nullptr || sender->member.incarnation != envelope.incarnation) {
    return;
  }
  // Repeats the check of Admit for a run that the updates of this datagram introduced.
  sender->replay.Accept(envelope.counter);
  Change change = table.ApplyStatus(*sender, envelope.status);
  if (envelope.refutation > sender->member.refutation) {
    change.liveness = true;
    change.joined = sender->liveness == Liveness::kDead;
    table.Revive(*sender, envelope.refutation, now);
  }
  Spread(envelope.sender, change);
  if (change.left) {
    SpreadAtOnce(*sender, kForwardFanout, out);
  }
}

void Members::Impl::TakeUpdate(const Update& update,
                               bool introduction,
                               MonotonicTime now,
                               Datagrams& out) {
  if (update.id == options.self) {
    TakeUpdateAboutSelf(update);
    return;
  }
  const bool was_known = table.Find(update.id) != nullptr;
  Change change = table.Apply(update, now);
  const Entry* entry = table.Find(update.id);
  if (entry != nullptr && !update.Is(UpdateKind::kStatus) && !change.liveness && !change.flags &&
      !change.revision && IsCurrent(update, *entry)) {
    gossip.Heard(update.id, NewsKind::kLiveness, table.living_peers() + 1);
  }
  if (!was_known && introduction && change.joined) {
    // A daemon that has just started learns about everybody; the others know each other already.
    JoinRound(update.id);
    return;
  }
  Spread(update.id, change);
  if (change.left) {
    SpreadAtOnce(*table.Find(update.id), kForwardFanout, out);
  }
}

void Members::Impl::TakeUpdateAboutSelf(const Update& update) {
  if (update.incarnation > options.incarnation) {
    superseded = true;
    return;
  }
  Entry& self = table.self();
  const bool accused_now = update.Is(UpdateKind::kSuspect) || update.Is(UpdateKind::kDead);
  if (update.incarnation < options.incarnation) {
    // The sender has not heard of this run.
    gossip.Push(options.self, NewsKind::kLiveness);
  } else if (accused_now && update.refutation >= self.member.refutation) {
    self.member.refutation = update.refutation + 1;
    table.Refresh(self);
    ++counters.refutations;
    gossip.Push(options.self, NewsKind::kLiveness);
  }
}

void Members::Impl::TakeBody(const Envelope& envelope,
                             const net::Address& from,
                             MonotonicTime now,
                             Datagrams& out) {
  std::visit(Overloaded{
                 [&](const Probe& probe) {
                   if (!probe.target.empty() && probe.target != options.self) {
                     return;
                   }
                   std::vector<Update> about;
                   const Entry* sender = table.Find(envelope.sender);
                   if (sender != nullptr && sender->liveness != Liveness::kAlive) {
                     about.push_back(MemberTable::Describe(
                         *sender, sender->liveness == Liveness::kDead ? UpdateKind::kDead
                                                                      : UpdateKind::kSuspect));
                   }
                   Send(from, Ack{probe.sequence}, about, out);
                 },
                 [&](const ProbeRequest& request) {
                   if (relays.size() < kMaxRelays) {
                     const std::uint64_t sequence = next_sequence++;
                     relays[sequence] = Relay{from, request.sequence, now + options.probe_period};
                     Send(Unpack(request.address), Probe{sequence, request.target}, {}, out);
                   }
                 },
                 [&](const Ack& ack) { TakeAck(ack, out); },
                 [&](const SyncRequest& request) { AnswerSync(request, from, out); },
                 [](const Push&) {},
                 [](const SyncAnswer&) {},
                 [&](const ProfileRequest&) { Send(from, Push{}, {DescribeSelf()}, out); },
             },
             envelope.body);
}

void Members::Impl::TakeAck(const Ack& ack, Datagrams& out) {
  probes.erase(ack.sequence);
  const auto relay = relays.find(ack.sequence);
  if (relay != relays.end()) {
    Send(relay->second.requester, Ack{relay->second.sequence}, {}, out);
    relays.erase(relay);
  }
}

void Members::Impl::MaybeSync(const Envelope& envelope,
                              const net::Address& from,
                              MonotonicTime now,
                              Datagrams& out) {
  const bool exchange =
      std::holds_alternative<Probe>(envelope.body) || std::holds_alternative<Ack>(envelope.body);
  if (!exchange) {
    return;
  }
  if (envelope.digest == table.digest()) {
    learning = false;
    return;
  }
  // News that is still spreading explains a difference, and a sender that knows fewer members has
  // probably just started and has little to tell: both are worth a sync only after a while. A
  // daemon that has just started itself goes on as long as it learns of new members, whatever the
  // budget.
  const bool wait = gossip.HasDigestNews() || envelope.living < table.living_peers() + 1;
  const bool quiet = now >= last_sync + options.probe_period * kQuietPeriods;
  if (now < next_sync || (!learning && (budget < 0 || (wait && !quiet)))) {
    return;
  }
  next_sync = now + options.probe_period;
  last_sync = now;
  ++counters.syncs;
  SyncRequest request;
  std::transform(table.buckets().begin(), table.buckets().end(), request.digests.begin(),
                 [](std::uint64_t bucket) { return static_cast<std::uint32_t>(bucket); });
  Send(from, request, {}, out);
}

void Members::Impl::AnswerSync(const SyncRequest& request,
                               const net::Address& from,
                               Datagrams& out) {
  if (sync_answers >= (budget < 0 ? kMinSyncAnswers : kMaxSyncAnswers)) {
    return;
  }
  ++sync_answers;
  // One datagram does not hold all members; a random first bucket gives each its turn.
  const std::size_t first = random() % kDigestBuckets;
  std::vector<std::pair<std::size_t, const Entry*>> differing;
  for (const auto& [id, entry] : table.entries()) {
    const std::size_t bucket = MemberTable::BucketOf(id);
    if (request.digests[bucket] != static_cast<std::uint32_t>(table.buckets()[bucket])) {
      differing.emplace_back((bucket + kDigestBuckets - first) % kDigestBuckets, &entry);
    }
  }
  std::stable_sort(differing.begin(), differing.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<Update> updates;
  for (const auto& [bucket, entry] : differing) {
    if (updates.size() == kMaxSyncUpdates) {
      break;
    }
    if (entry->liveness == Liveness::kDead) {
      updates.push_back(MemberTable::Describe(*entry, UpdateKind::kDead));
    } else {
      updates.push_back(MemberTable::Describe(*entry, UpdateKind::kAlive));
    }
  }
  Send(from, SyncAnswer{}, updates, out);
}

}  // namespace acaciaspring::membership
