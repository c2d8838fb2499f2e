#ifndef ACACIASPRING_SRC_JOURNAL_WRITER_H_
#define ACACIASPRING_SRC_JOURNAL_WRITER_H_

#include <deque>
#include <optional>
#include <string>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief Token bucket: limits a rate and allows bursts up to `burst` tokens.
class TokenBucket {
 public:
  TokenBucket(double tokens_per_second, double burst);
  /// @brief Takes a token if one is available.
  bool TryTake(MonotonicTime now);
  /// @brief When the next token is available.
  MonotonicTime NextTokenTime(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);
  double rate_;
  double burst_;
  double tokens_;
  std::optional<MonotonicTime> last_refill_;
};

/// @brief Queue of records to append to the log. At most one append is in flight. An append that
/// failed or timed out is retried with the same bytes until the log is known to contain it. Does no
/// I/O: the caller sends what NextAppend returns and reports the result.
class Writer {
 public:
  Writer(WriterOptions options, DaemonId daemon, Incarnation incarnation);

  AppendResult Enqueue(Record record, Offset observed);
  /// @brief Bytes of the log entry to append now; nullopt if an append is in flight, the queue is
  /// empty, or the rate limit or the retry delay does not allow an append yet.
  std::optional<std::string> NextAppend(MonotonicTime now);
  /// @brief When to call NextAppend again; nullopt if it returns nothing before another record is
  /// queued or the append in flight ends.
  std::optional<MonotonicTime> NextWakeup(MonotonicTime now);
  /// @brief The log acknowledged the entry.
  void OnAcknowledged();
  /// @brief The append failed or timed out; whether the log contains the entry is not known.
  void OnFailed(MonotonicTime now);
  /// @brief The record was read back from the log, which acknowledges its batch. Returns true if
  /// this ended an append in flight.
  bool OnRecordApplied(std::uint64_t sequence);

  bool in_flight() const { return in_flight_; }
  std::size_t queued_records() const { return queue_.size(); }
  std::size_t queued_bytes() const { return queued_bytes_; }
  /// @brief Last sequence number of the batch that is being appended; 0 if there is none.
  std::uint64_t batch_end() const;
  /// @brief Time of the first attempt to append the batch that is not acknowledged yet.
  std::optional<MonotonicTime> unacknowledged_since() const { return unacknowledged_since_; }

 private:
  struct QueuedRecord {
    std::uint64_t sequence = 0;
    std::string bytes;
  };
  std::string BatchBytes() const;
  void ChooseBatch();
  void FinishBatch();

  WriterOptions options_;
  DaemonId daemon_;
  Incarnation incarnation_;
  TokenBucket bucket_;
  std::deque<QueuedRecord> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t next_sequence_ = 1;
  /// Number of records at the head of the queue that form the batch; fixed until the batch is
  /// acknowledged.
  std::size_t batch_size_ = 0;
  bool in_flight_ = false;
  Duration retry_delay_{};
  MonotonicTime retry_at_;
  std::optional<MonotonicTime> unacknowledged_since_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_WRITER_H_
