#include <boost/test/unit_test.hpp>

#include "src/journal/log_client.h"
#include "src/journal/test_log.h"
#include "src/journal/test_log_server.h"

namespace acaciaspring::journal {

namespace {

using std::chrono::milliseconds;

struct JournalFixture {
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

  /// If the condition never holds, the test ends with ctest's timeout.
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

BOOST_FIXTURE_TEST_SUITE(journal, JournalFixture)

BOOST_AUTO_TEST_CASE(two_daemons_apply_the_same_log) {
  Journal journal_d1(loop, client, Options("d1"));
  Journal journal_d2(loop, client, Options("d2"));
  std::vector<std::string> applied;
  journal_d2.OnApplied([&](const Envelope& envelope, Offset offset, const Verdict& verdict) {
    applied.push_back(envelope.id.daemon.value() + std::to_string(offset.value()) +
                      (IsAccepted(verdict) ? "+" : "-"));
  });
  journal_d1.Start();
  journal_d2.Start();
  RunUntil([&] { return journal_d1.caught_up() && journal_d2.caught_up(); });
  BOOST_TEST(journal_d1.available());
  BOOST_TEST(IsAccepted(Apply(journal_d1, Change("one"))));
  BOOST_TEST(IsRejected(Apply(journal_d2, Change("two")), RejectReason::kBaseRevisionConflict));
  RunUntil(
      [&] { return journal_d1.state().applied_offset() == journal_d2.state().applied_offset(); });
  BOOST_TEST(journal_d1.state().Encode() == journal_d2.state().Encode());
  BOOST_TEST(applied == (std::vector<std::string>{"d11+", "d22-"}));
}

BOOST_AUTO_TEST_CASE(records_of_one_loop_iteration_share_an_append) {
  Journal journal_d1(loop, client, Options("d1"));
  int done = 0;
  for (int record = 0; record < 20; ++record) {
    journal_d1.Append(Change("c"), [&](const Verdict&) { ++done; });
  }
  journal_d1.Start();
  RunUntil([&] { return done == 20; });
  BOOST_TEST(server.entries.size() == 1U);
  BOOST_TEST(journal_d1.pending_records() == 0U);
}

// An append whose acknowledgement is lost is retried; the second copy must have no effect.
BOOST_AUTO_TEST_CASE(lost_acknowledgements_lead_to_skipped_duplicates) {
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  RunUntil([&] { return journal_d1.caught_up(); });
  server.lose_acknowledgements = true;
  server.hold_reads = true;
  std::vector<Verdict> verdicts;
  journal_d1.Append(Change("one"), [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return server.appends >= 3; });
  server.lose_acknowledgements = false;
  server.hold_reads = false;
  server.AnswerWaitingReads();
  RunUntil([&] { return journal_d1.state().counters().duplicates >= 2; });
  BOOST_TEST_REQUIRE(verdicts.size() == 1U);
  BOOST_TEST(IsAccepted(verdicts.front()));
  BOOST_TEST(journal_d1.counters().append_retries >= 2U);
  BOOST_TEST(server.entries[0] == server.entries[1]);
  BOOST_TEST(IsAccepted(Apply(journal_d1, Change("two", journal_d1.state().revision()))));
}

// Once the record has been read back from the log, the writer must not wait for the
// acknowledgement.
BOOST_AUTO_TEST_CASE(an_applied_record_replaces_a_lost_acknowledgement) {
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  server.lose_acknowledgements = true;
  BOOST_TEST(IsAccepted(Apply(journal_d1, Change("one"))));
  BOOST_TEST(IsAccepted(Apply(journal_d1, Change("two", journal_d1.state().revision()))));
  BOOST_TEST(server.entries.size() == 2U);
}

// During an outage the log must count as unavailable, a full queue must refuse records, and queued
// records must not be lost.
BOOST_AUTO_TEST_CASE(outage_makes_the_log_unavailable_and_loses_no_queued_record) {
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  RunUntil([&] { return journal_d1.available(); });
  server.outage = true;
  server.AnswerWaitingReads();
  std::vector<Verdict> verdicts;
  journal_d1.Append(Change("one"), [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return !journal_d1.available(); });
  for (int record = 1; record < 50; ++record) {
    journal_d1.Append(Change("one"), [](const Verdict&) {});
  }
  BOOST_TEST(std::holds_alternative<QueueFull>(journal_d1.Append(Change("one"), {})));
  BOOST_TEST(verdicts.empty());
  server.outage = false;
  RunUntil([&] { return verdicts.size() == 1U && journal_d1.available(); });
  BOOST_TEST(IsAccepted(verdicts.front()));
}

// A log that accepts appends but does not answer reads must count as unavailable.
BOOST_AUTO_TEST_CASE(unanswered_reads_make_the_log_unavailable) {
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  RunUntil([&] { return journal_d1.available(); });
  server.hold_reads = true;
  RunUntil([&] { return !journal_d1.available(); });
  server.hold_reads = false;
  server.AnswerWaitingReads();
  RunUntil([&] { return journal_d1.available(); });
}

// Entries that are trimmed before they are read leave a gap, so the state must be rebuilt.
BOOST_AUTO_TEST_CASE(state_is_rebuilt_if_unread_entries_were_trimmed) {
  Journal journal_d1(loop, client, Options("d1"));
  int rebuilt = 0;
  journal_d1.OnRebuilt([&] { ++rebuilt; });
  journal_d1.Start();
  BOOST_TEST(IsAccepted(Apply(journal_d1, Change("one"))));
  server.hold_reads = true;
  std::vector<Verdict> verdicts;
  journal_d1.Append(Change("two", journal_d1.state().revision()),
                    [&](const Verdict& verdict) { verdicts.push_back(verdict); });
  RunUntil([&] { return server.appends == 2; });
  for (int entry = 0; entry < 3; ++entry) {
    server.entries.push_back(wire::Encode(
        Batch{{Envelope{{DaemonId("d2"), Incarnation(1), static_cast<std::uint64_t>(entry + 1)},
                        Offset(2),
                        ConfigCheckpoint{Revision(2), "two"}}}}));
  }
  server.Trim(4);
  server.hold_reads = false;
  server.AnswerWaitingReads();
  RunUntil([&] { return rebuilt == 1 && journal_d1.caught_up() && verdicts.size() == 1U; });
  BOOST_TEST(journal_d1.state().first_offset().value() >= 4U);
  BOOST_TEST(journal_d1.counters().rebuilds == 1U);
  BOOST_TEST(IsRejected(verdicts.front(), RejectReason::kUndecided));
  BOOST_TEST(journal_d1.pending_records() == 0U);
}

BOOST_AUTO_TEST_CASE(starting_with_a_trimmed_log_is_not_a_rebuild) {
  server.entries.assign(5, "garbage");
  server.Trim(3);
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  RunUntil([&] { return journal_d1.caught_up(); });
  BOOST_TEST(journal_d1.state().applied_offset().value() == 5U);
  BOOST_TEST(journal_d1.state().counters().malformed_entries == 3U);
  BOOST_TEST(journal_d1.counters().rebuilds == 0U);
}

BOOST_AUTO_TEST_CASE(programs_with_queued_records_are_pending) {
  Journal journal_d1(loop, client, Options("d1"));
  journal_d1.Start();
  bool done = false;
  const ProgramId program = IdOf("p");
  journal_d1.Append(SpendAuthorised{program, Epoch(1), TokenCount(1)},
                    [&](const Verdict&) { done = true; });
  BOOST_TEST(journal_d1.IsPending(program));
  RunUntil([&] { return done; });
  BOOST_TEST(!journal_d1.IsPending(program));
}

// No callback may run after a journal was destroyed with requests in flight.
BOOST_AUTO_TEST_CASE(destruction_cancels_requests_in_flight) {
  server.lose_acknowledgements = true;
  server.hold_reads = true;
  {
    Journal journal_d1(loop, client, Options("d1"));
    journal_d1.Start();
    journal_d1.Append(Change("one"), [](const Verdict&) {
      BOOST_ERROR("callback after the journal was destroyed");
    });
    RunUntil([&] { return server.appends == 1; });
  }
  server.hold_reads = false;
  server.AnswerWaitingReads();
  bool later = false;
  const net::Timer timer = loop.After(milliseconds(150), [&] { later = true; });
  RunUntil([&] { return later; });
}

// A truncated response must not be applied in part.
BOOST_AUTO_TEST_CASE(malformed_read_responses_are_rejected) {
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
