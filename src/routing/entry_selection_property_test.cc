#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "src/routing/entry_test_support.h"

namespace acaciaspring {
namespace {

constexpr std::size_t kZones = 4;

std::vector<EntryPointCandidate> AnyDaemons() {
  const auto count = *rc::gen::inRange<std::size_t>(0, 150);
  std::vector<EntryPointCandidate> daemons;
  for (std::size_t i = 0; i < count; ++i) {
    daemons.push_back(
        {.zone = Zone(*rc::gen::inRange<std::size_t>(0, kZones)),
         .ready = *rc::gen::inRange(0, 4) > 0,
         .capacity = {.processor_share = *rc::gen::inRange(0, 100) / 100.0,
                      .memory_bytes = *rc::gen::inRange<std::uint64_t>(0, 600) * 1'000'000,
                      .link_bits_per_second = *rc::gen::inRange<std::uint64_t>(0, 600) * 1'000'000},
         .correction = *rc::gen::inRange(-10, 150) / 100.0,
         .correction_age = std::chrono::milliseconds(*rc::gen::inRange(0, 8'000))});
  }
  return daemons;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_selection_property)

// Guards against answers that are empty, too long, name a daemon twice or one that is not ready.
BOOST_AUTO_TEST_CASE(answers_keep_their_limits) {
  BOOST_TEST(rc::check("answers keep their limits", [] {
    const std::vector<EntryPointCandidate> daemons = AnyDaemons();
    const auto ready = static_cast<std::size_t>(
        std::count_if(daemons.begin(), daemons.end(),
                      [](const EntryPointCandidate& daemon) { return daemon.ready; }));
    const auto first_seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t i = 0; i < 20; ++i) {
      const std::vector<std::size_t> chosen =
          SelectEntryPoints(Zone(i % (kZones + 1)), daemons, first_seed + i);
      RC_ASSERT(chosen.size() <= 64U);
      RC_ASSERT(chosen.size() >= std::min<std::size_t>(2, ready));
      RC_ASSERT(std::set<std::size_t>(chosen.begin(), chosen.end()).size() == chosen.size());
      for (const std::size_t daemon : chosen) {
        RC_ASSERT(daemons.at(daemon).ready);
      }
    }
  }));
}

// Guards against a daemon that is never named, so that it stays unused and cannot prove that it has
// recovered.
BOOST_AUTO_TEST_CASE(every_ready_daemon_is_in_some_answer) {
  BOOST_TEST(rc::check("every ready daemon is in some answer", [] {
    std::vector<EntryPointCandidate> daemons = AnyDaemons();
    daemons.push_back({.zone = Zone(0), .ready = true, .capacity = kLarge});
    daemons.push_back({.zone = Zone(1), .ready = true, .capacity = kSmall});
    std::set<std::size_t> missing;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (daemons[i].ready) {
        missing.insert(i);
      }
    }
    // The least probability is about 0.02 x 64 / 150 in the daemon's own zone.
    for (std::uint64_t seed = 0; seed < 20'000 && !missing.empty(); ++seed) {
      for (const std::size_t daemon : SelectEntryPoints(Zone(seed % kZones), daemons, seed)) {
        missing.erase(daemon);
      }
    }
    RC_ASSERT(missing.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring
