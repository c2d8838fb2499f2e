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

/// @brief The HTTP interface of a daemon: authenticates callers, checks their requests and hands
/// calls to the relay.
class EntryServer {
 public:
  EntryServer(Context context, Cluster& cluster, CallRelay& relay, AdminApi& admin);

  /// @brief Takes over the keys of the configuration in force.
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
  /// @brief The organisation whose key the request carries.
  std::optional<OrganisationId> Authenticate(const net::HttpRequest& request) const;
  /// @brief Parses the operation of a request; answers the request itself when it is invalid.
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
