#include "acaciaspring/membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

// The first wave of a leaving announcement; each receiver forwards it to kForwardFanout members at
// once, so 420 members hear it within a few round trips instead of log2(n) probe periods.
constexpr std::size_t kLeaveFanout = 12;
// IPv4 and UDP headers and the MAC.
constexpr std::size_t kHeaderBytes = 28 + wire::kMacBytes;
// Unused budget is kept for this many seconds, so that news is not delayed after a quiet time.
constexpr double kBudgetSeconds = 2;

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

Members::Impl::Impl(MembersOptions given, std::mt19937_64 engine)
    : options(std::move(given)), random(engine), table(options.self) {
  Update update;
  update.id = options.self;
  update.incarnation = options.incarnation;
  update.kind = static_cast<std::uint8_t>(UpdateKind::kAlive);
  update.profile = Profile{Pack(options.peer), Pack(options.http), options.zone, options.region};
  update.status.version = 1;
  table.Insert(update, MonotonicTime());
  gossip.Push(options.self, NewsKind::kLiveness);
}

Update Members::Impl::DescribeSelf() const {
  return MemberTable::Describe(table.self(), UpdateKind::kAlive);
}

void Members::Impl::Send(const net::Address& to,
                         Body body,
                         const std::vector<Update>& about,
                         Datagrams& out) {
  const Entry& self = table.self();
  Envelope envelope;
  envelope.sender = options.self;
  envelope.incarnation = options.incarnation;
  envelope.refutation = self.member.refutation;
  envelope.counter = next_counter++;
  envelope.digest = table.digest();
  envelope.living = static_cast<std::uint16_t>(table.living_peers() + 1);
  envelope.status = self.status;
  envelope.body = std::move(body);
  std::size_t room = kMaxPayloadBytes - wire::Encode(envelope).size();
  const auto fits = [&](const Update& update) {
    const std::size_t size = wire::Encode(update).size();
    if (size > room) {
      return false;
    }
    room -= size;
    envelope.updates.push_back(update);
    return true;
  };
  for (const Update& update : about) {
    if (!fits(update)) {
      break;
    }
  }
  budget -= static_cast<double>(kMaxPayloadBytes - room + kHeaderBytes);
  room = std::min(
      {room, options.max_piggyback_bytes, static_cast<std::size_t>(std::max(0.0, budget))});
  const std::size_t room_for_gossip = room;
  gossip.Visit(table.living_peers() + 1, [&](const DaemonId& id, NewsKind kind) {
    const Entry* entry = table.Find(id);
    if (entry == nullptr) {
      return true;
    }
    if (kind != NewsKind::kLiveness) {
      return fits(MemberTable::Describe(*entry, UpdateKind::kStatus));
    }
    switch (entry->liveness) {
      case Liveness::kAlive:
        return fits(MemberTable::Describe(*entry, UpdateKind::kAlive));
      case Liveness::kSuspect:
        return fits(MemberTable::Describe(*entry, UpdateKind::kSuspect));
      case Liveness::kDead:
        return fits(MemberTable::Describe(*entry, UpdateKind::kDead));
    }
    return true;
  });
  budget -= static_cast<double>(room_for_gossip - room);
  out.push_back(OutgoingDatagram{to, wire::Encode(envelope)});
}

void Members::Impl::RefillBudget(MonotonicTime now) {
  const auto rate = static_cast<double>(options.max_sent_bytes_per_second);
  const Duration elapsed = now - budget_at.value_or(now - std::chrono::seconds(1));
  budget = std::min(std::max(budget, -rate) + rate * std::chrono::duration<double>(elapsed).count(),
                    rate * kBudgetSeconds);
  budget_at = now;
}

void Members::Impl::Spread(const DaemonId& id, const Change& change) {
  if (change.liveness) {
    gossip.Push(id, NewsKind::kLiveness);
  }
  if (change.flags) {
    gossip.Push(id, NewsKind::kFlags);
  }
  if (change.revision && !change.flags) {
    gossip.Push(id, NewsKind::kRevision);
  }
  if (change.joined) {
    JoinRound(id);
  }
}

void Members::Impl::JoinRound(const DaemonId& id) {
  const std::size_t position = random() % (round.size() + 1);
  round.insert(round.begin() + static_cast<std::ptrdiff_t>(position), id);
}

void Members::Impl::ChangeOwnStatus(Status status) {
  status.version = table.self().status.version + 1;
  Spread(options.self, table.ApplyStatus(table.self(), status));
}

std::vector<const Entry*> Members::Impl::LivingPeers() const {
  std::vector<const Entry*> peers;
  for (const auto& [id, entry] : table.entries()) {
    if (id != options.self && entry.liveness != Liveness::kDead) {
      peers.push_back(&entry);
    }
  }
  return peers;
}

void Members::Impl::SpreadAtOnce(const Entry& leaving, std::size_t fanout, Datagrams& out) {
  std::vector<const Entry*> peers = LivingPeers();
  std::shuffle(peers.begin(), peers.end(), random);
  peers.resize(std::min(peers.size(), fanout));
  const Update update = MemberTable::Describe(leaving, UpdateKind::kStatus);
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
  ChangeOwnStatus(status);
  SpreadAtOnce(table.self(), kLeaveFanout, out);
}

Members::Members(MembersOptions options, std::mt19937_64 random)
    : impl_(std::make_unique<Impl>(std::move(options), random)) {}
Members::~Members() = default;
Members::Members(Members&&) noexcept = default;
Members& Members::operator=(Members&&) noexcept = default;

std::vector<OutgoingDatagram> Members::Tick(MonotonicTime now) {
  std::vector<OutgoingDatagram> out;
  impl_->RefillBudget(now);
  impl_->Tick(now, out);
  return out;
}

std::vector<OutgoingDatagram> Members::Receive(MonotonicTime now,
                                               const net::Address& from,
                                               std::string_view payload) {
  std::vector<OutgoingDatagram> out;
  impl_->RefillBudget(now);
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
    impl_->ChangeOwnStatus(status);
  }
}

void Members::SetReady(bool ready) {
  Status status = impl_->table.self().status;
  const auto flags = static_cast<std::uint8_t>(ready ? status.flags | Status::kReady
                                                     : status.flags & ~Status::kReady);
  if (flags != status.flags) {
    status.flags = flags;
    impl_->ChangeOwnStatus(status);
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
