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
  /// Number of records kept; 0 for no limit.
  std::size_t count = 0;
};

/// @brief One append-only stream in memory. Offsets are consecutive and start at 1.
class LogStream {
 public:
  /// @brief Returns the offset of the new record.
  std::uint64_t Append(std::string_view bytes, WallTime now);
  void Trim(const RetentionOptions& retention, WallTime now);

  /// @brief Oldest retained offset, or the next one when nothing is retained.
  std::uint64_t first_offset() const { return first_; }
  /// @brief Offset of the next append.
  std::uint64_t end_offset() const { return first_ + records_.size(); }
  std::size_t retained() const { return records_.size(); }

  struct Batch {
    /// Repeated (u64 offset, u64 append time in ms, u32 length, bytes), big-endian.
    std::string body;
    /// Where the next read continues.
    std::uint64_t next = 0;
  };
  /// @brief Records from `from` or the oldest retained one; at least one record if there is any,
  /// then as many as fit in `max_bytes`.
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
