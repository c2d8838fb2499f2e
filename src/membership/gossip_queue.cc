#include "src/membership/gossip_queue.h"

#include <algorithm>
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

std::uint32_t GossipQueue::TransmissionLimit(NewsKind kind, std::size_t members) {
  // When every member sends news to k random members, a share of about exp(-k) does not hear it:
  // log2(n) + 3 leaves less than one member in 20 n. Comparing digests repairs the rest.
  // A changed revision affects every member at once, so that log2(n) + 3 transmissions would take
  // longer at 420 members than the two minutes between two changes. The digest does not cover the
  // revision; each datagram states that of its sender, which repairs what is missed.
  const auto log_members = static_cast<std::uint32_t>(std::bit_width(members));
  return kind == NewsKind::kRevision ? std::min<std::uint32_t>(log_members + 3, 8)
                                     : log_members + 3;
}

void GossipQueue::CountTransmission(Item item, std::size_t members) {
  auto& [kind, count, id] = item;
  order_.erase(item);
  if (++count >= TransmissionLimit(kind, members)) {
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
