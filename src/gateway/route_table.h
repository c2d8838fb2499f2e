#ifndef ACACIASPRING_SRC_GATEWAY_ROUTE_TABLE_H_
#define ACACIASPRING_SRC_GATEWAY_ROUTE_TABLE_H_

#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief Finds the route of a request.
class RouteTable {
 public:
  explicit RouteTable(const std::vector<Route>& routes);

  /// @brief The route of the host with the longest matching path prefix; null if there is none. The
  /// host may include a port.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> by_host_;
};

/// @brief Chooses a service of the route by weight; the same key always gives the same service.
const ServiceId& ChooseService(const Route& route, std::string_view key);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ROUTE_TABLE_H_
