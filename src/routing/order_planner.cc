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
    : options_(options), store_budget_bytes_(options.store_burst_bytes) {}

double OrderPlanner::Smooth(const ModelDemand& demand, MonotonicTime now) {
  const auto [found, added] = smoothed_demand_.try_emplace(demand.model);
  SmoothedDemand& smoothed = found->second;
  if (added) {
    smoothed = {.cost_per_second = demand.cost_per_second, .updated = now};
  }
  const double retained =
      std::exp(-Seconds(now - smoothed.updated) / Seconds(options_.demand_window));
  smoothed.cost_per_second =
      retained * smoothed.cost_per_second + (1 - retained) * demand.cost_per_second;
  smoothed.updated = now;
  return smoothed.cost_per_second;
}

std::vector<PlannedOrder> OrderPlanner::Plan(std::span<const ModelDemand> demand,
                                             std::span<const EndpointAssignment> endpoints,
                                             MonotonicTime now) {
  if (last_refill_) {
    store_budget_bytes_ = std::min(
        options_.store_burst_bytes,
        store_budget_bytes_ + options_.store_bytes_per_second * Seconds(now - *last_refill_));
  }
  last_refill_ = now;
  std::map<ModelId, ModelState> models;
  for (const ModelDemand& entry : demand) {
    models[entry.model].demand = Smooth(entry, now);
    models[entry.model].weight_bytes = entry.weight_bytes;
  }
  std::erase_if(smoothed_demand_, [&](const auto& entry) { return !models.contains(entry.first); });
  for (const EndpointAssignment& endpoint : endpoints) {
    models[endpoint.model].capacity += endpoint.cost_per_second;
    ++models[endpoint.model].endpoints;
  }

  std::vector<PlannedOrder> orders;
  std::vector<bool> reassigned(endpoints.size());
  for (;;) {
    // The model with the highest utilisation gets an endpoint from the model that has the lowest
    // utilisation without it.
    const auto recipient = std::ranges::max_element(models, {}, [&](const auto& entry) {
      const bool below_minimum =
          entry.second.demand > 0 && entry.second.endpoints < options_.min_endpoints_per_model;
      return below_minimum ? HUGE_VAL : entry.second.UtilisationWith(0);
    });
    if (recipient == models.end() ||
        recipient->second.UtilisationWith(0) <= options_.high_utilisation ||
        recipient->second.weight_bytes > store_budget_bytes_) {
      return orders;
    }
    std::size_t donated = endpoints.size();
    double lowest_utilisation = options_.low_utilisation;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const EndpointAssignment& endpoint = endpoints[i];
      const ModelState& donor = models[endpoint.model];
      if (reassigned[i] || endpoint.busy || endpoint.model == recipient->first ||
          now < endpoint.assigned_at + options_.min_dwell ||
          (donor.demand > 0 && donor.endpoints <= options_.min_endpoints_per_model)) {
        continue;
      }
      const double donor_utilisation = donor.UtilisationWith(-endpoint.cost_per_second);
      if (donor_utilisation < lowest_utilisation) {
        lowest_utilisation = donor_utilisation;
        donated = i;
      }
    }
    if (donated == endpoints.size()) {
      return orders;
    }
    const EndpointAssignment& endpoint = endpoints[donated];
    reassigned[donated] = true;
    models[endpoint.model].capacity -= endpoint.cost_per_second;
    --models[endpoint.model].endpoints;
    recipient->second.capacity += endpoint.cost_per_second;
    ++recipient->second.endpoints;
    store_budget_bytes_ -= recipient->second.weight_bytes;
    orders.push_back({.endpoint = endpoint.endpoint, .model = recipient->first});
  }
}

}  // namespace acaciaspring
