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

/// @brief Conditions of one append to a partition of the metadata store.
struct StoreAppend {
  struct Producer {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };
  /// The partition must end here.
  std::optional<std::uint64_t> at;
  std::optional<Producer> producer;
  std::vector<std::string> records;
};

struct StoreAppended {
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
};
struct StoreNotAtEnd {
  std::uint64_t end = 0;
};
struct StoreFenced {};
struct StoreSequenceGap {
  std::uint64_t expected = 0;
};
using StoreAppendResult = std::variant<StoreAppended, StoreNotAtEnd, StoreFenced, StoreSequenceGap>;

/// @brief One partition of the metadata store: records, conditions and fencing.
class StorePartition {
 public:
  StoreAppendResult Append(const StoreAppend& append);
  void TrimBefore(std::uint64_t offset);
  std::uint64_t first() const { return first_; }
  std::uint64_t end() const { return first_ + records_.size(); }
  /// @brief The record at an offset that is kept.
  const std::string& At(std::uint64_t offset) const { return records_.at(offset - first_); }

 private:
  struct ProducerState {
    std::uint64_t epoch = 0;
    std::uint64_t next_sequence = 0;
    /// Results of the last appends by sequence.
    std::map<std::uint64_t, StoreAppended> repeats;
  };

  std::uint64_t first_ = 0;
  std::deque<std::string> records_;
  std::map<std::string, ProducerState> producers_;
};

/// @brief Topic and partition number.
using StorePartitionName = std::pair<std::string, std::uint32_t>;

/// @brief A group of the metadata store, which deals partitions to its members. A partition moves
/// once its holder has joined with the new generation, has left or has been silent.
class StoreGroup {
 public:
  struct Share {
    std::uint64_t generation = 0;
    std::vector<StorePartitionName> partitions;
  };

  Share Join(const std::string& member,
             std::uint64_t generation,
             Duration ttl,
             const std::vector<StorePartitionName>& partitions,
             MonotonicTime now);
  void Leave(const std::string& member);
  /// @brief Removes members whose time to live has passed.
  void Expire(MonotonicTime now);
  /// @brief Deals all partitions anew, each to another member where there is one.
  void ReassignPartitions();

 private:
  struct Member {
    MonotonicTime expires_at;
    std::uint64_t generation = 0;
  };
  struct Assignment {
    std::string holder;
    std::string target;
  };

  void Rebalance();
  void MoveReleased();

  std::uint64_t generation_ = 0;
  std::uint64_t rotation_ = 0;
  std::map<std::string, Member> members_;
  std::map<StorePartitionName, Assignment> assignments_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_STORE_MODEL_H_
