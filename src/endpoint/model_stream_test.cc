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

std::string Chunk(const std::string& text, const std::string& id = "") {
  const std::string line = id.empty() ? "" : "id: " + id + "\n";
  return line + R"(data: {"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

std::string Data(const std::string& data) {
  return "data: " + data + "\n\n";
}

struct Read {
  std::string text;
  std::string outcome = "none";
  wire::Usage usage;
};

Read ReadStream(const std::string& bytes, TokenCount max_tokens = kMaxTokens) {
  ModelStream stream(max_tokens);
  Read read;
  for (const StreamToken& token : stream.Feed(bytes)) {
    read.text += std::to_string(token.index) + token.text + " ";
  }
  if (stream.outcome()) {
    read.outcome = std::string(KindName(*stream.outcome()));
  }
  read.usage = stream.usage();
  return read;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(model_stream)

// Guards against a whole answer that is not recognised.
BOOST_AUTO_TEST_CASE(whole_stream_is_completed) {
  const Read read = ReadStream(Data(R"({"choices":[{"delta":{"role":"assistant"}}]})") +
                               Chunk("a") + Chunk("b") + kUsage + kDone);
  BOOST_TEST(read.text == "0a 1b ");
  BOOST_TEST(read.outcome == "completed");
  BOOST_TEST(read.usage.prompt == TokenCount(3));
  BOOST_TEST(read.usage.completion == TokenCount(2));
  BOOST_TEST(read.usage.cached == TokenCount(1));
}

// Guards against tokens that are delivered twice or in the wrong order, and against an answer with
// a missing token that counts as complete.
BOOST_AUTO_TEST_CASE(only_the_next_token_is_delivered) {
  Read read = ReadStream(Chunk("a", "0") + Chunk("a", "0") + Chunk("b", "1") + Chunk("a", "0") +
                         kUsage + kDone);
  BOOST_TEST(read.text == "0a 1b ");
  BOOST_TEST(read.outcome == "completed");
  // The early token comes again.
  read = ReadStream(Chunk("b", "1") + Chunk("a", "0") + Chunk("b", "1") + kUsage + kDone);
  BOOST_TEST(read.text == "0a 1b ");
  BOOST_TEST(read.outcome == "completed");
  // The early token does not come again.
  read = ReadStream(Chunk("b", "1") + Chunk("a", "0") + kUsage + kDone);
  BOOST_TEST(read.text == "0a ");
  BOOST_TEST(read.outcome == "failed");
  BOOST_TEST(read.usage.completion == TokenCount(1));
}

// Guards against an answer without usage, by which the budget is charged, that counts as complete.
BOOST_AUTO_TEST_CASE(missing_end_is_not_completed) {
  BOOST_TEST(ReadStream(Chunk("a") + kDone).outcome == "unknown");
  BOOST_TEST(ReadStream(Chunk("a") + kUsage).outcome == "none");
  BOOST_TEST(ReadStream(Chunk("a")).outcome == "none");
  BOOST_TEST(ReadStream(Chunk("a")).usage.completion == TokenCount(1));
}

// Guards against an engine that spends more than the program's budget covers.
BOOST_AUTO_TEST_CASE(surplus_tokens_end_the_stream) {
  const Read read =
      ReadStream(Chunk("a") + Chunk("b") + Chunk("c") + kUsage + kDone, TokenCount(2));
  BOOST_TEST(read.text == "0a 1b ");
  BOOST_TEST(read.outcome == "failed");
}

// Guards against an exception or a crash on malformed chunks.
BOOST_AUTO_TEST_CASE(malformed_chunks_are_failures) {
  const std::vector<std::string> malformed = {
      Data("{"),
      Data("nonsense"),
      Data("[]"),
      Data("7"),
      Data("{} x"),
      Data(std::string(10000, '[')),
      Data(R"({"usage":{"prompt_tokens":-1,"completion_tokens":2}})"),
      Data(R"({"usage":{"prompt_tokens":1}})"),
      Data(R"({"usage":"3"})"),
      Data(R"({"error":{"message":"out of memory"}})"),
      Chunk("a", "x"),
      Chunk("a", "-1"),
      Chunk("a", "99999999999999999999999"),
      "data: " + std::string(100000, 'x'),
  };
  for (const std::string& bytes : malformed) {
    BOOST_TEST(ReadStream(bytes).outcome == "failed", bytes.substr(0, 80));
  }
  const std::vector<std::string> harmless = {
      Data(R"({"choices":7})"),
      Data(R"({"choices":[]})"),
      Data(R"({"choices":[{"delta":{"content":null}}]})"),
      Data(R"({"choices":[{"delta":7}]})"),
      Data(R"({"choices":[7]})"),
      ": keep alive\n\n",
  };
  for (const std::string& bytes : harmless) {
    BOOST_TEST(ReadStream(bytes).outcome == "none", bytes);
  }
}

// Guards against a crash, a false completion or disordered tokens on damaged streams.
BOOST_AUTO_TEST_CASE(damaged_streams_deliver_tokens_in_order) {
  constexpr std::uint64_t kSeed = 530;
  constexpr int kRounds = 5000;
  const std::string whole = Chunk("a", "0") + Chunk("b", "1") + kUsage + kDone;
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = whole;
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
