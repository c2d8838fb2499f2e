#ifndef ACACIASPRING_SRC_DAEMON_CLUSTER_H_
#define ACACIASPRING_SRC_DAEMON_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciaspring/membership.h"
#include "acaciaspring/placement.h"
#include "src/daemon/context.h"

namespace acaciaspring::daemon {

struct ClusterHandlers {
  /// Called when the members, the state of a member or the placement has changed.
  std::function<void()> on_changed;
  /// Called when the cluster has a later incarnation of this daemon; this process must end.
  std::function<void()> on_superseded;
  /// Returns the shards with calls that are queued or running on this daemon.
  std::function<std::set<ShardId>()> busy_shards;
  /// Called when a shard stops accepting new calls before its release, or accepts them again.
  std::function<void(ShardId shard, bool draining)> set_draining;
};

/// @brief Takes part in membership, computes the placement, and claims and releases shards for this
/// daemon.
class Cluster {
 public:
  Cluster(Context context, ClusterHandlers handlers);

  void Start();
  /// @brief Announces the graceful shutdown; from now on the shards are handed over to other
  /// daemons.
  void Leave();
  void SetReady(bool ready);
  void SetRevision(Revision revision);

  bool leaving() const { return leaving_; }
  const std::vector<membership::Member>& members() const { return members_.members(); }
  const membership::Member* Find(const DaemonId& daemon) const { return members_.Find(daemon); }
  const placement::Placement& placement() const { return placement_; }
  const membership::MembersCounters& counters() const { return members_.counters(); }
  /// @brief The owner of the shard according to the log; none if membership reports that process as
  /// dead.
  std::optional<DaemonId> LiveOwner(ShardId shard) const;
  std::size_t owned_shards() const;

 private:
  void OnDatagram(const net::Address& from, std::string_view datagram);
  void SendDatagrams(const std::vector<membership::OutgoingDatagram>& datagrams);
  void Tick();
  void OnMembersChanged();
  void PlanShards();
  void ClaimShards(const std::vector<ShardId>& shards);
  void ReleaseShards(const std::vector<ShardId>& shards);
  void FetchVmList();
  bool OwnsShard(ShardId shard) const;

  Context context_;
  ClusterHandlers handlers_;
  membership::Members members_;
  placement::Placement placement_;
  placement::ShardPlanner planner_;
  net::DatagramSocket socket_;
  bool leaving_ = false;
  /// Version of the member list at the last call of OnMembersChanged().
  std::uint64_t processed_version_ = 0;
  /// Incarnations of the members that are not dead.
  std::map<DaemonId, Incarnation> alive_incarnations_;
  net::Timer tick_timer_;
  net::Timer plan_timer_;
  net::Timer vm_list_timer_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CLUSTER_H_
