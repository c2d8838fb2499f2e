#ifndef ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_
#define ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/gateway/context.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief Which daemon serves which partition, and the partitions that this one serves.
class Ownership {
 public:
  /// @brief `on_changed` is called when a partition starts to be served here or is lost.
  Ownership(Context& context, ledger::PartitionStore& store, std::function<void()> on_changed);

  /// @brief `generation` is the group's when it dealt these partitions. A partition that was lost
  /// and is dealt here nevertheless is taken over again under it.
  void SetAssignment(const std::vector<AssignedPartition>& assigned, ledger::OwnerEpoch generation);
  /// @brief What another daemon says it serves replaces what it said before. A partition that it
  /// serves under a higher epoch is released here.
  void OnStatus(const DaemonId& daemon, const PeerStatus& status);
  void ForgetDaemon(const DaemonId& daemon);

  /// @brief The partition if this daemon serves it.
  std::shared_ptr<ledger::Partition> FindServing(ledger::PartitionId partition) const;
  /// @brief Another daemon that serves the partition.
  std::optional<DaemonId> RemoteOwner(ledger::PartitionId partition) const;
  std::vector<OwnedPartition> OwnedPartitions() const;
  std::vector<std::shared_ptr<ledger::Partition>> ServedPartitions() const;
  /// @brief Served partitions that take records now.
  std::vector<std::shared_ptr<ledger::Partition>> WritablePartitions() const;
  void Maintain();
  /// @brief No partition is reported as served from now on.
  void StopServing() { serving_ = false; }
  void ReleaseAll();

 private:
  struct RemoteClaim {
    DaemonId daemon;
    ledger::OwnerEpoch epoch;
  };

  void OnStateChanged(const ledger::Partition& partition);

  Context& context_;
  ledger::PartitionStore& store_;
  std::function<void()> on_changed_;
  std::unordered_map<ledger::PartitionId, std::shared_ptr<ledger::Partition>> local_;
  std::unordered_map<ledger::PartitionId, RemoteClaim> remote_;
  bool serving_ = true;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_
