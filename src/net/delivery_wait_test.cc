#include "src/net/delivery_wait.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace acaciaspring::net {

namespace {

using std::chrono::milliseconds;

constexpr DeliveryWaitOptions kOptions{.max_stall = std::chrono::seconds(15),
                                       .max_after_delivery = std::chrono::seconds(2)};

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime{} + milliseconds(ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(delivery_wait)

// Guards against a slow client that is cut off while it still reads.
BOOST_AUTO_TEST_CASE(connection_is_kept_while_the_client_makes_progress) {
  DeliveryWait wait(At(0), kOptions);
  std::size_t undelivered = 200'000;
  std::int64_t ms = 0;
  for (; undelivered > 1000; undelivered -= 1000) {
    ms += 10'000;
    BOOST_TEST(!wait.IsOver(At(ms), {.undelivered_bytes = undelivered, .peer_closed = true}));
  }
  BOOST_TEST(wait.IsOver(At(ms), {.undelivered_bytes = 0, .peer_closed = true}));
}

// Guards against a connection that is kept for ever for a client that does not read.
BOOST_AUTO_TEST_CASE(connection_is_closed_when_the_client_stalls) {
  DeliveryWait wait(At(0), kOptions);
  BOOST_TEST(!wait.IsOver(At(0), {.undelivered_bytes = 100}));
  BOOST_TEST(!wait.IsOver(At(14'999), {.undelivered_bytes = 100}));
  BOOST_TEST(wait.IsOver(At(15'000), {.undelivered_bytes = 100}));
}

// Guards against a reset that overtakes a response which the client's kernel has, but not the
// client.
BOOST_AUTO_TEST_CASE(client_has_time_to_close_after_delivery) {
  DeliveryWait wait(At(0), kOptions);
  BOOST_TEST(!wait.IsOver(At(5'000), {.undelivered_bytes = 1}));
  BOOST_TEST(!wait.IsOver(At(6'000), {.unread_bytes = 300}));
  BOOST_TEST(!wait.IsOver(At(7'999), {.unread_bytes = 300}));
  BOOST_TEST(wait.IsOver(At(8'000), {.unread_bytes = 300}));
}

BOOST_AUTO_TEST_CASE(failed_connection_is_closed_at_once) {
  DeliveryWait wait(At(0), kOptions);
  BOOST_TEST(wait.IsOver(At(1), {.undelivered_bytes = 100, .failed = true}));
}

// Guards against many closing connections that hold each other up: each is decided by its own
// progress.
BOOST_AUTO_TEST_CASE(load_of_closing_connections_ends_in_bounded_time) {
  constexpr std::size_t kConnections = 300;
  std::vector<DeliveryWait> waits(kConnections, DeliveryWait(At(0), kOptions));
  std::vector<std::size_t> undelivered(kConnections, 200'000);
  std::size_t open = kConnections;
  for (std::int64_t ms = 0; open > 0; ms += 100) {
    BOOST_REQUIRE(ms <= 60'000);
    open = 0;
    for (std::size_t i = 0; i < kConnections; ++i) {
      // Every third client reads at once, every third at 5 KB a second, the others never.
      const std::size_t read = i % 3 == 0 ? 200'000 : (i % 3 == 1 ? 500 : 0);
      undelivered[i] -= std::min(undelivered[i], read);
      const bool over = waits[i].IsOver(
          At(ms), {.undelivered_bytes = undelivered[i], .peer_closed = undelivered[i] == 0});
      BOOST_REQUIRE((!over || undelivered[i] == 0 || i % 3 == 2));
      open += over ? 0 : 1;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
