#ifndef ACACIASPRING_SRC_BENCH_REPORT_H_
#define ACACIASPRING_SRC_BENCH_REPORT_H_

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "src/bench/simulation.h"

namespace acaciaspring::bench {

struct Metric {
  std::string unit;
  /// One value per repeat.
  std::vector<double> values;
  double Median() const;
};

/// @brief Metrics by name, "deployment.workload.strategy.class.metric".
using Metrics = std::map<std::string, Metric>;

/// @brief Adds the metrics of one run.
void AddRun(Metrics& metrics,
            const Deployment& deployment,
            Workload workload,
            const Strategy& strategy,
            const RunResult& result);

/// @brief Adds the targets for which the required metrics are present, as "deployment.target.name".
void AddTargets(Metrics& metrics, const Deployment& deployment);

/// @brief Prints lines of the form "name value unit" with the median over the repeats, followed by
/// lines with the minimum and maximum if there are several repeats. CSV has a header and columns
/// for the minimum and maximum.
void PrintMetrics(std::ostream& out, const Metrics& metrics, bool csv);

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_REPORT_H_
