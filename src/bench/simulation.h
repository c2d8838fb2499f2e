#ifndef ACACIASPRING_SRC_BENCH_SIMULATION_H_
#define ACACIASPRING_SRC_BENCH_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/bench/engine.h"
#include "src/bench/workload.h"

namespace acaciaspring::bench {

enum class Router : std::uint8_t { kPolicy, kRoundRobin, kLeastLoaded, kPrefixAffine };

/// @brief A router and the rules that are in force; the baselines use none.
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

/// @brief The whole, the whole without one rule each, and the baselines.
std::vector<Strategy> AllStrategies();
Strategy MakeStrategy(Router router);

struct ClassResult {
  std::vector<double> latency_s;
  std::vector<double> wait_s;
  std::uint64_t programs = 0;
  std::uint64_t unfinished = 0;
  std::uint64_t refused_programs = 0;
  std::uint64_t refusals = 0;
  /// Refused calls that would have started within their target.
  std::uint64_t refused_in_time = 0;
  /// Cost of the new tokens of all offered and all served calls of the measured programs.
  double offered_cost = 0;
  double served_cost = 0;
  /// Cost that the engines served during the measured time, recomputed prompts included.
  double engine_cost = 0;
};

struct RunResult {
  std::vector<ClassResult> classes;
  /// Calls of the least urgent class by organisation.
  std::vector<double> organisation_offered;
  std::vector<double> organisation_served;
  double prompt_tokens = 0;
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
  int homes = 7;
  double report_interval_s = 0.25;
  double report_lag_s = 0.1;
  double event_lag_s = 0.2;
  double event_loss = 0.02;
  double detection_s = 1.0;
};

RunResult Simulate(const Deployment& deployment,
                   const Strategy& strategy,
                   const std::vector<ProgramSpec>& programs,
                   const RunOptions& options);

/// @brief Programs per second that the strategy completes at saturation if the deployment serves
/// only the class; pauses are left out, so that a fixed number of programs saturates the engines.
double MeasureCapacity(const Deployment& deployment,
                       const Strategy& strategy,
                       std::size_t priority_class,
                       std::uint64_t seed);

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_SIMULATION_H_
