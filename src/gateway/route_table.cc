#include "src/gateway/route_table.h"

#include <algorithm>

namespace acaciaspring::gateway {

RouteTable::RouteTable(const std::vector<Route>& routes) {
  for (const Route& route : routes) {
    by_host_[route.host].push_back(route);
  }
  for (auto& [host, of_host] : by_host_) {
    std::stable_sort(of_host.begin(), of_host.end(), [](const Route& left, const Route& right) {
      return left.path_prefix.size() > right.path_prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(std::string(host.substr(0, host.find(':'))));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const auto route = std::find_if(
      found->second.begin(), found->second.end(),
      [path](const Route& candidate) { return path.starts_with(candidate.path_prefix); });
  return route == found->second.end() ? nullptr : &*route;
}

const ServiceId& ChooseService(const Route& route, std::string_view key) {
  std::uint64_t total = 0;
  for (const WeightedService& weighted : route.services) {
    total += weighted.weight;
  }
  std::uint64_t position = total == 0 ? 0 : Hash64(key) % total;
  for (const WeightedService& weighted : route.services) {
    if (position < weighted.weight) {
      return weighted.service;
    }
    position -= weighted.weight;
  }
  return route.services.front().service;
}

}  // namespace acaciaspring::gateway
