#ifndef FAKES_LOG_STREAM_H_
#define FAKES_LOG_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "acaciaspring/base.h"

namespace acaciaspring::fakes {

struct RetentionOptions {
  /// Records older than this are dropped; 0 for no limit.
  std::chrono::milliseconds age{0};
  /// Maximum number of records; 0 for no limit.
  std::size_t count = 0;
};

/// @brief Append-only stream of records in memory. Offsets are consecutive and start at 1.
class LogStream {
 public:
  /// @brief Returns the offset of the new record.
  std::uint64_t Append(std::string_view bytes, WallTime now);
  void Trim(const RetentionOptions& retention, WallTime now);

  /// @brief Offset of the oldest retained record, or of the next append if none is retained.
  std::uint64_t first_offset() const { return first_; }
  /// @brief Offset of the next append.
  std::uint64_t end_offset() const { return first_ + records_.size(); }
  std::size_t retained() const { return records_.size(); }

  struct Batch {
    /// For each record: u64 offset, u64 append time in ms, u32 length, bytes. Integers are
    /// big-endian.
    std::string body;
    /// Offset at which the next read continues.
    std::uint64_t next = 0;
  };
  /// @brief Reads records from offset `from`, or from the oldest retained one if that is newer.
  /// Returns at least one record if there is any, and further ones while they fit into `max_bytes`.
  Batch Read(std::uint64_t from, std::size_t max_bytes) const;

 private:
  struct Record {
    WallTime time;
    std::string bytes;
  };

  std::uint64_t first_ = 1;
  std::deque<Record> records_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_LOG_STREAM_H_
