#include "fakes/log_stream.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::fakes {

namespace {

using std::chrono::milliseconds;

WallTime At(int ms) {
  return WallTime(milliseconds(ms));
}

}  // namespace

// Guards against offsets that are reused after all records have expired, which would invalidate the
// positions of all readers.
BOOST_AUTO_TEST_CASE(offsets_continue_after_everything_expired) {
  LogStream stream;
  BOOST_TEST(stream.first_offset() == 1U);
  BOOST_TEST(stream.end_offset() == 1U);
  BOOST_TEST(stream.Append("a", At(0)) == 1U);
  BOOST_TEST(stream.Append("b", At(10)) == 2U);
  stream.Trim({.age = milliseconds(100)}, At(1000));
  BOOST_TEST(stream.retained() == 0U);
  BOOST_TEST(stream.first_offset() == 3U);
  BOOST_TEST(stream.Append("c", At(1000)) == 3U);
}

BOOST_AUTO_TEST_CASE(retention_drops_by_age_and_by_count) {
  LogStream stream;
  for (int index = 0; index < 10; ++index) {
    stream.Append("x", At(index * 10));
  }
  stream.Trim({.age = milliseconds(70)}, At(100));
  BOOST_TEST(stream.first_offset() == 4U);  // The record of 30 ms is exactly 70 ms old.
  stream.Trim({.count = 2}, At(100));
  BOOST_TEST(stream.first_offset() == 9U);
  stream.Trim({}, At(100000));
  BOOST_TEST(stream.retained() == 2U);
}

// Guards against records that a reader misses or gets twice between two batches.
BOOST_AUTO_TEST_CASE(consecutive_batches_have_no_gap_or_overlap) {
  LogStream stream;
  stream.Append("first", At(5));
  stream.Append("second", At(4));
  stream.Append(std::string(1000, 'z'), At(6));
  const LogStream::Batch one = stream.Read(1, 25);
  BOOST_TEST(one.next == 2U);
  const std::string expected("\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\5\0\0\0\5first", 25);
  BOOST_TEST((one.body == expected));
  const LogStream::Batch two = stream.Read(one.next, 25);
  BOOST_TEST(two.next == 3U);
  BOOST_TEST(two.body.substr(20) == "second");
  BOOST_TEST(static_cast<int>(two.body[15]) == 5);  // The clock went back; the append time did not.
  BOOST_TEST(stream.Read(two.next, 25).body.size() == 1020U);
  BOOST_TEST(stream.Read(4, 25).body.empty());
  BOOST_TEST(stream.Read(4, 25).next == 4U);
}

BOOST_AUTO_TEST_CASE(read_below_retention_starts_at_the_oldest_record) {
  LogStream stream;
  for (int index = 0; index < 5; ++index) {
    stream.Append("x", At(index));
  }
  stream.Trim({.count = 2}, At(5));
  const LogStream::Batch batch = stream.Read(1, 10000);
  BOOST_TEST(static_cast<int>(batch.body[7]) == 4);
  BOOST_TEST(batch.next == 6U);
}

}  // namespace acaciaspring::fakes
