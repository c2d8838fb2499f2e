#include "src/load/report.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace acaciaspring::load {

// Guards against an off-by-one rank, which would report a neighbouring sample: for example the
// maximum as the p99 of 100 samples.
BOOST_AUTO_TEST_CASE(percentiles_are_exact) {
  LatencySamples samples;
  BOOST_TEST(samples.Percentile(0.99).count() == 0);
  for (int value = 200; value >= 1; --value) {
    samples.Add(Duration(value));
  }
  BOOST_TEST(samples.Percentile(0.50).count() == 100);
  BOOST_TEST(samples.Percentile(0.95).count() == 190);
  BOOST_TEST(samples.Percentile(0.99).count() == 198);
  BOOST_TEST(samples.Percentile(1.00).count() == 200);
  BOOST_TEST(samples.Percentile(0.00).count() == 1);
}

BOOST_AUTO_TEST_CASE(report_lines_have_name_value_and_unit) {
  Report report;
  report.answers_incomplete = 3;
  report.program_latency["urgent"].Add(std::chrono::milliseconds(7));
  std::ostringstream out;
  PrintReport(report, out);
  BOOST_TEST(out.str().find("answers_incomplete 3 count\n") != std::string::npos);
  BOOST_TEST(out.str().find("program_latency_p99_urgent 7.000 ms\n") != std::string::npos);
  BOOST_TEST(!report.correct());
}

}  // namespace acaciaspring::load
