#include "fakes/engine_batch.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::fakes {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);

GenerationRequest Request(std::int64_t priority, const std::string& text, std::uint64_t output) {
  return {.priority = priority,
          .prompt = MakeChain({{"user", text}}),
          .resume_from = 0,
          .output_tokens = output};
}

// Runs a batch in virtual time and records the calls of its callbacks.
struct BatchFixture {
  explicit BatchFixture(const BatchOptions& options, std::uint64_t capacity = 1000)
      : cache(capacity, [](PrefixCache::Change, const CacheBlock&) {}),
        batch(options,
              cache,
              {.on_tokens = [this](EngineBatch::RequestId id,
                                   std::uint64_t count) { tokens[id] += count; },
               .on_finished =
                   [this](EngineBatch::RequestId id, const Usage& usage) {
                     finished.push_back(id);
                     usages[id] = usage;
                   }}) {}

  void RunUntilIdle() {
    for (int step = 0; step < 100000 && !batch.idle(); ++step) {
      batch.Advance(kStep);
    }
    BOOST_REQUIRE(batch.idle());
  }

  std::map<EngineBatch::RequestId, std::uint64_t> tokens;
  std::vector<EngineBatch::RequestId> finished;
  std::map<EngineBatch::RequestId, Usage> usages;
  PrefixCache cache;
  EngineBatch batch;
};

}  // namespace

// Guards against a queue that ignores priorities, which would invalidate all measurements of urgent
// requests.
BOOST_AUTO_TEST_CASE(more_urgent_requests_run_first) {
  BatchFixture fixture({.concurrency = 1});
  const auto running = fixture.batch.Submit(Request(5, "a", 3));
  const auto late = fixture.batch.Submit(Request(5, "b", 3));
  const auto later = fixture.batch.Submit(Request(5, "c", 3));
  const auto urgent = fixture.batch.Submit(Request(1, "d", 3));
  BOOST_TEST(fixture.batch.waiting() == 3U);
  fixture.RunUntilIdle();
  const std::vector<EngineBatch::RequestId> expected = {running, urgent, late, later};
  BOOST_TEST(fixture.finished == expected, boost::test_tools::per_element());
  BOOST_TEST(fixture.batch.max_batch() == 1U);
}

BOOST_AUTO_TEST_CASE(cached_prompt_is_not_computed_again) {
  BatchFixture fixture({});
  const auto first = fixture.batch.Submit(Request(0, "one two three four", 2));
  fixture.RunUntilIdle();
  BOOST_TEST(fixture.usages[first].cached_tokens == 0U);
  BOOST_TEST(fixture.batch.prefill_tokens_computed() == 4U);
  const auto second = fixture.batch.Submit(Request(0, "one two three four", 2));
  fixture.RunUntilIdle();
  BOOST_TEST(fixture.usages[second].cached_tokens == 3U);
  BOOST_TEST(fixture.usages[second].prompt_tokens == 4U);
  BOOST_TEST(fixture.usages[second].completion_tokens == 2U);
  BOOST_TEST(fixture.batch.prefill_tokens_computed() == 5U);
  BOOST_TEST(fixture.tokens[second] == 2U);
}

// Guards against a leak: memory that stays reserved for cancelled requests would fill the KV cache.
BOOST_AUTO_TEST_CASE(cancelled_requests_release_their_memory) {
  BatchFixture fixture({.concurrency = 4}, 100);
  for (int round = 0; round < 50; ++round) {
    const auto running = fixture.batch.Submit(Request(0, "x" + std::to_string(round), 90));
    const auto waiting = fixture.batch.Submit(Request(0, "y", 90));
    BOOST_TEST(fixture.batch.running() == 1U);
    fixture.batch.Advance(kStep);
    BOOST_TEST(fixture.batch.Cancel(waiting));
    BOOST_TEST(fixture.batch.Cancel(running));
    BOOST_TEST(!fixture.batch.Cancel(running));
    BOOST_TEST(fixture.batch.idle());
  }
  BOOST_TEST(fixture.cache.Fits(100));
}

BOOST_AUTO_TEST_CASE(requests_larger_than_the_kv_cache_never_fit) {
  BatchFixture fixture({}, 10);
  BOOST_TEST(fixture.batch.CanEverFit(Request(0, "a b", 8)));
  BOOST_TEST(!fixture.batch.CanEverFit(Request(0, "a b", 9)));
}

// Guards against a resumed request that generates tokens which were already sent, or that skips
// their prefill.
BOOST_AUTO_TEST_CASE(resumed_tokens_count_as_prompt) {
  BatchFixture fixture({});
  GenerationRequest request = Request(0, "a b c", 4);
  request.resume_from = 6;
  const auto id = fixture.batch.Submit(request);
  fixture.RunUntilIdle();
  BOOST_TEST(fixture.tokens[id] == 4U);
  BOOST_TEST(fixture.usages[id].completion_tokens == 10U);
  BOOST_TEST(fixture.batch.prefill_tokens_computed() == 9U);
}

// Guards against a decode rate that depends on the length of a step.
BOOST_AUTO_TEST_CASE(decode_rate_does_not_depend_on_the_step_length) {
  BatchFixture fixture(
      {.concurrency = 8, .prefill_tokens_per_second = 1e6, .decode_tokens_per_second = 50});
  const auto one = fixture.batch.Submit(Request(0, "a", 900));
  for (int step = 0; step < 100; ++step) {
    fixture.batch.Advance(kStep);
  }
  BOOST_TEST(fixture.tokens[one] >= 50U);
  BOOST_TEST(fixture.tokens[one] <= 51U);
}

}  // namespace acaciaspring::fakes
