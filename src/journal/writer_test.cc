#include "src/journal/writer.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::journal {

namespace {

using std::chrono::milliseconds;

struct WriterFixture {
  static WriterOptions Options() {
    WriterOptions options;
    options.appends_per_second = 10;
    options.max_queued_records = 100;
    options.max_batch_bytes = 4000;
    options.max_record_bytes = 8000;
    return options;
  }
  AppendResult Enqueue(std::size_t size = 10) {
    return writer.Enqueue(ConfigChanged{Revision(), std::string(size, 'x'), "ann"}, Offset(5));
  }
  std::optional<Batch> NextBatch() {
    const auto bytes = writer.NextAppend(now);
    return bytes ? std::optional(wire::Decode<Batch>(*bytes)) : std::nullopt;
  }
  Writer writer{Options(), DaemonId("d1"), Incarnation(3)};
  MonotonicTime now{std::chrono::seconds(1000)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(writer, WriterFixture)

BOOST_AUTO_TEST_CASE(records_queued_during_an_append_share_the_next_one) {
  BOOST_TEST(std::get<RecordId>(Enqueue()).sequence == 1U);
  const auto first = NextBatch();
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first->envelopes.size() == 1U);
  BOOST_TEST(first->envelopes[0].observed.value() == 5U);
  Enqueue();
  Enqueue();
  BOOST_TEST(!NextBatch().has_value());
  writer.OnAcknowledged();
  now += milliseconds(100);
  const auto second = NextBatch();
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST(second->envelopes.size() == 2U);
  BOOST_TEST(second->envelopes[1].id.sequence == 3U);
  writer.OnAcknowledged();
  BOOST_TEST(writer.queued_records() == 0U);
  BOOST_TEST(writer.queued_bytes() == 0U);
}

// A retry with other records in the batch could append the first ones a second time under new ids.
BOOST_AUTO_TEST_CASE(failed_append_is_retried_unchanged_with_backoff) {
  Enqueue();
  const auto first = writer.NextAppend(now);
  Enqueue();
  milliseconds last_delay{0};
  for (int attempt = 0; attempt < 8; ++attempt) {
    writer.OnFailed(now);
    const MonotonicTime failed = now;
    now = writer.NextWakeup(now).value();
    BOOST_TEST(!writer.NextAppend(now - milliseconds(1)).has_value());
    BOOST_TEST((writer.NextAppend(now) == first));
    const auto delay = std::chrono::duration_cast<milliseconds>(now - failed);
    BOOST_TEST((delay >= last_delay && delay <= milliseconds(2000)));
    last_delay = delay;
  }
  BOOST_TEST((last_delay == milliseconds(2000)));
  writer.OnAcknowledged();
  now += milliseconds(100);
  BOOST_TEST(NextBatch()->envelopes[0].id.sequence == 2U);
}

// The log accepts several hundred appends per second for the whole system.
BOOST_AUTO_TEST_CASE(appends_keep_to_the_rate) {
  int appends = 0;
  const MonotonicTime end = now + std::chrono::seconds(10);
  while (now < end) {
    Enqueue();
    if (NextBatch()) {
      ++appends;
      writer.OnAcknowledged();
    }
    now += milliseconds(1);
    while (writer.queued_records() > 50) {
      now = std::max(now, writer.NextWakeup(now).value());
      appends += NextBatch() ? 1 : 0;
      writer.OnAcknowledged();
    }
  }
  BOOST_TEST(appends <= 102);
  BOOST_TEST(appends >= 99);
}

// During an outage the queue must not grow until the process runs out of memory.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded) {
  for (int record = 0; record < 100; ++record) {
    BOOST_TEST(std::holds_alternative<RecordId>(Enqueue()));
  }
  BOOST_TEST(std::get<QueueFull>(Enqueue()).queued_records == 100U);
  BOOST_TEST_REQUIRE(NextBatch().has_value());
  writer.OnAcknowledged();
  BOOST_TEST(std::holds_alternative<RecordId>(Enqueue()));
  BOOST_TEST(std::holds_alternative<RecordTooLarge>(Enqueue(8000)));
  WriterOptions options = Options();
  options.max_queued_bytes = 1000;
  Writer small(options, DaemonId("d1"), Incarnation(3));
  const auto result =
      small.Enqueue(ConfigChanged{Revision(), std::string(2000, 'x'), ""}, Offset());
  BOOST_TEST(std::holds_alternative<QueueFull>(result));
}

BOOST_AUTO_TEST_CASE(batches_are_bounded_and_large_records_are_appended_alone) {
  Enqueue(6000);
  Enqueue(1900);
  Enqueue(1900);
  Enqueue(1900);
  std::vector<std::size_t> sizes;
  while (writer.queued_records() > 0) {
    now = writer.NextWakeup(now).value();
    sizes.push_back(NextBatch()->envelopes.size());
    writer.OnAcknowledged();
  }
  BOOST_TEST(sizes == (std::vector<std::size_t>{1, 2, 1}));
}

// An acknowledgement can be lost after the append took effect; reading the record back acknowledges
// it.
BOOST_AUTO_TEST_CASE(an_applied_record_ends_its_append) {
  Enqueue();
  Enqueue();
  BOOST_TEST_REQUIRE(NextBatch().has_value());
  Enqueue();
  BOOST_TEST(!writer.OnRecordApplied(3));
  BOOST_TEST(writer.OnRecordApplied(1));
  BOOST_TEST(!writer.OnRecordApplied(2));
  BOOST_TEST(writer.queued_records() == 1U);
  BOOST_TEST(!writer.unacknowledged_since().has_value());
  now += milliseconds(100);
  BOOST_TEST_REQUIRE(NextBatch().has_value());
  writer.OnFailed(now);
  // Between attempts no request is in flight, but the batch must not be retried.
  BOOST_TEST(!writer.OnRecordApplied(3));
  BOOST_TEST(writer.queued_records() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
