#ifndef ACACIASPRING_SRC_DAEMON_ADMIN_API_H_
#define ACACIASPRING_SRC_DAEMON_ADMIN_API_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/daemon/cluster.h"
#include "src/daemon/json.h"

namespace acaciaspring::daemon {

struct AdminHandlers {
  /// Returns the state of the roles of this daemon.
  std::function<Json::Value()> local_status;
  /// Starts the graceful shutdown.
  std::function<void()> drain;
};

/// @brief HTTP interface for operators: status of all daemons, configuration, programs and drain.
class AdminApi {
 public:
  AdminApi(Context context, const Cluster& cluster, AdminHandlers handlers);

  /// @brief Responds to a request that has been authenticated.
  void Handle(const net::HttpRequest& request, net::HttpResponderPtr responder);
  /// @brief Sets the gauges to the current values. Call before the metrics are exported.
  void UpdateGauges();

  void OnStatusRequest(ChannelId channel, const wire::StatusRequest& request);
  void OnStatusReply(const wire::StatusReply& reply);

 private:
  struct StatusQuery;

  void CollectStatus(net::HttpResponderPtr responder);
  void FinishStatus(const std::shared_ptr<StatusQuery>& query);
  void RespondConfig(net::HttpResponder& responder) const;
  void ChangeConfig(const net::HttpRequest& request, net::HttpResponderPtr responder);
  void RespondPrograms(const net::HttpRequest& request, net::HttpResponder& responder) const;
  Json::Value LocalStatus() const;

  Context context_;
  const Cluster& cluster_;
  AdminHandlers handlers_;
  ExchangeId last_exchange_;
  /// Status queries by the exchanges whose replies are outstanding.
  std::map<ExchangeId, std::shared_ptr<StatusQuery>> status_queries_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_ADMIN_API_H_
