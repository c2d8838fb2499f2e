#include "src/organisations/permit_grantor.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::organisations {

namespace {

// A holder whose requests still wait repeats what it wants every 200 ms.
constexpr Duration kWantAge = std::chrono::milliseconds(500);
// Grants that a holder has not confirmed by then were lost.
constexpr Duration kGrantInTransit = std::chrono::seconds(1);
constexpr Duration kForgetHolder = std::chrono::seconds(5);
constexpr Duration kForgetLessor = std::chrono::seconds(60);
// Bounds the state that a malformed message can create.
constexpr std::uint32_t kMaxWanted = 100'000;

std::uint32_t WholePermits(double available) {
  return available < 1 ? 0 : static_cast<std::uint32_t>(std::min(available, 1e9));
}

}  // namespace

void PermitGrantor::SetLimits(const std::unordered_map<OrganisationId, RequestLimit>& limits,
                              BootTime now) {
  std::erase_if(entries_, [&](const auto& entry) { return !limits.contains(entry.first); });
  std::erase_if(wanted_, [&](const OrganisationId& id) { return !limits.contains(id); });
  for (const auto& [id, limit] : limits) {
    const auto [entry, added] = entries_.try_emplace(id, Entry{PermitPool(limit, tolerance_, now)});
    if (!added) {
      entry->second.pool.SetLimit(limit, now);
    }
  }
  UpdateFractions(now);
}

void PermitGrantor::SetLeases(const DaemonId& lessor, const PermitRequest& request, BootTime now) {
  Lessor& entry = lessors_[lessor];
  entry.organisations.clear();
  for (const OrganisationId& organisation : request.leases) {
    if (entries_.contains(organisation)) {
      entry.organisations.insert(organisation);
    }
  }
  entry.sequence = request.lease_sequence;
  entry.daemons = std::max(1U, request.daemons);
  entry.lease = Duration(request.lease_us);
  entry.heard_at = now;
  UpdateFractions(now);
}

void PermitGrantor::OnHeard(const DaemonId& daemon, BootTime now) {
  if (const auto found = lessors_.find(daemon); found != lessors_.end()) {
    found->second.heard_at = now;
  }
}

void PermitGrantor::Forget(const DaemonId& daemon) {
  lessors_.erase(daemon);
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.holders, [&](const Holder& holder) { return holder.id == daemon; });
  }
}

void PermitGrantor::Clear(BootTime now) {
  lessors_.clear();
  wanted_.clear();
  for (auto& [id, entry] : entries_) {
    entry.holders.clear();
  }
  UpdateFractions(now);
}

std::uint64_t PermitGrantor::LeaseSequence(const DaemonId& lessor) const {
  const auto found = lessors_.find(lessor);
  return found == lessors_.end() ? 0 : found->second.sequence;
}

void PermitGrantor::UpdateFractions(BootTime now) {
  // The shares of all lessors are computed with the largest count of daemons, so that they do not
  // exceed the whole while some daemons do not know others yet.
  std::uint32_t daemons = 1;
  std::unordered_map<OrganisationId, std::uint32_t> leases;
  for (const auto& [id, lessor] : lessors_) {
    if (now - lessor.heard_at <= lessor.lease) {
      daemons = std::max(daemons, lessor.daemons);
      for (const OrganisationId& organisation : lessor.organisations) {
        ++leases[organisation];
      }
    }
  }
  for (auto& [id, entry] : entries_) {
    const auto found = leases.find(id);
    const double count = found == leases.end() ? 0 : found->second;
    entry.pool.SetFraction(std::min(1.0, count / daemons), now);
  }
}

void PermitGrantor::Expire(BootTime now) {
  std::erase_if(lessors_,
                [&](const auto& entry) { return now - entry.second.heard_at > kForgetLessor; });
  UpdateFractions(now);
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.holders,
                  [&](const Holder& holder) { return now - holder.heard_at > kForgetHolder; });
    for (Holder& holder : entry.holders) {
      if (now - holder.heard_at > kWantAge) {
        holder.started = 0;
        holder.other = 0;
      }
    }
    if (!IsWanted(entry)) {
      wanted_.erase(id);
    }
  }
}

bool PermitGrantor::IsWanted(const Entry& entry) {
  return std::any_of(entry.holders.begin(), entry.holders.end(),
                     [](const Holder& holder) { return holder.started + holder.other > 0; });
}

PermitGrantor::Holder& PermitGrantor::FindHolder(Entry& entry,
                                                 const DaemonId& holder,
                                                 std::uint64_t received) {
  const auto found = std::find_if(entry.holders.begin(), entry.holders.end(),
                                  [&](const Holder& known) { return known.id == holder; });
  if (found != entry.holders.end()) {
    return *found;
  }
  return entry.holders.emplace_back(Holder{.id = holder, .granted = received});
}

void PermitGrantor::OnWant(const DaemonId& holder,
                           std::int64_t asked_us,
                           const PermitWant& want,
                           BootTime now,
                           std::vector<Answer>& answers) {
  const auto found = entries_.find(want.organisation);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.pool.Refill(now);
  entry.pool.Return(want.returned);
  Holder& known = FindHolder(entry, holder, want.received);
  if (want.received > known.granted || now - known.granted_at > kGrantInTransit) {
    known.granted = want.received;
  }
  // Permits that are on their way serve the requests that have waited longest.
  auto in_transit = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(known.granted - want.received, kMaxWanted));
  const auto remaining = [&](std::uint32_t wanted) {
    const std::uint32_t covered = std::min(wanted, in_transit);
    in_transit -= covered;
    return std::min(wanted - covered, kMaxWanted);
  };
  known.started = remaining(want.started);
  known.other = remaining(want.other);
  known.heard_at = now;
  known.asked_us = asked_us;
  Serve(entry);
  if (!IsWanted(entry)) {
    wanted_.erase(want.organisation);
    const std::uint32_t spare = std::min(remaining(want.spare), WholePermits(entry.pool.Spare()));
    Holder& asker = FindHolder(entry, holder, want.received);
    entry.pool.TakeSpare(spare);
    asker.new_permits += spare;
  } else {
    wanted_.insert(want.organisation);
  }
  Collect(want.organisation, entry, &holder, now, answers);
}

void PermitGrantor::Serve(Entry& entry) {
  ServeUse(entry, PermitUse::kStartedProgram, &Holder::started);
  ServeUse(entry, PermitUse::kOther, &Holder::other);
}

void PermitGrantor::ServeUse(Entry& entry, PermitUse use, std::uint32_t Holder::*wanted) {
  std::uint32_t available = WholePermits(entry.pool.Available(use));
  std::uint32_t taken = 0;
  bool served = true;
  while (available > 0 && served) {
    served = false;
    for (std::size_t i = 0; i < entry.holders.size() && available > 0; ++i) {
      // One permit each in turn, so that a holder with many requests does not delay the others.
      Holder& holder = entry.holders[(entry.first + i) % entry.holders.size()];
      if (holder.*wanted > 0) {
        --(holder.*wanted);
        ++holder.new_permits;
        ++taken;
        served = true;
        if (--available == 0) {
          entry.first = (entry.first + i + 1) % entry.holders.size();
        }
      }
    }
  }
  entry.pool.Take(use, taken);
}

PermitAnswer PermitGrantor::MakeAnswer(const OrganisationId& organisation,
                                       const Entry& entry,
                                       Holder& holder,
                                       BootTime now) {
  double started = 0;
  double all = 0;
  for (const Holder& other : entry.holders) {
    // The holders get permits in turn, so of each at most as many are ahead as this one waits for.
    started += std::min(other.started, std::max(1U, holder.started));
    all += other.started + std::min(other.other, std::max(1U, holder.other));
  }
  const auto wait = [&](PermitUse use, double ahead) {
    return entry.pool.TimeUntil(use, std::max(1.0, ahead), now).count();
  };
  return {.organisation = organisation,
          .permits = holder.new_permits,
          .started_wait_us = wait(PermitUse::kStartedProgram, started),
          .other_wait_us = wait(PermitUse::kOther, all)};
}

void PermitGrantor::Collect(const OrganisationId& organisation,
                            Entry& entry,
                            const DaemonId* asker,
                            BootTime now,
                            std::vector<Answer>& answers) {
  // Without a share, this daemon cannot tell whether the organisation has used its permits.
  const bool can_deny = entry.pool.fraction() > 0;
  for (Holder& holder : entry.holders) {
    if (holder.new_permits == 0 && (!can_deny || asker == nullptr || holder.id != *asker)) {
      continue;
    }
    answers.push_back({.holder = holder.id,
                       .asked_us = holder.asked_us,
                       .answer = MakeAnswer(organisation, entry, holder, now)});
    if (holder.new_permits > 0) {
      holder.granted += holder.new_permits;
      holder.granted_at = now;
      holder.new_permits = 0;
    }
  }
}

void PermitGrantor::Distribute(BootTime now, std::vector<Answer>& answers) {
  for (auto wanted = wanted_.begin(); wanted != wanted_.end();) {
    Entry& entry = entries_.at(*wanted);
    entry.pool.Refill(now);
    Serve(entry);
    Collect(*wanted, entry, nullptr, now, answers);
    wanted = IsWanted(entry) ? std::next(wanted) : wanted_.erase(wanted);
  }
}

}  // namespace acaciaspring::organisations
