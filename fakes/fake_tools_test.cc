#include "fakes/fake_tools.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

struct ToolsBench {
  // Calls with the key "k1".
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

  std::uint64_t MaxCount() { return client.AskJson("GET", "/executions")["max_count"].asUInt64(); }

  net::Loop loop;
  FakeTools tools{loop, net::ParseAddress("127.0.0.1:0"), std::chrono::milliseconds(0)};
  net::HttpClient http{loop, {}};
  TestClient client{loop, tools.address()};
};

}  // namespace

// A tool service that removed duplicates would hide that an effect ran twice.
BOOST_AUTO_TEST_CASE(every_execution_is_counted) {
  ToolsBench bench;
  BOOST_TEST((*ParseJson(bench.Execute().body))["execution"].asUInt64() == 1U);
  BOOST_TEST((*ParseJson(bench.Execute().body))["execution"].asUInt64() == 2U);
  const Json::Value executions = bench.client.AskJson("GET", "/executions")["executions"];
  BOOST_REQUIRE(executions.size() == 1U);
  BOOST_TEST(executions[0]["operation"].asString() == "order");
  BOOST_TEST(executions[0]["key"].asString() == "k1");
  BOOST_TEST(executions[0]["count"].asUInt64() == 2U);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/call/order", "{}")) == 400);
}

BOOST_AUTO_TEST_CASE(lost_and_hanging_answers_leave_their_effect) {
  ToolsBench bench;
  bench.client.Ask("POST", "/faults", R"({"drop_answer_after_effect":1})");
  BOOST_TEST(StatusOf(bench.Execute()) == 0);
  BOOST_TEST(bench.MaxCount() == 1U);
  bench.client.Ask("POST", "/faults", R"({"hang":1})");
  bool answered = false;
  const auto call = bench.Start([&answered](const net::HttpReply&) { answered = true; });
  while (bench.MaxCount() < 2) {
  }
  BOOST_TEST(!answered);
  bench.client.Ask("POST", "/faults", R"({"refuse":true})");
  BOOST_TEST(StatusOf(bench.Execute()) == 503);
  bench.client.Ask("POST", "/faults", R"({"refuse":false})");
  BOOST_TEST(bench.MaxCount() == 2U);
}

}  // namespace acaciaspring::fakes
