#include "src/journal/writer.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::journal {

namespace {

using std::chrono::milliseconds;

struct OneWriter {
  static WriterOptions Options() {
    WriterOptions options;
    options.appends_per_second = 10;
    options.max_queued_records = 100;
    options.max_batch_bytes = 4000;
    options.max_record_bytes = 8000;
    return options;
  }
  AppendResult Put(std::size_t size = 10) {
    return writer.Enqueue(ConfigChanged{Revision(), std::string(size, 'x'), "ann"}, Offset(5));
  }
  std::optional<Batch> Next() {
    const auto bytes = writer.NextAppend(now);
    return bytes ? std::optional(wire::Decode<Batch>(*bytes)) : std::nullopt;
  }
  Writer writer{Options(), DaemonId("d1"), Incarnation(3)};
  MonotonicTime now{std::chrono::seconds(1000)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(writer, OneWriter)

BOOST_AUTO_TEST_CASE(records_queued_during_an_append_share_the_next_one) {
  BOOST_TEST(std::get<RecordId>(Put()).sequence == 1U);
  const auto first = Next();
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first->envelopes.size() == 1U);
  BOOST_TEST(first->envelopes[0].observed.value() == 5U);
  Put();
  Put();
  BOOST_TEST(!Next().has_value());
  writer.OnAcknowledged();
  now += milliseconds(100);
  const auto second = Next();
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST(second->envelopes.size() == 2U);
  BOOST_TEST(second->envelopes[1].id.sequence == 3U);
  writer.OnAcknowledged();
  BOOST_TEST(writer.queued_records() == 0U);
  BOOST_TEST(writer.queued_bytes() == 0U);
}

// A repeat with other records could append the first ones a second time under new ids.
BOOST_AUTO_TEST_CASE(a_failed_append_is_repeated_unchanged_and_ever_more_slowly) {
  Put();
  const auto first = writer.NextAppend(now);
  Put();
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
  BOOST_TEST(Next()->envelopes[0].id.sequence == 2U);
}

// The log takes several hundred appends per second for the whole system.
BOOST_AUTO_TEST_CASE(appends_keep_to_the_rate) {
  int appends = 0;
  const MonotonicTime end = now + std::chrono::seconds(10);
  while (now < end) {
    Put();
    if (Next()) {
      ++appends;
      writer.OnAcknowledged();
    }
    now += milliseconds(1);
    while (writer.queued_records() > 50) {
      now = std::max(now, writer.NextWakeup(now).value());
      appends += Next() ? 1 : 0;
      writer.OnAcknowledged();
    }
  }
  BOOST_TEST(appends <= 102);
  BOOST_TEST(appends >= 99);
}

// During an outage the queue must not grow until the process dies.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded) {
  for (int record = 0; record < 100; ++record) {
    BOOST_TEST(std::holds_alternative<RecordId>(Put()));
  }
  BOOST_TEST(std::get<QueueFull>(Put()).queued_records == 100U);
  BOOST_TEST_REQUIRE(Next().has_value());
  writer.OnAcknowledged();
  BOOST_TEST(std::holds_alternative<RecordId>(Put()));
  BOOST_TEST(std::holds_alternative<RecordTooLarge>(Put(8000)));
  WriterOptions options = Options();
  options.max_queued_bytes = 1000;
  Writer small(options, DaemonId("d1"), Incarnation(3));
  const auto result =
      small.Enqueue(ConfigChanged{Revision(), std::string(2000, 'x'), ""}, Offset());
  BOOST_TEST(std::holds_alternative<QueueFull>(result));
}

BOOST_AUTO_TEST_CASE(batches_are_bounded_and_large_records_travel_alone) {
  Put(6000);
  Put(1900);
  Put(1900);
  Put(1900);
  std::vector<std::size_t> sizes;
  while (writer.queued_records() > 0) {
    now = writer.NextWakeup(now).value();
    sizes.push_back(Next()->envelopes.size());
    writer.OnAcknowledged();
  }
  BOOST_TEST(sizes == (std::vector<std::size_t>{1, 2, 1}));
}

// An acknowledgement can be lost after the append took effect; the fold then shows the record.
BOOST_AUTO_TEST_CASE(a_record_in_the_fold_ends_its_append) {
  Put();
  Put();
  BOOST_TEST_REQUIRE(Next().has_value());
  Put();
  BOOST_TEST(!writer.OnFolded(3));
  BOOST_TEST(writer.OnFolded(1));
  BOOST_TEST(!writer.OnFolded(2));
  BOOST_TEST(writer.queued_records() == 1U);
  BOOST_TEST(!writer.unacknowledged_since().has_value());
  now += milliseconds(100);
  BOOST_TEST_REQUIRE(Next().has_value());
  writer.OnFailed(now);
  // Between attempts there is nothing to cancel, but the repeat is not needed any more.
  BOOST_TEST(!writer.OnFolded(3));
  BOOST_TEST(writer.queued_records() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::journal
