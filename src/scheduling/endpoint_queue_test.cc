#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=200", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

const PriorityClassId kUrgent("urgent");
const PriorityClassId kNormal("normal");
const PriorityClassId kBatch("batch");

EndpointQueueOptions Options() {
  EndpointQueueOptions options;
  options.classes = {{.id = kBatch, .rank = 2, .minimum_share = 0.1},
                     {.id = kUrgent, .rank = 0},
                     {.id = kNormal, .rank = 1, .minimum_share = 0.2}};
  options.least_attained_service = true;
  return options;
}

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

QueuedCall Call(std::uint64_t id,
                const PriorityClassId& priority_class,
                std::uint64_t output = 100) {
  QueuedCall call;
  call.id = QueuedCallId(id);
  call.organisation = OrganisationId("a");
  call.priority_class = priority_class;
  call.expected_output = TokenCount(output);
  return call;
}

std::uint64_t PopId(EndpointQueue& queue, MonotonicTime now = At(0)) {
  const auto call = queue.Pop(now);
  return call ? call->id.value() : 0;
}

rc::Gen<PriorityClassId> AnyClass() {
  return rc::gen::element(kUrgent, kNormal, kBatch);
}

BOOST_AUTO_TEST_SUITE(endpoint_queue)

// Guards against urgent calls that wait behind less urgent calls that arrived earlier.
BOOST_AUTO_TEST_CASE(serves_classes_by_rank) {
  EndpointQueue queue(Options());
  queue.Push(Call(1, kBatch));
  queue.Push(Call(2, kNormal));
  queue.Push(Call(3, kUrgent));
  BOOST_TEST(PopId(queue) == 3U);
  queue.Push(Call(4, kUrgent));
  // Serving the urgent call put both other classes below their minimum shares; the more urgent one
  // of them is served next.
  BOOST_TEST(PopId(queue) == 2U);
}

// Guards against starvation of the other classes by a flood of calls of the most urgent one.
BOOST_AUTO_TEST_CASE(keeps_minimum_shares_under_an_urgent_flood) {
  const bool holds = rc::check("minimum share", [] {
    EndpointQueue queue(Options());
    std::uint64_t id = 0;
    std::map<PriorityClassId, double> served;
    double total = 0;
    double largest = 0;
    const auto refill = [&](const PriorityClassId& priority_class) {
      queue.Push(Call(++id, priority_class, *rc::gen::inRange<std::uint64_t>(1, 5000)));
    };
    for (const auto& priority_class : {kUrgent, kNormal, kBatch}) {
      refill(priority_class);
    }
    for (int i = 0; i < 300; ++i) {
      const auto call = queue.Pop(At(0));
      RC_ASSERT(call.has_value());
      const double cost = queue.Cost(*call);
      largest = std::max(largest, cost);
      served[call->priority_class] += cost;
      total += cost;
      refill(call->priority_class);
      RC_ASSERT(served[kNormal] >= 0.2 * total - largest);
      RC_ASSERT(served[kBatch] >= 0.1 * total - 2 * largest);
    }
    // The urgent class gets all service beyond the minimum shares of the other classes.
    RC_ASSERT(served[kUrgent] >= 0.7 * total - 3 * largest);
  });
  BOOST_TEST(holds);
}

// Guards against share credit for output that was expected but not generated, as with calls that
// end early or are paused: such a class would be served before more urgent ones.
BOOST_AUTO_TEST_CASE(unused_output_of_calls_served_by_rank_adds_no_share_credit) {
  EndpointQueue queue(Options());
  for (std::uint64_t id = 1; id <= 50; ++id) {
    queue.Push(Call(id, kBatch, 1000));
    const auto call = queue.Pop(At(0));
    BOOST_REQUIRE(call.has_value());
    queue.OnServed(*call, TokenCount(0), TokenCount(1));
  }
  queue.Push(Call(100, kBatch));
  queue.Push(Call(101, kUrgent));
  BOOST_TEST(!queue.BelowMinimumShare(kBatch));
  BOOST_TEST(PopId(queue) == 101U);
}

// Guards against an organisation that gets more than its share by weight by sending more or larger
// calls.
BOOST_AUTO_TEST_CASE(serves_backlogged_organisations_by_weight) {
  const bool holds = rc::check("deficit round robin", [] {
    auto options = Options();
    const double weight = *rc::gen::inRange(1, 5);
    options.organisation_weights = {{OrganisationId("heavy"), weight}};
    EndpointQueue queue(options);
    const auto large = *rc::gen::inRange<std::uint64_t>(1, 20'000);
    std::uint64_t id = 0;
    std::map<OrganisationId, double> served;
    const auto push = [&](const std::string& organisation, std::uint64_t most) {
      QueuedCall call = Call(++id, kNormal, *rc::gen::inRange<std::uint64_t>(1, most + 1));
      call.organisation = OrganisationId(organisation);
      queue.Push(call);
    };
    for (int i = 0; i < 20; ++i) {
      push("heavy", 1000);
      push("light", large);
    }
    for (int i = 0; i < 300; ++i) {
      const auto call = queue.Pop(At(0));
      RC_ASSERT(call.has_value());
      served[call->organisation] += queue.Cost(*call);
      push(call->organisation.value(),
           call->organisation == OrganisationId("light") ? large : 1000);
      // Fairness bound of deficit round robin: one quantum and one largest call per organisation.
      const double lag = served[OrganisationId("heavy")] / weight - served[OrganisationId("light")];
      const double bound = 2 * options.quantum + static_cast<double>(large) + 1000;
      RC_ASSERT(std::abs(lag) <= bound);
    }
  });
  BOOST_TEST(holds);
}

// Guards against long programs that delay short ones, and against starvation of long programs.
BOOST_AUTO_TEST_CASE(prefers_least_attained_service_with_ageing) {
  EndpointQueue queue(Options());
  QueuedCall old = Call(1, kNormal);
  old.attained_service = TokenCount(5000);
  old.enqueued_at = At(0);
  QueuedCall fresh = Call(2, kNormal);
  fresh.enqueued_at = At(4000);
  QueuedCall late = Call(3, kNormal);
  late.enqueued_at = At(6000);
  queue.Push(old);
  queue.Push(late);
  queue.Push(fresh);
  BOOST_TEST(PopId(queue, At(6000)) == 2U);
  // Waiting for 6 s offsets more than 5,000 tokens at 1,000 tokens per second.
  BOOST_TEST(PopId(queue, At(6000)) == 1U);
  BOOST_TEST(PopId(queue, At(6000)) == 3U);
}

// Guards against calls that are served after their deadline, and against expired calls that are
// removed but not returned by ExpireBefore().
BOOST_AUTO_TEST_CASE(reports_expired_calls_once) {
  EndpointQueue queue(Options());
  QueuedCall expired = Call(1, kUrgent);
  expired.deadline = At(10);
  QueuedCall expired_lower = Call(2, kBatch);
  expired_lower.deadline = At(20);
  queue.Push(expired);
  queue.Push(expired_lower);
  queue.Push(Call(3, kNormal));
  BOOST_TEST((queue.NextDeadline() == At(10)));
  BOOST_TEST(PopId(queue, At(20)) == 3U);
  BOOST_TEST(queue.ExpireBefore(At(20)).size() == 2U);
  BOOST_TEST(queue.ExpireBefore(At(20)).empty());
  BOOST_TEST(queue.empty());
}

// Guards against unbounded memory, and against options that would silently ignore a class.
BOOST_AUTO_TEST_CASE(rejects_calls_and_options_that_it_cannot_serve) {
  auto options = Options();
  options.capacity = 1;
  EndpointQueue queue(options);
  BOOST_TEST(queue.Push(Call(1, kNormal)));
  BOOST_TEST(!queue.Push(Call(2, kNormal)));
  BOOST_CHECK_THROW(queue.Push(Call(1, kNormal)), SchedulingError);
  BOOST_CHECK_THROW(queue.Push(Call(3, PriorityClassId("none"))), SchedulingError);
  options.classes[0].rank = options.classes[1].rank;
  BOOST_CHECK_THROW(EndpointQueue{options}, SchedulingError);
}

// Guards against lost or duplicated calls and against serving expired ones, under any sequence of
// operations and any combination of rules.
BOOST_AUTO_TEST_CASE(returns_every_call_exactly_once) {
  const bool holds = rc::check("conservation", [] {
    auto options = Options();
    options.order_by_class = *rc::gen::arbitrary<bool>();
    options.keep_minimum_shares = *rc::gen::arbitrary<bool>();
    options.fair_organisations = *rc::gen::arbitrary<bool>();
    options.least_attained_service = *rc::gen::arbitrary<bool>();
    EndpointQueue queue(options);
    std::map<QueuedCallId, MonotonicTime> queued;
    std::uint64_t id = 0;
    std::int64_t now = 0;
    const auto remove_expected = [&](const QueuedCall& call) {
      RC_ASSERT(queued.erase(call.id) == 1U);
    };
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      now += *rc::gen::inRange(0, 50);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          if (auto call = queue.Pop(At(now))) {
            RC_ASSERT(call->deadline > At(now));
            remove_expected(*call);
            queue.OnServed(*call, TokenCount(0), TokenCount(*rc::gen::inRange(0, 9000)));
          }
          break;
        case 1:
          for (const auto& call : queue.ExpireBefore(At(now))) {
            RC_ASSERT(call.deadline <= At(now));
            remove_expected(call);
          }
          break;
        case 2:
          if (auto call = queue.Remove(QueuedCallId(*rc::gen::inRange<std::uint64_t>(0, id + 1)))) {
            remove_expected(*call);
          }
          break;
        default: {
          QueuedCall call = Call(++id, *AnyClass(), *rc::gen::inRange<std::uint64_t>(0, 90'000));
          call.organisation = OrganisationId(std::to_string(*rc::gen::inRange(0, 4)));
          call.deadline = At(now + *rc::gen::inRange(1, 2000));
          call.enqueued_at = At(now);
          queued[call.id] = call.deadline;
          RC_ASSERT(queue.Push(call));
        }
      }
    }
    while (auto call = queue.Pop(At(now))) {
      remove_expected(*call);
    }
    for (const auto& call : queue.ExpireBefore(At(now))) {
      remove_expected(call);
    }
    RC_ASSERT(queued.empty());
  });
  BOOST_TEST(holds);
}

// Guards against an estimate that includes calls that would be served after the new call.
BOOST_AUTO_TEST_CASE(counts_only_work_served_before_the_call) {
  EndpointQueue queue(Options());
  queue.Push(Call(1, kBatch, 1000));
  queue.Push(Call(2, kNormal, 300));
  QueuedCall long_program = Call(3, kNormal, 700);
  long_program.attained_service = TokenCount(1000);
  queue.Push(long_program);
  const WorkAhead normal = queue.EstimateWorkAhead(Call(4, kNormal), 1e9);
  BOOST_TEST(normal.more_urgent_cost == 0);
  BOOST_TEST(normal.own_class_cost == 300);
  BOOST_TEST(normal.less_urgent_shares == 0.1);
  BOOST_TEST(queue.EstimateWorkAhead(Call(5, kBatch), 1e9).more_urgent_cost == 1000);
  QueuedCall other = Call(6, kNormal, 200);
  other.organisation = OrganisationId("b");
  // Until a cost of 200 of organisation b is served, organisation a gets as much by its equal
  // weight.
  BOOST_TEST(queue.EstimateWorkAhead(other, 1e9).own_class_cost == 200);
}

// Guards against an estimate whose run time grows with the length of an organisation's queue.
BOOST_AUTO_TEST_CASE(bounds_the_calls_that_an_estimate_visits) {
  EndpointQueue queue(Options());
  for (std::uint64_t id = 1; id <= 2000; ++id) {
    QueuedCall call = Call(id, kNormal, 1);
    call.attained_service = TokenCount(id);
    queue.Push(call);
  }
  QueuedCall early = Call(3000, kNormal);
  early.attained_service = TokenCount(500);
  BOOST_TEST(queue.EstimateWorkAhead(early, 1e9).own_class_cost == 500);
  QueuedCall late = Call(3001, kNormal);
  late.attained_service = TokenCount(1000);
  BOOST_TEST(queue.EstimateWorkAhead(late, 1e9).own_class_cost == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
