#ifndef ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_
#define ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_

#include <map>
#include <memory>
#include <optional>

#include "acaciaspring/scheduling.h"
#include "src/daemon/cluster.h"

namespace acaciaspring::daemon {

/// @brief Enforces the rate and concurrency limits that organisations have over all daemons. As an
/// entry, this daemon admits calls within the grants that it has received; as the limiter of an
/// organisation, it issues grants to all entries.
class OrganisationLimits {
 public:
  OrganisationLimits(Context context, const Cluster& cluster);

  void OnConfiguration();
  /// @return none if the call may start; the caller then calls End() when the call ends.
  std::optional<NotRun> TryStart(const OrganisationId& organisation);
  void End(const OrganisationId& organisation);
  /// @brief Requests the grants that are due.
  void Tick();
  void OnRequest(ChannelId channel, const wire::LimitRequest& request);
  void OnGranted(const wire::LimitGranted& granted);

 private:
  /// @brief Sends the next request of `holder` to the limiter of the organisation, if one is due.
  void RequestGrantIfDue(const OrganisationId& organisation, LimitHolder& holder);
  OrganisationLimit LimitOf(const OrganisationId& organisation) const;

  Context context_;
  const Cluster& cluster_;
  std::map<OrganisationId, LimitHolder> holders_;
  std::map<OrganisationId, std::unique_ptr<LimitGrantor>> grantors_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_
