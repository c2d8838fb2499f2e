#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

BOOST_AUTO_TEST_CASE(text_is_in_prometheus_format) {
  Registry registry;
  registry.GetCounter("calls_total", "Calls.", {{"outcome", "completed"}}).Increment(3);
  registry.GetCounter("calls_total", "Calls.", {{"outcome", "not_run"}}).Increment();
  registry.GetGauge("queue_length", "Queued calls.").Set(2.5);
  registry.GetDistribution("wait_seconds", "Wait.").Record(4);
  BOOST_TEST(registry.Text() ==
             "# HELP calls_total Calls.\n"
             "# TYPE calls_total counter\n"
             "calls_total{outcome=\"completed\"} 3\n"
             "calls_total{outcome=\"not_run\"} 1\n"
             "# HELP queue_length Queued calls.\n"
             "# TYPE queue_length gauge\n"
             "queue_length 2.5\n"
             "# HELP wait_seconds Wait.\n"
             "# TYPE wait_seconds summary\n"
             "wait_seconds{quantile=\"0.5\"} 4\n"
             "wait_seconds{quantile=\"0.95\"} 4\n"
             "wait_seconds{quantile=\"0.99\"} 4\n"
             "wait_seconds_sum 4\n"
             "wait_seconds_count 1\n");
}

// Guards against a label value from a caller that adds lines to the exposition text.
BOOST_AUTO_TEST_CASE(label_values_are_escaped) {
  Registry registry;
  registry.GetGauge("g", "a\\b\nc", {{"l", "x\"y\\z\nw"}}).Set(INFINITY);
  BOOST_TEST(registry.Text() ==
             "# HELP g a\\\\b\\nc\n"
             "# TYPE g gauge\n"
             "g{l=\"x\\\"y\\\\z\\nw\"} +Inf\n");
}

BOOST_AUTO_TEST_CASE(invalid_names_are_rejected) {
  Registry registry;
  for (const char* name : {"", "1a", "a b", "a-b", "a\n"}) {
    BOOST_CHECK_THROW(registry.GetCounter(name, ""), MetricError);
  }
  BOOST_CHECK_THROW(registry.GetCounter("a", "", {{"b:c", ""}}), MetricError);
  BOOST_CHECK_THROW(registry.GetCounter("a", "", {{"__b", ""}}), MetricError);
  BOOST_CHECK_THROW(registry.GetDistribution("a", "", {{"quantile", ""}}), MetricError);
  registry.GetCounter("used", "");
  BOOST_CHECK_THROW(registry.GetGauge("used", ""), MetricError);
  BOOST_TEST(registry.Text().find("used") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(same_name_and_labels_return_the_same_metric) {
  Registry registry;
  Counter& first = registry.GetCounter("c", "", {{"a", "1"}, {"b", "2"}});
  for (int other = 0; other < 100; ++other) {
    registry.GetCounter("c", "", {{"a", std::to_string(other)}});
  }
  BOOST_TEST(&registry.GetCounter("c", "", {{"b", "2"}, {"a", "1"}}) == &first);
}

BOOST_AUTO_TEST_CASE(empty_distribution_is_zero) {
  const Distribution distribution;
  BOOST_TEST(distribution.count() == 0U);
  BOOST_TEST(distribution.mean() == 0);
  BOOST_TEST(distribution.Value(Quantile::kP99) == 0);
}

// Guards against estimates from too few values: P-square has no meaningful state before it has one
// value per marker.
BOOST_AUTO_TEST_CASE(few_values_have_exact_quantiles) {
  Distribution distribution;
  for (const double value : {10.0, 30.0, 20.0}) {
    distribution.Record(value);
  }
  BOOST_TEST(distribution.Value(Quantile::kP50) == 20);
  BOOST_TEST(distribution.Value(Quantile::kP95) == 30);
  BOOST_TEST(distribution.mean() == 20);
  distribution.Record(std::numeric_limits<double>::quiet_NaN());
  distribution.Record(INFINITY);
  BOOST_TEST(distribution.count() == 3U);
}

BOOST_AUTO_TEST_CASE(quantile_estimates_are_close_to_exact_quantiles) {
  std::mt19937_64 random(5);
  std::exponential_distribution<double> exponential(1.0);
  Distribution distribution;
  for (int index = 0; index < 100000; ++index) {
    distribution.Record(exponential(random));
  }
  BOOST_TEST(distribution.mean() == 1.0, boost::test_tools::tolerance(0.05));
  // The quantile of an exponential distribution is -ln(1 - p).
  BOOST_TEST(distribution.Value(Quantile::kP50) == -std::log(0.5),
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(distribution.Value(Quantile::kP95) == -std::log(0.05),
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(distribution.Value(Quantile::kP99) == -std::log(0.01),
             boost::test_tools::tolerance(0.05));
}

// Guards against a division by zero between markers of P-square when all values are equal.
BOOST_AUTO_TEST_CASE(quantiles_of_equal_values_are_exact) {
  Distribution distribution;
  for (int index = 0; index < 1000; ++index) {
    distribution.Record(7);
  }
  BOOST_TEST(distribution.Value(Quantile::kP50) == 7);
  BOOST_TEST(distribution.Value(Quantile::kP99) == 7);
}

}  // namespace acaciaspring::telemetry
