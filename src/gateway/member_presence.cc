#include "src/gateway/member_presence.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

MemberPresence::MemberPresence(DaemonId self, MemberPresenceOptions options)
    : self_(std::move(self)), options_(options) {}

void MemberPresence::SetMembers(const std::vector<Member>& members, MonotonicTime now) {
  std::unordered_map<DaemonId, Entry> updated;
  for (const Member& member : members) {
    if (member.id == self_) {
      continue;
    }
    const auto known = entries_.find(member.id);
    Entry entry = known == entries_.end() ? Entry{.last_seen = now} : known->second;
    entry.zone = member.zone;
    updated[member.id] = entry;
  }
  entries_ = std::move(updated);
}

void MemberPresence::OnHeard(const DaemonId& daemon, MonotonicTime now) {
  if (const auto found = entries_.find(daemon); found != entries_.end()) {
    found->second.last_seen = now;
    found->second.heard = true;
  }
}

bool MemberPresence::SeenWithin(const Entry& entry, Duration period, MonotonicTime now) const {
  return now - entry.last_seen <= period;
}

PresentDaemons MemberPresence::Present(MonotonicTime now) const {
  std::size_t recent = 1;
  std::size_t known = 1;
  for (const auto& [id, entry] : entries_) {
    recent += SeenWithin(entry, options_.silence, now) ? 1 : 0;
    // A registered daemon that was never heard ended before this one started.
    known += (entry.heard && SeenWithin(entry, options_.isolated_silence, now)) ||
                     SeenWithin(entry, options_.silence, now)
                 ? 1
                 : 0;
  }
  PresentDaemons present{.isolated = recent * 2 <= known};
  for (const auto& [id, entry] : entries_) {
    const bool counts =
        SeenWithin(entry, options_.silence, now) ||
        (present.isolated && entry.heard && SeenWithin(entry, options_.isolated_silence, now));
    if (counts) {
      present.others.push_back({.id = id, .zone = entry.zone});
    }
  }
  std::sort(
      present.others.begin(), present.others.end(),
      [](const ShareCandidate& left, const ShareCandidate& right) { return left.id < right.id; });
  return present;
}

}  // namespace acaciaspring::gateway
