#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "src/gateway/test_cluster.h"

namespace acaciaspring::gateway {

namespace {

const OrganisationId kOrganisation("org");
const std::string kKey = "secret";

/// @brief Two daemons and an endpoint for calls and turns of an organisation with a limit.
struct Fixture {
  Fixture()
      : endpoint(cluster.loop,
                 {.listen = net::kAnyLoopbackPort},
                 [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                   if (rejections > 0) {
                     --rejections;
                     responder->Respond(503, {{"x-not-executed", "1"}}, "");
                     return;
                   }
                   executed.emplace_back(net::FindHeader(request.headers, "x-id"));
                   responder->Respond(200, {{"content-type", "text/event-stream"}}, "data: a\n\n");
                 }) {}

  void SetLimit(std::uint64_t version, double per_second, double burst, bool with_key = true) {
    organisations::Organisation organisation{
        .id = kOrganisation,
        .limit = organisations::RequestLimit{.per_second = per_second, .burst = burst}};
    organisation.keys.push_back(organisations::FingerprintOf(with_key ? kKey : "another " + kKey));
    cluster.Configure({.version = ConfigurationVersion(version),
                       .routes = {{.name = "turns",
                                   .host = "h",
                                   .path_prefix = "/turns/",
                                   .kind = RequestKind::kStream,
                                   .timeout = std::chrono::seconds(4),
                                   .services = {{.service = ServiceId("s")}},
                                   .retained = true},
                                  {.name = "calls",
                                   .host = "h",
                                   .path_prefix = "/",
                                   .timeout = std::chrono::seconds(4),
                                   .services = {{.service = ServiceId("s")}},
                                   .max_attempts = 1}},
                       .services = {{.id = ServiceId("s"), .tokens_per_event = TokenCount(1)}},
                       .organisations = {organisation}},
                      {{.id = EndpointId("e"),
                        .service = ServiceId("s"),
                        .address = endpoint.address(),
                        .slots = 100}});
    if (version == 1) {
      Wait(std::chrono::milliseconds(600));
    }
  }
  void Wait(Duration duration) {
    const MonotonicTime end = cluster.loop.Now() + duration;
    cluster.Until([&] { return cluster.loop.Now() >= end; });
  }
  std::unique_ptr<net::RawConnection> Send(std::size_t daemon,
                                           const std::string& id,
                                           const std::string& path = "/call",
                                           const std::string& more = "") {
    return cluster.Send(daemon, path, "X-Id: " + id + "\r\nX-Key: " + kKey + "\r\n" + more, "b");
  }
  ReadResponse Get(std::size_t daemon,
                   const std::string& id,
                   const std::string& path = "/call",
                   const std::string& more = "") {
    const auto connection = Send(daemon, id, path, more);
    cluster.Until([&] { return TestCluster::IsOver(*connection); });
    return ParseResponse(*connection);
  }
  std::size_t Executed(const std::string& id) const {
    return static_cast<std::size_t>(std::count(executed.begin(), executed.end(), id));
  }

  /// Without a tolerance the limit is applied exactly.
  TestCluster cluster{
      GatewayOptions{.limit_tolerance = organisations::LimitTolerance{.over = 0, .slack = 0}}};
  int rejections = 0;
  std::vector<std::string> executed;
  net::HttpServer endpoint;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(organisation_limit, Fixture)

// Guards against a limit that each daemon applies on its own, against refused requests that are
// executed, and against a rate that is not reached.
BOOST_AUTO_TEST_CASE(flood_at_two_daemons_is_limited) {
  SetLimit(1, 20, 20);
  Wait(std::chrono::seconds(1));
  const MonotonicTime start = cluster.loop.Now();
  std::vector<std::unique_ptr<net::RawConnection>> connections;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 10; ++i) {
      connections.push_back(Send(i % 2, "r" + std::to_string(connections.size())));
    }
    Wait(std::chrono::milliseconds(100));
  }
  cluster.Until([&] {
    return std::all_of(connections.begin(), connections.end(),
                       [](const auto& connection) { return TestCluster::IsOver(*connection); });
  });
  std::map<int, std::size_t> statuses;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ReadResponse response = ParseResponse(*connections[i]);
    ++statuses[response.status];
    BOOST_TEST(Executed("r" + std::to_string(i)) == (response.status == 200 ? 1U : 0U));
    if (response.status == 429) {
      BOOST_TEST(response.body == "organisation_limited\n");
      BOOST_TEST(net::LowerCase(connections[i]->received()).find("retry-after: ") !=
                 std::string::npos);
    }
  }
  BOOST_TEST(statuses[200] + statuses[429] == connections.size());
  const double seconds = std::chrono::duration<double>(cluster.loop.Now() - start).count();
  BOOST_TEST(statuses[200] >= 50U);
  // The burst, the rate and the permits of the start.
  BOOST_TEST(static_cast<double>(statuses[200]) <= 20 + 20 * seconds + 5);
}

// Guards against permits that are lost although the endpoint did not execute the request.
BOOST_AUTO_TEST_CASE(permit_of_a_rejected_request_is_returned) {
  SetLimit(1, 0.6, 1);
  Wait(std::chrono::seconds(2));
  rejections = 10;
  BOOST_TEST(Get(0, "rejected").status == 503);
  rejections = 0;
  Wait(std::chrono::milliseconds(100));
  BOOST_TEST(Get(0, "executed").status == 200);
  BOOST_TEST(Get(1, "limited").status == 429);
  BOOST_TEST(Executed("limited") == 0U);
}

// Guards against a key that is withdrawn while its request waits for a permit.
BOOST_AUTO_TEST_CASE(key_is_checked_again_after_the_wait) {
  SetLimit(1, 2.5, 1);
  Wait(std::chrono::seconds(1));
  BOOST_TEST(Get(0, "first").status == 200);
  const auto waiting = Send(0, "second");
  Wait(std::chrono::milliseconds(30));
  BOOST_TEST(!TestCluster::IsOver(*waiting));
  SetLimit(2, 2.5, 1, /*with_key=*/false);
  cluster.Until([&] { return TestCluster::IsOver(*waiting); });
  const int status = ParseResponse(*waiting).status;
  BOOST_TEST((status == 401 || status == 503));
  BOOST_TEST(Executed("second") == 0U);
}

// Guards against turns that are refused by the limit and still count against their budget.
BOOST_AUTO_TEST_CASE(refused_turn_releases_its_budget) {
  SetLimit(1, 0.6, 1);
  Wait(std::chrono::seconds(2));
  BOOST_TEST(Get(0, "call").status == 200);
  const std::string program =
      "X-Program: p\r\nX-Budget: " + std::to_string(kClusterMaxOutput) + "\r\n";
  for (const char* id : {"t1", "t2"}) {
    const ReadResponse refused = Get(1, id, "/turns/", program);
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.body == "organisation_limited\n");
  }
  // A stall of this process empties the pool, so the time until the next permit is not known.
  int status = 429;
  for (int i = 3; status == 429 || status == 503; ++i) {
    Wait(std::chrono::milliseconds(100));
    status = Get(1, "t" + std::to_string(i), "/turns/", program).status;
  }
  BOOST_TEST(status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
