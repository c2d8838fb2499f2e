#include "src/load/sse_parser.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace acaciaspring::load {

// Network reads split the stream at arbitrary bytes, also between CR and LF. Guards against events
// that depend on the split.
BOOST_AUTO_TEST_CASE(events_do_not_depend_on_the_split_of_the_input) {
  const std::string stream =
      "id: 1\ndata: {\"a\":1}\n\n: comment\n\nid:2\r\ndata:x\r\ndata: y\r\n\r\ndata: [DONE]\n\n";
  for (std::size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size) {
    std::vector<SseEvent> events;
    SseParser parser([&events](const SseEvent& event) { events.push_back(event); });
    for (std::size_t offset = 0; offset < stream.size(); offset += chunk_size) {
      parser.Feed(std::string_view(stream).substr(offset, chunk_size));
    }
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST((events[0] == SseEvent{"1", "{\"a\":1}"}));
    BOOST_TEST((events[1] == SseEvent{"2", "x\ny"}));
    BOOST_TEST((events[2] == SseEvent{"", "[DONE]"}));
  }
}

// Guards against a duplicated token: a resumed stream sends an event again that was incomplete when
// the connection closed.
BOOST_AUTO_TEST_CASE(unfinished_event_is_not_reported) {
  int events = 0;
  SseParser parser([&events](const SseEvent&) { ++events; });
  parser.Feed("id: 1\ndata: a\n");
  BOOST_TEST(events == 0);
  parser.Feed("\n");
  BOOST_TEST(events == 1);
}

}  // namespace acaciaspring::load
