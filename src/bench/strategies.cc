#include "src/bench/simulation.h"

namespace acaciaspring::bench {

Strategy MakeStrategy(Router router) {
  switch (router) {
    case Router::kRoundRobin:
      return {.name = "round-robin", .router = router};
    case Router::kLeastLoaded:
      return {.name = "least-loaded", .router = router};
    case Router::kPrefixAffine:
      return {.name = "prefix-affine", .router = router};
    case Router::kPolicy:
      break;
  }
  return {.name = "policy", .router = Router::kPolicy};
}

std::vector<Strategy> AllStrategies() {
  std::vector<Strategy> all;
  for (const Router router :
       {Router::kPolicy, Router::kRoundRobin, Router::kLeastLoaded, Router::kPrefixAffine}) {
    all.push_back(MakeStrategy(router));
  }
  const auto add_without = [&all](const char* rule_name, bool Strategy::*flag) {
    Strategy strategy = MakeStrategy(Router::kPolicy);
    strategy.name = std::string("without-") + rule_name;
    strategy.*flag = false;
    all.push_back(strategy);
  };
  add_without("class-order", &Strategy::order_by_class);
  add_without("minimum-shares", &Strategy::minimum_shares);
  add_without("organisation-fairness", &Strategy::fair_organisations);
  add_without("admission", &Strategy::admission);
  add_without("preemption", &Strategy::preemption);
  add_without("cache-index", &Strategy::cache_index);
  add_without("prefill-interference", &Strategy::prefill_interference);
  add_without("report-correction", &Strategy::correct_reports);
  add_without("random-candidates", &Strategy::random_candidates);
  add_without("class-aware-placement", &Strategy::class_aware_placement);
  add_without("pause-policy", &Strategy::pause_policy);
  // This rule is off by default because measurements showed no gain.
  Strategy with_least_attained_service = MakeStrategy(Router::kPolicy);
  with_least_attained_service.name = "with-least-attained-service";
  with_least_attained_service.least_attained_service = true;
  all.push_back(with_least_attained_service);
  return all;
}

}  // namespace acaciaspring::bench
