#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/gateway/test_cluster.h"

namespace acaciaspring::gateway {

BOOST_AUTO_TEST_SUITE(seen_endpoints)

// Guards against a daemon that sends requests to an endpoint that drains, because it has started
// after the entry that says so was replaced by an earlier one.
BOOST_AUTO_TEST_CASE(daemon_that_has_just_started_learns_what_others_have_seen) {
  TestCluster cluster;
  net::HttpServer server(cluster.loop, {.listen = net::kAnyLoopbackPort},
                         [](const net::HttpRequest&, const net::HttpResponderPtr& responder) {
                           responder->Respond(200, {}, "done");
                         });
  const auto list = [&](std::size_t daemon, std::uint64_t sequence, EndpointState state) {
    cluster.daemons.at(daemon)->gateway.SetEndpoints({{.id = EndpointId("e"),
                                                       .service = ServiceId("tools"),
                                                       .address = server.address(),
                                                       .slots = 8,
                                                       .state = state,
                                                       .started_at_ms = 5,
                                                       .sequence = EntrySequence(sequence)}});
  };
  cluster.Configure({.version = ConfigurationVersion(1),
                     .routes = {{.name = "calls",
                                 .host = "h",
                                 .path_prefix = "/",
                                 .timeout = Duration(std::chrono::minutes(10)),
                                 .services = {{.service = ServiceId("tools")}},
                                 .max_attempts = 1}},
                     .services = {{.id = ServiceId("tools")}}},
                    {});
  list(0, 9, EndpointState::kDraining);
  list(0, 8, EndpointState::kReady);
  list(1, 8, EndpointState::kReady);
  int status = 0;
  for (int i = 0; status != 503; ++i) {
    BOOST_REQUIRE(i < 10'000);
    const auto caller = cluster.Send(1, "/", "x-id: r" + std::to_string(i) + "\r\n", "x");
    cluster.Until([&] { return TestCluster::IsOver(*caller); });
    status = ParseResponse(*caller).status;
  }
  list(1, 8, EndpointState::kReady);
  const auto caller = cluster.Send(1, "/", "x-id: last\r\n", "x");
  cluster.Until([&] { return TestCluster::IsOver(*caller); });
  BOOST_TEST(ParseResponse(*caller).status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
