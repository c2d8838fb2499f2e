#ifndef ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_
#define ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_

#include <map>
#include <memory>
#include <optional>

#include "acaciaspring/scheduling.h"
#include "src/daemon/cluster.h"

namespace acaciaspring::daemon {

/// @brief Rate and concurrency limits of organisations over all daemons: this daemon spends grants
/// as an entry, and gives them for the organisations whose limiter it is.
class OrganisationLimits {
 public:
  OrganisationLimits(Context context, const Cluster& cluster);

  void OnConfiguration();
  /// @brief Nothing if the call may start; End must follow then.
  std::optional<NotRun> TryStart(const OrganisationId& organisation);
  void End(const OrganisationId& organisation);
  /// @brief Asks for grants that are due.
  void Tick();
  void OnRequest(ChannelId channel, const wire::LimitRequest& request);
  void OnGranted(const wire::LimitGranted& granted);

 private:
  void RequestGrantIfDue(const OrganisationId& organisation, LimitHolder& holder);
  OrganisationLimit LimitOf(const OrganisationId& organisation) const;

  Context context_;
  const Cluster& cluster_;
  std::map<OrganisationId, LimitHolder> holders_;
  std::map<OrganisationId, std::unique_ptr<LimitGrantor>> grantors_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_ORGANISATION_LIMITS_H_
