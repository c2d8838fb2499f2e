#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <vector>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

namespace acc = boost::accumulators;

using Accumulators = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::extended_p_square>>;

// Probabilities that P-square tracks. Those that are not exported keep the markers dense around
// p50 and p99.
constexpr std::array<double, 7> kProbabilities = {0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

// P-square has 2 n + 3 markers and needs one value for each. Until then quantiles are computed from
// the stored values.
constexpr std::size_t kExactValues = 2 * kProbabilities.size() + 3;

/// @brief Index of the quantile in kProbabilities.
std::size_t ProbabilityIndex(Quantile quantile) {
  switch (quantile) {
    case Quantile::kP50:
      return 1;
    case Quantile::kP95:
      return 4;
    case Quantile::kP99:
      return 5;
  }
  return 1;
}

}  // namespace

struct Distribution::Impl {
  Accumulators accumulators{acc::extended_p_square_probabilities = kProbabilities};
  std::vector<double> first_values;
};

Distribution::Distribution() : impl_(std::make_unique<Impl>()) {}
Distribution::~Distribution() = default;

void Distribution::Record(double value) {
  if (!std::isfinite(value)) {
    return;
  }
  impl_->accumulators(value);
  if (impl_->first_values.size() < kExactValues) {
    impl_->first_values.push_back(value);
  }
}

std::uint64_t Distribution::count() const {
  return acc::count(impl_->accumulators);
}

double Distribution::sum() const {
  return acc::sum(impl_->accumulators);
}

double Distribution::mean() const {
  return count() == 0 ? 0 : acc::mean(impl_->accumulators);
}

double Distribution::Value(Quantile quantile) const {
  if (count() == 0) {
    return 0;
  }
  if (count() <= kExactValues) {
    std::vector<double> sorted = impl_->first_values;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(kProbabilities[ProbabilityIndex(quantile)] * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
  }
  return acc::extended_p_square(
      impl_->accumulators)[static_cast<std::ptrdiff_t>(ProbabilityIndex(quantile))];
}

}  // namespace acaciaspring::telemetry
