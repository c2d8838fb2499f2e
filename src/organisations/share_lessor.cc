#include "src/organisations/share_lessor.h"

namespace acaciaspring::organisations {

namespace {

std::uint64_t SessionOf(const GrantorView& view, const DaemonId& daemon) {
  const auto found = view.sessions.find(daemon);
  return found == view.sessions.end() ? 0 : found->second;
}

}  // namespace

DaemonId ChooseGrantor(const OrganisationId& organisation,
                       const std::vector<DaemonId>& candidates) {
  const std::uint64_t seed = Hash64(organisation.value());
  const DaemonId* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const DaemonId& candidate : candidates) {
    const std::uint64_t hash = Hash64(candidate.value(), seed);
    if (best == nullptr || hash > best_hash || (hash == best_hash && candidate < *best)) {
      best = &candidate;
      best_hash = hash;
    }
  }
  return best == nullptr ? DaemonId() : *best;
}

void ShareLessor::SetOrganisations(const std::set<OrganisationId>& organisations) {
  std::erase_if(leases_, [&](const auto& entry) {
    if (organisations.contains(entry.first)) {
      return false;
    }
    if (!entry.second.grantor.empty()) {
      changed_.insert(entry.second.grantor);
    }
    return true;
  });
  for (const OrganisationId& organisation : organisations) {
    leases_.try_emplace(organisation);
  }
  // A grantor drops the leases of organisations that its own configuration does not list yet.
  for (const auto& [organisation, lease] : leases_) {
    if (!lease.grantor.empty()) {
      changed_.insert(lease.grantor);
    }
  }
}

void ShareLessor::OnApplied(const DaemonId& grantor, std::uint64_t sequence) {
  for (auto& [organisation, lease] : leases_) {
    if (lease.former == grantor && sequence >= lease.release_sequence) {
      lease.former = DaemonId();
    }
  }
}

void ShareLessor::OnConnected(const DaemonId& grantor) {
  changed_.insert(grantor);
}

void ShareLessor::End(Lease& lease, const GrantorView& view, BootTime now) {
  const bool forgotten =
      SessionOf(view, lease.grantor) != lease.session || view.has_ended(lease.grantor);
  changed_.insert(lease.grantor);
  if (!forgotten && lease.grantor != view.self) {
    lease.former = lease.grantor;
    lease.former_session = lease.session;
    // All changed lists are sent by this update, with higher numbers.
    lease.release_sequence = sequence_ + 1;
    lease.free_at = now + view.lease + view.margin;
  }
  lease.grantor = DaemonId();
}

void ShareLessor::EndFormer(Lease& lease, const GrantorView& view, BootTime now) {
  if (now >= lease.free_at || view.has_ended(lease.former) ||
      SessionOf(view, lease.former) != lease.former_session) {
    lease.former = DaemonId();
  }
}

std::vector<ShareLessor::Leases> ShareLessor::Update(const GrantorView& view, BootTime now) {
  const bool all_changed = view.daemons != sent_daemons_ || view.lease != sent_lease_;
  sent_daemons_ = view.daemons;
  sent_lease_ = view.lease;
  for (auto& [organisation, lease] : leases_) {
    const DaemonId& chosen = view.chosen.at(organisation);
    if (!lease.grantor.empty() &&
        (lease.grantor != chosen || SessionOf(view, lease.grantor) != lease.session)) {
      End(lease, view, now);
    }
    if (!lease.former.empty()) {
      EndFormer(lease, view, now);
    }
    const bool available = lease.former.empty() || lease.former == chosen;
    if (lease.grantor.empty() && !chosen.empty() && available) {
      lease = {.grantor = chosen, .session = SessionOf(view, chosen)};
      changed_.insert(chosen);
    }
    if (all_changed && !lease.grantor.empty()) {
      changed_.insert(lease.grantor);
    }
  }
  std::map<DaemonId, Leases> lists;
  for (const DaemonId& grantor : changed_) {
    lists[grantor] = {.grantor = grantor, .sequence = ++sequence_};
  }
  changed_.clear();
  if (lists.empty()) {
    return {};
  }
  for (const auto& [organisation, lease] : leases_) {
    if (const auto list = lists.find(lease.grantor); list != lists.end()) {
      list->second.organisations.push_back(organisation);
    }
  }
  std::vector<Leases> result;
  for (auto& [grantor, list] : lists) {
    result.push_back(std::move(list));
  }
  return result;
}

}  // namespace acaciaspring::organisations
