#ifndef FAKES_STORE_MODEL_H_
#define FAKES_STORE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::fakes {

/// @brief An append to a partition of the metadata store and its conditions.
struct StoreAppend {
  struct Producer {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };
  /// Required end offset of the partition before the append.
  std::optional<std::uint64_t> at;
  std::optional<Producer> producer;
  std::vector<std::string> records;
};

/// @brief The records were appended at `offset`; `end` is the end offset after the append.
struct StoreAppended {
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
};
/// @brief The partition ends at `end` and not at StoreAppend::at.
struct StoreNotAtEnd {
  std::uint64_t end = 0;
};
/// @brief The partition has seen a higher epoch of the producer.
struct StoreFenced {};
/// @brief The sequence number is neither the next one nor that of a recent append.
struct StoreSequenceGap {
  std::uint64_t expected = 0;
};
using StoreAppendResult = std::variant<StoreAppended, StoreNotAtEnd, StoreFenced, StoreSequenceGap>;

/// @brief One partition of the metadata store: an append-only log with conditional appends,
/// producer fencing and deduplication by sequence number.
class StorePartition {
 public:
  StoreAppendResult Append(const StoreAppend& append);
  void TrimBefore(std::uint64_t offset);
  std::uint64_t first() const { return first_; }
  std::uint64_t end() const { return first_ + records_.size(); }
  /// @brief The record at `offset`, which must not have been trimmed.
  const std::string& At(std::uint64_t offset) const { return records_.at(offset - first_); }

 private:
  struct ProducerState {
    std::uint64_t epoch = 0;
    std::uint64_t next_sequence = 0;
    /// Results of the most recent appends by sequence number.
    std::map<std::uint64_t, StoreAppended> recent_results;
  };

  std::uint64_t first_ = 0;
  std::deque<std::string> records_;
  std::map<std::string, ProducerState> producers_;
};

/// @brief Topic and partition number.
using StorePartitionId = std::pair<std::string, std::uint32_t>;

/// @brief A consumer group of the metadata store, which assigns partitions to its members. A
/// partition moves to its new owner once the old one has joined with the new generation, has left
/// or has expired.
class StoreGroup {
 public:
  struct JoinResult {
    std::uint64_t generation = 0;
    std::vector<StorePartitionId> partitions;
  };

  /// @brief Adds the member or extends its membership by `ttl`. `generation` is the last one that
  /// the member has seen. Returns the current generation and the partitions that the member owns.
  JoinResult Join(const std::string& member,
                  std::uint64_t generation,
                  Duration ttl,
                  const std::vector<StorePartitionId>& partitions,
                  MonotonicTime now);
  void Leave(const std::string& member);
  /// @brief Removes members that have not joined within their time to live.
  void Expire(MonotonicTime now);
  /// @brief Reassigns every partition to another member if there is more than one.
  void ReassignPartitions();

 private:
  struct Member {
    MonotonicTime expires_at;
    std::uint64_t generation = 0;
  };
  struct Assignment {
    std::string owner;
    /// Member to which the partition is assigned; differs from `owner` while the partition moves.
    std::string target;
  };

  void Rebalance();
  void MoveReleasedPartitions();

  std::uint64_t generation_ = 0;
  /// Number of ReassignPartitions calls; shifts the assignment of partitions to members.
  std::uint64_t rotation_ = 0;
  std::map<std::string, Member> members_;
  std::map<StorePartitionId, Assignment> assignments_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_STORE_MODEL_H_
