#ifndef ACACIASPRING_SRC_DAEMON_ENTRY_SERVER_H_
#define ACACIASPRING_SRC_DAEMON_ENTRY_SERVER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/daemon/admin_api.h"
#include "src/daemon/call_relay.h"

namespace acaciaspring::daemon {

/// @brief The HTTP interface of a daemon: authenticates callers, validates their requests and
/// passes calls to the relay.
class EntryServer {
 public:
  EntryServer(Context context, Cluster& cluster, CallRelay& relay, AdminApi& admin);

  /// @brief Loads the organisation keys from the configuration in force.
  void OnConfiguration();
  void SetReady(bool ready) { ready_ = ready; }
  void StopAccepting() { server_.StopAccepting(); }
  std::size_t open_requests() const { return server_.open_requests(); }

 private:
  using Segments = std::vector<std::string_view>;

  void Handle(net::HttpRequest request, net::HttpResponderPtr responder);
  void HandlePrograms(const net::HttpRequest& request,
                      const Segments& segments,
                      const net::HttpResponderPtr& responder);
  void RespondEntries(net::HttpResponder& responder) const;
  /// @brief The organisation whose key the request has; none if the key is missing or wrong.
  std::optional<OrganisationId> Authenticate(const net::HttpRequest& request) const;
  /// @brief Parses the operation of a request. If it is invalid, responds with an error and returns
  /// none.
  std::optional<wire::Operation> ParseOperation(const net::HttpRequest& request,
                                                const Segments& segments,
                                                net::HttpResponder& responder) const;

  Context context_;
  Cluster& cluster_;
  CallRelay& relay_;
  AdminApi& admin_;
  bool ready_ = false;
  std::map<std::string, OrganisationId> organisations_by_key_;
  net::HttpServer server_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_ENTRY_SERVER_H_
