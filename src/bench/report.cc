#include "src/bench/report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace acaciaspring::bench {
namespace {

double Mean(const std::vector<double>& values) {
  if (values.empty()) {
    return 0;
  }
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

// Computes for each organisation except the flooding one the ratio of its served cost to its
// offered cost, or to an equal share of the total served cost if that is lower, and returns the
// minimum.
double WorstOrganisationRatio(const RunResult& result) {
  const auto& served = result.organisation_served;
  const double total = std::accumulate(served.begin(), served.end(), 0.0);
  const double equal_share = total / static_cast<double>(served.size());
  double worst = HUGE_VAL;
  for (std::size_t i = 0; i < served.size(); ++i) {
    if (i != kFloodingOrganisation) {
      // The two sums add the same turns in a different order. Without this tolerance, rounding
      // could report a target as missed although the organisation got its whole share.
      constexpr double kRoundingTolerance = 1e-9;
      const double entitled = std::min(equal_share, result.organisation_offered[i]);
      worst = std::min(worst, Ratio(served[i], entitled) + kRoundingTolerance);
    }
  }
  return worst;
}

std::string ClassName(const Deployment& deployment, std::size_t class_index) {
  return deployment.classes[class_index].policy.id.value();
}

}  // namespace

double Metric::Median() const {
  return Quantile(values, 0.5);
}

void AddRun(Metrics& metrics,
            const Deployment& deployment,
            Workload workload,
            const Strategy& strategy,
            const RunResult& result) {
  const std::string prefix =
      deployment.name + "." + std::string(WorkloadName(workload)) + "." + strategy.name + ".";
  const auto add = [&](const std::string& name, double value, const char* unit) {
    Metric& metric = metrics[prefix + name];
    metric.unit = unit;
    metric.values.push_back(value);
  };
  double served = 0;
  for (const ClassResult& class_result : result.classes) {
    served += class_result.engine_cost;
  }
  std::vector<double> all;
  for (std::size_t class_index = 0; class_index < result.classes.size(); ++class_index) {
    const ClassResult& class_result = result.classes[class_index];
    const std::string name = deployment.classes[class_index].policy.id.value() + ".";
    const auto programs = static_cast<double>(class_result.programs);
    all.insert(all.end(), class_result.latency_s.begin(), class_result.latency_s.end());
    add(name + "latency_mean", Mean(class_result.latency_s), "s");
    add(name + "latency_p50", Quantile(class_result.latency_s, 0.5), "s");
    add(name + "latency_p95", Quantile(class_result.latency_s, 0.95), "s");
    add(name + "latency_p99", Quantile(class_result.latency_s, 0.99), "s");
    add(name + "wait_p99", 1000 * Quantile(class_result.wait_s, 0.99), "ms");
    add(name + "programs", programs, "count");
    add(name + "refusals", static_cast<double>(class_result.refusals), "count");
    add(name + "refused_in_time", static_cast<double>(class_result.refused_in_time), "count");
    add(name + "refused_programs",
        Ratio(static_cast<double>(class_result.refused_programs), programs), "ratio");
    add(name + "unfinished", Ratio(static_cast<double>(class_result.unfinished), programs),
        "ratio");
    add(name + "served_share", Ratio(class_result.engine_cost, served), "ratio");
    add(name + "served_of_offered", Ratio(class_result.served_cost, class_result.offered_cost),
        "ratio");
    add(name + "served_cost", class_result.engine_cost, "cost");
  }
  add("all.served_cost", served, "cost");
  add("all.latency_mean", Mean(all), "s");
  add("all.wasted_prefill", Ratio(result.wasted_tokens, result.prompt_tokens), "ratio");
  add("all.wasted_tokens", result.wasted_tokens, "tokens");
  add("all.pauses", static_cast<double>(result.pauses), "count");
  add("all.worst_organisation", WorstOrganisationRatio(result), "ratio");
}

void AddTargets(Metrics& metrics, const Deployment& deployment) {
  const auto find = [&](Workload workload, const char* strategy, const std::string& name) {
    return metrics.find(deployment.name + "." + std::string(WorkloadName(workload)) + "." +
                        strategy + "." + name);
  };
  const auto add = [&](const std::string& name, const char* bound, auto first, auto second,
                       const std::function<double(double, double)>& value,
                       const std::function<bool(double)>& met) {
    if (first == metrics.end() || second == metrics.end()) {
      return;
    }
    Metric target;
    for (std::size_t i = 0; i < first->second.values.size(); ++i) {
      target.values.push_back(value(first->second.values[i], second->second.values[i]));
    }
    target.unit =
        std::string("ratio(target") + bound + "," + (met(target.Median()) ? "met" : "missed") + ")";
    metrics[deployment.name + ".target." + name] = target;
  };
  const auto divide = [](double a, double b) { return Ratio(a, b); };
  const auto first_value = [](double a, double) { return a; };
  const std::string urgent = ClassName(deployment, 0);
  add("urgent_wait_p99_in_least_urgent_flood", "<=1.2",
      find(Workload::kLeastUrgentFlood, "policy", urgent + ".wait_p99"),
      find(Workload::kNormal, "policy", urgent + ".wait_p99"), divide,
      [](double value) { return value <= 1.2; });
  for (std::size_t class_index = 1; class_index < deployment.classes.size(); ++class_index) {
    // A class is entitled to its minimum share of the cost served in the flood, or to the cost that
    // it is served in the normal workload if that is lower.
    const std::string name = ClassName(deployment, class_index);
    const double share = deployment.classes[class_index].policy.minimum_share;
    const auto total = find(Workload::kMostUrgentFlood, "policy", "all.served_cost");
    const auto normal = find(Workload::kNormal, "policy", name + ".served_cost");
    const auto served = find(Workload::kMostUrgentFlood, "policy", name + ".served_cost");
    if (total == metrics.end() || normal == metrics.end() || served == metrics.end()) {
      continue;
    }
    Metric entitled = total->second;
    for (std::size_t i = 0; i < entitled.values.size(); ++i) {
      entitled.values[i] = std::min(share * entitled.values[i], normal->second.values[i]);
    }
    metrics[deployment.name + ".most-urgent-flood.policy." + name + ".entitled_cost"] = entitled;
    add(name + "_share_of_minimum_in_most_urgent_flood", ">=1", served,
        find(Workload::kMostUrgentFlood, "policy", name + ".entitled_cost"), divide,
        [](double value) { return value >= 1; });
  }
  add("mean_latency_over_least_loaded", "<=0.7",
      find(Workload::kNormal, "policy", "all.latency_mean"),
      find(Workload::kNormal, "least-loaded", "all.latency_mean"), divide,
      [](double value) { return value <= 0.7; });
  add("wasted_prefill_over_least_loaded", "<=0.25",
      find(Workload::kNormal, "policy", "all.wasted_tokens"),
      find(Workload::kNormal, "least-loaded", "all.wasted_tokens"), divide,
      [](double value) { return value <= 0.25; });
  const auto worst = find(Workload::kOrganisationFlood, "policy", "all.worst_organisation");
  add("worst_organisation_of_fair_share", ">=1", worst, worst, first_value,
      [](double value) { return value >= 1; });
}

void PrintMetrics(std::ostream& out, const Metrics& metrics, bool csv) {
  const char separator = csv ? ',' : ' ';
  if (csv) {
    out << "name,value,unit,min,max\n";
  }
  for (const auto& [name, metric] : metrics) {
    const auto [low, high] = std::ranges::minmax(metric.values);
    if (csv) {
      out << name << ',' << metric.Median() << ",\"" << metric.unit << "\"," << low << ',' << high
          << '\n';
      continue;
    }
    out << name << separator << metric.Median() << separator << metric.unit << '\n';
    if (metric.values.size() > 1) {
      out << name << ".min" << separator << low << separator << metric.unit << '\n';
      out << name << ".max" << separator << high << separator << metric.unit << '\n';
    }
  }
}

}  // namespace acaciaspring::bench
