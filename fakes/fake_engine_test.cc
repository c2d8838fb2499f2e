#include "fakes/fake_engine.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

const std::string kChatPath = "/v1/chat/completions";
const std::vector<Message> kMessages = {{"user", "the sieve is torn"}};

EngineOptions FastOptions() {
  EngineOptions options;
  options.batch.decode_tokens_per_second = 5000;
  options.step_ms = 1;
  return options;
}

// Slow enough that no answer is complete before its test ends.
EngineOptions SlowOptions() {
  EngineOptions options;
  options.batch.decode_tokens_per_second = 0.001;
  options.step_ms = 1;
  return options;
}

struct EngineFixture {
  explicit EngineFixture(const EngineOptions& options)
      : engine(loop, net::ParseAddress("127.0.0.1:0"), options), client(loop, engine.address()) {}

  Json::Value Stats() { return client.FetchJson("GET", "/stats"); }

  net::Loop loop;
  FakeEngine engine;
  TestClient client;
};

std::string ChatBody(const std::string& extra = "") {
  return R"({"model":"model","max_tokens":64,"user":"p1","messages":[{"role":"user",)"
         R"("content":"the sieve is torn"}])" +
         extra + "}";
}

// Concatenates the contents of all chunks of an event stream.
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

// Guards against streamed answers that differ from AnswerWords, with which the load tool verifies
// every answer.
BOOST_AUTO_TEST_CASE(stream_carries_the_expected_answer) {
  EngineFixture fixture(FastOptions());
  const std::string stream = fixture.client.Fetch("POST", kChatPath, ChatBody()).body;
  BOOST_TEST(ContentOf(stream) == JoinWords(AnswerWords(kMessages, 64)));
  BOOST_TEST(stream.ends_with("data: [DONE]\n\n"));
  BOOST_TEST(stream.find("\"finish_reason\":\"stop\"") != std::string::npos);
  BOOST_TEST(stream.find("\"prompt_tokens\":4") != std::string::npos);
  BOOST_TEST(fixture.Stats()["completed"].asUInt64() == 1U);
}

BOOST_AUTO_TEST_CASE(next_turn_finds_prompt_and_answer_in_the_cache) {
  EngineFixture fixture(FastOptions());
  fixture.client.Fetch("POST", kChatPath, ChatBody());
  const std::string answer = JoinWords(AnswerWords(kMessages, 64));
  const std::string body =
      R"({"model":"model","max_tokens":1,"messages":[{"role":"user","content":)"
      R"("the sieve is torn"},{"role":"assistant","content":")" +
      answer + R"("},{"role":"user","content":"and now"}]})";
  const std::string stream = fixture.client.Fetch("POST", kChatPath, body).body;
  const std::string cached = std::to_string(4 + CountWords(answer));
  BOOST_TEST(stream.find("\"cached_tokens\":" + cached + ",") != std::string::npos);
}

// Guards against requests that keep running after their client has disconnected, which would
// distort all load measurements.
BOOST_AUTO_TEST_CASE(closed_connection_cancels_the_request) {
  EngineFixture fixture(SlowOptions());
  auto call = fixture.client.Send("POST", kChatPath, ChatBody(), [](const net::HttpReply&) {});
  while (fixture.Stats()["running"].asUInt64() == 0) {
  }
  call->Cancel();
  while (fixture.Stats()["cancelled"].asUInt64() == 0) {
  }
  BOOST_TEST(fixture.Stats()["running"].asUInt64() == 0U);
}

BOOST_AUTO_TEST_CASE(cut_stream_carries_the_tokens_before_the_cut) {
  EngineFixture fixture(FastOptions());
  fixture.client.Fetch("POST", "/faults", R"({"cut_after_tokens":3})");
  const net::HttpReply reply = fixture.client.Fetch("POST", kChatPath, ChatBody());
  BOOST_TEST(StatusOf(reply) == 0);
  BOOST_TEST(CountWords(ContentOf(reply.body)) == 3U);
  BOOST_TEST(fixture.Stats()["running"].asUInt64() == 0U);
  BOOST_TEST(fixture.Stats()["cut"].asUInt64() == 1U);
}

// Guards against holds that GET /kv/holds does not list, which would hide leaks, and against memory
// that stays allocated after its release.
BOOST_AUTO_TEST_CASE(holds_remain_until_they_are_released) {
  EngineFixture fixture(FastOptions());
  fixture.client.Fetch("POST", kChatPath, ChatBody(R"(,"hold":true)"));
  const std::uint64_t tokens = 4 + FullAnswerLength(kMessages);
  const Json::Value holds = fixture.client.FetchJson("GET", "/kv/holds")["holds"];
  BOOST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds[0]["program"].asString() == "p1");
  BOOST_TEST(holds[0]["tokens"].asUInt64() == tokens);
  const std::string program = R"({"program":"p1"})";
  const Json::Value exported = fixture.client.FetchJson("POST", "/kv/export", program);
  BOOST_TEST(exported["tokens"].asUInt64() == tokens);
  BOOST_TEST(fixture.client.FetchJson("GET", "/kv/holds")["holds"].empty());
  BOOST_TEST(fixture.client.FetchJson("POST", "/kv/import", program)["tokens"].asUInt64() ==
             tokens);
  BOOST_TEST(fixture.client.FetchJson("POST", "/kv/release", program)["released"].asUInt64() ==
             tokens);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/kv/release", program)) == 404);
  // Another engine can import the exported copy.
  EngineFixture other(FastOptions());
  BOOST_TEST(StatusOf(other.client.Fetch("POST", "/kv/import", program)) == 404);
  BOOST_TEST(StatusOf(other.client.Fetch("POST", "/kv/import", WriteJson(exported))) == 200);
  BOOST_TEST(other.client.FetchJson("GET", "/kv/holds")["holds"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(resume_sends_only_the_missing_words) {
  EngineOptions options = FastOptions();
  options.can_resume = true;
  EngineFixture fixture(options);
  const net::HttpReply reply =
      fixture.client.Fetch("POST", kChatPath, ChatBody(R"(,"resume_from":5)"));
  std::vector<std::string> words = AnswerWords(kMessages, 64);
  words.erase(words.begin(), words.begin() + 5);
  BOOST_TEST(ContentOf(reply.body) == JoinWords(words));
  EngineFixture other(FastOptions());
  BOOST_TEST(StatusOf(other.client.Fetch("POST", kChatPath, ChatBody(R"(,"resume_from":5)"))) ==
             400);
}

BOOST_AUTO_TEST_CASE(orders_change_the_served_models) {
  EngineOptions options = FastOptions();
  options.check_fencing = true;
  EngineFixture fixture(options);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/orders", R"({"fence":7,"model":"b"})")) ==
             200);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/orders", R"({"fence":6,"model":"a"})")) ==
             409);
  BOOST_TEST(fixture.client.FetchJson("GET", "/orders")["model"].asString() == "b");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath, ChatBody())) == 404);
  fixture.client.Fetch("POST", "/faults", R"({"ignore_fencing":true})");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/orders", R"({"fence":6,"model":"model"})")) ==
             200);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath, ChatBody())) == 200);
}

BOOST_AUTO_TEST_CASE(refused_calls_do_not_run) {
  EngineFixture fixture(FastOptions());
  fixture.client.Fetch("POST", "/faults", R"({"refuse":true})");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath, ChatBody())) == 503);
  BOOST_TEST(fixture.Stats()["requests"].asUInt64() == 0U);
  BOOST_TEST(fixture.Stats()["prefill_tokens_computed"].asUInt64() == 0U);
}

// Guards against an uncaught JsonCpp exception, which a field of the wrong type causes.
BOOST_AUTO_TEST_CASE(malformed_requests_get_an_error_response) {
  EngineFixture fixture(FastOptions());
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath, "{")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath, ChatBody(R"(,"priority":[])"))) ==
             400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kChatPath,
                                           R"({"model":"model","messages":[1]})")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/kv/import",
                                           R"({"program":"a","blocks":[1]})")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/orders", R"({"fence":-1})")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("GET", "/nothing")) == 404);
  BOOST_TEST(StatusOf(fixture.client.Fetch("GET", kChatPath)) == 405);
}

}  // namespace acaciaspring::fakes
