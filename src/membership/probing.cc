#include <algorithm>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

// Members of each zone that probe a suspect of whom they have only heard. Three tolerate two that
// have died themselves, and a suspect gets no more than this many extra probes a zone and period.
constexpr std::size_t kConfirmersPerZone = 3;
// Bounds the extra probes of a daemon when a whole zone is suspected.
constexpr std::size_t kMaxExtraProbes = 4;
// Periods between two probes that a dead member or an unknown seed gets from the whole cluster.
constexpr std::uint64_t kReconnectPeriods = 2;
// A daemon that has just started and knows fewer members probes every second period only: after a
// start of the whole cluster these few are the seeds, which everybody probes.
constexpr std::size_t kFewPeers = 16;
// The VM list is polled about once a second; a hint is not worth a probe each time.
constexpr int kHintPeriods = 10;

}  // namespace

void Members::Impl::Tick(MonotonicTime now, Datagrams& out) {
  if (!last_tick.has_value()) {
    // A random phase keeps daemons that start together from probing at the same instant.
    next_period = now + Duration(random() % static_cast<std::uint64_t>(std::max<Duration::rep>(
                                                1, options.probe_period.count())));
  } else if (now - *last_tick > options.probe_period / 2) {
    // This process was paused: answers may wait in its socket, so the silence proves nothing.
    table.DelaySuspicions(now - *last_tick);
    probes.clear();
    next_period = now;
  }
  last_tick = now;
  CheckProbes(now, out);
  if (now >= next_period) {
    StartPeriod(now, out);
  }
  JudgeSuspects(now);
}

void Members::Impl::CheckProbes(MonotonicTime now, Datagrams& out) {
  for (auto current = probes.begin(); current != probes.end();) {
    auto& [sequence, probe] = *current;
    Entry* target = table.Find(probe.target);
    if (target == nullptr || target->liveness == Liveness::kDead) {
      current = probes.erase(current);
      continue;
    }
    if (!probe.indirect && now - probe.sent >= options.probe_timeout) {
      probe.indirect = true;
      RequestIndirectProbes(sequence, *target, out);
    }
    if (now - probe.sent >= options.probe_period) {
      ++counters.failed_probes;
      Accuse(*target, now);
      current = probes.erase(current);
      continue;
    }
    ++current;
  }
  std::erase_if(relays, [&](const auto& item) { return now >= item.second.expires; });
}

void Members::Impl::RequestIndirectProbes(std::uint64_t sequence,
                                          const Entry& target,
                                          Datagrams& out) {
  std::vector<const Entry*> helpers = LivingPeers();
  std::erase_if(helpers, [&](const Entry* helper) {
    return helper == &target || helper->liveness != Liveness::kAlive;
  });
  std::shuffle(helpers.begin(), helpers.end(), random);
  // Other zones first: a fault of this zone's network is the likeliest common cause of silence.
  std::stable_partition(helpers.begin(), helpers.end(),
                        [&](const Entry* helper) { return helper->member.zone != options.zone; });
  helpers.resize(std::min(helpers.size(), options.indirect_probes));
  for (const Entry* helper : helpers) {
    Send(helper->member.peer, ProbeRequest{sequence, target.member.id, Pack(target.member.peer)},
         {}, out);
  }
}

void Members::Impl::StartPeriod(MonotonicTime now, Datagrams& out) {
  next_period = std::max(next_period + options.probe_period, now);
  sync_answers = 0;
  ForgetDead(now);
  ProbeSuspects(now, out);
  ProbeHinted(now, out);
  ++periods;
  const bool knows_few = learning && table.living_peers() < kFewPeers;
  if (knows_few && periods % 2 == 0) {
    return;
  }
  ProbeNext(now, out);
  if (!knows_few || table.living_peers() == 0) {
    Reconnect(out);
  }
}

void Members::Impl::SendProbe(const Entry& target, MonotonicTime now, Datagrams& out) {
  const bool pending = std::any_of(probes.begin(), probes.end(), [&](const auto& item) {
    return item.second.target == target.member.id;
  });
  if (pending) {
    return;
  }
  ++counters.probes;
  const std::uint64_t sequence = next_sequence++;
  probes[sequence] = PendingProbe{target.member.id, now};
  std::vector<Update> about;
  if (target.liveness == Liveness::kSuspect) {
    // The target must hear of the suspicion to refute it.
    about.push_back(MemberTable::Describe(target, UpdateKind::kSuspect));
  }
  Send(target.member.peer, Probe{sequence, target.member.id}, about, out);
}

void Members::Impl::ProbeNext(MonotonicTime now, Datagrams& out) {
  for (int refills = 0; refills < 2;) {
    if (round.empty()) {
      ++refills;
      for (const Entry* peer : LivingPeers()) {
        round.push_back(peer->member.id);
      }
      std::shuffle(round.begin(), round.end(), random);
    }
    while (!round.empty()) {
      const Entry* target = table.Find(round.back());
      round.pop_back();
      if (target != nullptr && target->liveness != Liveness::kDead) {
        SendProbe(*target, now, out);
        return;
      }
    }
  }
}

bool Members::Impl::IsConfirmer(const Entry& suspect,
                                const std::vector<DaemonId>& zone_peers) const {
  const std::uint64_t seed = Hash64(suspect.member.id.value());
  const std::uint64_t own_rank = Hash64(options.self.value(), seed);
  const auto before = std::count_if(zone_peers.begin(), zone_peers.end(), [&](const DaemonId& id) {
    return Hash64(id.value(), seed) > own_rank;
  });
  return static_cast<std::size_t>(before) < kConfirmersPerZone;
}

void Members::Impl::ProbeSuspects(MonotonicTime now, Datagrams& out) {
  if (table.suspects().empty()) {
    return;
  }
  std::vector<DaemonId> zone_peers;
  for (const Entry* peer : LivingPeers()) {
    if (peer->liveness == Liveness::kAlive && peer->member.zone == options.zone) {
      zone_peers.push_back(peer->member.id);
    }
  }
  std::vector<const Entry*> targets;
  for (const DaemonId& id : table.suspects()) {
    const Entry* suspect = table.Find(id);
    const auto& zones = suspect->confirmed;
    const bool confirmed_here = std::find(zones.begin(), zones.end(), options.zone) != zones.end();
    if (accused.count(id) != 0 || (!confirmed_here && IsConfirmer(*suspect, zone_peers))) {
      targets.push_back(suspect);
    }
  }
  std::shuffle(targets.begin(), targets.end(), random);
  targets.resize(std::min(targets.size(), kMaxExtraProbes));
  for (const Entry* target : targets) {
    SendProbe(*target, now, out);
  }
}

void Members::Impl::ProbeHinted(MonotonicTime now, Datagrams& out) {
  for (std::size_t count = 0; count < kMaxExtraProbes && !hinted.empty(); ++count) {
    const Entry* target = table.Find(hinted.back());
    hinted.pop_back();
    if (target == nullptr) {
      continue;
    }
    if (target->liveness == Liveness::kDead) {
      Send(target->member.peer, Probe{next_sequence++, target->member.id},
           {MemberTable::Describe(*target, UpdateKind::kDead), DescribeSelf()}, out);
    } else {
      SendProbe(*target, now, out);
    }
  }
}

void Members::Impl::Reconnect(Datagrams& out) {
  struct Target {
    net::Address address;
    DaemonId id;
    std::vector<Update> about;
  };
  std::vector<Target> targets;
  for (const DaemonId& id : table.dead()) {
    const Entry& entry = *table.Find(id);
    targets.push_back({entry.member.peer, id, {MemberTable::Describe(entry, UpdateKind::kDead)}});
  }
  const std::vector<const Entry*> peers = LivingPeers();
  for (const net::Address& seed : options.seeds) {
    const bool known = seed == options.peer ||
                       std::any_of(peers.begin(), peers.end(),
                                   [&](const Entry* peer) { return peer->member.peer == seed; });
    if (!known) {
      targets.push_back({seed, DaemonId(), {}});
    }
  }
  // The cluster as a whole tries each target at a constant rate, whatever its size. A daemon that
  // knows nobody alive tries one target each period.
  if (targets.empty() || random() % (kReconnectPeriods * peers.size() + 1) >= targets.size()) {
    return;
  }
  Target& target = targets[random() % targets.size()];
  target.about.push_back(DescribeSelf());
  // No pending probe: silence is expected and has no consequence.
  Send(target.address, Probe{next_sequence++, target.id}, target.about, out);
}

void Members::Impl::Accuse(Entry& target, MonotonicTime now) {
  accused.insert(target.member.id);
  if (table.Suspect(target, options.zone, now)) {
    ++counters.suspicions;
    gossip.Push(target.member.id, NewsKind::kLiveness);
  }
}

Members::Impl::ZoneCensus Members::Impl::CountZones() const {
  ZoneCensus census;
  for (const auto& [id, entry] : table.entries()) {
    if (entry.liveness != Liveness::kDead) {
      ++census.present[entry.member.zone];
      census.other_zone_alive = census.other_zone_alive || (entry.liveness == Liveness::kAlive &&
                                                            entry.member.zone != options.zone);
    }
  }
  return census;
}

bool Members::Impl::AwaitsVerdict(const Entry& suspect, MonotonicTime now) const {
  // Without the own zone's word a death is never declared. When a partition heals, the other side
  // reports deaths of members that this side reaches, and their refutations need some time.
  const auto& zones = suspect.confirmed;
  return now - suspect.since >= options.suspicion_time &&
         std::find(zones.begin(), zones.end(), options.zone) != zones.end();
}

bool Members::Impl::IsDead(const Entry& suspect,
                           const ZoneCensus& census,
                           MonotonicTime now) const {
  // Suspected members count as present: a zone that is cut off sees all others as suspects and must
  // not take them for dead just because nobody is left to confirm. The suspect itself does not
  // count, because it cannot confirm.
  const bool last_of_zone = census.present.at(suspect.member.zone) == 1;
  const std::size_t zones = census.present.size() - (last_of_zone ? 1 : 0);
  if (suspect.confirmed.size() >= std::min<std::size_t>(2, zones)) {
    return true;
  }
  return !census.other_zone_alive && now - suspect.since >= options.lone_zone_suspicion_time;
}

void Members::Impl::JudgeSuspects(MonotonicTime now) {
  if (table.suspects().empty()) {
    accused.clear();
    return;
  }
  std::erase_if(accused, [&](const DaemonId& id) { return table.suspects().count(id) == 0; });
  std::vector<Entry*> waiting;
  for (const DaemonId& id : table.suspects()) {
    Entry* suspect = table.Find(id);
    if (AwaitsVerdict(*suspect, now)) {
      waiting.push_back(suspect);
    }
  }
  if (waiting.empty()) {
    return;
  }
  // One census for all verdicts: a death changes the number of zones that the next one requires.
  const ZoneCensus census = CountZones();
  std::erase_if(waiting, [&](const Entry* entry) { return !IsDead(*entry, census, now); });
  for (Entry* entry : waiting) {
    table.MarkDead(*entry, now);
    ++counters.deaths;
    gossip.Push(entry->member.id, NewsKind::kLiveness);
  }
}

void Members::Impl::ForgetDead(MonotonicTime now) {
  const std::set<DaemonId> dead = table.dead();
  for (const DaemonId& id : dead) {
    if (now - table.Find(id)->since >= options.dead_retention) {
      gossip.Remove(id);
      table.Erase(id);
    }
  }
}

void Members::Impl::Hint(MonotonicTime now, const std::string& ip, VmHint hint) {
  for (const auto& [id, unused] : table.entries()) {
    Entry& entry = *table.Find(id);
    const bool dead = entry.liveness == Liveness::kDead;
    // The list lags, so only a contradiction between it and the table is worth a probe.
    if (id == options.self || entry.member.peer.ip != ip || dead != (hint == VmHint::kLive) ||
        now < entry.next_hint) {
      continue;
    }
    entry.next_hint = now + options.probe_period * kHintPeriods;
    if (std::find(hinted.begin(), hinted.end(), id) == hinted.end()) {
      hinted.push_back(id);
    }
  }
}

}  // namespace acaciaspring::membership
