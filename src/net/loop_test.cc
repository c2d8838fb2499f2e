#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>

#include "acaciaspring/net.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

BOOST_AUTO_TEST_SUITE(loop)

// Guards against a timer that fires after it was cancelled or destroyed.
BOOST_AUTO_TEST_CASE(cancelled_timer_does_not_fire) {
  Loop event_loop;
  int fired = 0;
  {
    const Timer destroyed = event_loop.After(Duration(0), [&] { ++fired; });
  }
  Timer cancelled = event_loop.After(Duration(0), [&] { ++fired; });
  cancelled.Cancel();
  const Timer end = event_loop.After(std::chrono::milliseconds(5), [&] { event_loop.Stop(); });
  event_loop.Run();
  BOOST_TEST(fired == 0);
}

// Guards against use after free when a timer is destroyed by its own callback.
BOOST_AUTO_TEST_CASE(timer_may_be_destroyed_by_its_own_callback) {
  Loop event_loop;
  int fired = 0;
  std::optional<Timer> timer;
  timer = event_loop.Every(std::chrono::milliseconds(1), [&] {
    if (++fired == 3) {
      timer.reset();
      event_loop.Stop();
    }
  });
  event_loop.Run();
  BOOST_TEST(fired == 3);
}

// Guards against a timer that accesses a destroyed loop.
BOOST_AUTO_TEST_CASE(timer_may_outlive_the_loop) {
  std::optional<Timer> timer;
  {
    Loop event_loop;
    timer = event_loop.After(std::chrono::hours(1), [] {});
  }
  BOOST_CHECK_NO_THROW(timer.reset());
}

// Guards against posted callbacks that run within Post, and against an endless iteration when a
// posted callback posts another one.
BOOST_AUTO_TEST_CASE(posted_callbacks_run_in_order_from_the_loop) {
  Loop event_loop;
  std::vector<int> order;
  event_loop.Post([&] {
    order.push_back(1);
    event_loop.Post([&] {
      order.push_back(3);
      event_loop.Stop();
    });
  });
  event_loop.Post([&] { order.push_back(2); });
  BOOST_TEST(order.empty());
  event_loop.Run();
  BOOST_TEST(order == (std::vector<int>{1, 2, 3}), boost::test_tools::per_element());
}

// Guards against a signal that is lost or terminates the process.
BOOST_AUTO_TEST_CASE(signal_runs_its_callback) {
  Loop event_loop;
  int signals = 0;
  event_loop.OnSignal(SIGUSR1, [&] { ++signals; });
  event_loop.Post([] { std::raise(SIGUSR1); });
  RunUntil(event_loop, [&] { return signals == 1; });
  BOOST_TEST(signals == 1);
}

// Guards against accepting addresses that a later connect would reject or misinterpret.
BOOST_AUTO_TEST_CASE(malformed_addresses_are_rejected) {
  BOOST_TEST(ParseAddress("127.0.0.1:8080").ToString() == "127.0.0.1:8080");
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                           "127.0.0.1:80x", "127.0.0:80", "localhost:80", "::1:80", ":80"}) {
    BOOST_CHECK_THROW(ParseAddress(text), AddressError);
  }
}

// Guards against a process that never ends: h2o runs the loop once more while it disposes of a
// server, which lost the request to stop.
BOOST_AUTO_TEST_CASE(stop_is_kept_when_a_server_is_destroyed) {
  Loop loop;
  auto server = std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = kAnyLoopbackPort},
                                             [](const HttpRequest&, const HttpResponderPtr&) {});
  constexpr int kMaxRounds = 1000;
  int rounds = 0;
  const Timer keeps_running = loop.Every(std::chrono::milliseconds(1), [&] {
    if (++rounds == kMaxRounds) {
      loop.Stop();
    }
  });
  loop.Post([&] {
    server.reset();
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(rounds < kMaxRounds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
