#include "src/membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

namespace acaciaspring::membership {

void GossipQueue::Push(const DaemonId& id, GossipKind kind) {
  const auto [found, added] = transmissions_.try_emplace({id, kind}, 0);
  if (!added) {
    queue_.erase({kind, found->second, id});
    found->second = 0;
  }
  queue_.insert({kind, 0, id});
}

void GossipQueue::Remove(const DaemonId& id) {
  for (const GossipKind kind : {GossipKind::kLiveness, GossipKind::kFlags, GossipKind::kRevision}) {
    const auto found = transmissions_.find({id, kind});
    if (found != transmissions_.end()) {
      queue_.erase({kind, found->second, id});
      transmissions_.erase(found);
    }
  }
}

bool GossipQueue::HasDigestUpdate() const {
  return !queue_.empty() && std::get<GossipKind>(*queue_.begin()) != GossipKind::kRevision;
}

std::uint32_t GossipQueue::TransmissionLimit(GossipKind kind, std::size_t member_count) {
  // If every member sends an update to k random members, a share of about exp(-k) misses it: with
  // log2(n) + 3 transmissions less than one member in 20 n. Digest comparison repairs the rest. A
  // changed revision affects every member at once: at 420 members, log2(n) + 3 transmissions would
  // take longer than the two minutes between two changes, so that a revision is sent at most 8
  // times. The digest does not cover the revision; members that missed the update learn it from
  // the status that each datagram contains about its sender.
  const auto log_member_count = static_cast<std::uint32_t>(std::bit_width(member_count));
  return kind == GossipKind::kRevision ? std::min<std::uint32_t>(log_member_count + 3, 8)
                                       : log_member_count + 3;
}

void GossipQueue::CountTransmission(Key key, std::size_t member_count) {
  auto& [kind, count, id] = key;
  queue_.erase(key);
  if (++count >= TransmissionLimit(kind, member_count)) {
    transmissions_.erase({id, kind});
    return;
  }
  transmissions_[{id, kind}] = count;
  queue_.insert(key);
}

void GossipQueue::CountDuplicate(const DaemonId& id, GossipKind kind, std::size_t member_count) {
  const auto found = transmissions_.find({id, kind});
  if (found != transmissions_.end()) {
    CountTransmission({kind, found->second, id}, member_count);
  }
}

void GossipQueue::Select(std::size_t member_count,
                         const std::function<bool(const DaemonId&, GossipKind)>& add) {
  std::vector<Key> selected;
  for (const Key& key : queue_) {
    if (!add(std::get<DaemonId>(key), std::get<GossipKind>(key))) {
      break;
    }
    selected.push_back(key);
  }
  for (const Key& key : selected) {
    CountTransmission(key, member_count);
  }
}

}  // namespace acaciaspring::membership
