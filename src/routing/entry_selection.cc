#include "src/routing/entry_selection.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace acaciaspring {

namespace {

// Generous estimates for a daemon with one core at full load, so that link and memory reduce the
// capacity only where they are much smaller than usual for the processor share.
constexpr double kLinkBitsPerSecondPerCore = 100e6;
constexpr double kMemoryBytesPerCore = 256e6;
// 0.3 / 0.1 is slightly less than 3 in floating point.
constexpr double kRatioTolerance = 1e-9;

bool IsKnown(double value) {
  return std::isfinite(value) && value > 0;
}

/// @brief Corrections that are out of range or too old are ignored.
double UsableCorrection(const EntryPointCandidate& candidate, const EntryPointOptions& options) {
  const bool usable = candidate.correction >= 0.1 && candidate.correction <= 1 &&
                      candidate.correction_age >= Duration::zero() &&
                      candidate.correction_age <= options.max_correction_age;
  return usable ? candidate.correction : 1;
}

/// @brief Capacities from the settings. Daemons without one, such as those of an earlier version,
/// count as the median of the ready ones.
std::vector<double> NominalCapacities(std::span<const EntryPointCandidate> candidates) {
  std::vector<double> capacities;
  std::vector<double> known;
  for (const EntryPointCandidate& candidate : candidates) {
    capacities.push_back(LoadCapacity(candidate.capacity));
    if (candidate.ready && capacities.back() > 0) {
      known.push_back(capacities.back());
    }
  }
  double median = 1;
  if (!known.empty()) {
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    median = *middle;
  }
  std::replace(capacities.begin(), capacities.end(), 0.0, median);
  return capacities;
}

/// @brief Capacity of the registered and of the ready daemons.
struct CapacitySum {
  double registered = 0;
  double ready = 0;
  /// Of one ready daemon.
  double largest = 0;
  std::size_t ready_daemons = 0;

  void Add(double capacity, bool is_ready) {
    registered += capacity;
    if (is_ready) {
      ready += capacity;
      largest = std::max(largest, capacity);
      ++ready_daemons;
    }
  }
};

/// @brief Share of a zone's callers that stay in the zone.
///
/// The demand of a zone's callers is taken to be proportional to the capacity registered in it. If
/// `remaining` of them stay in their zone, its daemons have the mean utilisation of all daemons.
double ShareInZone(const CapacitySum& zone,
                   const CapacitySum& all,
                   const EntryPointOptions& options) {
  if (zone.ready_daemons == all.ready_daemons) {
    return 1;
  }
  // As without weights, callers do not depend on a single daemon.
  if (zone.ready_daemons < options.min_addresses) {
    return 0;
  }
  const double remaining = (zone.ready / zone.registered) * (all.registered / all.ready);
  // In an answer of the minimum size, a daemon cannot get more callers than one part of it.
  const double undominated =
      zone.ready / (static_cast<double>(options.min_addresses) * zone.largest);
  return std::min({1.0, options.max_relative_utilisation * remaining, undominated});
}

std::vector<std::size_t> SelectUnweighted(const AvailabilityZone& caller_zone,
                                          std::span<const EntryPointCandidate> candidates,
                                          const EntryPointOptions& options) {
  std::vector<std::size_t> ready;
  std::vector<std::size_t> same_zone;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ready) {
      ready.push_back(i);
      if (candidates[i].zone == caller_zone) {
        same_zone.push_back(i);
      }
    }
  }
  std::vector<std::size_t>& chosen = same_zone.size() >= options.min_addresses ? same_zone : ready;
  chosen.resize(std::min(chosen.size(), options.max_addresses));
  return chosen;
}

}  // namespace

double LoadCapacity(const DaemonCapacity& capacity) {
  if (!IsKnown(capacity.processor_share)) {
    return 0;
  }
  double load = capacity.processor_share;
  if (capacity.link_bits_per_second > 0) {
    load = std::min(load,
                    static_cast<double>(capacity.link_bits_per_second) / kLinkBitsPerSecondPerCore);
  }
  if (capacity.memory_bytes > 0) {
    load = std::min(load, static_cast<double>(capacity.memory_bytes) / kMemoryBytesPerCore);
  }
  return load;
}

bool UnequalProcessors(std::span<const EntryPointCandidate> candidates,
                       const EntryPointOptions& options) {
  double smallest = 0;
  double largest = 0;
  for (const EntryPointCandidate& candidate : candidates) {
    const double share = candidate.capacity.processor_share;
    if (candidate.ready && IsKnown(share)) {
      smallest = largest == 0 ? share : std::min(smallest, share);
      largest = std::max(largest, share);
    }
  }
  return largest > 0 && largest >= options.unequal_ratio * smallest * (1 - kRatioTolerance);
}

std::vector<double> EntryPointShares(const AvailabilityZone& caller_zone,
                                     std::span<const EntryPointCandidate> candidates,
                                     const EntryPointOptions& options) {
  std::vector<double> weights = NominalCapacities(candidates);
  CapacitySum zone;
  CapacitySum all;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    all.Add(weights[i], candidates[i].ready);
    if (candidates[i].zone == caller_zone) {
      zone.Add(weights[i], candidates[i].ready);
    }
  }
  if (all.ready_daemons == 0) {
    return std::vector<double>(candidates.size(), 0);
  }
  // Corrections do not take part in the choice of zones: they depend on the load, and load that
  // moves between zones would move back as soon as they recover.
  const double in_zone = ShareInZone(zone, all, options);
  // If many daemons are overloaded, the others have little to spare. Only corrections below the
  // mean of the daemons among which the callers are distributed therefore count.
  const auto is_local = [&](std::size_t i) {
    return in_zone == 0 || candidates[i].zone == caller_zone;
  };
  double corrected[] = {0, 0};
  double nominal[] = {0, 0};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ready) {
      corrected[is_local(i)] += weights[i] * UsableCorrection(candidates[i], options);
      nominal[is_local(i)] += weights[i];
    }
  }
  double largest = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ready) {
      const double mean = corrected[is_local(i)] / nominal[is_local(i)];
      weights[i] *= std::min(1.0, UsableCorrection(candidates[i], options) / mean);
    } else {
      weights[i] = 0;
    }
    largest = std::max(largest, weights[i]);
  }
  double zone_sum = 0;
  double other_sum = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ready) {
      weights[i] = std::max(weights[i], options.min_relative_weight * largest);
      (candidates[i].zone == caller_zone ? zone_sum : other_sum) += weights[i];
    }
  }
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (weights[i] == 0) {
      continue;
    }
    if (in_zone == 0) {
      weights[i] /= zone_sum + other_sum;
    } else if (candidates[i].zone == caller_zone) {
      weights[i] *= in_zone / zone_sum;
    } else {
      weights[i] *= (1 - in_zone) / other_sum;
    }
  }
  return weights;
}

std::vector<double> InclusionProbabilities(std::span<const double> weights,
                                           double min_size,
                                           double max_size) {
  std::vector<double> probabilities(weights.size(), 0);
  const auto positive = static_cast<double>(
      std::count_if(weights.begin(), weights.end(), [](double weight) { return weight > 0; }));
  if (positive == 0) {
    return probabilities;
  }
  double rest = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double largest = *std::max_element(weights.begin(), weights.end());
  double size = std::clamp(rest / largest, std::min(min_size, positive), max_size);
  // An item whose probability would exceed 1 is certain, and the others share the remaining size.
  for (bool changed = true; changed;) {
    changed = false;
    const double factor = size / rest;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      if (probabilities[i] == 1) {
        continue;
      }
      probabilities[i] = weights[i] * factor;
      if (probabilities[i] >= 1) {
        probabilities[i] = 1;
        size -= 1;
        rest -= weights[i];
        changed = rest > 0;
      }
    }
  }
  return probabilities;
}

std::vector<std::size_t> SelectEntryPoints(const AvailabilityZone& caller_zone,
                                           std::span<const EntryPointCandidate> candidates,
                                           std::uint64_t seed,
                                           const EntryPointOptions& options) {
  if (!UnequalProcessors(candidates, options)) {
    return SelectUnweighted(caller_zone, candidates, options);
  }
  const std::vector<double> probabilities = InclusionProbabilities(
      EntryPointShares(caller_zone, candidates, options),
      static_cast<double>(options.min_addresses), static_cast<double>(options.max_addresses));
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (probabilities[i] > 0) {
      order.push_back(i);
    }
  }
  std::mt19937_64 random(seed);
  std::shuffle(order.begin(), order.end(), random);
  // Systematic sampling: the size of the answers varies by one at most. If each daemon were drawn
  // independently, small answers would give weak daemons too few callers, because a weak daemon
  // shares an answer with more others than a strong one does on average.
  double next = std::uniform_real_distribution<double>(0, 1)(random);
  double sum = 0;
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> others;
  for (const std::size_t i : order) {
    sum += probabilities[i];
    if (sum > next && chosen.size() < options.max_addresses) {
      chosen.push_back(i);
      next += 1;
    } else {
      others.push_back(i);
    }
  }
  // Rounding may have left out the last one.
  while (chosen.size() < options.min_addresses && !others.empty()) {
    chosen.push_back(others.back());
    others.pop_back();
  }
  return chosen;
}

}  // namespace acaciaspring
