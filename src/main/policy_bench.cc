#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include "src/bench/report.h"

namespace {

using namespace acaciaspring::bench;  // NOLINT(google-build-using-namespace)

struct Options {
  std::uint64_t seed = 1;
  int repeats = 5;
  int threads = 4;
  bool csv = false;
  std::string workload;
  std::string deployment;
  std::string strategy;
};

struct Job {
  const Deployment* deployment;
  const std::vector<double>* capacity;
  Workload workload;
  Strategy strategy;
  std::uint64_t seed;
  RunResult result;
};

void RunAll(std::vector<Job>& jobs, int threads) {
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> workers;
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t j = next++; j < jobs.size(); j = next++) {
        Job& job = jobs[j];
        RunOptions options;
        options.workload = job.workload;
        if (job.workload == Workload::kTightMemory) {
          options.engine.kv_capacity = 150'000;
        }
        options.seed = job.seed;
        const auto programs = GeneratePrograms(*job.deployment, job.workload, *job.capacity,
                                               options.horizon, job.seed);
        job.result = Simulate(*job.deployment, job.strategy, programs, options);
      }
    });
  }
}

int Run(const Options& options) {
  const std::vector<Deployment> deployments{MillTicketDesk(), SaddleFitting()};
  std::vector<std::vector<double>> capacities(deployments.size());
  std::vector<std::vector<double>> policy_capacities(deployments.size());
  std::vector<Job> jobs;
  Metrics metrics;
  for (std::size_t d = 0; d < deployments.size(); ++d) {
    const Deployment& deployment = deployments[d];
    if (!options.deployment.empty() && deployment.name != options.deployment) {
      continue;
    }
    // Admission control is off: it would end some of the programs, of which the capacity
    // measurement uses a fixed number.
    Strategy policy = MakeStrategy(Router::kPolicy);
    policy.admission = false;
    for (std::size_t c = 0; c < deployment.classes.size(); ++c) {
      const std::string name =
          deployment.name + ".capacity." + deployment.classes[c].policy.id.value();
      capacities[d].push_back(
          MeasureCapacity(deployment, MakeStrategy(Router::kLeastLoaded), c, options.seed));
      policy_capacities[d].push_back(MeasureCapacity(deployment, policy, c, options.seed));
      metrics[name + ".least-loaded"] = {.unit = "programs/s", .values = {capacities[d].back()}};
      metrics[name + ".policy"] = {.unit = "programs/s", .values = {policy_capacities[d].back()}};
    }
    for (const Workload workload : kWorkloads) {
      if (!options.workload.empty() && WorkloadName(workload) != options.workload) {
        continue;
      }
      const bool uses_policy_capacity =
          workload == Workload::kBusyDay || workload == Workload::kTightMemory;
      for (const Strategy& strategy : AllStrategies()) {
        for (int repeat = 0; repeat < options.repeats; ++repeat) {
          if (options.strategy.empty() || strategy.name == options.strategy) {
            jobs.push_back(
                {.deployment = &deployment,
                 .capacity = uses_policy_capacity ? &policy_capacities[d] : &capacities[d],
                 .workload = workload,
                 .strategy = strategy,
                 .seed = options.seed + static_cast<std::uint64_t>(repeat),
                 .result = {}});
          }
        }
      }
    }
  }
  RunAll(jobs, options.threads);
  for (const Job& job : jobs) {
    AddRun(metrics, *job.deployment, job.workload, job.strategy, job.result);
  }
  for (const Deployment& deployment : deployments) {
    AddTargets(metrics, deployment);
  }
  PrintMetrics(std::cout, metrics, options.csv);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description description(
      "Measures the scheduling and routing policies in virtual time");
  description.add_options()("help", "print this help")(
      "seed", po::value(&options.seed)->default_value(1), "seed of the first repeat")(
      "repeats", po::value(&options.repeats)->default_value(5), "number of seeds per combination")(
      "threads", po::value(&options.threads)->default_value(4), "number of parallel runs")(
      "csv", po::bool_switch(&options.csv), "print CSV with min and max columns")(
      "workload", po::value(&options.workload),
      "normal, least-urgent-flood, most-urgent-flood, endpoint-loss, organisation-flood, "
      "busy-day or tight-memory")("deployment", po::value(&options.deployment), "mill or saddle")(
      "strategy", po::value(&options.strategy), "run only this strategy");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    return Run(options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
