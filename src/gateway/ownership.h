#ifndef ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_
#define ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/gateway/context.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief Tracks which daemon serves which partition and holds the partitions that this one serves.
class Ownership {
 public:
  /// @brief `on_changed` is called when this daemon starts to serve a partition or loses one.
  Ownership(Context& context, ledger::PartitionStore& store, std::function<void()> on_changed);

  /// @brief Applies an assignment of the member group, made in `generation`. A lost partition that
  /// is assigned to this daemon again is taken over with `generation` as its epoch. A partition
  /// that is no longer assigned is handed over and released. Calls `on_released` once no such
  /// partition is left; a later call of this function replaces a callback that has not been called.
  void SetAssignment(std::vector<AssignedPartition> assigned,
                     ledger::OwnerEpoch generation,
                     std::function<void()> on_released);
  /// @brief Replaces what is known of the partitions that another daemon serves. A local partition
  /// that the other daemon serves under a higher epoch is released.
  void OnStatus(const DaemonId& daemon, const PeerStatus& status);
  void ForgetDaemon(const DaemonId& daemon);

  /// @brief The partition if this daemon serves it and it admits turns, otherwise null.
  std::shared_ptr<ledger::Partition> FindServing(ledger::PartitionId partition) const;
  /// @brief The other daemon that serves the partition, if known.
  std::optional<DaemonId> RemoteOwner(ledger::PartitionId partition) const;
  /// @brief The partitions to announce to other daemons: those found by FindServing.
  std::vector<OwnedPartition> OwnedPartitions() const;
  /// @brief Partitions in the serving state, including those that admit no more turns.
  std::vector<std::shared_ptr<ledger::Partition>> ServedPartitions() const;
  /// @brief Partitions that currently accept records.
  std::vector<std::shared_ptr<ledger::Partition>> WritablePartitions() const;
  void Maintain();
  /// @brief From now on, admits no turns, announces no partitions and ignores assignments. Hands
  /// over and releases all partitions, then calls `on_released`.
  void Stop(std::function<void()> on_released);

 private:
  struct RemoteClaim {
    DaemonId daemon;
    ledger::OwnerEpoch epoch;
  };

  void OnStateChanged(const ledger::Partition& partition);
  /// @brief Releases what is not assigned, takes over what is, and reports when it is done.
  void ApplyAssignment();
  /// @brief Releases each partition when its spends are recorded or the time for it has passed.
  void HandOver(const std::vector<std::shared_ptr<ledger::Partition>>& partitions);
  void FinishHandOver(ledger::PartitionId id, std::string_view outcome);

  Context& context_;
  ledger::PartitionStore& store_;
  std::function<void()> on_changed_;
  std::unordered_map<ledger::PartitionId, std::shared_ptr<ledger::Partition>> local_;
  std::unordered_map<ledger::PartitionId, RemoteClaim> remote_;
  /// The last assignment and its generation.
  std::vector<AssignedPartition> assigned_;
  ledger::OwnerEpoch generation_;
  /// Local partitions that are being handed over, with the timers that bound the time for it.
  std::unordered_map<ledger::PartitionId, net::Timer> handing_over_;
  std::function<void()> on_released_;
  bool serving_ = true;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_OWNERSHIP_H_
