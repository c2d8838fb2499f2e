#include "acaciaspring/ledger.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::ledger {

namespace {

/// @brief Header in front of the bytes of each piece.
struct PieceHeader {
  std::uint32_t index = 0;
  std::uint32_t count = 1;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, count);
  }
};

constexpr std::size_t kPieceHeaderBytes = 2 * sizeof(std::uint32_t);

struct EncodedRecord {
  std::vector<ProgramSpend> spends;
  std::vector<Turn> turns;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(spends, turns);
  }
};

}  // namespace

std::vector<std::string> EncodeRecord(const Record& record, std::size_t max_piece_bytes) {
  EncodedRecord encoded;
  if (record.spend) {
    encoded.spends.push_back(*record.spend);
  }
  if (record.turn) {
    encoded.turns.push_back(*record.turn);
  }
  const std::string bytes = wire::Encode(encoded);
  const std::size_t room = max_piece_bytes - kPieceHeaderBytes;
  const auto count = static_cast<std::uint32_t>((bytes.size() + room - 1) / room);
  std::vector<std::string> pieces;
  for (std::uint32_t index = 0; index < count; ++index) {
    pieces.push_back(wire::Encode(PieceHeader{.index = index, .count = count}) +
                     bytes.substr(index * room, room));
  }
  return pieces;
}

std::optional<Record> RecordReader::AddPiece(std::string_view piece) {
  if (piece.size() < kPieceHeaderBytes) {
    throw RecordError("ledger record piece too short: " + std::to_string(piece.size()) + " bytes");
  }
  try {
    const auto header = wire::Decode<PieceHeader>(piece.substr(0, kPieceHeaderBytes));
    if (header.index == 0) {
      joined_.clear();
      next_piece_ = 0;
    }
    if (header.index != next_piece_ || header.index >= header.count) {
      throw RecordError("ledger record piece out of order: got index " +
                        std::to_string(header.index) + " of " + std::to_string(header.count) +
                        " where index " + std::to_string(next_piece_) + " was expected");
    }
    joined_.append(piece.substr(kPieceHeaderBytes));
    ++next_piece_;
    if (next_piece_ < header.count) {
      return std::nullopt;
    }
    next_piece_ = 0;
    last_piece_count_ = header.count;
    auto encoded = wire::Decode<EncodedRecord>(joined_);
    joined_.clear();
    Record record;
    if (!encoded.spends.empty()) {
      record.spend = std::move(encoded.spends.front());
    }
    if (!encoded.turns.empty()) {
      record.turn = std::move(encoded.turns.front());
    }
    return record;
  } catch (const wire::DecodeError& error) {
    throw RecordError(std::string("invalid ledger record: ") + error.what());
  }
}

PartitionId PartitionOf(const ProgramId& program, std::uint32_t count) {
  return PartitionId(static_cast<std::uint32_t>(Hash64(program.value()) % count));
}

}  // namespace acaciaspring::ledger
