#include <boost/test/unit_test.hpp>
#include <random>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

std::string RandomBytes(std::size_t size) {
  std::mt19937_64 random(3);
  std::string bytes;
  while (bytes.size() < size) {
    bytes.push_back(static_cast<char>(random()));
  }
  return bytes;
}

Record BigRecord(std::size_t bytes) {
  return {
      .spend =
          ProgramSpend{.program = ProgramId("p"), .spent = TokenCount(3), .ceiling = TokenCount(7)},
      .turn = Turn{.id = TurnId("t"),
                   .previous_turn = TurnId("s"),
                   .input = RandomBytes(bytes),
                   .output = "o\n",
                   .recorded_at = WallTime(std::chrono::milliseconds(17)),
                   .retention = std::chrono::seconds(60)}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(record)

BOOST_AUTO_TEST_CASE(large_record_is_split_and_joined) {
  const Record written = BigRecord(10'000);
  const auto pieces = EncodeRecord(written, 1024);
  BOOST_TEST(pieces.size() > 9U);
  RecordReader reader;
  std::optional<Record> read;
  for (const std::string& piece : pieces) {
    BOOST_TEST(!read.has_value());
    BOOST_TEST(piece.size() <= 1024U);
    read = reader.AddPiece(piece);
  }
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->spend == written.spend));
  BOOST_TEST((read->turn == written.turn));
}

// Guards against reading a partial record after the store has dropped its first pieces.
BOOST_AUTO_TEST_CASE(record_without_its_start_is_rejected_and_the_next_record_read) {
  const auto pieces = EncodeRecord(BigRecord(3000), 1024);
  RecordReader reader;
  BOOST_CHECK_THROW(reader.AddPiece(pieces[1]), RecordError);
  BOOST_CHECK_THROW(reader.AddPiece(pieces[2]), RecordError);
  std::optional<Record> read;
  for (const std::string& piece : pieces) {
    read = reader.AddPiece(piece);
  }
  BOOST_TEST(read.has_value());
}

// Guards against crashes and untyped exceptions when the partition holds bytes of another writer.
BOOST_AUTO_TEST_CASE(random_bytes_throw_only_record_error) {
  std::mt19937_64 random(7);
  const std::string valid = EncodeRecord(BigRecord(100), 1024).front();
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = valid.substr(0, random() % (valid.size() + 1));
    for (std::uint64_t change = 0; !bytes.empty() && change < random() % 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    RecordReader reader;
    try {
      reader.AddPiece(bytes);
    } catch (const RecordError&) {
      continue;
    }
  }
}

BOOST_AUTO_TEST_CASE(partition_of_a_program_is_stable) {
  BOOST_TEST(PartitionOf(ProgramId("3fa81c"), 48) == PartitionOf(ProgramId("3fa81c"), 48));
  BOOST_TEST(PartitionOf(ProgramId("3fa81c"), 48).value() < 48U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ledger
