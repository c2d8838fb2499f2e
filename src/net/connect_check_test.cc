#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "src/net/test_support.h"

namespace acaciaspring::net {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(30);

ConnectResult Check(Loop& loop, const Address& address) {
  std::optional<ConnectResult> result;
  const ConnectCheck check(loop, address, kTimeout,
                           [&](ConnectResult received) { result = received; });
  RunUntil(loop, [&] { return result.has_value(); });
  return *result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(connect_check)

// Guards against a process that has ended and counts as running, or the other way round.
BOOST_AUTO_TEST_CASE(listening_process_is_told_from_an_ended_one) {
  Loop loop;
  auto server = std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = kAnyLoopbackPort},
                                             [](const HttpRequest&, const HttpResponderPtr&) {});
  const Address address = server->address();
  BOOST_TEST((Check(loop, address) == ConnectResult::kAccepted));
  server.reset();
  BOOST_TEST((Check(loop, address) == ConnectResult::kRefused));
}

// Guards against a callback after the owner of the check has gone.
BOOST_AUTO_TEST_CASE(deleted_check_calls_nobody) {
  Loop loop;
  bool called = false;
  {
    const ConnectCheck check(loop, {.ip = "127.0.0.1", .port = 1}, kTimeout,
                             [&](ConnectResult) { called = true; });
  }
  RunUntil(loop, [turns = 0]() mutable { return ++turns > 10; });
  BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
