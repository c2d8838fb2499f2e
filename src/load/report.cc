#include "src/load/report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace acaciaspring::load {

Duration LatencySamples::Percentile(double fraction) const {
  if (samples_.empty()) {
    return Duration(0);
  }
  std::vector<Duration> sorted = samples_;
  const auto count = static_cast<double>(sorted.size());
  const auto rank = static_cast<std::size_t>(std::max(1.0, std::ceil(fraction * count)));
  const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

void PrintLatency(const std::string& name, Duration latency, std::ostream& out) {
  out << name << " " << std::fixed << std::setprecision(3)
      << std::chrono::duration<double, std::milli>(latency).count() << " ms\n";
}

void PrintReport(const Report& report, std::ostream& out) {
  const std::vector<std::pair<const char*, std::uint64_t>> counts = {
      {"programs_finished", report.programs_finished},
      {"programs_failed", report.programs_failed},
      {"programs_abandoned", report.programs_abandoned},
      {"calls_completed", report.calls_completed},
      {"calls_failed", report.calls_failed},
      {"calls_not_run", report.calls_not_run},
      {"calls_unknown", report.calls_unknown},
      {"effects_requested", report.effects_requested},
      {"effects_completed", report.effects_completed},
      {"effects_failed", report.effects_failed},
      {"effects_not_run", report.effects_not_run},
      {"effects_unknown", report.effects_unknown},
      {"effects_repeated", report.effects_repeated},
      {"answers_incomplete", report.answers_incomplete},
      {"answers_cut", report.answers_cut},
      {"histories_wrong", report.histories_wrong},
      {"histories_unread", report.histories_unread},
      {"retries", report.retries}};
  for (const auto& [name, value] : counts) {
    out << name << " " << value << " count\n";
  }
  for (const auto& [name, samples] : report.program_latency) {
    PrintLatency("program_latency_p50_" + name, samples.Percentile(0.50), out);
    PrintLatency("program_latency_p95_" + name, samples.Percentile(0.95), out);
    PrintLatency("program_latency_p99_" + name, samples.Percentile(0.99), out);
  }
  PrintLatency("first_token_p50", report.first_token_latency.Percentile(0.50), out);
  PrintLatency("first_token_p99", report.first_token_latency.Percentile(0.99), out);
}

}  // namespace acaciaspring::load
