#include "acaciaspring/membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

// Number of members to which a leaving daemon sends its announcement. Each receiver forwards it
// immediately to kForwardFanout members, so 420 members receive it within a few round trips instead
// of log2(n) probe periods.
constexpr std::size_t kLeaveFanout = 12;
// IPv4 and UDP headers and the MAC.
constexpr std::size_t kHeaderBytes = 28 + wire::kMacBytes;
// Unused send budget accumulates for at most this many seconds, so that updates are sent without
// delay after a period of low traffic.
constexpr double kMaxBudgetSeconds = 2;

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "invalid";
}

Members::Impl::Impl(MembersOptions members_options, std::mt19937_64 generator)
    : options(std::move(members_options)), random(generator), table(options.self) {
  Update update;
  update.id = options.self;
  update.incarnation = options.incarnation;
  update.kind = static_cast<std::uint8_t>(UpdateKind::kAlive);
  update.profile = Profile{Pack(options.peer), Pack(options.http), options.zone, options.region};
  update.status.version = 1;
  table.Insert(update, MonotonicTime());
  gossip.Push(options.self, GossipKind::kLiveness);
}

Update Members::Impl::MakeSelfUpdate() const {
  return MemberTable::MakeUpdate(table.self(), UpdateKind::kAlive);
}

void Members::Impl::Send(const net::Address& to,
                         Body body,
                         const std::vector<Update>& priority_updates,
                         Datagrams& out) {
  const Entry& self = table.self();
  Envelope envelope;
  envelope.sender = options.self;
  envelope.incarnation = options.incarnation;
  envelope.refutation = self.member.refutation;
  envelope.counter = next_counter++;
  envelope.digest = table.digest();
  envelope.live_members = static_cast<std::uint16_t>(table.live_peer_count() + 1);
  envelope.status = self.status;
  envelope.body = std::move(body);
  std::size_t room = kMaxPayloadBytes - wire::Encode(envelope).size();
  const auto add_if_fits = [&](const Update& update) {
    const std::size_t size = wire::Encode(update).size();
    if (size > room) {
      return false;
    }
    room -= size;
    envelope.updates.push_back(update);
    return true;
  };
  for (const Update& update : priority_updates) {
    if (!add_if_fits(update)) {
      break;
    }
  }
  send_budget -= static_cast<double>(kMaxPayloadBytes - room + kHeaderBytes);
  room = std::min(
      {room, options.max_piggyback_bytes, static_cast<std::size_t>(std::max(0.0, send_budget))});
  const std::size_t room_for_gossip = room;
  gossip.Select(table.live_peer_count() + 1, [&](const DaemonId& id, GossipKind kind) {
    const Entry* entry = table.Find(id);
    if (entry == nullptr) {
      return true;
    }
    if (kind != GossipKind::kLiveness) {
      return add_if_fits(MemberTable::MakeUpdate(*entry, UpdateKind::kStatus));
    }
    switch (entry->liveness) {
      case Liveness::kAlive:
        return add_if_fits(MemberTable::MakeUpdate(*entry, UpdateKind::kAlive));
      case Liveness::kSuspect:
        return add_if_fits(MemberTable::MakeUpdate(*entry, UpdateKind::kSuspect));
      case Liveness::kDead:
        return add_if_fits(MemberTable::MakeUpdate(*entry, UpdateKind::kDead));
    }
    return true;
  });
  send_budget -= static_cast<double>(room_for_gossip - room);
  out.push_back(OutgoingDatagram{to, wire::Encode(envelope)});
}

void Members::Impl::RefillSendBudget(MonotonicTime now) {
  const auto rate = static_cast<double>(options.max_sent_bytes_per_second);
  const Duration elapsed = now - send_budget_refilled.value_or(now - std::chrono::seconds(1));
  send_budget =
      std::min(std::max(send_budget, -rate) + rate * std::chrono::duration<double>(elapsed).count(),
               rate * kMaxBudgetSeconds);
  send_budget_refilled = now;
}

void Members::Impl::Disseminate(const DaemonId& id, const Change& change) {
  if (change.liveness) {
    gossip.Push(id, GossipKind::kLiveness);
  }
  if (change.flags) {
    gossip.Push(id, GossipKind::kFlags);
  }
  if (change.revision && !change.flags) {
    gossip.Push(id, GossipKind::kRevision);
  }
  if (change.joined) {
    InsertIntoRound(id);
  }
}

void Members::Impl::InsertIntoRound(const DaemonId& id) {
  const std::size_t position = random() % (probe_round.size() + 1);
  probe_round.insert(probe_round.begin() + static_cast<std::ptrdiff_t>(position), id);
}

void Members::Impl::UpdateOwnStatus(Status status) {
  status.version = table.self().status.version + 1;
  Disseminate(options.self, table.ApplyStatus(table.self(), status));
}

std::vector<const Entry*> Members::Impl::LivePeers() const {
  std::vector<const Entry*> peers;
  for (const auto& [id, entry] : table.entries()) {
    if (id != options.self && entry.liveness != Liveness::kDead) {
      peers.push_back(&entry);
    }
  }
  return peers;
}

void Members::Impl::DisseminateLeaving(const Entry& leaving, std::size_t fanout, Datagrams& out) {
  std::vector<const Entry*> peers = LivePeers();
  std::shuffle(peers.begin(), peers.end(), random);
  peers.resize(std::min(peers.size(), fanout));
  const Update update = MemberTable::MakeUpdate(leaving, UpdateKind::kStatus);
  for (const Entry* peer : peers) {
    Send(peer->member.peer, Push{}, {update}, out);
  }
}

void Members::Impl::Leave(MonotonicTime, Datagrams& out) {
  if (table.self().leaving()) {
    return;
  }
  Status status = table.self().status;
  status.flags |= Status::kLeaving;
  UpdateOwnStatus(status);
  DisseminateLeaving(table.self(), kLeaveFanout, out);
}

Members::Members(MembersOptions options, std::mt19937_64 random)
    : impl_(std::make_unique<Impl>(std::move(options), random)) {}
Members::~Members() = default;
Members::Members(Members&&) noexcept = default;
Members& Members::operator=(Members&&) noexcept = default;

std::vector<OutgoingDatagram> Members::Tick(MonotonicTime now) {
  std::vector<OutgoingDatagram> out;
  impl_->RefillSendBudget(now);
  impl_->Tick(now, out);
  return out;
}

std::vector<OutgoingDatagram> Members::Receive(MonotonicTime now,
                                               const net::Address& from,
                                               std::string_view payload) {
  std::vector<OutgoingDatagram> out;
  impl_->RefillSendBudget(now);
  impl_->Receive(now, from, payload, out);
  return out;
}

void Members::Hint(MonotonicTime now, const std::string& ip, VmHint hint) {
  impl_->Hint(now, ip, hint);
}

void Members::SetRevision(Revision revision) {
  Status status = impl_->table.self().status;
  if (status.revision != revision) {
    status.revision = revision;
    impl_->UpdateOwnStatus(status);
  }
}

void Members::SetReady(bool ready) {
  Status status = impl_->table.self().status;
  const auto flags = static_cast<std::uint8_t>(ready ? status.flags | Status::kReady
                                                     : status.flags & ~Status::kReady);
  if (flags != status.flags) {
    status.flags = flags;
    impl_->UpdateOwnStatus(status);
  }
}

std::vector<OutgoingDatagram> Members::Leave(MonotonicTime now) {
  std::vector<OutgoingDatagram> out;
  impl_->Leave(now, out);
  return out;
}

const std::vector<Member>& Members::members() const {
  return impl_->table.members();
}

const Member* Members::Find(const DaemonId& id) const {
  const Entry* entry = std::as_const(impl_->table).Find(id);
  return entry == nullptr ? nullptr : &entry->member;
}

const Member& Members::self() const {
  return impl_->table.self().member;
}

bool Members::superseded() const {
  return impl_->superseded;
}

std::uint64_t Members::version() const {
  return impl_->table.version();
}

const MembersCounters& Members::counters() const {
  return impl_->counters;
}

}  // namespace acaciaspring::membership
