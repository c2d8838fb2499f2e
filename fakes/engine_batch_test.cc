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

// Runs a batch in virtual time and records what it reports.
struct Bench {
  explicit Bench(const BatchOptions& options, std::uint64_t capacity = 1000)
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

// A queue that ignores priorities would make every measurement of urgent service meaningless.
BOOST_AUTO_TEST_CASE(more_urgent_requests_run_first) {
  Bench bench({.concurrency = 1});
  const auto running = bench.batch.Submit(Request(5, "a", 3));
  const auto late = bench.batch.Submit(Request(5, "b", 3));
  const auto later = bench.batch.Submit(Request(5, "c", 3));
  const auto urgent = bench.batch.Submit(Request(1, "d", 3));
  BOOST_TEST(bench.batch.waiting() == 3U);
  bench.RunUntilIdle();
  const std::vector<EngineBatch::RequestId> expected = {running, urgent, late, later};
  BOOST_TEST(bench.finished == expected, boost::test_tools::per_element());
  BOOST_TEST(bench.batch.max_batch() == 1U);
}

BOOST_AUTO_TEST_CASE(cached_prompt_is_not_computed_again) {
  Bench bench({});
  const auto first = bench.batch.Submit(Request(0, "one two three four", 2));
  bench.RunUntilIdle();
  BOOST_TEST(bench.usages[first].cached_tokens == 0U);
  BOOST_TEST(bench.batch.prefill_tokens_computed() == 4U);
  const auto second = bench.batch.Submit(Request(0, "one two three four", 2));
  bench.RunUntilIdle();
  BOOST_TEST(bench.usages[second].cached_tokens == 3U);
  BOOST_TEST(bench.usages[second].prompt_tokens == 4U);
  BOOST_TEST(bench.usages[second].completion_tokens == 2U);
  BOOST_TEST(bench.batch.prefill_tokens_computed() == 5U);
  BOOST_TEST(bench.tokens[second] == 2U);
}

// Memory that a cancelled request keeps would block the engine after enough cancellations.
BOOST_AUTO_TEST_CASE(cancelled_requests_give_their_memory_back) {
  Bench bench({.concurrency = 4}, 100);
  for (int round = 0; round < 50; ++round) {
    const auto running = bench.batch.Submit(Request(0, "x" + std::to_string(round), 90));
    const auto waiting = bench.batch.Submit(Request(0, "y", 90));
    BOOST_TEST(bench.batch.running() == 1U);
    bench.batch.Advance(kStep);
    BOOST_TEST(bench.batch.Cancel(waiting));
    BOOST_TEST(bench.batch.Cancel(running));
    BOOST_TEST(!bench.batch.Cancel(running));
    BOOST_TEST(bench.batch.idle());
  }
  BOOST_TEST(bench.cache.Fits(100));
}

BOOST_AUTO_TEST_CASE(requests_larger_than_the_memory_are_recognised) {
  Bench bench({}, 10);
  BOOST_TEST(bench.batch.CanEverFit(Request(0, "a b", 8)));
  BOOST_TEST(!bench.batch.CanEverFit(Request(0, "a b", 9)));
}

// A resumed request must generate only what is missing, but compute what it had generated.
BOOST_AUTO_TEST_CASE(resumed_tokens_count_as_prompt) {
  Bench bench({});
  GenerationRequest request = Request(0, "a b c", 4);
  request.resume_from = 6;
  const auto id = bench.batch.Submit(request);
  bench.RunUntilIdle();
  BOOST_TEST(bench.tokens[id] == 4U);
  BOOST_TEST(bench.usages[id].completion_tokens == 10U);
  BOOST_TEST(bench.batch.prefill_tokens_computed() == 9U);
}

// The decode rate is per request and must not depend on the length of a step.
BOOST_AUTO_TEST_CASE(rates_are_kept) {
  Bench bench({.concurrency = 8, .prefill_tokens_per_second = 1e6, .decode_tokens_per_second = 50});
  const auto one = bench.batch.Submit(Request(0, "a", 900));
  for (int step = 0; step < 100; ++step) {
    bench.batch.Advance(kStep);
  }
  BOOST_TEST(bench.tokens[one] >= 50U);
  BOOST_TEST(bench.tokens[one] <= 51U);
}

}  // namespace acaciaspring::fakes
