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

std::vector<EndpointAssignment> Fleet(int large, int small) {
  std::vector<EndpointAssignment> fleet;
  for (int i = 0; i < large + small; ++i) {
    fleet.push_back({.endpoint = EndpointId("e" + std::to_string(i)),
                     .model = i < large ? kLarge : kSmall,
                     .cost_per_second = 100,
                     .assigned_at = At(0)});
  }
  return fleet;
}

std::vector<ModelDemand> Demand(double large, double small) {
  return {{.model = kLarge, .cost_per_second = large, .weight_bytes = 20e9},
          {.model = kSmall, .cost_per_second = small, .weight_bytes = 20e9}};
}

BOOST_AUTO_TEST_SUITE(order_planner)

// Guards against endpoints that stay with a model that nobody asks for.
BOOST_AUTO_TEST_CASE(follows_demand_within_the_rate_of_the_store) {
  OrderPlanner planner({.store_bytes_per_second = 1e9, .store_burst_bytes = 40e9});
  const auto demand = Demand(1000, 100);
  auto fleet = Fleet(2, 10);
  // The burst covers two loads of 20 GB; the next one needs 20 s of the store's rate.
  BOOST_TEST(planner.Plan(demand, fleet, At(200)).size() == 2U);
  BOOST_TEST(planner.Plan(demand, fleet, At(219)).empty());
  BOOST_TEST(planner.Plan(demand, fleet, At(221)).size() == 1U);
}

// Guards against orders to endpoints that were just changed, are busy, or are the last of a model.
BOOST_AUTO_TEST_CASE(respects_dwell_and_busy_endpoints) {
  OrderPlanner planner;
  auto fleet = Fleet(1, 2);
  BOOST_TEST(planner.Plan(Demand(200, 10), fleet, At(60)).empty());
  fleet[1].busy = true;
  fleet[2].busy = true;
  BOOST_TEST(planner.Plan(Demand(200, 10), fleet, At(200)).empty());
  fleet[2].busy = false;
  const auto orders = planner.Plan(Demand(200, 10), fleet, At(200));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].endpoint == EndpointId("e2")));
  BOOST_TEST((orders[0].model == kLarge));
  BOOST_TEST(planner.Plan(Demand(200, 10), Fleet(2, 1), At(400)).empty());
}

// Guards against orders that move endpoints to and fro under a constant demand.
BOOST_AUTO_TEST_CASE(settles_under_constant_demand) {
  const bool holds = rc::check("hysteresis", [] {
    OrderPlanner planner;
    auto fleet = Fleet(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 12));
    const auto demand = Demand(*rc::gen::inRange(0, 1500), *rc::gen::inRange(0, 1500));
    std::map<EndpointId, int> moves;
    for (std::int64_t t = 200; t < 4000; t += 20) {
      for (const auto& order : planner.Plan(demand, fleet, At(t))) {
        for (auto& endpoint : fleet) {
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
