#include "src/endpoint/model_stream.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace acaciaspring::endpoint {

namespace {

const TokenCount kMaxTokens(10);
const std::string kUsage =
    R"(data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"cached_tokens":1}})"
    "\n\n";
const std::string kDone = "data: [DONE]\n\n";

std::string ChunkEvent(const std::string& text, const std::string& id = "") {
  const std::string line = id.empty() ? "" : "id: " + id + "\n";
  return line + R"(data: {"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

std::string DataEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

struct StreamResult {
  std::string text;
  std::string outcome = "none";
  wire::Usage usage;
};

StreamResult ReadStream(const std::string& bytes, TokenCount max_tokens = kMaxTokens) {
  ModelStream stream(max_tokens);
  StreamResult result;
  for (const StreamToken& token : stream.Feed(bytes)) {
    result.text += std::to_string(token.index) + token.text + " ";
  }
  if (stream.outcome()) {
    result.outcome = std::string(KindName(*stream.outcome()));
  }
  result.usage = stream.usage();
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(model_stream)

// Guards against a complete stream that is not reported as Completed.
BOOST_AUTO_TEST_CASE(complete_stream_is_completed) {
  const StreamResult result =
      ReadStream(DataEvent(R"({"choices":[{"delta":{"role":"assistant"}}]})") + ChunkEvent("a") +
                 ChunkEvent("b") + kUsage + kDone);
  BOOST_TEST(result.text == "0a 1b ");
  BOOST_TEST(result.outcome == "completed");
  BOOST_TEST(result.usage.prompt == TokenCount(3));
  BOOST_TEST(result.usage.completion == TokenCount(2));
  BOOST_TEST(result.usage.cached == TokenCount(1));
}

// Guards against tokens that are delivered twice or out of order, and against a stream with a
// missing token that is reported as Completed.
BOOST_AUTO_TEST_CASE(only_the_next_token_is_delivered) {
  StreamResult result = ReadStream(ChunkEvent("a", "0") + ChunkEvent("a", "0") +
                                   ChunkEvent("b", "1") + ChunkEvent("a", "0") + kUsage + kDone);
  BOOST_TEST(result.text == "0a 1b ");
  BOOST_TEST(result.outcome == "completed");
  // The token that arrived out of order is sent again.
  result = ReadStream(ChunkEvent("b", "1") + ChunkEvent("a", "0") + ChunkEvent("b", "1") + kUsage +
                      kDone);
  BOOST_TEST(result.text == "0a 1b ");
  BOOST_TEST(result.outcome == "completed");
  // The token that arrived out of order is not sent again.
  result = ReadStream(ChunkEvent("b", "1") + ChunkEvent("a", "0") + kUsage + kDone);
  BOOST_TEST(result.text == "0a ");
  BOOST_TEST(result.outcome == "failed");
  BOOST_TEST(result.usage.completion == TokenCount(1));
}

// Guards against a stream without usage or `[DONE]` that is reported as Completed. The program's
// budget is charged by the usage.
BOOST_AUTO_TEST_CASE(stream_without_usage_or_done_is_not_completed) {
  BOOST_TEST(ReadStream(ChunkEvent("a") + kDone).outcome == "unknown");
  BOOST_TEST(ReadStream(ChunkEvent("a") + kUsage).outcome == "none");
  BOOST_TEST(ReadStream(ChunkEvent("a")).outcome == "none");
  BOOST_TEST(ReadStream(ChunkEvent("a")).usage.completion == TokenCount(1));
}

// Guards against an engine that ignores max_tokens and so exceeds the program's budget.
BOOST_AUTO_TEST_CASE(stream_fails_above_max_tokens) {
  const StreamResult result = ReadStream(
      ChunkEvent("a") + ChunkEvent("b") + ChunkEvent("c") + kUsage + kDone, TokenCount(2));
  BOOST_TEST(result.text == "0a 1b ");
  BOOST_TEST(result.outcome == "failed");
}

// Guards against an exception or a crash on malformed chunks.
BOOST_AUTO_TEST_CASE(malformed_chunks_fail_the_stream) {
  const std::vector<std::string> malformed = {
      DataEvent("{"),
      DataEvent("nonsense"),
      DataEvent("[]"),
      DataEvent("7"),
      DataEvent("{} x"),
      DataEvent(std::string(10000, '[')),
      DataEvent(R"({"usage":{"prompt_tokens":-1,"completion_tokens":2}})"),
      DataEvent(R"({"usage":{"prompt_tokens":1}})"),
      DataEvent(R"({"usage":"3"})"),
      DataEvent(R"({"error":{"message":"out of memory"}})"),
      ChunkEvent("a", "x"),
      ChunkEvent("a", "-1"),
      ChunkEvent("a", "99999999999999999999999"),
      "data: " + std::string(100000, 'x'),
  };
  for (const std::string& bytes : malformed) {
    BOOST_TEST(ReadStream(bytes).outcome == "failed", bytes.substr(0, 80));
  }
  const std::vector<std::string> harmless = {
      DataEvent(R"({"choices":7})"),
      DataEvent(R"({"choices":[]})"),
      DataEvent(R"({"choices":[{"delta":{"content":null}}]})"),
      DataEvent(R"({"choices":[{"delta":7}]})"),
      DataEvent(R"({"choices":[7]})"),
      ": keep alive\n\n",
  };
  for (const std::string& bytes : harmless) {
    BOOST_TEST(ReadStream(bytes).outcome == "none", bytes);
  }
}

// Guards against a crash, tokens out of order or Completed without `[DONE]` on corrupted streams.
BOOST_AUTO_TEST_CASE(corrupted_streams_deliver_tokens_in_order) {
  constexpr std::uint64_t kSeed = 530;
  constexpr int kRounds = 5000;
  const std::string intact = ChunkEvent("a", "0") + ChunkEvent("b", "1") + kUsage + kDone;
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = intact;
    for (int change = 0; change < 3; ++change) {
      const std::size_t at = random() % damaged.size();
      if (random() % 2 == 0) {
        damaged[at] = static_cast<char>(random());
      } else {
        damaged.erase(at, 1 + random() % 8);
      }
    }
    ModelStream stream(kMaxTokens);
    std::uint64_t next = 0;
    for (std::size_t at = 0; at < damaged.size(); at += 7) {
      for (const StreamToken& token : stream.Feed(std::string_view(damaged).substr(at, 7))) {
        BOOST_REQUIRE(token.index == next);
        ++next;
      }
    }
    const bool completed = stream.outcome() && std::holds_alternative<Completed>(*stream.outcome());
    BOOST_REQUIRE(!completed || damaged.find("[DONE]") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::endpoint
