#include <algorithm>
#include <utility>

#include "src/membership/members_impl.h"

namespace acaciaspring::membership {

namespace {

// Members of each zone that probe a suspect reported by another member. Three tolerate two that
// have died themselves, and limit the extra probes of a suspect to three for each zone and period.
constexpr std::size_t kConfirmersPerZone = 3;
// Limits the probes of suspects, and separately those caused by the VM list, that a daemon sends in
// one period, e.g. when a whole zone is suspected.
constexpr std::size_t kMaxExtraProbes = 4;
// Probes of suspects that are sent in one period even if the send budget is used up.
constexpr std::size_t kMinExtraProbes = 1;
// Average number of periods between two probes that a dead member or an unknown seed receives from
// the whole cluster.
constexpr std::uint64_t kReconnectPeriods = 2;
// A daemon that has just started and knows fewer peers than this probes only every second period:
// when the whole cluster starts, these peers are the seeds, which every daemon probes.
constexpr std::size_t kBootstrapPeers = 16;
// Minimum number of periods between two hinted probes of a member. The VM list is polled about once
// a second, and probing on every poll would waste traffic.
constexpr int kHintPeriods = 10;

}  // namespace

void Members::Impl::Tick(MonotonicTime now, Datagrams& out) {
  if (!last_tick.has_value()) {
    // A random phase prevents daemons that start together from probing at the same instant.
    next_period = now + Duration(random() % static_cast<std::uint64_t>(std::max<Duration::rep>(
                                                1, options.probe_period.count())));
  } else if (now - *last_tick > options.probe_period / 2) {
    // This process was paused: acknowledgements may still be in its socket buffer, so missing ones
    // do not indicate a failure.
    table.DelaySuspicions(now - *last_tick);
    probes.clear();
    next_period = now;
  }
  last_tick = now;
  CheckProbes(now, out);
  if (now >= next_period) {
    StartPeriod(now, out);
  }
  DeclareDeaths(now);
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
      // In a large failure the indirect probes would use up the send budget needed to disseminate
      // confirmations.
      if (target->liveness == Liveness::kAlive || send_budget > 0) {
        RequestIndirectProbes(sequence, *target, out);
      }
    }
    if (now - probe.sent >= options.probe_period) {
      ++counters.failed_probes;
      SuspectUnreachable(*target, now);
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
  std::vector<const Entry*> helpers = LivePeers();
  std::erase_if(helpers, [&](const Entry* helper) {
    return helper == &target || helper->liveness != Liveness::kAlive;
  });
  std::shuffle(helpers.begin(), helpers.end(), random);
  // Members of other zones first: a network fault in this daemon's own zone is the most likely
  // common cause of failed probes.
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
  sync_responses = 0;
  EraseExpiredDead(now);
  ProbeSuspects(now, out);
  ProbeHinted(now, out);
  ++period_count;
  const bool knows_few_peers = bootstrapping && table.live_peer_count() < kBootstrapPeers;
  if (knows_few_peers && period_count % 2 == 0) {
    return;
  }
  ProbeNext(now, out);
  if (!knows_few_peers || table.live_peer_count() == 0) {
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
  std::vector<Update> priority_updates;
  if (target.liveness == Liveness::kSuspect) {
    // The target must learn of the suspicion to refute it.
    priority_updates.push_back(MemberTable::MakeUpdate(target, UpdateKind::kSuspect));
  }
  Send(target.member.peer, Probe{sequence, target.member.id}, priority_updates, out);
}

void Members::Impl::ProbeNext(MonotonicTime now, Datagrams& out) {
  for (int refills = 0; refills < 2;) {
    if (probe_round.empty()) {
      ++refills;
      for (const Entry* peer : LivePeers()) {
        probe_round.push_back(peer->member.id);
      }
      std::shuffle(probe_round.begin(), probe_round.end(), random);
    }
    while (!probe_round.empty()) {
      const Entry* target = table.Find(probe_round.back());
      probe_round.pop_back();
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
  for (const Entry* peer : LivePeers()) {
    if (peer->liveness == Liveness::kAlive && peer->member.zone == options.zone) {
      zone_peers.push_back(peer->member.id);
    }
  }
  std::vector<const Entry*> targets;
  for (const DaemonId& id : table.suspects()) {
    const Entry* suspect = table.Find(id);
    const auto& zones = suspect->confirming_zones;
    const bool confirmed_here = std::find(zones.begin(), zones.end(), options.zone) != zones.end();
    if (unreachable.count(id) != 0 || (!confirmed_here && IsConfirmer(*suspect, zone_peers))) {
      targets.push_back(suspect);
    }
  }
  std::shuffle(targets.begin(), targets.end(), random);
  targets.resize(std::min(targets.size(), send_budget > 0 ? kMaxExtraProbes : kMinExtraProbes));
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
           {MemberTable::MakeUpdate(*target, UpdateKind::kDead), MakeSelfUpdate()}, out);
    } else {
      SendProbe(*target, now, out);
    }
  }
}

void Members::Impl::Reconnect(Datagrams& out) {
  struct Target {
    net::Address address;
    DaemonId id;
    std::vector<Update> priority_updates;
  };
  std::vector<Target> targets;
  for (const DaemonId& id : table.dead()) {
    const Entry& entry = *table.Find(id);
    targets.push_back({entry.member.peer, id, {MemberTable::MakeUpdate(entry, UpdateKind::kDead)}});
  }
  const std::vector<const Entry*> peers = LivePeers();
  for (const net::Address& seed : options.seeds) {
    const bool known = seed == options.peer ||
                       std::any_of(peers.begin(), peers.end(),
                                   [&](const Entry* peer) { return peer->member.peer == seed; });
    if (!known) {
      targets.push_back({seed, DaemonId(), {}});
    }
  }
  // The cluster as a whole probes each target at a constant rate, independent of the number of
  // members. A daemon that knows no live peer probes one target each period.
  if (targets.empty() || random() % (kReconnectPeriods * peers.size() + 1) >= targets.size()) {
    return;
  }
  Target& target = targets[random() % targets.size()];
  target.priority_updates.push_back(MakeSelfUpdate());
  // The probe is not recorded as pending: a missing acknowledgement is expected and has no
  // consequence.
  Send(target.address, Probe{next_sequence++, target.id}, target.priority_updates, out);
}

void Members::Impl::SuspectUnreachable(Entry& target, MonotonicTime now) {
  unreachable.insert(target.member.id);
  if (table.Suspect(target, options.zone, now)) {
    ++counters.suspicions;
    gossip.Push(target.member.id, GossipKind::kLiveness);
  }
}

Members::Impl::ZoneCounts Members::Impl::CountZones() const {
  ZoneCounts zone_counts;
  for (const auto& [id, entry] : table.entries()) {
    if (entry.liveness != Liveness::kDead) {
      ++zone_counts.live_members[entry.member.zone];
      zone_counts.other_zone_alive =
          zone_counts.other_zone_alive ||
          (entry.liveness == Liveness::kAlive && entry.member.zone != options.zone);
    }
  }
  return zone_counts;
}

bool Members::Impl::IsDeathCandidate(const Entry& suspect, MonotonicTime now) const {
  // A death requires a confirmation by this daemon's own zone. When a partition heals, the other
  // side reports deaths of members that this side reaches, and these members need time to refute.
  const auto& zones = suspect.confirming_zones;
  return now - suspect.since >= options.suspicion_time &&
         std::find(zones.begin(), zones.end(), options.zone) != zones.end();
}

bool Members::Impl::IsDeathConfirmed(const Entry& suspect,
                                     const ZoneCounts& zone_counts,
                                     MonotonicTime now) const {
  // Suspected members count as live: an isolated zone suspects all members of the other zones and
  // must not declare them dead only because no other zone is left to confirm. The suspect itself
  // does not count, because it cannot confirm its own death.
  const bool last_of_zone = zone_counts.live_members.at(suspect.member.zone) == 1;
  const std::size_t zones = zone_counts.live_members.size() - (last_of_zone ? 1 : 0);
  if (suspect.confirming_zones.size() >= std::min<std::size_t>(2, zones)) {
    return true;
  }
  return !zone_counts.other_zone_alive && now - suspect.since >= options.single_zone_suspicion_time;
}

void Members::Impl::DeclareDeaths(MonotonicTime now) {
  if (table.suspects().empty()) {
    unreachable.clear();
    return;
  }
  std::erase_if(unreachable, [&](const DaemonId& id) { return table.suspects().count(id) == 0; });
  std::vector<Entry*> candidates;
  for (const DaemonId& id : table.suspects()) {
    Entry* suspect = table.Find(id);
    if (IsDeathCandidate(*suspect, now)) {
      candidates.push_back(suspect);
    }
  }
  if (candidates.empty()) {
    return;
  }
  // All candidates are checked against the same counts, because each death changes the number of
  // zones required for the next one.
  const ZoneCounts zone_counts = CountZones();
  std::erase_if(candidates,
                [&](const Entry* entry) { return !IsDeathConfirmed(*entry, zone_counts, now); });
  for (Entry* entry : candidates) {
    table.MarkDead(*entry, now);
    ++counters.deaths;
    gossip.Push(entry->member.id, GossipKind::kLiveness);
  }
}

void Members::Impl::EraseExpiredDead(MonotonicTime now) {
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
    // The VM list lags, so a probe is useful only if the list and the member table disagree.
    if (id == options.self || entry.member.peer.ip != ip || dead != (hint == VmHint::kLive) ||
        now < entry.next_hinted_probe) {
      continue;
    }
    entry.next_hinted_probe = now + options.probe_period * kHintPeriods;
    if (std::find(hinted.begin(), hinted.end(), id) == hinted.end()) {
      hinted.push_back(id);
    }
  }
}

}  // namespace acaciaspring::membership
