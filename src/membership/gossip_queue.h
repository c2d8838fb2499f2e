#ifndef ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
#define ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "acaciaspring/base.h"

namespace acaciaspring::membership {

/// @brief Kinds of changes of a member, in the order in which they are sent.
enum class GossipKind : std::uint8_t { kLiveness, kFlags, kRevision };

/// @brief Members with updates to disseminate. Each update is sent a bounded number of times;
/// within a kind, the update with the fewest transmissions is sent first.
class GossipQueue {
 public:
  /// @brief Queues an update, or resets its transmission count if it is queued already.
  void Push(const DaemonId& id, GossipKind kind);
  /// @brief Counts the same update received from another member as one transmission.
  void CountDuplicate(const DaemonId& id, GossipKind kind, std::size_t member_count);
  void Remove(const DaemonId& id);
  /// @brief True while the queue holds an update of a kind that changes the digest.
  bool HasDigestUpdate() const;
  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }
  /// @brief Passes updates to `add` until it returns false because the datagram is full, and counts
  /// one transmission of each added update. `member_count` determines the transmission limit.
  void Select(std::size_t member_count,
              const std::function<bool(const DaemonId&, GossipKind)>& add);
  /// @brief Number of times that one update is sent in a cluster of `member_count` members.
  static std::uint32_t TransmissionLimit(GossipKind kind, std::size_t member_count);

 private:
  /// Kind, transmissions so far, member; the sort order is the order of sending.
  using Key = std::tuple<GossipKind, std::uint32_t, DaemonId>;
  void CountTransmission(Key key, std::size_t member_count);

  std::set<Key> queue_;
  std::map<std::pair<DaemonId, GossipKind>, std::uint32_t> transmissions_;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
