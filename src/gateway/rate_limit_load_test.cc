#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

namespace {

// The stated target: from `kAdjustmentTime` after an endpoint names a limit, it gets at most one
// and a half times the limit plus five requests in any `kWindow`.
constexpr Duration kAdjustmentTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr double kMaxOvershoot = 1.5;
constexpr double kSlack = 5;

const ServiceId kService("engines");

/// @brief The largest number of requests in any window that starts after the adjustment time.
std::size_t MaxInWindow(const std::deque<MonotonicTime>& sent, MonotonicTime named_at) {
  std::size_t most = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < sent.size(); ++begin) {
    while (end < sent.size() && sent[end] < sent[begin] + kWindow) {
      ++end;
    }
    if (sent[begin] >= named_at + kAdjustmentTime) {
      most = std::max(most, end - begin);
    }
  }
  return most;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_load)

// Guards against an endpoint that gets more requests than the rate limit that it names, although
// another endpoint could take them.
BOOST_AUTO_TEST_CASE(limited_endpoint_gets_no_more_than_its_limit) {
  constexpr double kLimit = 3;
  EndpointTable table{AvailabilityZone("z")};
  std::mt19937_64 random{1};
  std::vector<RegisteredEndpoint> endpoints;
  for (const char* id : {"limited", "free"}) {
    endpoints.push_back({.id = EndpointId(id),
                         .service = kService,
                         .address = {.ip = "10.0.0.1", .port = 1},
                         .zone = AvailabilityZone("z"),
                         .slots = 24});
  }
  table.SetEndpoints(endpoints);
  const MonotonicTime start{std::chrono::seconds(100)};
  std::map<EndpointId, std::deque<MonotonicTime>> sent;
  for (MonotonicTime now = start; now < start + std::chrono::seconds(20);
       now += std::chrono::milliseconds(25)) {
    // Half of the calls belong to sessions whose prefix the limited endpoint has cached.
    const bool has_session = random() % 2 == 0;
    const RegisteredEndpoint* chosen = table.Choose(
        {.service = kService, .preferred = has_session ? EndpointId("limited") : EndpointId()}, now,
        random);
    BOOST_REQUIRE(chosen != nullptr);
    sent[chosen->id].push_back(now);
    table.OnStarted(chosen->id);
    table.OnRateLimit(chosen->id,
                      chosen->id == EndpointId("limited") ? std::optional(kLimit) : std::nullopt,
                      now);
    table.OnFinished(chosen->id, AttemptResult::kSucceeded, now);
  }
  const double allowed =
      kMaxOvershoot * kLimit * std::chrono::duration<double>(kWindow).count() + kSlack;
  BOOST_TEST(static_cast<double>(MaxInWindow(sent[EndpointId("limited")], start)) <= allowed);
  BOOST_TEST(sent[EndpointId("limited")].size() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
