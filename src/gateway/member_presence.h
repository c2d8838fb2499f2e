#ifndef ACACIASPRING_SRC_GATEWAY_MEMBER_PRESENCE_H_
#define ACACIASPRING_SRC_GATEWAY_MEMBER_PRESENCE_H_

#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/gateway/rate_limit_share.h"

namespace acaciaspring::gateway {

struct MemberPresenceOptions {
  /// A daemon counts as absent after it has been silent for this long.
  Duration silence = std::chrono::seconds(5);
  /// The same, while no more than half of the daemons are heard.
  Duration isolated_silence = std::chrono::seconds(60);
};

/// @brief Daemons that share the limits of endpoints with this one.
struct PresentDaemons {
  /// Without this daemon, ordered by id.
  std::vector<ShareCandidate> others = {};
  /// This daemon hears no more than half of the daemons.
  bool isolated = false;
  bool operator==(const PresentDaemons&) const = default;
};

/// @brief Tells which daemons share the limits of endpoints.
///
/// An isolated daemon is probably cut off from the others, and they go on without it. It keeps
/// counting them for a longer time, so that its own share does not grow while they divide the whole
/// limit among themselves.
class MemberPresence {
 public:
  explicit MemberPresence(DaemonId self, MemberPresenceOptions options = {});
  /// @brief Sets all registered daemons, including those that have ended.
  void SetMembers(const std::vector<Member>& members, MonotonicTime now);
  /// @brief Records a message from the daemon.
  void OnHeard(const DaemonId& daemon, MonotonicTime now);
  PresentDaemons Present(MonotonicTime now) const;

 private:
  struct Entry {
    AvailabilityZone zone = {};
    /// When the daemon was last heard, or first registered.
    MonotonicTime last_seen = {};
    bool heard = false;
  };
  bool SeenWithin(const Entry& entry, Duration period, MonotonicTime now) const;

  DaemonId self_;
  MemberPresenceOptions options_;
  std::unordered_map<DaemonId, Entry> entries_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_MEMBER_PRESENCE_H_
