#ifndef ACACIASPRING_SRC_ORGANISATIONS_SHARE_LESSOR_H_
#define ACACIASPRING_SRC_ORGANISATIONS_SHARE_LESSOR_H_

#include <functional>
#include <map>
#include <set>

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

/// @brief The daemon with the highest rendezvous hash for the organisation; empty without
/// candidates.
DaemonId ChooseGrantor(const OrganisationId& organisation, const std::vector<DaemonId>& candidates);

/// @brief What the lessor has to know of other daemons.
struct GrantorView {
  DaemonId self = {};
  /// The grantor to use for each organisation.
  const std::unordered_map<OrganisationId, DaemonId>& chosen;
  /// Known sessions, that of this daemon included.
  const std::unordered_map<DaemonId, std::uint64_t>& sessions;
  std::function<bool(const DaemonId&)> has_ended;
  std::uint32_t daemons = 1;
  Duration lease{};
  Duration margin{};
};

/// @brief Leases this daemon's share of each limit to one grantor at a time. A share is leased to
/// another grantor only when the former one can no longer use it.
class ShareLessor {
 public:
  struct Leases {
    DaemonId grantor = {};
    std::uint64_t sequence = 0;
    std::vector<OrganisationId> organisations = {};
  };

  void SetOrganisations(const std::set<OrganisationId>& organisations);
  /// @brief The grantor has applied the leases with this number.
  void OnApplied(const DaemonId& grantor, std::uint64_t sequence);
  /// @brief The leases have to be sent to the daemon again.
  void OnConnected(const DaemonId& grantor);
  /// @brief Changes the leases and returns the changed ones, to be sent in this order.
  std::vector<Leases> Update(const GrantorView& view, BootTime now);

 private:
  struct Lease {
    /// Empty if the share is not leased.
    DaemonId grantor = {};
    std::uint64_t session = 0;
    /// Former grantor that may still use the share; empty if there is none.
    DaemonId former = {};
    std::uint64_t former_session = 0;
    std::uint64_t release_sequence = 0;
    BootTime free_at = {};
  };
  void End(Lease& lease, const GrantorView& view, BootTime now);
  static void EndFormer(Lease& lease, const GrantorView& view, BootTime now);

  std::unordered_map<OrganisationId, Lease> leases_;
  /// Grantors that have to be sent their leases.
  std::set<DaemonId> changed_;
  /// Number of the list that was sent last.
  std::uint64_t sequence_ = 0;
  std::uint32_t sent_daemons_ = 0;
  Duration sent_lease_{};
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_SHARE_LESSOR_H_
