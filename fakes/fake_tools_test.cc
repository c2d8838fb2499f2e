#include "fakes/fake_tools.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

struct ToolsFixture {
  // Executes a call with the idempotency key "k1".
  net::HttpReply Execute() {
    net::HttpReply answer;
    const auto call = Start([this, &answer](const net::HttpReply& reply) {
      answer = reply;
      loop.Stop();
    });
    loop.Run();
    return answer;
  }

  std::shared_ptr<net::HttpCall> Start(std::function<void(const net::HttpReply&)> on_done) {
    return net::Fetch(http,
                      {.server = tools.address(),
                       .method = "POST",
                       .target = "/call/order",
                       .headers = {{"idempotency-key", "k1"}},
                       .body = "{}"},
                      1 << 20, std::move(on_done));
  }

  std::uint64_t MaxCount() {
    return client.FetchJson("GET", "/executions")["max_count"].asUInt64();
  }

  net::Loop loop;
  FakeTools tools{loop, net::ParseAddress("127.0.0.1:0"), std::chrono::milliseconds(0)};
  net::HttpClient http{loop, {}};
  TestClient client{loop, tools.address()};
};

}  // namespace

// Guards against deduplication by the fake, which would hide that a call was executed twice.
BOOST_AUTO_TEST_CASE(every_execution_is_counted) {
  ToolsFixture fixture;
  BOOST_TEST((*ParseJson(fixture.Execute().body))["execution"].asUInt64() == 1U);
  BOOST_TEST((*ParseJson(fixture.Execute().body))["execution"].asUInt64() == 2U);
  const Json::Value executions = fixture.client.FetchJson("GET", "/executions")["executions"];
  BOOST_REQUIRE(executions.size() == 1U);
  BOOST_TEST(executions[0]["operation"].asString() == "order");
  BOOST_TEST(executions[0]["key"].asString() == "k1");
  BOOST_TEST(executions[0]["count"].asUInt64() == 2U);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/call/order", "{}")) == 400);
}

BOOST_AUTO_TEST_CASE(execution_counts_when_its_response_is_lost_or_withheld) {
  ToolsFixture fixture;
  fixture.client.Fetch("POST", "/faults", R"({"drop_answer_after_effect":1})");
  BOOST_TEST(StatusOf(fixture.Execute()) == 0);
  BOOST_TEST(fixture.MaxCount() == 1U);
  fixture.client.Fetch("POST", "/faults", R"({"hang":1})");
  bool answered = false;
  const auto call = fixture.Start([&answered](const net::HttpReply&) { answered = true; });
  while (fixture.MaxCount() < 2) {
  }
  BOOST_TEST(!answered);
  fixture.client.Fetch("POST", "/faults", R"({"refuse":true})");
  BOOST_TEST(StatusOf(fixture.Execute()) == 503);
  fixture.client.Fetch("POST", "/faults", R"({"refuse":false})");
  BOOST_TEST(fixture.MaxCount() == 2U);
}

}  // namespace acaciaspring::fakes
