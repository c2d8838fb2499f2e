#include "fakes/fake_log.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

const std::string kRecords = "/streams/journal/records";

struct LogBench {
  explicit LogBench(const LogOptions& options = {})
      : log(loop, net::ParseAddress("127.0.0.1:0"), options), client(loop, log.address()) {}

  std::uint64_t AppendedCount() { return client.AskJson("GET", "/stats")["appends"].asUInt64(); }
  void WaitForReader() {
    while (client.AskJson("GET", "/stats")["waiting_readers"].asUInt64() == 0) {
    }
  }

  net::Loop loop;
  FakeLog log;
  TestClient client;
};

std::string Next(const net::HttpReply& reply) {
  return std::string(net::FindHeader(reply.headers, "x-next-offset"));
}

}  // namespace

BOOST_AUTO_TEST_CASE(appended_records_are_read) {
  LogBench bench;
  BOOST_TEST(bench.client.AskJson("POST", kRecords, "one")["offset"].asUInt64() == 1U);
  BOOST_TEST(bench.client.AskJson("POST", kRecords, "two")["offset"].asUInt64() == 2U);
  const net::HttpReply reply = bench.client.Ask("GET", kRecords + "?from=1&wait_ms=1000");
  BOOST_TEST(Next(reply) == "3");
  BOOST_TEST(net::FindHeader(reply.headers, "x-first-offset") == "1");
  BOOST_TEST(reply.body.size() == 46U);
  BOOST_TEST(StatusOf(bench.client.Ask("GET", "/streams/other/records?from=1")) == 200);
}

// A reader that is not woken, or not released at the end of its wait, would stall the fold of every
// daemon.
BOOST_AUTO_TEST_CASE(waiting_reader_is_answered_by_an_append_or_by_the_end_of_the_wait) {
  LogBench bench;
  const net::HttpReply empty = bench.client.Ask("GET", kRecords + "?from=1&wait_ms=20");
  BOOST_TEST(StatusOf(empty) == 200);
  BOOST_TEST(empty.body.empty());
  BOOST_TEST(Next(empty) == "1");
  std::string read;
  const auto call = bench.client.Send("GET", kRecords + "?from=1&wait_ms=60000", "",
                                      [&read](const net::HttpReply& reply) { read = reply.body; });
  bench.WaitForReader();
  bench.client.Ask("POST", kRecords, "one");
  bench.client.RunUntil([&read] { return !read.empty(); });
  BOOST_TEST(read.substr(20) == "one");
}

BOOST_AUTO_TEST_CASE(lost_answer_leaves_its_effect) {
  LogBench bench;
  bench.client.Ask("POST", "/faults", R"({"drop_answer_after_effect":1})");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "one")) == 0);
  BOOST_TEST(bench.AppendedCount() == 1U);
  BOOST_TEST(bench.client.AskJson("POST", kRecords, "two")["offset"].asUInt64() == 2U);
}

BOOST_AUTO_TEST_CASE(failure_before_the_effect_leaves_nothing) {
  LogBench bench;
  bench.client.Ask("POST", "/faults", R"({"fail_before_effect":2})");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "a")) == 503);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "b")) == 503);
  BOOST_TEST(bench.client.AskJson("POST", kRecords, "c")["offset"].asUInt64() == 1U);
}

BOOST_AUTO_TEST_CASE(outage_refuses_appends_and_waiting_readers) {
  LogBench bench;
  int status = -1;
  const auto call =
      bench.client.Send("GET", kRecords + "?from=1&wait_ms=60000", "",
                        [&status](const net::HttpReply& reply) { status = StatusOf(reply); });
  bench.WaitForReader();
  bench.client.Ask("POST", "/faults", R"({"outage":true})");
  bench.client.RunUntil([&status] { return status >= 0; });
  BOOST_TEST(status == 503);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "a")) == 503);
  bench.client.Ask("POST", "/faults", R"({"outage":false})");
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "a")) == 200);
}

// A frozen service takes effect later, as a process that was paused does.
BOOST_AUTO_TEST_CASE(frozen_append_takes_effect_afterwards) {
  LogBench bench;
  bench.client.Ask("POST", "/faults", R"({"freeze":true})");
  int status = -1;
  const auto call = bench.client.Send(
      "POST", kRecords, "a", [&status](const net::HttpReply& reply) { status = StatusOf(reply); });
  BOOST_TEST(bench.AppendedCount() == 0U);
  BOOST_TEST(status == -1);
  bench.client.Ask("POST", "/faults", R"({"freeze":false})");
  bench.client.RunUntil([&status] { return status >= 0; });
  BOOST_TEST(status == 200);
  BOOST_TEST(bench.AppendedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(appends_over_the_limit_are_refused_without_effect) {
  LogBench bench({.appends_per_second = 0.001});
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "a")) == 200);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", kRecords, "b")) == 429);
  BOOST_TEST(bench.AppendedCount() == 1U);
}

// A mistyped switch must not leave a test without its fault.
BOOST_AUTO_TEST_CASE(unknown_switches_are_refused) {
  LogBench bench;
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/faults", R"({"outrage":true})")) == 400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/faults", R"({"outage":"yes"})")) == 400);
  BOOST_TEST(StatusOf(bench.client.Ask("POST", "/faults", "{")) == 400);
}

}  // namespace acaciaspring::fakes
