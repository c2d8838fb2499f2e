#include "src/membership/gossip_queue.h"

#include <bit>
#include <utility>
#include <vector>

namespace acaciaspring::membership {

void GossipQueue::Push(const DaemonId& id, NewsKind kind) {
  const auto [found, added] = transmissions_.try_emplace({id, kind}, 0);
  if (!added) {
    order_.erase({kind, found->second, id});
    found->second = 0;
  }
  order_.insert({kind, 0, id});
}

void GossipQueue::Remove(const DaemonId& id) {
  for (const NewsKind kind : {NewsKind::kLiveness, NewsKind::kFlags, NewsKind::kRevision}) {
    const auto found = transmissions_.find({id, kind});
    if (found != transmissions_.end()) {
      order_.erase({kind, found->second, id});
      transmissions_.erase(found);
    }
  }
}

bool GossipQueue::HasDigestNews() const {
  return !order_.empty() && std::get<NewsKind>(*order_.begin()) != NewsKind::kRevision;
}

std::uint32_t GossipQueue::TransmissionLimit(std::size_t members) {
  // When every member sends news to k random members, a share of about exp(-k) does not hear it:
  // log2(n) + 3 leaves less than one member in 20 n. Comparing digests repairs the rest.
  const auto log_members = static_cast<std::uint32_t>(std::bit_width(members));
  return log_members + 3;
}

void GossipQueue::CountTransmission(Item item, std::size_t members) {
  auto& [kind, count, id] = item;
  order_.erase(item);
  if (++count >= TransmissionLimit(members)) {
    transmissions_.erase({id, kind});
    return;
  }
  transmissions_[{id, kind}] = count;
  order_.insert(item);
}

void GossipQueue::Heard(const DaemonId& id, NewsKind kind, std::size_t members) {
  const auto found = transmissions_.find({id, kind});
  if (found != transmissions_.end()) {
    CountTransmission({kind, found->second, id}, members);
  }
}

void GossipQueue::Visit(std::size_t members,
                        const std::function<bool(const DaemonId&, NewsKind)>& take) {
  std::vector<Item> taken;
  for (const Item& item : order_) {
    if (!take(std::get<DaemonId>(item), std::get<NewsKind>(item))) {
      break;
    }
    taken.push_back(item);
  }
  for (const Item& item : taken) {
    CountTransmission(item, members);
  }
}

}  // namespace acaciaspring::membership
