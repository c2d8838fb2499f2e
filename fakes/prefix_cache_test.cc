#include "fakes/prefix_cache.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace acaciaspring::fakes {

namespace {

std::string Words(int count) {
  std::string text;
  for (int index = 0; index < count; ++index) {
    text += "w ";
  }
  return text;
}

BlockChain Chain(const std::vector<std::pair<std::string, int>>& messages) {
  std::vector<Message> list;
  for (const auto& [role, words] : messages) {
    list.push_back({role, Words(words)});
  }
  return MakeChain(list);
}

void Ignore(PrefixCache::Change /*change*/, const CacheBlock& /*block*/) {}

}  // namespace

BOOST_AUTO_TEST_CASE(cache_matches_the_longest_common_prefix) {
  PrefixCache cache(100, Ignore);
  BOOST_TEST(cache.Store(Chain({{"system", 10}, {"user", 20}})) == 2U);
  BOOST_TEST(cache.used() == 30U);
  BOOST_TEST(cache.Match(Chain({{"system", 10}, {"user", 20}, {"assistant", 5}})) == 2U);
  BOOST_TEST(cache.Match(Chain({{"system", 10}, {"user", 21}})) == 1U);
  BOOST_TEST(cache.Match(Chain({{"user", 20}})) == 0U);
}

// Guards against the eviction of a block before the blocks that extend it, which no prompt could
// match any more.
BOOST_AUTO_TEST_CASE(end_of_the_oldest_chain_is_evicted_first) {
  PrefixCache cache(100, Ignore);
  const BlockChain old_chain = Chain({{"a", 30}, {"b", 30}});
  cache.Store(old_chain);
  cache.Store(Chain({{"c", 30}}));
  BOOST_TEST(cache.Store(Chain({{"d", 30}})) == 1U);
  BOOST_TEST(cache.Match(old_chain) == 1U);
  cache.Store(old_chain);
  BOOST_TEST(cache.Match(old_chain) == 2U);
  BOOST_TEST(cache.Match(Chain({{"c", 30}})) == 0U);
  BOOST_TEST(cache.Match(Chain({{"d", 30}})) == 1U);
}

// Guards against the eviction of held blocks for other programs, and against reservations beyond
// the capacity.
BOOST_AUTO_TEST_CASE(pinned_blocks_are_not_evicted) {
  PrefixCache cache(100, Ignore);
  const BlockChain held = Chain({{"a", 60}});
  cache.Store(held);
  cache.Pin(held);
  cache.Pin(held);
  BOOST_TEST(!cache.Reserve(41));
  BOOST_TEST(cache.Reserve(40));
  BOOST_TEST(cache.Store(Chain({{"b", 1}})) == 0U);
  cache.Unreserve(40);
  cache.Unpin(held);
  BOOST_TEST(!cache.Reserve(41));
  cache.Unpin(held);
  BOOST_TEST(cache.Reserve(100));
  BOOST_TEST(cache.Match(held) == 0U);
  BOOST_TEST(cache.used() == 100U);
}

// Guards against cache events that do not match the content of the cache: the events are generated
// from the calls of the observer.
BOOST_AUTO_TEST_CASE(random_use_stays_within_capacity_and_is_reported) {
  std::uint64_t reported = 0;
  PrefixCache cache(200, [&reported](PrefixCache::Change change, const CacheBlock& block) {
    reported += change == PrefixCache::Change::kStored ? block.tokens : -block.tokens;
  });
  std::mt19937 random(7);
  std::vector<BlockChain> pinned;
  for (int step = 0; step < 5000; ++step) {
    BlockChain chain = Chain({{"system", 5},
                              {"user" + std::to_string(random() % 20), 10},
                              {"assistant", static_cast<int>(random() % 30)}});
    chain.resize(cache.Store(chain));
    BOOST_REQUIRE(cache.Match(chain) == chain.size());
    if (random() % 4 == 0) {
      cache.Pin(chain);
      pinned.push_back(chain);
    }
    if (pinned.size() > 4 || (!pinned.empty() && random() % 4 == 0)) {
      cache.Unpin(pinned.back());
      pinned.pop_back();
    }
    for (const BlockChain& kept : pinned) {
      BOOST_REQUIRE(cache.Match(kept) == kept.size());
    }
    BOOST_REQUIRE(cache.used() <= 200U);
    BOOST_REQUIRE(cache.used() == reported);
  }
}

}  // namespace acaciaspring::fakes
