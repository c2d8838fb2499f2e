#include <algorithm>
#include <cmath>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct ModelState {
  double demand = 0;
  double capacity = 0;
  double weight_bytes = 0;
  std::size_t endpoints = 0;

  double UtilisationWith(double capacity_change) const {
    const double changed = capacity + capacity_change;
    if (demand <= 0) {
      return 0;
    }
    return changed <= 0 ? HUGE_VAL : demand / changed;
  }
};

}  // namespace

OrderPlanner::OrderPlanner(OrderPlannerOptions options)
    : options_(options), store_bytes_(options.store_burst_bytes) {}

double OrderPlanner::Smooth(const ModelDemand& demand, MonotonicTime now) {
  const auto [found, added] = demand_.try_emplace(demand.model);
  Smoothed& smoothed = found->second;
  if (added) {
    smoothed = {.cost_per_second = demand.cost_per_second, .updated = now};
  }
  const double kept = std::exp(-Seconds(now - smoothed.updated) / Seconds(options_.demand_window));
  smoothed.cost_per_second = kept * smoothed.cost_per_second + (1 - kept) * demand.cost_per_second;
  smoothed.updated = now;
  return smoothed.cost_per_second;
}

std::vector<PlannedOrder> OrderPlanner::Plan(std::span<const ModelDemand> demand,
                                             std::span<const EndpointAssignment> endpoints,
                                             MonotonicTime now) {
  if (refilled_) {
    store_bytes_ =
        std::min(options_.store_burst_bytes,
                 store_bytes_ + options_.store_bytes_per_second * Seconds(now - *refilled_));
  }
  refilled_ = now;
  std::map<ModelId, ModelState> models;
  for (const ModelDemand& entry : demand) {
    models[entry.model].demand = Smooth(entry, now);
    models[entry.model].weight_bytes = entry.weight_bytes;
  }
  std::erase_if(demand_, [&](const auto& entry) { return !models.contains(entry.first); });
  for (const EndpointAssignment& endpoint : endpoints) {
    models[endpoint.model].capacity += endpoint.cost_per_second;
    ++models[endpoint.model].endpoints;
  }

  std::vector<PlannedOrder> orders;
  std::vector<bool> moved(endpoints.size());
  for (;;) {
    // The model with the highest utilisation takes an endpoint from the one that misses it least.
    const auto needy = std::ranges::max_element(models, {}, [&](const auto& entry) {
      const bool missing =
          entry.second.demand > 0 && entry.second.endpoints < options_.min_endpoints_per_model;
      return missing ? HUGE_VAL : entry.second.UtilisationWith(0);
    });
    if (needy == models.end() || needy->second.UtilisationWith(0) <= options_.high_utilisation ||
        needy->second.weight_bytes > store_bytes_) {
      return orders;
    }
    std::size_t chosen = endpoints.size();
    double least = options_.low_utilisation;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const EndpointAssignment& endpoint = endpoints[i];
      const ModelState& donor = models[endpoint.model];
      if (moved[i] || endpoint.busy || endpoint.model == needy->first ||
          now < endpoint.assigned_at + options_.min_dwell ||
          (donor.demand > 0 && donor.endpoints <= options_.min_endpoints_per_model)) {
        continue;
      }
      const double after = donor.UtilisationWith(-endpoint.cost_per_second);
      if (after < least) {
        least = after;
        chosen = i;
      }
    }
    if (chosen == endpoints.size()) {
      return orders;
    }
    const EndpointAssignment& endpoint = endpoints[chosen];
    moved[chosen] = true;
    models[endpoint.model].capacity -= endpoint.cost_per_second;
    --models[endpoint.model].endpoints;
    needy->second.capacity += endpoint.cost_per_second;
    ++needy->second.endpoints;
    store_bytes_ -= needy->second.weight_bytes;
    orders.push_back({.endpoint = endpoint.endpoint, .model = needy->first});
  }
}

}  // namespace acaciaspring
