#ifndef ACACIASPRING_SRC_ROUTING_ENTRY_TEST_SUPPORT_H_
#define ACACIASPRING_SRC_ROUTING_ENTRY_TEST_SUPPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "acaciaspring/routing.h"

namespace acaciaspring {

inline const DaemonCapacity kLarge{.processor_share = 0.5,
                                   .memory_bytes = 512'000'000,
                                   .link_bits_per_second = 600'000'000};
inline const DaemonCapacity kMedium{.processor_share = 0.3,
                                    .memory_bytes = 220'000'000,
                                    .link_bits_per_second = 75'000'000};
inline const DaemonCapacity kSmall{.processor_share = 0.09,
                                   .memory_bytes = 96'000'000,
                                   .link_bits_per_second = 22'000'000};

inline AvailabilityZone Zone(std::size_t index) {
  return AvailabilityZone("z" + std::to_string(index));
}

/// @brief Ready daemons, placed in the zones in turn.
inline std::vector<EntryPointCandidate> MakeDaemons(std::size_t large,
                                                    std::size_t medium,
                                                    std::size_t small,
                                                    std::size_t zones) {
  std::vector<EntryPointCandidate> daemons;
  for (std::size_t i = 0; i < large + medium + small; ++i) {
    const DaemonCapacity& capacity = i < large ? kLarge : i < large + medium ? kMedium : kSmall;
    daemons.push_back({.zone = Zone(i % zones), .ready = true, .capacity = capacity});
  }
  return daemons;
}

/// @brief Mean share of each daemon over many answers, if the callers of each zone choose one of
/// the addresses of an answer at random. `demand` has the callers of each zone.
inline std::vector<double> MeasureShares(const std::vector<EntryPointCandidate>& daemons,
                                         const std::map<AvailabilityZone, double>& demand,
                                         std::size_t answers = 20'000) {
  std::vector<double> shares(daemons.size(), 0);
  std::uint64_t seed = 0;
  for (const auto& [zone, callers] : demand) {
    for (std::size_t i = 0; i < answers; ++i) {
      const std::vector<std::size_t> chosen = SelectEntryPoints(zone, daemons, ++seed);
      for (const std::size_t daemon : chosen) {
        shares[daemon] += callers / static_cast<double>(answers * chosen.size());
      }
    }
  }
  return shares;
}

}  // namespace acaciaspring

#endif  // ACACIASPRING_SRC_ROUTING_ENTRY_TEST_SUPPORT_H_
