#include <boost/test/unit_test.hpp>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

const PriorityClassId kUrgent("urgent");
const PriorityClassId kBatch("batch");

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

struct Fixture {
  Fixture() : queue(Options()) {}

  static EndpointQueueOptions Options() {
    EndpointQueueOptions options;
    options.classes = {{.id = kUrgent, .rank = 0}, {.id = kBatch, .rank = 1, .minimum_share = 0.1}};
    return options;
  }

  QueuedCall Call(const PriorityClassId& priority_class, std::uint64_t output = 100) {
    QueuedCall call;
    call.id = QueuedCallId(++last_id);
    call.organisation = OrganisationId("a");
    call.priority_class = priority_class;
    call.expected_output = TokenCount(output);
    return call;
  }

  std::optional<NotRun> Refusal(const QueuedCall& call) {
    const auto decision = admission.Decide(queue, call, endpoint, At(0));
    const auto* refusal = std::get_if<NotRun>(&decision);
    return refusal ? std::optional(*refusal) : std::nullopt;
  }

  std::uint64_t last_id = 0;
  EndpointQueue queue;
  Admission admission;
  EndpointOccupancy endpoint{.running = 8,
                             .concurrency = 8,
                             .cost_per_second = 1000,
                             .mean_call_cost = 100};
};

BOOST_FIXTURE_TEST_SUITE(admission, Fixture)

// Guards against refusals of urgent work because of less urgent work in the queue.
BOOST_AUTO_TEST_CASE(refuses_the_least_urgent_class_first) {
  for (int i = 0; i < 40; ++i) {
    queue.Push(Call(kBatch));
  }
  const auto refusal = Refusal(Call(kBatch));
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->reason == NotRunReason::kOverloaded));
  // 4,000 queued and 100 running at 1,000 per second, less the target of 1.2 s.
  BOOST_TEST(refusal->retry_after_ms == 2900U);
  for (int i = 0; i < 1000; ++i) {
    queue.Push(Call(kBatch));
  }
  // Counting stops after four times the target: 4,900 queued and 100 running.
  BOOST_TEST(Refusal(Call(kBatch))->retry_after_ms == 3800U);
  BOOST_TEST(!Refusal(Call(kUrgent)));
}

// Guards against refusals on an endpoint with a free slot.
BOOST_AUTO_TEST_CASE(admits_on_a_free_endpoint) {
  endpoint.running = 7;
  endpoint.mean_call_cost = 1e9;
  BOOST_TEST(!Refusal(Call(kBatch, 1'000'000)));
}

// Guards against calls that are queued only to expire there.
BOOST_AUTO_TEST_CASE(refuses_what_would_miss_its_deadline) {
  queue.Push(Call(kUrgent, 500));
  QueuedCall call = Call(kUrgent);
  BOOST_TEST(!Refusal(call));
  call.deadline = At(300);
  BOOST_TEST(Refusal(call).has_value());
}

// Guards against a prediction that ignores urgent work that keeps arriving.
BOOST_AUTO_TEST_CASE(counts_the_rate_of_more_urgent_work) {
  queue.Push(Call(kBatch, 150));
  const auto before = admission.Decide(queue, Call(kBatch), endpoint, At(0));
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(!Refusal(Call(kUrgent)));
  }
  const auto after = admission.Decide(queue, Call(kBatch), endpoint, At(0));
  BOOST_REQUIRE(std::holds_alternative<Admitted>(before));
  BOOST_REQUIRE(std::holds_alternative<Admitted>(after));
  BOOST_TEST(
      (std::get<Admitted>(after).predicted_wait > std::get<Admitted>(before).predicted_wait));
}

// Guards against a class with a minimum share that is refused although its share serves it in time.
BOOST_AUTO_TEST_CASE(counts_on_the_minimum_share) {
  for (int i = 0; i < 200; ++i) {
    queue.Push(Call(kUrgent, 1000));
  }
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  // The share gives the batch class the next slot.
  BOOST_TEST(!Refusal(Call(kBatch)));
  // With 200 queued the share of 100 per second needs 2 s.
  queue.Push(Call(kBatch, 200));
  BOOST_TEST(Refusal(Call(kBatch)).has_value());
}

// Guards against refusals of urgent calls for which a running stream would make room.
BOOST_AUTO_TEST_CASE(counts_on_streams_that_may_be_paused) {
  for (int i = 0; i < 20; ++i) {
    queue.Push(Call(kUrgent));
  }
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  endpoint.pausable = 8;
  // 2,000 queued, 100 running and room for 800: 1.3 s.
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  endpoint.pausable = 10;
  BOOST_TEST(!Refusal(Call(kUrgent)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against retry storms: retries stay within the ratio however they are interleaved.
BOOST_AUTO_TEST_CASE(bounds_retries_by_requests) {
  RetryBudget budget({.ratio = 0.25, .capacity = 2});
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(!budget.TryRetry());
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  BOOST_TEST(retries == 25);
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest();
  }
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(!budget.TryRetry());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
