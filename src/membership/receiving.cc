#include <algorithm>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

constexpr std::size_t kForwardFanout = 2;
// Bounds what members that have just started can make a seed send.
constexpr std::size_t kMaxSyncAnswers = 2;
constexpr std::size_t kMaxRelays = 64;
// More than fit into one datagram.
constexpr std::size_t kMaxSyncUpdates = 40;

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
  for (const Update& update : envelope->updates) {
    TakeUpdate(update, now, out);
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

void Members::Impl::TakeUpdate(const Update& update, MonotonicTime now, Datagrams& out) {
  if (update.id == options.self) {
    TakeUpdateAboutSelf(update);
    return;
  }
  const Change change = table.Apply(update, now);
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
  if (!exchange || envelope.digest == table.digest() || now < next_sync) {
    return;
  }
  next_sync = now + options.probe_period;
  ++counters.syncs;
  SyncRequest request;
  std::transform(table.buckets().begin(), table.buckets().end(), request.digests.begin(),
                 [](std::uint64_t bucket) { return static_cast<std::uint32_t>(bucket); });
  Send(from, request, {}, out);
}

void Members::Impl::AnswerSync(const SyncRequest& request,
                               const net::Address& from,
                               Datagrams& out) {
  if (sync_answers >= kMaxSyncAnswers) {
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
  Send(from, Push{}, updates, out);
}

}  // namespace acaciaspring::membership
