#include "fakes/fake_engine.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

const std::string kChat = "/v1/chat/completions";
const std::vector<Message> kMessages = {{"user", "the sieve is torn"}};

EngineOptions Fast() {
  EngineOptions options;
  options.batch.decode_tokens_per_second = 5000;
  options.step_ms = 1;
  return options;
}

// Every test stops long before the answer would be complete.
EngineOptions Slow() {
  EngineOptions options;
  options.batch.decode_tokens_per_second = 0.001;
  options.step_ms = 1;
  return options;
}

struct EngineBench {
  explicit EngineBench(const EngineOptions& options)
      : engine(loop, net::ParseAddress("127.0.0.1:0"), options), client(loop, engine.address()) {}

  Json::Value Stats() { return client.AskJson("GET", "/stats"); }

  net::Loop loop;
  FakeEngine engine;
  TestClient client;
};

std::string ChatBody(const std::string& extra = "") {
  return R"({"model":"model","max_tokens":64,"user":"p1","messages":[{"role":"user",)"
         R"("content":"the sieve is torn"}])" +
         extra + "}";
}

// Concatenated content of an event stream.
std::string ContentOf(const std::string& stream) {
  std::string content;
  std::size_t at = 0;
  while ((at = stream.find("data: {", at)) != std::string::npos) {
    const std::size_t end = stream.find('\n', at);
    const Json::Value chunk = *ParseJson(stream.substr(at + 6, end - at - 6));
    content += chunk["choices"][0]["delta"]["content"].asString();
    at = end;
  }
  return content;
}

}  // namespace

// The load tool's check of every answer rests on this equality.
BOOST_AUTO_TEST_CASE(stream_carries_the_expected_answer) {
  EngineBench bench(Fast());
  const std::string stream = bench.client.Ask("POST", kChat, ChatBody()).body;
  BOOST_TEST(ContentOf(stream) == JoinWords(AnswerWords(kMessages, 64)));
  BOOST_TEST(stream.ends_with("data: [DONE]\n\n"));
  BOOST_TEST(stream.find("\"finish_reason\":\"stop\"") != std::string::npos);
  BOOST_TEST(stream.find("\"prompt_tokens\":4") != std::string::npos);
  BOOST_TEST(bench.Stats()["completed"].asUInt64() == 1U);
}

BOOST_AUTO_TEST_CASE(next_turn_finds_prompt_and_answer_in_the_cache) {
  EngineBench bench(Fast());
  bench.client.Ask("POST", kChat, ChatBody());
  const std::string answer = JoinWords(AnswerWords(kMessages, 64));
  const std::string body =
      R"({"model":"model","max_tokens":1,"messages":[{"role":"user","content":)"
      R"("the sieve is torn"},{"role":"assistant","content":")" +
      answer + R"("},{"role":"user","content":"and now"}]})";
  const std::string stream = bench.client.Ask("POST", kChat, body).body;
  const std::string cached = std::to_string(4 + CountWords(answer));
  BOOST_TEST(stream.find("\"cached_tokens\":" + cached + ",") != std::string::npos);
}

// Work for callers that are gone would distort every measurement of load.
BOOST_AUTO_TEST_CASE(closed_connection_cancels) {
  EngineBench bench(Slow());
  auto call = bench.client.Send("POST", kChat, ChatBody(), [](const net::HttpReply&) {});
  while (bench.Stats()["running"].asUInt64() == 0) {
  }
  call->Cancel();
  while (bench.Stats()["cancelled"].asUInt64() == 0) {
  }
  BOOST_TEST(bench.Stats()["running"].asUInt64() == 0U);
}

BOOST_AUTO_TEST_CASE(cut_stream_carries_the_tokens_before_the_cut) {
  EngineBench bench(Fast());
  bench.client.Ask("POST", "/faults", R"({"cut_after_tokens":3})");
  const net::HttpReply reply = bench.client.Ask("POST", kChat, ChatBody());
  BOOST_TEST(StatusOf(reply) == 0);
  BOOST_TEST(CountWords(ContentOf(reply.body)) == 3U);
  BOOST_TEST(bench.Stats()["running"].asUInt64() == 0U);
  BOOST_TEST(bench.Stats()["cut"].asUInt64() == 1U);
}

// Leaked holds must be visible, and released memory must be free again.
BOOST_AUTO_TEST_CASE(holds_live_until_they_are_released) {
  EngineBench bench(Fast());
  bench.client.Ask("POST", kChat, ChatBody(R"(,"hold":true)"));
  const std::uint64_t tokens = 4 + FullAnswerLength(kMessages);
  const Json::Value holds = bench.client.AskJson("GET", "/kv/holds")["holds"];
  BOOST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds[0]["program"].asString() == "p1");
  BOOST_TEST(holds[0]["tokens"].asUInt64() == tokens);
  const std::string program = R"({"program":"p1"})";
  const Json::Value exported = bench.client.AskJson("POST", "/kv/export", program);
  BOOST_TEST(exported["tokens"].asUInt64() == tokens);
  BOOST_TEST(bench.client.AskJson("GET", "/kv/holds")["holds"].empty());
  BOOST_TEST(bench.client.AskJson("POST", "/kv/import", program)["tokens"].asUInt64() == tokens);
  BOOST_TEST(bench.client.AskJson("POST", "/kv/release", program)["released"].asUInt64() == tokens);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/kv/release", program)) == 404);
  // A copy that was exported moves to another engine.
  EngineBench other(Fast());
  BOOST_TEST(StatusOf(other.client.Ask("POST", "/kv/import", program)) == 404);
  BOOST_TEST(StatusOf(other.client.Ask("POST", "/kv/import", WriteJson(exported))) == 200);
  BOOST_TEST(other.client.AskJson("GET", "/kv/holds")["holds"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(resume_sends_only_the_missing_words) {
  EngineOptions options = Fast();
  options.can_resume = true;
  EngineBench bench(options);
  const net::HttpReply reply = bench.client.Ask("POST", kChat, ChatBody(R"(,"resume_from":5)"));
  std::vector<std::string> words = AnswerWords(kMessages, 64);
  words.erase(words.begin(), words.begin() + 5);
  BOOST_TEST(ContentOf(reply.body) == JoinWords(words));
  EngineBench other(Fast());
  BOOST_TEST(StatusOf(other.client.Ask("POST", kChat, ChatBody(R"(,"resume_from":5)"))) == 400);
}

BOOST_AUTO_TEST_CASE(orders_change_what_is_served) {
  EngineOptions options = Fast();
  options.check_fencing = true;
  EngineBench bench(options);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/orders", R"({"fence":7,"model":"b"})")) == 200);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/orders", R"({"fence":6,"model":"a"})")) == 409);
  BOOST_TEST(bench.client.AskJson("GET", "/orders")["model"].asString() == "b");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, ChatBody())) == 404);
  bench.client.Ask("POST", "/faults", R"({"ignore_fencing":true})");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/orders", R"({"fence":6,"model":"model"})")) ==
             200);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, ChatBody())) == 200);
}

BOOST_AUTO_TEST_CASE(refused_calls_do_not_run) {
  EngineBench bench(Fast());
  bench.client.Ask("POST", "/faults", R"({"refuse":true})");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, ChatBody())) == 503);
  BOOST_TEST(bench.Stats()["requests"].asUInt64() == 0U);
  BOOST_TEST(bench.Stats()["prefill_tokens_computed"].asUInt64() == 0U);
}

// A field of a wrong type must not end the fake.
BOOST_AUTO_TEST_CASE(malformed_requests_are_answered) {
  EngineBench bench(Fast());
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, "{")) == 400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, ChatBody(R"(,"priority":[])"))) == 400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kChat, R"({"model":"model","messages":[1]})")) ==
             400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/kv/import", R"({"program":"a","blocks":[1]})")) ==
             400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/orders", R"({"fence":-1})")) == 400);
  BOOST_TEST(StatusOf(bench.client.Ask("GET", "/nothing")) == 404);
  BOOST_TEST(StatusOf(bench.client.Ask("GET", kChat)) == 405);
}

}  // namespace acaciaspring::fakes
