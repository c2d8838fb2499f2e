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

std::uint32_t GossipQueue::TransmissionLimit(NewsKind kind, std::size_t members) {
  // After 3 log2(n) rounds of rumour spreading the chance that a member has not heard is below
  // 1/n^2 even with a few per cent of loss. A changed revision affects every member at once, so it
  // gets 4: that reaches 98 % of them, and each datagram states the revision of its sender anyway.
  return kind == NewsKind::kRevision ? 4 : 3 * static_cast<std::uint32_t>(std::bit_width(members));
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
  for (Item& item : taken) {
    auto& [kind, count, id] = item;
    order_.erase(item);
    if (++count >= TransmissionLimit(kind, members)) {
      transmissions_.erase({id, kind});
      continue;
    }
    transmissions_[{id, kind}] = count;
    order_.insert(item);
  }
}

}  // namespace acaciaspring::membership
