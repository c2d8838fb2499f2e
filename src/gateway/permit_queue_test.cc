#include "src/gateway/permit_queue.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
const ServiceId kService("s");

struct Fixture {
  PermitQueue::Ticket Add(std::uint32_t priority, const std::string& name) {
    return queue.Add(kService, priority, [this, name] {
      if (permits == 0) {
        return false;
      }
      --permits;
      started += name;
      return true;
    });
  }

  PermitQueue queue;
  int permits = 0;
  std::string started;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(permit_queue, Fixture)

// Guards against urgent calls that wait behind less urgent ones.
BOOST_AUTO_TEST_CASE(most_urgent_and_oldest_call_starts_first) {
  Add(2, "c");
  Add(0, "a");
  Add(0, "b");
  permits = 2;
  queue.StartCalls();
  BOOST_TEST(started == "ab");
  BOOST_TEST(queue.size() == 1U);
  permits = 5;
  queue.StartCalls();
  BOOST_TEST(started == "abc");
  BOOST_TEST(queue.empty());
}

// Guards against permits for calls that have ended.
BOOST_AUTO_TEST_CASE(removed_call_is_not_started) {
  const PermitQueue::Ticket ticket = Add(0, "a");
  Add(1, "b");
  queue.Remove(ticket);
  permits = 2;
  queue.StartCalls();
  BOOST_TEST(started == "b");
}

// Guards against calls that wait although they cannot be served in time, and against a time to
// retry that does not fit the rate.
BOOST_AUTO_TEST_CASE(call_that_cannot_be_served_in_time_is_refused) {
  const PermitForecast forecast{.next_permit = kNow + std::chrono::milliseconds(200),
                                .per_second = 5};
  const MonotonicTime deadline = kNow + std::chrono::seconds(2);
  BOOST_TEST(
      std::holds_alternative<WaitForPermit>(queue.Decide(kService, 1, forecast, kNow, deadline)));
  for (int i = 0; i < 5; ++i) {
    Add(1, "x");
  }
  // Five calls ahead at five permits a second.
  const PermitDecision late = queue.Decide(kService, 1, forecast, kNow, deadline);
  BOOST_REQUIRE(std::holds_alternative<RefuseCall>(late));
  BOOST_TEST((std::get<RefuseCall>(late).retry_after == std::chrono::milliseconds(1200)));
  // A more urgent call is ahead of them.
  BOOST_TEST(
      std::holds_alternative<WaitForPermit>(queue.Decide(kService, 0, forecast, kNow, deadline)));
}

// Guards against a daemon without a share that lets calls wait in vain.
BOOST_AUTO_TEST_CASE(call_without_a_share_is_refused_at_once) {
  const PermitDecision decision = queue.Decide(kService, 0, {}, kNow, kNow + std::chrono::hours(1));
  BOOST_REQUIRE(std::holds_alternative<RefuseCall>(decision));
  BOOST_TEST((std::get<RefuseCall>(decision).retry_after == Duration(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
