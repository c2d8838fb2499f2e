#ifndef ACACIASPRING_SRC_LOAD_REPORT_H_
#define ACACIASPRING_SRC_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::load {

/// @brief Exact percentiles of a bounded number of samples.
class LatencySamples {
 public:
  void Add(Duration latency) { samples_.push_back(latency); }
  bool empty() const { return samples_.empty(); }
  std::size_t count() const { return samples_.size(); }
  /// @brief Smallest sample that is not below the given share of all samples; 0 without samples.
  Duration Percentile(double share) const;

 private:
  std::vector<Duration> samples_;
};

/// @brief What a run counted.
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
  /// Effects whose tool service counted more than one execution.
  std::uint64_t effects_repeated = 0;
  std::uint64_t answers_incomplete = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t histories_wrong = 0;
  /// Histories that could not be read before the deadline.
  std::uint64_t histories_unread = 0;
  std::uint64_t retries = 0;
  /// Programs in progress when the time limit ended the run; counted as failed too.
  std::uint64_t programs_abandoned = 0;
  std::map<std::string, LatencySamples> program_latency;
  LatencySamples first_token_latency;

  /// @brief True when no answer and no history was wrong.
  bool correct() const { return answers_incomplete == 0 && histories_wrong == 0; }
};

/// @brief Prints "name value unit" lines.
void PrintReport(const Report& report, std::ostream& out);
void PrintLatency(const std::string& name, Duration latency, std::ostream& out);

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_REPORT_H_
