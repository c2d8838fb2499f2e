#include "src/organisations/daemon_presence.h"

#include <algorithm>

namespace acaciaspring::organisations {

namespace {

// A daemon that cannot be heard may be cut off and use its share for as long as it is cut off.
constexpr Duration kSilence = std::chrono::seconds(60);
// A registered daemon that was never heard ended before this one started.
constexpr Duration kNeverHeard = std::chrono::seconds(5);

}  // namespace

void DaemonPresence::SetMembers(const std::vector<DaemonId>& members, BootTime now) {
  members_known_ = true;
  for (auto& [id, entry] : entries_) {
    entry.registered = false;
  }
  for (const DaemonId& member : members) {
    if (member != self_) {
      entries_.try_emplace(member, Entry{.last_seen = now}).first->second.registered = true;
    }
  }
  std::erase_if(entries_, [&](const auto& entry) {
    return !entry.second.registered && !Counts(entry.second, now);
  });
}

void DaemonPresence::OnHeard(const DaemonId& daemon, BootTime now) {
  if (const auto found = entries_.find(daemon); found != entries_.end()) {
    found->second.last_seen = now;
    found->second.heard = true;
    found->second.ended = false;
  }
}

void DaemonPresence::OnEnded(const DaemonId& daemon) {
  if (const auto found = entries_.find(daemon); found != entries_.end()) {
    found->second.ended = true;
  }
}

bool DaemonPresence::Counts(const Entry& entry, BootTime now) {
  return !entry.ended && now - entry.last_seen <= (entry.heard ? kSilence : kNeverHeard) &&
         (entry.heard || entry.registered);
}

std::size_t DaemonPresence::Count(BootTime now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(entries_.begin(), entries_.end(),
                               [&](const auto& entry) { return Counts(entry.second, now); }));
}

bool DaemonPresence::HeardWithin(const DaemonId& daemon, Duration period, BootTime now) const {
  const auto found = entries_.find(daemon);
  return found != entries_.end() && found->second.heard && !found->second.ended &&
         now - found->second.last_seen <= period;
}

bool DaemonPresence::HasEnded(const DaemonId& daemon) const {
  const auto found = entries_.find(daemon);
  return found != entries_.end() && found->second.ended;
}

}  // namespace acaciaspring::organisations
