#ifndef ACACIASPRING_SRC_BENCH_SIMULATION_H_
#define ACACIASPRING_SRC_BENCH_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/bench/engine.h"
#include "src/bench/workload.h"

namespace acaciaspring::bench {

enum class Router : std::uint8_t { kPolicy, kRoundRobin, kLeastLoaded, kPrefixAffine };

/// @brief A router and the enabled rules of the policy; the baseline routers use no rules.
struct Strategy {
  std::string name;
  Router router = Router::kPolicy;
  bool order_by_class = true;
  bool minimum_shares = true;
  bool fair_organisations = true;
  bool least_attained_service = false;
  bool admission = true;
  bool preemption = true;
  bool cache_index = true;
  bool prefill_interference = true;
  bool correct_reports = true;
  bool random_candidates = true;
  bool pause_policy = true;
  bool class_aware_placement = true;
};

/// @brief Returns the policy, the baselines, the policy without each single rule, and the policy
/// with the rule that is off by default.
std::vector<Strategy> AllStrategies();
/// @brief Returns the strategy of the router with the default rules.
Strategy MakeStrategy(Router router);

struct ClassResult {
  /// By program, without pauses for the user.
  std::vector<double> latency_s;
  /// Time from the submission of a call to the start of its prefill.
  std::vector<double> wait_s;
  std::uint64_t programs = 0;
  std::uint64_t unfinished = 0;
  /// Programs that gave up after too many refusals of one call.
  std::uint64_t refused_programs = 0;
  std::uint64_t refusals = 0;
  /// Refused calls that would have started within their first-token target.
  std::uint64_t refused_in_time = 0;
  /// Cost of the new prompt tokens and output tokens of the offered and of the served calls of the
  /// measured programs.
  double offered_cost = 0;
  double served_cost = 0;
  /// Cost that the engines served during the measured time, including recomputed prompt tokens.
  double engine_cost = 0;
};

struct RunResult {
  std::vector<ClassResult> classes;
  /// Offered and served cost of the least urgent class, by organisation.
  std::vector<double> organisation_offered;
  std::vector<double> organisation_served;
  double prompt_tokens = 0;
  /// Prompt tokens that were recomputed although an engine had computed them before.
  double wasted_tokens = 0;
  std::uint64_t pauses = 0;
  /// Programs that ended after the warm-up.
  std::uint64_t ended_programs = 0;
};

struct RunOptions {
  EngineOptions engine;
  Workload workload = Workload::kNormal;
  Horizon horizon;
  std::uint64_t seed = 1;
  /// Daemons among which the programs are distributed.
  int homes = 7;
  double report_interval_s = 0.25;
  double report_lag_s = 0.1;
  double event_lag_s = 0.2;
  /// Probability that a cache event is lost.
  double event_loss = 0.02;
  /// Delay after which the calls of a failed engine are sent again; its failure is detected after
  /// half of it.
  double detection_s = 1.0;
};

RunResult Simulate(const Deployment& deployment,
                   const Strategy& strategy,
                   const std::vector<ProgramSpec>& programs,
                   const RunOptions& options);

/// @brief Returns the programs per second that the strategy completes at saturation if the
/// deployment serves only the given class. The programs have no pauses between turns, so that a
/// fixed number of programs saturates the engines.
double MeasureCapacity(const Deployment& deployment,
                       const Strategy& strategy,
                       std::size_t priority_class,
                       std::uint64_t seed);

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_SIMULATION_H_
