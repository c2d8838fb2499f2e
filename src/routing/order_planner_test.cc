#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

const ModelId kLarge("large");
const ModelId kSmall("small");

MonotonicTime At(std::int64_t seconds) {
  return MonotonicTime(std::chrono::seconds(seconds));
}

std::vector<EndpointAssignment> Assignments(int large, int small) {
  std::vector<EndpointAssignment> assignments;
  for (int i = 0; i < large + small; ++i) {
    assignments.push_back({.endpoint = EndpointId("e" + std::to_string(i)),
                           .model = i < large ? kLarge : kSmall,
                           .cost_per_second = 100,
                           .assigned_at = At(0)});
  }
  return assignments;
}

std::vector<ModelDemand> Demand(double large, double small) {
  return {{.model = kLarge, .cost_per_second = large, .weight_bytes = 20e9},
          {.model = kSmall, .cost_per_second = small, .weight_bytes = 20e9}};
}

BOOST_AUTO_TEST_SUITE(order_planner)

// Guards against endpoints that keep serving a model without demand, and against loads that exceed
// the rate of the weight store.
BOOST_AUTO_TEST_CASE(follows_demand_within_the_weight_store_rate) {
  OrderPlanner planner({.store_bytes_per_second = 1e9, .store_burst_bytes = 40e9});
  const auto demand = Demand(1000, 100);
  auto assignments = Assignments(2, 10);
  // The burst of 40 GB covers two loads of 20 GB; the next one needs 20 s at 1 GB/s.
  BOOST_TEST(planner.Plan(demand, assignments, At(200)).size() == 2U);
  BOOST_TEST(planner.Plan(demand, assignments, At(219)).empty());
  BOOST_TEST(planner.Plan(demand, assignments, At(221)).size() == 1U);
}

// Guards against orders to endpoints that changed model recently, are busy, or are the last one of
// a model with demand.
BOOST_AUTO_TEST_CASE(respects_dwell_and_busy_endpoints) {
  OrderPlanner planner;
  auto assignments = Assignments(1, 2);
  BOOST_TEST(planner.Plan(Demand(200, 10), assignments, At(60)).empty());
  assignments[1].busy = true;
  assignments[2].busy = true;
  BOOST_TEST(planner.Plan(Demand(200, 10), assignments, At(200)).empty());
  assignments[2].busy = false;
  const auto orders = planner.Plan(Demand(200, 10), assignments, At(200));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].endpoint == EndpointId("e2")));
  BOOST_TEST((orders[0].model == kLarge));
  BOOST_TEST(planner.Plan(Demand(200, 10), Assignments(2, 1), At(400)).empty());
}

// Guards against orders that move endpoints back and forth between models under constant demand.
BOOST_AUTO_TEST_CASE(settles_under_constant_demand) {
  const bool holds = rc::check("hysteresis", [] {
    OrderPlanner planner;
    auto assignments = Assignments(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 12));
    const auto demand = Demand(*rc::gen::inRange(0, 1500), *rc::gen::inRange(0, 1500));
    std::map<EndpointId, int> moves;
    for (std::int64_t t = 200; t < 4000; t += 20) {
      for (const auto& order : planner.Plan(demand, assignments, At(t))) {
        for (auto& endpoint : assignments) {
          if (endpoint.endpoint == order.endpoint) {
            RC_ASSERT(endpoint.model != order.model);
            endpoint.model = order.model;
            endpoint.assigned_at = At(t);
            ++moves[order.endpoint];
          }
        }
      }
    }
    for (const auto& [endpoint, count] : moves) {
      RC_ASSERT(count == 1);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
