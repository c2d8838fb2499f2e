#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/test_cluster.h"
#include "src/net/http_test_support.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kOwner = 0;
constexpr std::size_t kReceiver = 1;

Configuration MakeConfiguration(std::uint64_t version, const std::vector<std::string>& mill_keys) {
  Configuration configuration{
      .version = ConfigurationVersion(version),
      .routes = {{.name = "turns",
                  .host = "h",
                  .path_prefix = "/turns/",
                  .kind = RequestKind::kStream,
                  .priority = 3,
                  .services = {{.service = ServiceId("engines")}},
                  .retained = true},
                 {.name = "open",
                  .host = "h",
                  .path_prefix = "/open/",
                  .services = {{.service = ServiceId("engines")}},
                  .open = true}},
      .services = {{.id = ServiceId("engines"), .tokens_per_event = TokenCount(10)}},
      .document = std::to_string(version)};
  organisations::Organisation mill{.id = OrganisationId("mill"), .priority = 1};
  for (const std::string& key : mill_keys) {
    mill.keys.push_back(organisations::FingerprintOf(key));
  }
  configuration.organisations = {
      std::move(mill),
      {.id = OrganisationId("fit"), .keys = {organisations::FingerprintOf("fit-key")}}};
  return configuration;
}

/// @brief Two daemons; the receiver's configuration is confirmed only by the owner.
struct Fixture {
  Fixture()
      : cluster({.caller_keys = {.withdrawal_bound = std::chrono::seconds(60)},
                 .parse_configuration =
                     [](const std::string& document) {
                       return MakeConfiguration(std::stoul(document), {"second-key"});
                     }}),
        engine(cluster.loop,
               {.listen = net::kAnyLoopbackPort},
               [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                 requests.push_back(request);
                 responder->Respond(200, {{"content-type", "text/event-stream"}},
                                    "data: out" + std::to_string(requests.size()) + "\n\n");
               }) {
    cluster.Configure(MakeConfiguration(1, {"mill-key"}), {{.id = EndpointId("e"),
                                                            .service = ServiceId("engines"),
                                                            .address = engine.address(),
                                                            .slots = 8}});
    cluster.daemons[kOwner]->gateway.ConfirmConfiguration(net::Loop::BootNow());
  }

  ReadResponse Send(std::size_t daemon, const std::string& path, const std::string& headers) {
    const auto connection = cluster.Send(daemon, path, headers, "in\n");
    cluster.Until([&] { return TestCluster::IsOver(*connection); });
    return ParseResponse(*connection);
  }
  /// @brief Repeats the request while the daemon answers that it cannot decide yet.
  ReadResponse SendUntilDecided(std::size_t daemon,
                                const std::string& path,
                                const std::string& headers) {
    ReadResponse response;
    do {
      response = Send(daemon, path, headers);
    } while (response.status == 503);
    return response;
  }
  static std::string Turn(const std::string& id,
                          const std::string& key,
                          const std::string& previous = "") {
    return "x-id: " + id + "\r\nx-key: " + key + "\r\nx-program: p\r\nx-budget: 30\r\n" +
           (previous.empty() ? "" : "x-previous: " + previous + "\r\n");
  }

  TestCluster cluster;
  std::vector<net::HttpRequest> requests;
  net::HttpServer engine;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(organisation_keys, Fixture)

// Guards against keys that reach endpoints, and against callers that choose their organisation.
BOOST_AUTO_TEST_CASE(endpoint_gets_the_organisation_in_place_of_the_key) {
  BOOST_TEST(
      SendUntilDecided(kReceiver, "/turns/x", "x-organisation: fit\r\n" + Turn("a", "mill-key"))
          .status == 200);
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(net::FindHeader(requests[0].headers, "x-organisation") == "mill");
  BOOST_TEST(net::FindHeader(requests[0].headers, "x-key").empty());
  BOOST_TEST(net::FindHeader(requests[0].headers, "x-priority") == "1");
}

// Guards against requests that run without a key, and against keys that reach open routes.
BOOST_AUTO_TEST_CASE(only_open_routes_need_no_key) {
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("a", "no-key")).status == 401);
  BOOST_TEST(Send(kOwner, "/turns/x", "x-id: b\r\n").status == 401);
  BOOST_TEST(requests.empty());
  BOOST_TEST(Send(kOwner, "/open/x", "x-id: c\r\nx-organisation: mill\r\n").status == 200);
  BOOST_TEST(Send(kOwner, "/open/x", "x-id: d\r\nx-key: no-key\r\n").status == 200);
  for (const net::HttpRequest& request : requests) {
    BOOST_TEST(net::FindHeader(request.headers, "x-organisation").empty());
    BOOST_TEST(net::FindHeader(request.headers, "x-key").empty());
  }
}

// Guards against an organisation that reads or continues the history of another one.
BOOST_AUTO_TEST_CASE(turn_of_another_organisation_does_not_exist) {
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("a", "mill-key")).status == 200);
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("b", "fit-key", "a")).status == 404);
  BOOST_TEST(SendUntilDecided(kReceiver, "/turns/x", Turn("c", "fit-key", "a")).status == 404);
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("d", "mill-key", "a")).status == 200);
  BOOST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(requests[1].body == "in\nout1\nin\n");
}

// Guards against an organisation that spends the budget of another one's program.
BOOST_AUTO_TEST_CASE(same_program_id_has_a_budget_for_each_organisation) {
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("a", "mill-key")).status == 200);
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("b", "mill-key")).status == 200);
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("c", "mill-key")).status == 402);
  BOOST_TEST(Send(kOwner, "/turns/x", Turn("d", "fit-key")).status == 200);
}

// Guards against a daemon without the store that serves a key after its withdrawal, or that refuses
// its callers although another daemon can confirm their key.
BOOST_AUTO_TEST_CASE(daemon_without_the_store_follows_the_configuration_of_others) {
  BOOST_TEST(SendUntilDecided(kReceiver, "/turns/x", Turn("a", "mill-key")).status == 200);
  cluster.daemons[kOwner]->gateway.SetConfiguration(MakeConfiguration(2, {"second-key"}));
  cluster.daemons[kOwner]->gateway.ConfirmConfiguration(net::Loop::BootNow());
  BOOST_TEST(Send(kReceiver, "/turns/x", Turn("b", "mill-key")).status == 401);
  BOOST_TEST(SendUntilDecided(kReceiver, "/open/x", "x-id: c\r\n").status == 200);
  while (Send(kReceiver, "/turns/x", Turn("d", "second-key")).status != 200) {
  }
  BOOST_TEST(requests.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
