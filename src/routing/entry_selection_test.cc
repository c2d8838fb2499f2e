#include "src/routing/entry_selection.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <numeric>
#include <optional>
#include <random>
#include <set>

#include "src/routing/entry_test_support.h"

namespace acaciaspring {
namespace {

double Capacity(const std::vector<EntryPointCandidate>& daemons,
                const std::optional<AvailabilityZone>& zone = {},
                bool ready_only = false) {
  double sum = 0;
  for (const EntryPointCandidate& daemon : daemons) {
    if ((!zone || daemon.zone == *zone) && (daemon.ready || !ready_only)) {
      sum += LoadCapacity(daemon.capacity);
    }
  }
  return sum;
}

/// @brief Callers in proportion to the capacity that is registered in their zone; 1 in total.
std::map<AvailabilityZone, double> DemandOf(const std::vector<EntryPointCandidate>& daemons) {
  std::map<AvailabilityZone, double> demand;
  for (const EntryPointCandidate& daemon : daemons) {
    demand[daemon.zone] += LoadCapacity(daemon.capacity) / Capacity(daemons);
  }
  return demand;
}

/// @brief Smallest and largest utilisation of the ready daemons, relative to the mean of all.
std::pair<double, double> UtilisationRange(const std::vector<EntryPointCandidate>& daemons,
                                           const std::vector<double>& shares) {
  std::pair<double, double> range{std::numeric_limits<double>::infinity(), 0};
  const double ready = Capacity(daemons, {}, true);
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    if (daemons[i].ready) {
      const double utilisation = shares[i] * ready / LoadCapacity(daemons[i].capacity);
      range = {std::min(range.first, utilisation), std::max(range.second, utilisation)};
    }
  }
  return range;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_selection)

// Guards against other answers in deployments whose daemons are about equal.
BOOST_AUTO_TEST_CASE(similar_daemons_are_all_named_in_order) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(4, 5, 0, 2);
  daemons[2].ready = false;
  daemons[3].correction = 0.1;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    BOOST_TEST((SelectEntryPoints(Zone(0), daemons, seed) == std::vector<std::size_t>{0, 4, 6, 8}));
    BOOST_TEST((SelectEntryPoints(Zone(1), daemons, seed) == std::vector<std::size_t>{1, 3, 5, 7}));
    BOOST_TEST((SelectEntryPoints(Zone(9), daemons, seed).size() == 8U));
  }
  daemons[4].ready = daemons[6].ready = daemons[8].ready = false;
  BOOST_TEST((SelectEntryPoints(Zone(0), daemons, 0) == std::vector<std::size_t>{0, 1, 3, 5, 7}));
  const std::vector<EntryPointCandidate> many = MakeDaemons(200, 0, 0, 1);
  BOOST_TEST(SelectEntryPoints(Zone(0), many, 0).size() == 64U);
}

BOOST_AUTO_TEST_CASE(processors_are_unequal_from_a_factor_of_three_on) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(2, 0, 0, 1);
  daemons[0].capacity.processor_share = 0.3;
  daemons[1].capacity.processor_share = 0.1;
  BOOST_TEST(UnequalProcessors(daemons));
  daemons[1].capacity.processor_share = 0.101;
  BOOST_TEST(!UnequalProcessors(daemons));
  daemons[1].capacity.processor_share = 0.01;
  daemons[1].ready = false;
  BOOST_TEST(!UnequalProcessors(daemons));
  // Daemons without a known share have no influence.
  daemons[1] = {.zone = Zone(0), .ready = true};
  BOOST_TEST(!UnequalProcessors(daemons));
  daemons[1].capacity.processor_share = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(!UnequalProcessors(daemons));
  BOOST_TEST(!UnequalProcessors({}));
}

// Guards against small daemons that get as many callers as large ones.
BOOST_AUTO_TEST_CASE(callers_are_distributed_by_capacity) {
  for (const auto& daemons : {MakeDaemons(18, 17, 47, 4), MakeDaemons(92, 87, 241, 4)}) {
    for (const auto& [zone, demand] : DemandOf(daemons)) {
      const std::vector<double> shares = MeasureShares(daemons, {{zone, 1}});
      for (std::size_t i = 0; i < daemons.size(); ++i) {
        const double expected = daemons[i].zone == zone
                                    ? LoadCapacity(daemons[i].capacity) / Capacity(daemons, zone)
                                    : 0;
        BOOST_TEST(std::abs(shares[i] - expected) <= 0.2 * expected);
      }
    }
  }
}

// Guards against answers that name a daemon more or less often than its capacity demands.
BOOST_AUTO_TEST_CASE(probability_is_the_capacity_relative_to_the_strongest) {
  const std::vector<EntryPointCandidate> daemons = MakeDaemons(18, 17, 47, 4);
  constexpr int kAnswers = 20'000;
  std::vector<int> named(daemons.size(), 0);
  for (std::uint64_t seed = 0; seed < kAnswers; ++seed) {
    for (const std::size_t daemon : SelectEntryPoints(Zone(1), daemons, seed)) {
      ++named[daemon];
    }
  }
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const double expected =
        daemons[i].zone == Zone(1) ? LoadCapacity(daemons[i].capacity) / 0.5 : 0;
    BOOST_TEST(std::abs(named[i] / static_cast<double>(kAnswers) - expected) < 0.02);
  }
}

// Guards against a zone with one large daemon, whose small ones would get half of its callers.
BOOST_AUTO_TEST_CASE(seven_daemons_are_not_overloaded) {
  for (std::size_t large = 1; large < 7; ++large) {
    const std::vector<EntryPointCandidate> daemons = MakeDaemons(large, 0, 7 - large, 3);
    const std::vector<double> shares = MeasureShares(daemons, DemandOf(daemons));
    // The two daemons of a zone have the whole zone's callers as long as they are equal.
    BOOST_TEST(UtilisationRange(daemons, shares).second < 2);
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
      for (std::size_t zone = 0; zone < 3; ++zone) {
        BOOST_TEST(SelectEntryPoints(Zone(zone), daemons, seed).size() >= 2U);
      }
    }
  }
}

// Guards against overload of the remaining daemons of a zone that lost others.
BOOST_AUTO_TEST_CASE(loss_in_a_zone_is_shared) {
  for (const double lost_part : {0.25, 0.5, 0.75, 0.9, 1.0}) {
    std::vector<EntryPointCandidate> daemons = MakeDaemons(18, 17, 47, 4);
    std::size_t seen = 0;
    double lost = 0;
    for (EntryPointCandidate& daemon : daemons) {
      if (daemon.zone == Zone(0)) {
        ++seen;
        daemon.ready = lost + 1 > lost_part * static_cast<double>(seen);
        lost += daemon.ready ? 0 : 1;
      }
    }
    const std::vector<double> shares = MeasureShares(daemons, DemandOf(daemons));
    const auto [least, most] = UtilisationRange(daemons, shares);
    BOOST_TEST_MESSAGE("lost " << lost_part << ": utilisation " << least << " to " << most);
    BOOST_TEST(most < 1.45);
    BOOST_TEST(least > 0.65);
  }
}

// Guards against callers of an intact zone that are sent to other zones.
BOOST_AUTO_TEST_CASE(equal_losses_keep_callers_in_their_zone) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(16, 16, 48, 4);
  for (std::size_t i = 0; i < daemons.size(); i += 8) {
    for (std::size_t j = i; j < i + 4; ++j) {
      daemons[j].ready = false;
    }
  }
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    for (const std::size_t daemon : SelectEntryPoints(Zone(2), daemons, seed)) {
      BOOST_TEST((daemons[daemon].zone == Zone(2)));
      BOOST_TEST(daemons[daemon].ready);
    }
  }
}

// Guards against callers that keep using the daemons of a zone while they move to another one.
BOOST_AUTO_TEST_CASE(zone_moves_to_another) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(18, 17, 47, 4);
  const std::map<AvailabilityZone, double> demand = DemandOf(daemons);
  for (std::size_t moved = 0; moved < daemons.size(); ++moved) {
    if (daemons[moved].zone == Zone(0)) {
      // The record of the same id is replaced.
      daemons[moved].zone = Zone(1);
    }
  }
  const std::vector<double> shares = MeasureShares(daemons, demand);
  BOOST_TEST(std::accumulate(shares.begin(), shares.end(), 0.0) > 0.999);
  BOOST_TEST(UtilisationRange(daemons, shares).second < 1.45);
}

// Guards against overload while daemons that start together become ready one after another.
BOOST_AUTO_TEST_CASE(hundred_daemons_start_together) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(22, 21, 57, 4);
  const std::map<AvailabilityZone, double> demand = DemandOf(daemons);
  std::vector<std::size_t> order(daemons.size());
  std::iota(order.begin(), order.end(), 0U);
  std::shuffle(order.begin(), order.end(), std::mt19937_64(7));
  for (EntryPointCandidate& daemon : daemons) {
    daemon.ready = false;
  }
  BOOST_TEST(SelectEntryPoints(Zone(0), daemons, 1).empty());
  for (std::size_t ready = 0; ready < daemons.size(); ++ready) {
    daemons[order[ready]].ready = true;
    const std::vector<std::size_t> chosen = SelectEntryPoints(Zone(0), daemons, ready);
    BOOST_TEST(chosen.size() >= std::min<std::size_t>(2, ready + 1));
    BOOST_TEST(
        std::all_of(chosen.begin(), chosen.end(), [&](std::size_t i) { return daemons[i].ready; }));
    if (ready >= 30 && ready % 10 == 0) {
      const std::vector<double> shares = MeasureShares(daemons, demand, 2'000);
      const auto [least, most] = UtilisationRange(daemons, shares);
      BOOST_TEST_MESSAGE(ready << " ready: utilisation " << least << " to " << most);
      BOOST_TEST(most < 1.8);
    }
  }
}

// Guards against a signal that is wrong, missing or old and takes a daemon out of the answers.
BOOST_AUTO_TEST_CASE(unusable_signals_have_no_effect) {
  const std::vector<EntryPointCandidate> sound = MakeDaemons(18, 17, 47, 4);
  const std::vector<double> expected = EntryPointShares(Zone(0), sound, {});
  for (const double wrong :
       {0.0, -1.0, 0.05, 1.5, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity()}) {
    std::vector<EntryPointCandidate> daemons = sound;
    daemons[0].correction = wrong;
    BOOST_TEST((EntryPointShares(Zone(0), daemons, {}) == expected));
  }
  std::vector<EntryPointCandidate> daemons = sound;
  daemons[0].correction = 0.2;
  BOOST_TEST(EntryPointShares(Zone(0), daemons, {})[0] < 0.3 * expected[0]);
  daemons[0].correction_age = std::chrono::milliseconds(5001);
  BOOST_TEST((EntryPointShares(Zone(0), daemons, {}) == expected));
  // A daemon of an earlier version counts as a medium one.
  daemons = sound;
  daemons[0].capacity = {};
  const std::vector<double> shares = EntryPointShares(Zone(0), daemons, {});
  BOOST_TEST(shares[0] > 0);
  BOOST_TEST(shares[0] < shares[4]);
}

// Guards against corrections that move callers to other zones, from which they would return.
BOOST_AUTO_TEST_CASE(corrections_do_not_change_the_zones) {
  std::vector<EntryPointCandidate> daemons = MakeDaemons(18, 17, 47, 4);
  for (EntryPointCandidate& daemon : daemons) {
    daemon.correction = daemon.zone == Zone(0) ? 0.1 : 1;
  }
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    for (const std::size_t daemon : SelectEntryPoints(Zone(0), daemons, seed)) {
      BOOST_TEST((daemons[daemon].zone == Zone(0)));
    }
  }
}

// Guards against a small link or memory that is ignored.
BOOST_AUTO_TEST_CASE(load_capacity_is_the_least_of_the_resources) {
  BOOST_TEST(LoadCapacity(kLarge) == 0.5);
  BOOST_TEST(LoadCapacity(kMedium) == 0.3);
  BOOST_TEST(LoadCapacity(kSmall) == 0.09);
  BOOST_TEST(LoadCapacity({.processor_share = 0.5}) == 0.5);
  BOOST_TEST(LoadCapacity({.processor_share = 0.5, .link_bits_per_second = 10'000'000}) == 0.1);
  BOOST_TEST(LoadCapacity({.processor_share = 0.5, .memory_bytes = 64'000'000}) == 0.25);
  BOOST_TEST(LoadCapacity({.memory_bytes = 64'000'000}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring
