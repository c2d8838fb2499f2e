#include <bit>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

namespace {

constexpr std::size_t kWordBits = 64;

std::uint64_t BitOf(ShardId shard) {
  return std::uint64_t{1} << (shard.value() % kWordBits);
}

}  // namespace

void ShardSet::Add(ShardId shard) {
  words_.at(shard.value() / kWordBits) |= BitOf(shard);
}

void ShardSet::Remove(ShardId shard) {
  words_.at(shard.value() / kWordBits) &= ~BitOf(shard);
}

bool ShardSet::Contains(ShardId shard) const {
  return shard.value() < kShardCount && (words_[shard.value() / kWordBits] & BitOf(shard)) != 0;
}

bool ShardSet::empty() const {
  return *this == ShardSet();
}

std::size_t ShardSet::size() const {
  std::size_t count = 0;
  for (const std::uint64_t word : words_) {
    count += static_cast<std::size_t>(std::popcount(word));
  }
  return count;
}

std::vector<ShardId> ShardSet::Members() const {
  std::vector<ShardId> members;
  for (std::size_t index = 0; index < words_.size(); ++index) {
    for (std::uint64_t rest = words_[index]; rest != 0; rest &= rest - 1) {
      const auto bit = static_cast<std::size_t>(std::countr_zero(rest));
      members.emplace_back(static_cast<std::uint16_t>(index * kWordBits + bit));
    }
  }
  return members;
}

std::string_view ToString(RejectReason reason) {
  switch (reason) {
    case RejectReason::kStaleEpoch:
      return "stale_epoch";
    case RejectReason::kNotOwner:
      return "not_owner";
    case RejectReason::kUnknownProgram:
      return "unknown_program";
    case RejectReason::kProgramEnded:
      return "program_ended";
    case RejectReason::kProgramExists:
      return "program_exists";
    case RejectReason::kUnknownParent:
      return "unknown_parent";
    case RejectReason::kParentEnded:
      return "parent_ended";
    case RejectReason::kKeyExists:
      return "key_exists";
    case RejectReason::kKeyConflict:
      return "key_conflict";
    case RejectReason::kWrongTurn:
      return "wrong_turn";
    case RejectReason::kNoIntent:
      return "no_intent";
    case RejectReason::kBaseRevisionConflict:
      return "base_revision_conflict";
    case RejectReason::kBudgetExhausted:
      return "budget_exhausted";
    case RejectReason::kCallLimitReached:
      return "call_limit_reached";
    case RejectReason::kOutdated:
      return "outdated";
    case RejectReason::kUndecided:
      return "undecided";
    case RejectReason::kInvalid:
      return "invalid";
  }
  return "invalid_reason";
}

}  // namespace acaciaspring::journal
