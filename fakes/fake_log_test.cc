#include "fakes/fake_log.h"

#include <boost/test/unit_test.hpp>

#include "fakes/test_client.h"

namespace acaciaspring::fakes {

namespace {

const std::string kRecordsPath = "/streams/journal/records";

struct LogFixture {
  explicit LogFixture(const LogOptions& options = {})
      : log(loop, net::ParseAddress("127.0.0.1:0"), options), client(loop, log.address()) {}

  std::uint64_t AppendedCount() { return client.FetchJson("GET", "/stats")["appends"].asUInt64(); }
  void WaitForReader() {
    while (client.FetchJson("GET", "/stats")["waiting_readers"].asUInt64() == 0) {
    }
  }

  net::Loop loop;
  FakeLog log;
  TestClient client;
};

std::string NextOffset(const net::HttpReply& reply) {
  return std::string(net::FindHeader(reply.headers, "x-next-offset"));
}

}  // namespace

BOOST_AUTO_TEST_CASE(appended_records_are_read) {
  LogFixture fixture;
  BOOST_TEST(fixture.client.FetchJson("POST", kRecordsPath, "one")["offset"].asUInt64() == 1U);
  BOOST_TEST(fixture.client.FetchJson("POST", kRecordsPath, "two")["offset"].asUInt64() == 2U);
  const net::HttpReply reply = fixture.client.Fetch("GET", kRecordsPath + "?from=1&wait_ms=1000");
  BOOST_TEST(NextOffset(reply) == "3");
  BOOST_TEST(net::FindHeader(reply.headers, "x-first-offset") == "1");
  BOOST_TEST(reply.body.size() == 46U);
  BOOST_TEST(StatusOf(fixture.client.Fetch("GET", "/streams/other/records?from=1")) == 200);
}

// Guards against a reader that gets no response after an append or at the end of its wait: every
// daemon would stop applying records.
BOOST_AUTO_TEST_CASE(waiting_reader_is_answered_by_an_append_or_by_the_end_of_the_wait) {
  LogFixture fixture;
  const net::HttpReply empty = fixture.client.Fetch("GET", kRecordsPath + "?from=1&wait_ms=20");
  BOOST_TEST(StatusOf(empty) == 200);
  BOOST_TEST(empty.body.empty());
  BOOST_TEST(NextOffset(empty) == "1");
  std::string read;
  const auto call =
      fixture.client.Send("GET", kRecordsPath + "?from=1&wait_ms=60000", "",
                          [&read](const net::HttpReply& reply) { read = reply.body; });
  fixture.WaitForReader();
  fixture.client.Fetch("POST", kRecordsPath, "one");
  fixture.client.RunUntil([&read] { return !read.empty(); });
  BOOST_TEST(read.substr(20) == "one");
}

BOOST_AUTO_TEST_CASE(append_takes_effect_when_its_response_is_lost) {
  LogFixture fixture;
  fixture.client.Fetch("POST", "/faults", R"({"drop_answer_after_effect":1})");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "one")) == 0);
  BOOST_TEST(fixture.AppendedCount() == 1U);
  BOOST_TEST(fixture.client.FetchJson("POST", kRecordsPath, "two")["offset"].asUInt64() == 2U);
}

BOOST_AUTO_TEST_CASE(failed_append_stores_no_record) {
  LogFixture fixture;
  fixture.client.Fetch("POST", "/faults", R"({"fail_before_effect":2})");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "a")) == 503);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "b")) == 503);
  BOOST_TEST(fixture.client.FetchJson("POST", kRecordsPath, "c")["offset"].asUInt64() == 1U);
}

BOOST_AUTO_TEST_CASE(outage_refuses_appends_and_waiting_readers) {
  LogFixture fixture;
  int status = -1;
  const auto call =
      fixture.client.Send("GET", kRecordsPath + "?from=1&wait_ms=60000", "",
                          [&status](const net::HttpReply& reply) { status = StatusOf(reply); });
  fixture.WaitForReader();
  fixture.client.Fetch("POST", "/faults", R"({"outage":true})");
  fixture.client.RunUntil([&status] { return status >= 0; });
  BOOST_TEST(status == 503);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "a")) == 503);
  fixture.client.Fetch("POST", "/faults", R"({"outage":false})");
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "a")) == 200);
}

// Guards against appends that are lost while the fake is frozen: as with a paused process, they
// take effect when it resumes.
BOOST_AUTO_TEST_CASE(frozen_append_takes_effect_afterwards) {
  LogFixture fixture;
  fixture.client.Fetch("POST", "/faults", R"({"freeze":true})");
  int status = -1;
  const auto call =
      fixture.client.Send("POST", kRecordsPath, "a",
                          [&status](const net::HttpReply& reply) { status = StatusOf(reply); });
  BOOST_TEST(fixture.AppendedCount() == 0U);
  BOOST_TEST(status == -1);
  fixture.client.Fetch("POST", "/faults", R"({"freeze":false})");
  fixture.client.RunUntil([&status] { return status >= 0; });
  BOOST_TEST(status == 200);
  BOOST_TEST(fixture.AppendedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(appends_over_the_limit_are_refused_without_effect) {
  LogFixture fixture({.appends_per_second = 0.001});
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "a")) == 200);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", kRecordsPath, "b")) == 429);
  BOOST_TEST(fixture.AppendedCount() == 1U);
}

// Guards against tests that run without their fault because the name or value of a switch is wrong.
BOOST_AUTO_TEST_CASE(unknown_or_invalid_fault_switches_are_refused) {
  LogFixture fixture;
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/faults", R"({"outrage":true})")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/faults", R"({"outage":"yes"})")) == 400);
  BOOST_TEST(StatusOf(fixture.client.Fetch("POST", "/faults", "{")) == 400);
}

}  // namespace acaciaspring::fakes
