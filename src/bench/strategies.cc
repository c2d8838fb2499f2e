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
  const auto without = [&all](const char* rule, bool Strategy::*flag) {
    Strategy strategy = MakeStrategy(Router::kPolicy);
    strategy.name = std::string("without-") + rule;
    strategy.*flag = false;
    all.push_back(strategy);
  };
  without("class-order", &Strategy::order_by_class);
  without("minimum-shares", &Strategy::minimum_shares);
  without("organisation-fairness", &Strategy::fair_organisations);
  without("admission", &Strategy::admission);
  without("preemption", &Strategy::preemption);
  without("cache-index", &Strategy::cache_index);
  without("prefill-interference", &Strategy::prefill_interference);
  without("report-correction", &Strategy::correct_reports);
  without("random-candidates", &Strategy::random_candidates);
  without("class-aware-placement", &Strategy::class_aware_placement);
  without("pause-policy", &Strategy::pause_policy);
  // A rule that is off because it showed no gain.
  Strategy attained = MakeStrategy(Router::kPolicy);
  attained.name = "with-least-attained-service";
  attained.least_attained_service = true;
  all.push_back(attained);
  return all;
}

}  // namespace acaciaspring::bench
