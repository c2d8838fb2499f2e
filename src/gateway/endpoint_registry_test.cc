#include "src/gateway/endpoint_registry.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr Duration kOutage = std::chrono::seconds(6);
// A daemon must not use a removed endpoint three seconds after it can reach the store again.
constexpr Duration kMaxUseAfterOutage = std::chrono::seconds(3);

std::vector<RegisteredEndpoint> Listed(const std::vector<std::string>& ids) {
  std::vector<RegisteredEndpoint> listed;
  for (const std::string& id : ids) {
    listed.push_back({.id = EndpointId(id)});
  }
  return listed;
}

std::set<std::string> IdsAt(const EndpointRegistry& endpoints, MonotonicTime now) {
  std::set<std::string> ids;
  for (const RegisteredEndpoint& endpoint : endpoints.Endpoints(now)) {
    ids.insert(endpoint.id.value());
  }
  return ids;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_registry)

// Guards against requests to an endpoint whose entry was removed while the store is available.
BOOST_AUTO_TEST_CASE(removed_entry_is_dropped_immediately) {
  EndpointRegistry endpoints;
  endpoints.Update(Listed({"a", "b"}), kStart);
  endpoints.Update(Listed({"a"}), kStart + kPeriod);
  BOOST_TEST((IdsAt(endpoints, kStart + kPeriod) == std::set<std::string>{"a"}));
}

// Guards against a service without endpoints because all entries expired during a store outage.
BOOST_AUTO_TEST_CASE(expired_entries_are_kept_until_they_return) {
  EndpointRegistry endpoints;
  endpoints.Update(Listed({"a", "b"}), kStart);
  const MonotonicTime outage_end = kStart + kOutage;
  endpoints.Update(Listed({}), outage_end);
  BOOST_TEST(IdsAt(endpoints, outage_end).size() == 2U);
  endpoints.Update(Listed({"a"}), outage_end + kPeriod);
  BOOST_TEST(IdsAt(endpoints, outage_end + kPeriod).size() == 2U);
}

// Guards against requests to an endpoint that left while this daemon could not reach the store: the
// endpoint must be dropped without a further read of the registry (incident 6).
BOOST_AUTO_TEST_CASE(missing_entry_is_dropped_after_the_grace_period) {
  EndpointRegistry endpoints;
  endpoints.Update(Listed({"a", "b"}), kStart);
  const MonotonicTime outage_end = kStart + kOutage;
  endpoints.Update(Listed({"a"}), outage_end);
  endpoints.Update(Listed({"a"}), outage_end + kPeriod);
  const auto grace_period_end = endpoints.GracePeriodEnd(outage_end + kPeriod);
  BOOST_REQUIRE(grace_period_end.has_value());
  BOOST_TEST((*grace_period_end < outage_end + kMaxUseAfterOutage - kPeriod));
  BOOST_TEST((IdsAt(endpoints, *grace_period_end) == std::set<std::string>{"a"}));
  BOOST_TEST(!endpoints.GracePeriodEnd(*grace_period_end).has_value());
}

BOOST_AUTO_TEST_CASE(returning_endpoint_replaces_its_old_entry) {
  EndpointRegistry endpoints;
  endpoints.Update(Listed({"a"}), kStart);
  const MonotonicTime outage_end = kStart + kOutage;
  endpoints.Update(Listed({}), outage_end);
  auto listed = Listed({"a"});
  listed.front().state = EndpointState::kDraining;
  endpoints.Update(listed, outage_end + kPeriod);
  const auto used = endpoints.Endpoints(outage_end + kPeriod);
  BOOST_REQUIRE(used.size() == 1U);
  BOOST_TEST((used.front().state == EndpointState::kDraining));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
