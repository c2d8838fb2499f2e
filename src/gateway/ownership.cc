#include "src/gateway/ownership.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

const char* StateName(ledger::Partition::State state) {
  switch (state) {
    case ledger::Partition::State::kFencing:
      return "fencing";
    case ledger::Partition::State::kLoading:
      return "loading";
    case ledger::Partition::State::kServing:
      return "serving";
    case ledger::Partition::State::kLost:
      return "lost";
  }
  return "";
}

}  // namespace

Ownership::Ownership(Context& context,
                     ledger::PartitionStore& store,
                     std::function<void()> on_changed)
    : context_(context), store_(store), on_changed_(std::move(on_changed)) {}

void Ownership::SetAssignment(const std::vector<AssignedPartition>& assigned,
                              ledger::OwnerEpoch generation) {
  std::unordered_map<ledger::PartitionId, ledger::OwnerEpoch> wanted;
  for (const AssignedPartition& entry : assigned) {
    const auto own = own_.find(entry.partition);
    if (own == own_.end() || own->second->epoch() < entry.epoch) {
      wanted[entry.partition] = entry.epoch;
    } else if (own->second->state() == ledger::Partition::State::kLost) {
      // It moved away and back between two answers of the group.
      wanted[entry.partition] = std::max(own->second->epoch(), generation);
    } else {
      wanted[entry.partition] = own->second->epoch();
    }
  }
  std::vector<std::shared_ptr<ledger::Partition>> released;
  for (auto it = own_.begin(); it != own_.end();) {
    const auto found = wanted.find(it->first);
    if (found == wanted.end() || found->second != it->second->epoch()) {
      released.push_back(it->second);
      it = own_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& partition : released) {
    partition->Release();
  }
  for (const auto& [id, epoch] : wanted) {
    if (own_.contains(id)) {
      continue;
    }
    const auto partition = std::make_shared<ledger::Partition>(
        id, epoch, store_, context_.options.partition,
        [this](const ledger::Partition& changed) { OnStateChanged(changed); });
    own_.emplace(id, partition);
    partition->Start();
  }
}

void Ownership::OnStateChanged(const ledger::Partition& partition) {
  context_.events.Write("partition",
                        {{"partition", partition.id().value()},
                         {"epoch", static_cast<std::int64_t>(partition.epoch().value())},
                         {"state", StateName(partition.state())}});
  if (partition.state() == ledger::Partition::State::kServing ||
      partition.state() == ledger::Partition::State::kLost) {
    on_changed_();
  }
}

void Ownership::OnStatus(const DaemonId& daemon, const PeerStatus& status) {
  std::erase_if(remote_, [&](const auto& entry) { return entry.second.daemon == daemon; });
  std::vector<std::shared_ptr<ledger::Partition>> replaced;
  for (const OwnedPartition& owned : status.owned) {
    const auto known = remote_.find(owned.partition);
    if (known == remote_.end() || known->second.epoch < owned.epoch) {
      remote_[owned.partition] = {.daemon = daemon, .epoch = owned.epoch};
    }
    // While the store turns this daemon away, it says nothing of a new owner.
    const auto own = own_.find(owned.partition);
    if (own != own_.end() && own->second->epoch() < owned.epoch &&
        own->second->state() != ledger::Partition::State::kLost) {
      replaced.push_back(own->second);
    }
  }
  for (const auto& partition : replaced) {
    context_.events.Write(
        "partition_replaced",
        {{"partition", partition->id().value()},
         {"epoch", static_cast<std::int64_t>(partition->epoch().value())},
         {"owner", daemon.value()},
         {"owner_epoch", static_cast<std::int64_t>(remote_.at(partition->id()).epoch.value())}});
    partition->Release();
  }
}

void Ownership::ForgetDaemon(const DaemonId& daemon) {
  std::erase_if(remote_, [&](const auto& entry) { return entry.second.daemon == daemon; });
}

std::shared_ptr<ledger::Partition> Ownership::Serving(ledger::PartitionId partition) const {
  const auto found = own_.find(partition);
  if (!serving_ || found == own_.end() || !found->second->admits()) {
    return nullptr;
  }
  return found->second;
}

std::optional<DaemonId> Ownership::RemoteOwner(ledger::PartitionId partition) const {
  const auto found = remote_.find(partition);
  return found == remote_.end() ? std::nullopt : std::optional<DaemonId>(found->second.daemon);
}

std::vector<OwnedPartition> Ownership::Owned() const {
  std::vector<OwnedPartition> owned;
  for (const auto& [id, partition] : own_) {
    if (Serving(id) != nullptr) {
      owned.push_back({.partition = id, .epoch = partition->epoch()});
    }
  }
  return owned;
}

std::vector<std::shared_ptr<ledger::Partition>> Ownership::ServedPartitions() const {
  std::vector<std::shared_ptr<ledger::Partition>> served;
  for (const auto& [id, partition] : own_) {
    if (partition->state() == ledger::Partition::State::kServing) {
      served.push_back(partition);
    }
  }
  return served;
}

std::vector<std::shared_ptr<ledger::Partition>> Ownership::Recorders() const {
  std::vector<std::shared_ptr<ledger::Partition>> recorders;
  for (const auto& [id, partition] : own_) {
    if (serving_ && partition->takes_records()) {
      recorders.push_back(partition);
    }
  }
  std::sort(recorders.begin(), recorders.end(),
            [](const auto& a, const auto& b) { return a->id() < b->id(); });
  return recorders;
}

void Ownership::Maintain() {
  for (const auto& partition : ServedPartitions()) {
    partition->Maintain();
  }
}

void Ownership::ReleaseAll() {
  const auto own = std::exchange(own_, {});
  for (const auto& [id, partition] : own) {
    partition->Release();
  }
}

}  // namespace acaciaspring::gateway
