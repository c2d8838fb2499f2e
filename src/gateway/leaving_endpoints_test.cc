#include "src/gateway/leaving_endpoints.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
constexpr std::int64_t kWallMs = 1'000'000;
const EndpointId kEndpoint("e");

RegisteredEndpoint MakeEndpoint(std::int64_t started_at_ms, const EndpointId& id = kEndpoint) {
  return {.id = id, .service = ServiceId("s"), .started_at_ms = started_at_ms};
}

LeavingWord MakeWord(std::int64_t started_at_ms, const EndpointId& id = kEndpoint) {
  return {.endpoint = id, .started_at_ms = started_at_ms, .at = kNow, .wall_ms = kWallMs};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_endpoints)

// Guards against an endpoint that gets calls again because the registry still lists it as ready,
// lists it again after an outage, or lists it at another address.
BOOST_AUTO_TEST_CASE(only_another_start_ends_the_state) {
  LeavingEndpoints leaving;
  leaving.OnListed({MakeEndpoint(1)}, kNow - std::chrono::seconds(3));
  const auto notice = leaving.OnLeaving(MakeWord(1));
  BOOST_REQUIRE(notice.has_value());
  BOOST_TEST((notice->registry_age == std::chrono::seconds(3)));
  BOOST_TEST(!leaving.OnLeaving(MakeWord(1)).has_value());
  for (const bool listed : {true, false, true}) {
    std::vector<RegisteredEndpoint> endpoints;
    if (listed) {
      endpoints = {MakeEndpoint(1)};
      endpoints[0].address = {.ip = "10.0.0.9", .port = 1};
    }
    BOOST_TEST(leaving.OnListed(endpoints, kNow).empty());
    BOOST_TEST(leaving.Contains(kEndpoint, 1));
  }
  const auto returned =
      leaving.OnListed({MakeEndpoint(kWallMs + 1)}, kNow + std::chrono::seconds(2));
  BOOST_REQUIRE(returned.size() == 1U);
  BOOST_TEST(returned[0].left_started_at_ms == 1);
  BOOST_TEST((returned[0].out == std::chrono::seconds(2)));
  BOOST_TEST(!leaving.Contains(kEndpoint, kWallMs + 1));
  BOOST_TEST(leaving.size() == 0U);
}

// Guards against a new start that is left out because of a response of the start before it.
BOOST_AUTO_TEST_CASE(word_of_a_replaced_start_is_ignored) {
  LeavingEndpoints leaving;
  leaving.OnListed({MakeEndpoint(2)}, kNow);
  BOOST_TEST(!leaving.OnLeaving(MakeWord(1)).has_value());
  BOOST_TEST(!leaving.Contains(kEndpoint, 2));
  BOOST_TEST(leaving.size() == 0U);
}

// Guards against calls to an endpoint that was started again and left while the registry was
// unavailable: its word was taken for that of the start that was known then.
BOOST_AUTO_TEST_CASE(start_that_may_have_spoken_is_left_out) {
  LeavingEndpoints leaving;
  leaving.OnListed({MakeEndpoint(1)}, kNow);
  leaving.OnLeaving(MakeWord(1));
  BOOST_TEST(leaving.OnListed({MakeEndpoint(kWallMs - 1)}, kNow).empty());
  BOOST_TEST(leaving.Contains(kEndpoint, kWallMs - 1));
  // It is not lost for good, also if a clock was wrong.
  const auto returned =
      leaving.OnListed({MakeEndpoint(kWallMs - 1)}, kNow + std::chrono::seconds(61));
  BOOST_TEST(returned.size() == 1U);
  BOOST_TEST(!leaving.Contains(kEndpoint, kWallMs - 1));
}

// Guards against calls to a start that another daemon reported before the registry listed it here.
BOOST_AUTO_TEST_CASE(word_of_a_start_that_is_not_listed_yet_counts) {
  LeavingEndpoints leaving;
  leaving.OnListed({MakeEndpoint(1)}, kNow);
  BOOST_TEST(leaving.OnLeaving(MakeWord(2)).has_value());
  BOOST_TEST(leaving.Contains(kEndpoint, 1));
  BOOST_TEST(leaving.Contains(kEndpoint, 2));
  BOOST_TEST(leaving.OnListed({MakeEndpoint(2)}, kNow).empty());
  BOOST_TEST(leaving.Contains(kEndpoint, 2));
}

// Guards against memory that grows with each endpoint that ever left.
BOOST_AUTO_TEST_CASE(memory_is_bounded_by_the_listed_endpoints) {
  constexpr std::size_t kListed = 300;
  constexpr int kRounds = 40;
  LeavingEndpoints leaving;
  std::size_t most = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<RegisteredEndpoint> listed;
    for (std::size_t i = 0; i < kListed; ++i) {
      listed.push_back(
          MakeEndpoint(round, EndpointId(std::to_string(round) + "-" + std::to_string(i))));
    }
    leaving.OnListed(listed, kNow + std::chrono::seconds(round));
    for (const RegisteredEndpoint& endpoint : listed) {
      leaving.OnLeaving({.endpoint = endpoint.id,
                         .started_at_ms = endpoint.started_at_ms,
                         .at = kNow + std::chrono::seconds(round),
                         .wall_ms = kWallMs});
      most = std::max(most, leaving.size());
      BOOST_REQUIRE(leaving.Contains(endpoint.id, endpoint.started_at_ms));
    }
  }
  BOOST_TEST(most <= 2 * kListed);
  // Nor does it grow while the registry lists nothing.
  leaving.OnListed({}, kNow);
  for (std::size_t i = 0; i < 10 * kListed; ++i) {
    leaving.OnLeaving(MakeWord(1, EndpointId("x" + std::to_string(i))));
  }
  BOOST_TEST(leaving.size() <= 64U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
