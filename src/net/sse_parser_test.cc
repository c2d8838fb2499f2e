#include "acaciaspring/net.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace acaciaspring::net {

namespace {

constexpr std::size_t kLimit = 1000;

std::vector<std::string> Format(const std::vector<SseEvent>& events) {
  std::vector<std::string> data;
  for (const SseEvent& event : events) {
    data.push_back(event.id.value_or("-") + "=" + event.data);
  }
  return data;
}

std::vector<std::string> Parse(std::string_view text) {
  SseParser parser(kLimit);
  return Format(parser.Feed(text));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sse_parser)

// Guards against misinterpretation of fields of the event-stream format.
BOOST_AUTO_TEST_CASE(events_are_parsed_as_the_format_specifies) {
  using Events = std::vector<std::string>;
  BOOST_TEST(Parse("data: one\n\ndata:two\r\n\r\ndata\r\rdata:  x\n\n") ==
                 (Events{"-=one", "-=two", "-=", "-= x"}),
             boost::test_tools::per_element());
  BOOST_TEST(Parse("id: 7\ndata: a\ndata: b\n\ndata: c\n\n") == (Events{"7=a\nb", "-=c"}),
             boost::test_tools::per_element());
  BOOST_TEST(Parse(": comment\nevent: x\nretry: 1\nunknown\n\nid: 1\n\n").empty());
  BOOST_TEST(Parse("data: not ended\n").empty());
}

// Guards against results that depend on how the network splits the stream.
BOOST_AUTO_TEST_CASE(chunks_of_any_size_yield_the_same_events) {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kRounds = 2000;
  const std::vector<std::string> parts = {
      "data", "id", ":",      " ",    "\n", "\r",     "\r\n", "\n\n",
      "x",    "17", "[DONE]", "\xff", "{",  "data: ", ": c",  std::string(1, '\0')};
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string text;
    for (int i = 0; i < 60; ++i) {
      text += parts[random() % parts.size()];
    }
    const std::vector<std::string> from_whole_text = Parse(text);
    SseParser parser(kLimit);
    std::vector<std::string> from_chunks;
    std::string_view rest = text;
    while (!rest.empty()) {
      const std::size_t size = std::min<std::size_t>(1 + random() % 5, rest.size());
      for (const std::string& data : Format(parser.Feed(rest.substr(0, size)))) {
        from_chunks.push_back(data);
      }
      rest.remove_prefix(size);
    }
    BOOST_REQUIRE(from_whole_text == from_chunks);
  }
}

// Guards against unbounded memory for an endless event, line or comment.
BOOST_AUTO_TEST_CASE(size_of_an_event_is_limited) {
  for (const std::string& line : {std::string("data: x\n"), std::string("x"), std::string(":")}) {
    SseParser parser(kLimit);
    for (std::size_t i = 0; i < kLimit + 1; ++i) {
      BOOST_TEST(parser.Feed(line).empty());
    }
    BOOST_TEST(parser.overflowed(), line);
    BOOST_TEST(parser.Feed("\n\ndata: late\n\n").empty());
  }
  // The limit applies to each event, not to their sum.
  SseParser parser(kLimit);
  const std::string event = "data: " + std::string(kLimit / 2, 'x') + "\n\n";
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(parser.Feed(event).size() == 1U);
  }
  BOOST_TEST(!parser.overflowed());
}

// Guards against a stream that ends inside an event and counts as complete, and against a complete
// one that does not.
BOOST_AUTO_TEST_CASE(boundary_is_known_wherever_the_chunks_end) {
  const std::vector<std::pair<std::string, bool>> streams = {
      {"", false},
      {"data: a\n\n", false},
      {"data: a\r\n\r\n", false},
      {"data: a\r\r", false},
      {"id: 1\ndata: a\n\n: comment\n", false},
      {": comment\n\n", false},
      {"data: a\n\n\n\n", false},
      {"d", true},
      {"data: a", true},
      {"data: a\n", true},
      {"data: a\r\n", true},
      {"data: a\n\nid: 2\n", true},
      {"data: a\n: comment\n", true},
      {": comment", true},
  };
  for (const auto& [stream, inside] : streams) {
    for (std::size_t step = 1; step <= stream.size() + 1; ++step) {
      SseBoundary boundary;
      for (std::size_t i = 0; i < stream.size(); i += step) {
        boundary.Feed(std::string_view(stream).substr(i, step));
      }
      BOOST_TEST(boundary.inside_event() == inside, stream << " by " << step);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
