#ifndef ACACIASPRING_SRC_ROUTING_ENTRY_SELECTION_H_
#define ACACIASPRING_SRC_ROUTING_ENTRY_SELECTION_H_

#include <cstdint>
#include <span>
#include <vector>

#include "acaciaspring/routing.h"

namespace acaciaspring {

/// @brief For each candidate, the share of the zone's callers that it should get; the shares add up
/// to 1. Daemons that are not ready have 0, also if none is ready.
std::vector<double> EntryPointShares(const AvailabilityZone& caller_zone,
                                     std::span<const EntryPointCandidate> candidates,
                                     const EntryPointOptions& options);

/// @brief Probabilities with which a sample contains each item: proportional to the weights, at
/// most 1, the largest as near to 1 as the limits on the sample's mean size allow.
std::vector<double> InclusionProbabilities(std::span<const double> weights,
                                           double min_size,
                                           double max_size);

}  // namespace acaciaspring

#endif  // ACACIASPRING_SRC_ROUTING_ENTRY_SELECTION_H_
