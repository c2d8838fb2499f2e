#include <boost/test/unit_test.hpp>

#include "src/journal/log_client.h"
#include "src/journal/test_log.h"
#include "src/journal/test_log_server.h"

namespace acaciaspring::journal {

namespace {

using std::chrono::milliseconds;

struct OneLog {
  JournalOptions Options(const std::string& daemon) const {
    JournalOptions options;
    options.log = server.address();
    options.daemon = DaemonId(daemon);
    options.incarnation = Incarnation(1);
    options.writer.appends_per_second = 1000;
    options.writer.append_timeout = milliseconds(100);
    options.writer.max_queued_records = 50;
    options.log_unavailable_after = milliseconds(300);
    options.poll_wait = milliseconds(100);
    return options;
  }

  /// ctest's timeout ends a test that waits in vain.
  void RunUntil(const std::function<bool()>& condition) {
    const net::Timer poll = loop.Every(milliseconds(1), [&] {
      if (condition()) {
        loop.Stop();
      }
    });
    while (!condition()) {
      loop.Run();
    }
  }

  static Record Change(const std::string& document, Revision base = Revision()) {
    return ConfigChanged{base, document, "ann"};
  }

  /// Appends and waits for the verdict.
  Verdict Apply(Journal& journal, Record record) {
    std::vector<Verdict> verdicts;
    const auto result = journal.Append(
        std::move(record), [&](const Verdict& verdict) { verdicts.push_back(verdict); });
    BOOST_TEST_REQUIRE(std::holds_alternative<RecordId>(result));
    RunUntil([&] { return !verdicts.empty(); });
    BOOST_TEST_REQUIRE(verdicts.size() == 1U);
    return verdicts.front();
  }

  net::Loop loop;
  TestLogServer server{loop};
  net::HttpClient client{loop, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(journal, OneLog)

BOOST_AUTO_TEST_CASE(two_daemons_fold_the_same_log) {
  Journal one(loop, client, Options("d1"));
  Journal two(loop, client, Options("d2"));
  std::vector<std::string> seen;
  two.OnApplied([&](const Envelope& envelope, Offset offset, const Verdict& verdict) {
    seen.push_back(envelope.id.daemon.value() + std::to_string(offset.value()) +
                   (IsAccepted(verdict) ? "+" : "-"));
  });
  one.Start();
  two.Start();
  RunUntil([&] { return one.caught_up() && two.caught_up(); });
  BOOST_TEST(one.available());
  BOOST_TEST(IsAccepted(Apply(one, Change("one"))));
  BOOST_TEST(IsRejected(Apply(two, Change("two")), RejectReason::kBaseRevisionConflict));
  RunUntil([&] { return one.state().applied_offset() == two.state().applied_offset(); });
  BOOST_TEST(one.state().Encode() == two.state().Encode());
  BOOST_TEST(seen == (std::vector<std::string>{"d11+", "d22-"}));
}

BOOST_AUTO_TEST_CASE(records_of_one_moment_share_an_append) {
  Journal one(loop, client, Options("d1"));
  int done = 0;
  for (int record = 0; record < 20; ++record) {
    one.Append(Change("c"), [&](const Verdict&) { ++done; });
  }
  one.Start();
  RunUntil([&] { return done == 20; });
  BOOST_TEST(server.entries.size() == 1U);
  BOOST_TEST(one.pending_records() == 0U);
}

// An append whose acknowledgement is lost is repeated; the second copy must have no effect.
BOOST_AUTO_TEST_CASE(lost_acknowledgements_lead_to_skipped_duplicates) {
  Journal one(loop, client, Options("d1"));
  one.Start();
  RunUntil([&] { return one.caught_up(); });
  server.lose_acknowledgements = true;
  server.hold_reads = true;
  std::vector<Verdict> verdicts;
  one.Append(Change("one"), [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return server.appends >= 3; });
  server.lose_acknowledgements = false;
  server.hold_reads = false;
  server.Wake();
  RunUntil([&] { return one.state().counters().duplicates >= 2; });
  BOOST_TEST_REQUIRE(verdicts.size() == 1U);
  BOOST_TEST(IsAccepted(verdicts.front()));
  BOOST_TEST(one.counters().append_retries >= 2U);
  BOOST_TEST(server.entries[0] == server.entries[1]);
  BOOST_TEST(IsAccepted(Apply(one, Change("two", one.state().revision()))));
}

// The fold shows that the record is in the log, so waiting for the acknowledgement is needless.
BOOST_AUTO_TEST_CASE(the_fold_replaces_a_lost_acknowledgement) {
  Journal one(loop, client, Options("d1"));
  one.Start();
  server.lose_acknowledgements = true;
  BOOST_TEST(IsAccepted(Apply(one, Change("one"))));
  BOOST_TEST(IsAccepted(Apply(one, Change("two", one.state().revision()))));
  BOOST_TEST(server.entries.size() == 2U);
}

// During an outage callers must be refused, and what is queued must not be lost.
BOOST_AUTO_TEST_CASE(an_outage_is_noticed_and_survived) {
  Journal one(loop, client, Options("d1"));
  one.Start();
  RunUntil([&] { return one.available(); });
  server.outage = true;
  server.Wake();
  std::vector<Verdict> verdicts;
  one.Append(Change("one"), [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return !one.available(); });
  for (int record = 1; record < 50; ++record) {
    one.Append(Change("one"), [](const Verdict&) {});
  }
  BOOST_TEST(std::holds_alternative<QueueFull>(one.Append(Change("one"), {})));
  BOOST_TEST(verdicts.empty());
  server.outage = false;
  RunUntil([&] { return verdicts.size() == 1U && one.available(); });
  BOOST_TEST(IsAccepted(verdicts.front()));
}

// A log that takes appends but delivers nothing must not look healthy.
BOOST_AUTO_TEST_CASE(silence_makes_the_log_unavailable) {
  Journal one(loop, client, Options("d1"));
  one.Start();
  RunUntil([&] { return one.available(); });
  server.hold_reads = true;
  RunUntil([&] { return !one.available(); });
  server.hold_reads = false;
  server.Wake();
  RunUntil([&] { return one.available(); });
}

// Entries that were dropped before they were read leave a gap that no later entry can fill.
BOOST_AUTO_TEST_CASE(falling_behind_retention_rebuilds_the_state) {
  Journal one(loop, client, Options("d1"));
  int rebuilt = 0;
  one.OnRebuilt([&] { ++rebuilt; });
  one.Start();
  BOOST_TEST(IsAccepted(Apply(one, Change("one"))));
  server.hold_reads = true;
  std::vector<Verdict> verdicts;
  one.Append(Change("two", one.state().revision()),
             [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return server.appends == 2; });
  for (int entry = 0; entry < 3; ++entry) {
    server.entries.push_back(wire::Encode(
        Batch{{Envelope{{DaemonId("d2"), Incarnation(1), static_cast<std::uint64_t>(entry + 1)},
                        Offset(2),
                        ConfigCheckpoint{Revision(2), "two"}}}}));
  }
  server.Cut(4);
  server.hold_reads = false;
  server.Wake();
  RunUntil([&] { return rebuilt == 1 && one.caught_up() && verdicts.size() == 1U; });
  BOOST_TEST(one.state().first_offset().value() >= 4U);
  BOOST_TEST(one.counters().rebuilds == 1U);
  BOOST_TEST(IsRejected(verdicts.front(), RejectReason::kUndecided));
  BOOST_TEST(one.pending_records() == 0U);
}

BOOST_AUTO_TEST_CASE(starting_at_a_cut_log_is_not_a_rebuild) {
  server.entries.assign(5, "garbage");
  server.Cut(3);
  Journal one(loop, client, Options("d1"));
  one.Start();
  RunUntil([&] { return one.caught_up(); });
  BOOST_TEST(one.state().applied_offset().value() == 5U);
  BOOST_TEST(one.state().counters().malformed_entries == 3U);
  BOOST_TEST(one.counters().rebuilds == 0U);
}

BOOST_AUTO_TEST_CASE(programs_with_queued_records_are_pending) {
  Journal one(loop, client, Options("d1"));
  one.Start();
  bool done = false;
  const ProgramId program = IdOf("p");
  one.Append(SpendAuthorised{program, Epoch(1), TokenCount(1)},
             [&](const Verdict&) { done = true; });
  BOOST_TEST(one.IsPending(program));
  RunUntil([&] { return done; });
  BOOST_TEST(!one.IsPending(program));
}

// A journal that is destroyed in the middle of exchanges must leave no callback behind.
BOOST_AUTO_TEST_CASE(destruction_ends_open_exchanges) {
  server.lose_acknowledgements = true;
  server.hold_reads = true;
  {
    Journal one(loop, client, Options("d1"));
    one.Start();
    one.Append(Change("one"), [](const Verdict&) { BOOST_ERROR("called after the end"); });
    RunUntil([&] { return server.appends == 1; });
  }
  server.hold_reads = false;
  server.Wake();
  bool later = false;
  const net::Timer timer = loop.After(milliseconds(150), [&] { later = true; });
  RunUntil([&] { return later; });
}

// An answer that is cut off must not be folded up to a wrong entry.
BOOST_AUTO_TEST_CASE(malformed_answers_are_refused) {
  const std::string entry("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\1\0\0\0\2ab", 22);
  const std::string body = entry + entry;
  const auto entries = ParseEntries(body);
  BOOST_TEST_REQUIRE(entries.has_value());
  BOOST_TEST(entries->size() == 2U);
  BOOST_TEST((*entries)[1].offset.value() == 7U);
  BOOST_TEST((*entries)[1].bytes == "ab");
  for (std::size_t size = 1; size < entry.size(); ++size) {
    BOOST_TEST(!ParseEntries(entry.substr(0, size)).has_value());
  }
  BOOST_TEST(ParseEntries("")->empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
