#ifndef ACACIASPRING_SRC_ORGANISATIONS_DAEMON_PRESENCE_H_
#define ACACIASPRING_SRC_ORGANISATIONS_DAEMON_PRESENCE_H_

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

/// @brief Tells which daemons have shares of the limits, and which can be heard.
class DaemonPresence {
 public:
  explicit DaemonPresence(DaemonId self) : self_(std::move(self)) {}
  void SetMembers(const std::vector<DaemonId>& members, BootTime now);
  void OnHeard(const DaemonId& daemon, BootTime now);
  void OnEnded(const DaemonId& daemon);
  /// @brief Number of daemons that have shares, this one included.
  std::size_t Count(BootTime now) const;
  bool HeardWithin(const DaemonId& daemon, Duration period, BootTime now) const;
  bool HasEnded(const DaemonId& daemon) const;
  bool members_known() const { return members_known_; }

 private:
  struct Entry {
    /// When the daemon was last heard, or first registered.
    BootTime last_seen;
    bool heard = false;
    bool ended = false;
    bool registered = false;
  };
  static bool Counts(const Entry& entry, BootTime now);

  DaemonId self_;
  std::unordered_map<DaemonId, Entry> entries_;
  bool members_known_ = false;
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_DAEMON_PRESENCE_H_
