#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <set>
#include <string>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=200", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

const EndpointId kEndpoint1("e1");
const EndpointId kEndpoint2("e2");

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

std::vector<CacheHolder> Holders(CacheIndex& index, std::uint64_t prefix, std::int64_t ms = 0) {
  std::vector<CacheHolder> holders;
  index.FindHolders(PrefixId(prefix), At(ms), holders);
  return holders;
}

BOOST_AUTO_TEST_SUITE(cache_index)

// Guards against the use of a prefix that the endpoint has evicted, and against events that are
// delivered late and overwrite newer ones.
BOOST_AUTO_TEST_CASE(applies_events_in_sequence_order) {
  CacheIndex index;
  index.OnCompletion(kEndpoint1, PrefixId(1), TokenCount(100), At(0));
  index.OnEvent(kEndpoint1, {.sequence = 1, .prefix = PrefixId(1), .tokens = TokenCount(160)},
                At(1));
  BOOST_REQUIRE(Holders(index, 1).size() == 1U);
  BOOST_TEST((Holders(index, 1)[0].tokens == TokenCount(160)));
  index.OnEvent(kEndpoint1, {.sequence = 2, .prefix = PrefixId(1), .tokens = TokenCount(0)}, At(2));
  BOOST_TEST(Holders(index, 1).empty());
  index.OnEvent(kEndpoint1, {.sequence = 1, .prefix = PrefixId(1), .tokens = TokenCount(160)},
                At(3));
  BOOST_TEST(Holders(index, 1).empty());
  BOOST_TEST(index.NextSequence(kEndpoint1) == 3U);
  BOOST_TEST(index.NextSequence(kEndpoint2) == 1U);
}

// Guards against full confidence in entries whose eviction may be among the lost events.
BOOST_AUTO_TEST_CASE(a_sequence_gap_lowers_the_confidence_of_older_entries) {
  CacheIndex index;
  index.OnCompletion(kEndpoint1, PrefixId(1), TokenCount(100), At(0));
  index.OnCompletion(kEndpoint2, PrefixId(1), TokenCount(90), At(0));
  index.OnEvent(kEndpoint1, {.sequence = 5, .prefix = PrefixId(2), .tokens = TokenCount(10)},
                At(1));
  const auto holders = Holders(index, 1);
  BOOST_REQUIRE(holders.size() == 2U);
  BOOST_TEST(holders[0].confidence == 0.5);
  BOOST_TEST(holders[1].confidence == 1.0);
  BOOST_TEST(Holders(index, 2)[0].confidence == 1.0);
  index.OnCompletion(kEndpoint1, PrefixId(1), TokenCount(120), At(2));
  BOOST_TEST(Holders(index, 1)[1].confidence == 1.0);
}

// Guards against stale entries of an endpoint that restarted with an empty cache, and against
// ignoring its events, whose sequence starts again at 1.
BOOST_AUTO_TEST_CASE(invalidates_the_entries_of_an_endpoint) {
  CacheIndex index;
  index.OnEvent(kEndpoint1, {.sequence = 1, .prefix = PrefixId(1), .tokens = TokenCount(10)},
                At(0));
  index.InvalidateEndpoint(kEndpoint1);
  BOOST_TEST(Holders(index, 1).empty());
  index.OnEvent(kEndpoint1, {.sequence = 1, .prefix = PrefixId(3), .tokens = TokenCount(10)},
                At(0));
  BOOST_TEST(Holders(index, 3).size() == 1U);
}

// Guards against expired entries that stay in memory because they are never looked up.
BOOST_AUTO_TEST_CASE(the_sweep_removes_expired_entries) {
  CacheIndex index({.entry_ttl = std::chrono::seconds(1)});
  for (std::uint64_t i = 0; i < 100; ++i) {
    index.OnCompletion(kEndpoint1, PrefixId(i), TokenCount(1), At(0));
  }
  for (int i = 0; i < 60; ++i) {
    index.OnCompletion(kEndpoint1, PrefixId(1000), TokenCount(1), At(2000));
  }
  BOOST_TEST(index.size() == 1U);
}

// Guards against holders that were never recorded, expired holders and unbounded memory, under any
// sequence of operations.
BOOST_AUTO_TEST_CASE(finds_only_recorded_holders) {
  const bool holds = rc::check("model", [] {
    const CacheIndexOptions options{
        .capacity = 8, .holders_per_prefix = 3, .entry_ttl = std::chrono::milliseconds(500)};
    CacheIndex index(options);
    // Tokens and expiry, in ms, of every entry that the index may return.
    std::map<std::pair<EndpointId, std::uint64_t>, std::pair<TokenCount, std::int64_t>>
        expected_entries;
    std::map<EndpointId, std::uint64_t> sequences;
    std::int64_t now = 0;
    for (int i = *rc::gen::inRange(0, 300); i > 0; --i) {
      now += *rc::gen::inRange(0, 40);
      const EndpointId endpoint("e" + std::to_string(*rc::gen::inRange(0, 5)));
      const auto prefix = *rc::gen::inRange<std::uint64_t>(0, 14);
      const TokenCount tokens(*rc::gen::inRange<std::uint64_t>(1, 100));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          index.RemovePrefix(PrefixId(prefix));
          std::erase_if(expected_entries,
                        [&](const auto& entry) { return entry.first.second == prefix; });
          break;
        case 1:
          index.InvalidateEndpoint(endpoint);
          sequences[endpoint] = 0;
          std::erase_if(expected_entries,
                        [&](const auto& entry) { return entry.first.first == endpoint; });
          break;
        case 2:
          sequences[endpoint] += *rc::gen::inRange<std::uint64_t>(1, 3);
          index.OnEvent(endpoint, {sequences[endpoint], PrefixId(prefix), TokenCount(0)}, At(now));
          expected_entries.erase({endpoint, prefix});
          break;
        default:
          index.OnCompletion(endpoint, PrefixId(prefix), tokens, At(now));
          expected_entries[{endpoint, prefix}] = {tokens, now + 500};
      }
      RC_ASSERT(index.size() <= options.capacity);
      const auto queried = *rc::gen::inRange<std::uint64_t>(0, 14);
      std::set<EndpointId> seen;
      for (const CacheHolder& holder : Holders(index, queried, now)) {
        RC_ASSERT(seen.insert(holder.endpoint).second);
        const auto expected = expected_entries.find({holder.endpoint, queried});
        RC_ASSERT(expected != expected_entries.end());
        RC_ASSERT(expected->second.first == holder.tokens);
        RC_ASSERT(expected->second.second > now);
      }
      RC_ASSERT(seen.size() <= options.holders_per_prefix);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
