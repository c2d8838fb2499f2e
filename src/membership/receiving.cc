#include <algorithm>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

constexpr std::size_t kForwardFanout = 2;
// Sync responses in one period. The minimum applies when the send budget is used up, because a seed
// spends its budget on acknowledgements when all daemons start at once.
constexpr std::size_t kMaxSyncResponses = 2;
constexpr std::size_t kMinSyncResponses = 1;
constexpr std::size_t kMaxRelays = 64;
// Exceeds what fits into one datagram.
constexpr std::size_t kMaxSyncUpdates = 40;
constexpr int kDeferredSyncPeriods = 10;

/// @brief True if the update has the same incarnation, refutation and liveness as the table entry.
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
  if (!AcceptSender(*envelope, from, out)) {
    return;
  }
  const bool is_sync_response = std::holds_alternative<SyncResponse>(envelope->body);
  const bool already_disseminated =
      is_sync_response || std::holds_alternative<Push>(envelope->body);
  const std::size_t known_before = table.entries().size();
  for (const Update& update : envelope->updates) {
    ApplyUpdate(update, already_disseminated, now, out);
  }
  if (is_sync_response) {
    bootstrapping = bootstrapping && table.entries().size() > known_before;
  }
  ApplySenderState(*envelope, now, out);
  const Entry* sender = table.Find(envelope->sender);
  const bool known = sender != nullptr && sender->member.incarnation == envelope->incarnation;
  if (!known && !std::holds_alternative<ProfileRequest>(envelope->body)) {
    Send(from, ProfileRequest{}, {}, out);
  }
  HandleBody(*envelope, from, now, out);
  if (known) {
    MaybeSync(*envelope, from, now, out);
  }
}

bool Members::Impl::AcceptSender(const Envelope& envelope,
                                 const net::Address& from,
                                 Datagrams& out) {
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
      // Notifies an earlier run, which may have been paused, that it has been superseded.
      Send(from, Push{}, {MemberTable::MakeUpdate(*sender, UpdateKind::kAlive)}, out);
    }
    return false;
  }
  if (!sender->replay.Accept(envelope.counter)) {
    ++counters.replayed;
    return false;
  }
  return true;
}

void Members::Impl::ApplySenderState(const Envelope& envelope, MonotonicTime now, Datagrams& out) {
  Entry* sender = table.Find(envelope.sender);
  if (sender == nullptr || sender->member.incarnation != envelope.incarnation) {
    return;
  }
  // Records the counter in the replay window: the updates of this datagram may have created the
  // entry or replaced it with a newer incarnation after AcceptSender.
  sender->replay.Accept(envelope.counter);
  Change change = table.ApplyStatus(*sender, envelope.status);
  if (envelope.refutation > sender->member.refutation) {
    change.liveness = true;
    change.joined = sender->liveness == Liveness::kDead;
    table.MarkAlive(*sender, envelope.refutation, now);
  }
  Disseminate(envelope.sender, change);
  if (change.started_leaving) {
    DisseminateLeaving(*sender, kForwardFanout, out);
  }
}

void Members::Impl::ApplyUpdate(const Update& update,
                                bool already_disseminated,
                                MonotonicTime now,
                                Datagrams& out) {
  if (update.id == options.self) {
    ApplyUpdateAboutSelf(update);
    return;
  }
  const bool was_known = table.Find(update.id) != nullptr;
  Change change = table.Apply(update, now);
  const Entry* entry = table.Find(update.id);
  if (entry != nullptr && !update.Is(UpdateKind::kStatus) && !change.liveness && !change.flags &&
      !change.revision && IsCurrent(update, *entry)) {
    gossip.CountDuplicate(update.id, GossipKind::kLiveness, table.live_peer_count() + 1);
  }
  if (!was_known && already_disseminated && change.joined) {
    // The member is new only to this daemon, e.g. because it has just started; the other members
    // know it already.
    InsertIntoRound(update.id);
    return;
  }
  Disseminate(update.id, change);
  if (change.started_leaving) {
    DisseminateLeaving(*table.Find(update.id), kForwardFanout, out);
  }
}

void Members::Impl::ApplyUpdateAboutSelf(const Update& update) {
  if (update.incarnation > options.incarnation) {
    superseded = true;
    return;
  }
  Entry& self = table.self();
  const bool reports_failure = update.Is(UpdateKind::kSuspect) || update.Is(UpdateKind::kDead);
  if (update.incarnation < options.incarnation) {
    // The sender does not know the current incarnation of this daemon yet.
    gossip.Push(options.self, GossipKind::kLiveness);
  } else if (reports_failure && update.refutation >= self.member.refutation) {
    self.member.refutation = update.refutation + 1;
    table.Refresh(self);
    ++counters.refutations;
    gossip.Push(options.self, GossipKind::kLiveness);
  }
}

void Members::Impl::HandleBody(const Envelope& envelope,
                               const net::Address& from,
                               MonotonicTime now,
                               Datagrams& out) {
  std::visit(Overloaded{
                 [&](const Probe& probe) {
                   if (!probe.target.empty() && probe.target != options.self) {
                     return;
                   }
                   std::vector<Update> priority_updates;
                   const Entry* sender = table.Find(envelope.sender);
                   if (sender != nullptr && sender->liveness != Liveness::kAlive) {
                     priority_updates.push_back(MemberTable::MakeUpdate(
                         *sender, sender->liveness == Liveness::kDead ? UpdateKind::kDead
                                                                      : UpdateKind::kSuspect));
                   }
                   Send(from, Ack{probe.sequence}, priority_updates, out);
                 },
                 [&](const ProbeRequest& request) {
                   if (relays.size() < kMaxRelays) {
                     const std::uint64_t sequence = next_sequence++;
                     relays[sequence] = Relay{from, request.sequence, now + options.probe_period};
                     Send(Unpack(request.address), Probe{sequence, request.target}, {}, out);
                   }
                 },
                 [&](const Ack& ack) { HandleAck(ack, out); },
                 [&](const SyncRequest& request) { HandleSyncRequest(request, from, out); },
                 [](const Push&) {},
                 [](const SyncResponse&) {},
                 [&](const ProfileRequest&) { Send(from, Push{}, {MakeSelfUpdate()}, out); },
             },
             envelope.body);
}

void Members::Impl::HandleAck(const Ack& ack, Datagrams& out) {
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
  const bool is_probe_exchange =
      std::holds_alternative<Probe>(envelope.body) || std::holds_alternative<Ack>(envelope.body);
  if (!is_probe_exchange) {
    return;
  }
  if (envelope.digest == table.digest()) {
    bootstrapping = false;
    return;
  }
  // An update that is still being disseminated explains a difference of digests, and a sender that
  // knows fewer members has probably just started and has few updates to offer. In both cases a
  // sync is deferred. A daemon that has just started itself continues to sync as long as syncs add
  // unknown members, regardless of the send budget.
  const bool deferrable =
      gossip.HasDigestUpdate() || envelope.live_members < table.live_peer_count() + 1;
  const bool deferral_expired = now >= last_sync + options.probe_period * kDeferredSyncPeriods;
  if (now < next_sync ||
      (!bootstrapping && (send_budget < 0 || (deferrable && !deferral_expired)))) {
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

void Members::Impl::HandleSyncRequest(const SyncRequest& request,
                                      const net::Address& from,
                                      Datagrams& out) {
  if (sync_responses >= (send_budget < 0 ? kMinSyncResponses : kMaxSyncResponses)) {
    return;
  }
  ++sync_responses;
  // One datagram does not hold all members; because of the random first bucket, repeated responses
  // cover all of them.
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
      updates.push_back(MemberTable::MakeUpdate(*entry, UpdateKind::kDead));
    } else {
      updates.push_back(MemberTable::MakeUpdate(*entry, UpdateKind::kAlive));
    }
  }
  Send(from, SyncResponse{}, updates, out);
}

}  // namespace acaciaspring::membership
