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

// Guards against refusing urgent calls because of less urgent calls in the queue.
BOOST_AUTO_TEST_CASE(refuses_the_least_urgent_class_first) {
  for (int i = 0; i < 40; ++i) {
    queue.Push(Call(kBatch));
  }
  const auto refusal = Refusal(Call(kBatch));
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->reason == NotRunReason::kOverloaded));
  // Cost of 4,000 queued and 100 running at 1,000 per second, minus the target of 1.2 s.
  BOOST_TEST(refusal->retry_after_ms == 2900U);
  for (int i = 0; i < 1000; ++i) {
    queue.Push(Call(kBatch));
  }
  // The sum stops once it exceeds four times the target: 4,900 queued and 100 running.
  BOOST_TEST(Refusal(Call(kBatch))->retry_after_ms == 3800U);
  BOOST_TEST(!Refusal(Call(kUrgent)));
}

// Guards against refusing a call although the endpoint has a free slot.
BOOST_AUTO_TEST_CASE(admits_on_an_endpoint_with_a_free_slot) {
  endpoint.running = 7;
  endpoint.mean_call_cost = 1e9;
  BOOST_TEST(!Refusal(Call(kBatch, 1'000'000)));
}

// Guards against queueing calls that would expire in the queue.
BOOST_AUTO_TEST_CASE(refuses_calls_that_would_miss_their_deadline) {
  queue.Push(Call(kUrgent, 500));
  QueuedCall call = Call(kUrgent);
  BOOST_TEST(!Refusal(call));
  call.deadline = At(300);
  BOOST_TEST(Refusal(call).has_value());
}

// Guards against a prediction that ignores more urgent calls that will arrive during the wait.
BOOST_AUTO_TEST_CASE(includes_the_rate_of_more_urgent_work_in_the_prediction) {
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

// Guards against refusing calls of a class whose minimum share would serve them in time.
BOOST_AUTO_TEST_CASE(includes_the_minimum_share_in_the_prediction) {
  for (int i = 0; i < 200; ++i) {
    queue.Push(Call(kUrgent, 1000));
  }
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  // The minimum share gives the batch class the next slot.
  BOOST_TEST(!Refusal(Call(kBatch)));
  // The minimum share serves 100 per second, so a queued cost of 200 takes 2 s.
  queue.Push(Call(kBatch, 200));
  BOOST_TEST(Refusal(Call(kBatch)).has_value());
}

// Guards against refusing urgent calls for which a running stream would be paused.
BOOST_AUTO_TEST_CASE(includes_pausable_streams_in_the_prediction) {
  for (int i = 0; i < 20; ++i) {
    queue.Push(Call(kUrgent));
  }
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  endpoint.pausable = 8;
  // Cost of 2,000 queued and 100 running, minus 800 in slots freed by pauses: 1.3 s.
  BOOST_TEST(Refusal(Call(kUrgent)).has_value());
  endpoint.pausable = 10;
  BOOST_TEST(!Refusal(Call(kUrgent)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against retry storms: retries must stay within the ratio in any interleaving with
// requests.
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
