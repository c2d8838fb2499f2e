#ifndef ACACIASPRING_SRC_LOAD_REPORT_H_
#define ACACIASPRING_SRC_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::load {

/// @brief Keeps all samples, so that percentiles are exact.
class LatencySamples {
 public:
  void Add(Duration latency) { samples_.push_back(latency); }
  bool empty() const { return samples_.empty(); }
  std::size_t count() const { return samples_.size(); }
  /// @brief Nearest-rank percentile: the smallest sample that at least `fraction` of all samples do
  /// not exceed; 0 if there are no samples.
  Duration Percentile(double fraction) const;

 private:
  std::vector<Duration> samples_;
};

/// @brief Counters and latencies of a run.
struct Report {
  std::uint64_t programs_finished = 0;
  std::uint64_t programs_failed = 0;
  std::uint64_t calls_completed = 0;
  std::uint64_t calls_failed = 0;
  std::uint64_t calls_not_run = 0;
  std::uint64_t calls_unknown = 0;
  std::uint64_t effects_requested = 0;
  std::uint64_t effects_completed = 0;
  std::uint64_t effects_failed = 0;
  std::uint64_t effects_not_run = 0;
  std::uint64_t effects_unknown = 0;
  /// Effects that the tool service executed more than once.
  std::uint64_t effects_repeated = 0;
  std::uint64_t answers_incomplete = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t histories_wrong = 0;
  /// Histories that could not be read before the deadline.
  std::uint64_t histories_unread = 0;
  std::uint64_t retries = 0;
  /// Programs in progress when the run was stopped; also counted as failed.
  std::uint64_t programs_abandoned = 0;
  /// By priority class.
  std::map<std::string, LatencySamples> program_latency;
  LatencySamples first_token_latency;

  /// @brief Whether all answers and histories were as expected.
  bool correct() const { return answers_incomplete == 0 && histories_wrong == 0; }
};

/// @brief Prints "name value unit" lines.
void PrintReport(const Report& report, std::ostream& out);
void PrintLatency(const std::string& name, Duration latency, std::ostream& out);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_REPORT_H_
