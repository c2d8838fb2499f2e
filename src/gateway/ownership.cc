#include "src/gateway/ownership.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Time for a few appends; after a longer wait the store is considered unavailable.
constexpr Duration kHandOverTimeout = std::chrono::milliseconds(400);

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

void Ownership::SetAssignment(std::vector<AssignedPartition> assigned,
                              ledger::OwnerEpoch generation,
                              std::function<void()> on_released) {
  if (!serving_) {
    return;
  }
  assigned_ = std::move(assigned);
  generation_ = generation;
  on_released_ = std::move(on_released);
  ApplyAssignment();
}

void Ownership::Stop(std::function<void()> on_released) {
  serving_ = false;
  assigned_.clear();
  on_released_ = std::move(on_released);
  ApplyAssignment();
}

void Ownership::ApplyAssignment() {
  std::unordered_map<ledger::PartitionId, ledger::OwnerEpoch> target_epochs;
  for (const AssignedPartition& entry : assigned_) {
    const auto local = local_.find(entry.partition);
    if (local == local_.end() || local->second->epoch() < entry.epoch) {
      target_epochs[entry.partition] = entry.epoch;
    } else if (local->second->state() == ledger::Partition::State::kLost) {
      // The partition moved away and back between two responses of the group.
      target_epochs[entry.partition] = std::max(local->second->epoch(), generation_);
    } else {
      target_epochs[entry.partition] = local->second->epoch();
    }
  }
  std::vector<std::shared_ptr<ledger::Partition>> served;
  std::vector<std::shared_ptr<ledger::Partition>> others;
  for (const auto& [id, partition] : local_) {
    const auto found = target_epochs.find(id);
    const bool assigned = found != target_epochs.end() && found->second == partition->epoch();
    if (!assigned && !handing_over_.contains(id)) {
      const bool serving = partition->state() == ledger::Partition::State::kServing;
      (serving ? served : others).push_back(partition);
    }
  }
  for (const auto& partition : others) {
    local_.erase(partition->id());
    partition->Release();
  }
  HandOver(served);
  for (const auto& [id, epoch] : target_epochs) {
    if (local_.contains(id)) {
      continue;
    }
    const auto partition = std::make_shared<ledger::Partition>(
        id, epoch, store_, context_.options.partition,
        [this](const ledger::Partition& changed) { OnStateChanged(changed); });
    local_.emplace(id, partition);
    partition->Start();
  }
  if (handing_over_.empty()) {
    if (const auto done = std::exchange(on_released_, nullptr)) {
      done();
    }
  }
}

void Ownership::HandOver(const std::vector<std::shared_ptr<ledger::Partition>>& partitions) {
  if (partitions.empty()) {
    return;
  }
  // All are entered first, because a partition without programs is handed over at once.
  for (const auto& partition : partitions) {
    handing_over_.emplace(partition->id(),
                          context_.loop.After(kHandOverTimeout, [this, id = partition->id()] {
                            FinishHandOver(id, "timeout");
                          }));
  }
  for (const auto& partition : partitions) {
    partition->HandOver([this, id = partition->id()](bool durable) {
      FinishHandOver(id, durable ? "recorded" : "lost");
    });
  }
  on_changed_();
}

void Ownership::FinishHandOver(ledger::PartitionId id, std::string_view outcome) {
  const auto found = local_.find(id);
  if (handing_over_.erase(id) == 0 || found == local_.end()) {
    return;
  }
  const std::shared_ptr<ledger::Partition> partition = found->second;
  local_.erase(found);
  context_.events.Write("partition_handed_over",
                        {{"partition", id.value()},
                         {"epoch", static_cast<std::int64_t>(partition->epoch().value())},
                         {"spends", std::string(outcome)}});
  // Turns that are still running are recorded by the next owner.
  partition->Release();
  ApplyAssignment();
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
    // While the store refuses the requests of this daemon, it does not report a new owner either.
    const auto local = local_.find(owned.partition);
    if (local != local_.end() && local->second->epoch() < owned.epoch &&
        local->second->state() != ledger::Partition::State::kLost) {
      replaced.push_back(local->second);
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

std::shared_ptr<ledger::Partition> Ownership::FindServing(ledger::PartitionId partition) const {
  const auto found = local_.find(partition);
  if (!serving_ || found == local_.end() || !found->second->admits()) {
    return nullptr;
  }
  return found->second;
}

std::optional<DaemonId> Ownership::RemoteOwner(ledger::PartitionId partition) const {
  const auto found = remote_.find(partition);
  return found == remote_.end() ? std::nullopt : std::optional<DaemonId>(found->second.daemon);
}

std::vector<OwnedPartition> Ownership::OwnedPartitions() const {
  std::vector<OwnedPartition> owned;
  for (const auto& [id, partition] : local_) {
    if (FindServing(id) != nullptr) {
      owned.push_back({.partition = id, .epoch = partition->epoch()});
    }
  }
  return owned;
}

std::vector<std::shared_ptr<ledger::Partition>> Ownership::ServedPartitions() const {
  std::vector<std::shared_ptr<ledger::Partition>> served;
  for (const auto& [id, partition] : local_) {
    if (partition->state() == ledger::Partition::State::kServing) {
      served.push_back(partition);
    }
  }
  return served;
}

std::vector<std::shared_ptr<ledger::Partition>> Ownership::WritablePartitions() const {
  std::vector<std::shared_ptr<ledger::Partition>> writable;
  for (const auto& [id, partition] : local_) {
    if (serving_ && partition->writable()) {
      writable.push_back(partition);
    }
  }
  std::sort(writable.begin(), writable.end(),
            [](const auto& a, const auto& b) { return a->id() < b->id(); });
  return writable;
}

void Ownership::Maintain() {
  for (const auto& partition : ServedPartitions()) {
    partition->Maintain();
  }
}

}  // namespace acaciaspring::gateway
