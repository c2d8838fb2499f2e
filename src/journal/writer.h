#ifndef ACACIASPRING_SRC_JOURNAL_WRITER_H_
#define ACACIASPRING_SRC_JOURNAL_WRITER_H_

#include <deque>
#include <optional>
#include <string>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief Limits a rate: tokens flow in evenly up to a small burst.
class TokenBucket {
 public:
  TokenBucket(double tokens_per_second, double burst);
  /// @brief Takes a token if there is one.
  bool TryTake(MonotonicTime now);
  /// @brief When the next token will be there.
  MonotonicTime NextTokenTime(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);
  double rate_;
  double burst_;
  double tokens_;
  std::optional<MonotonicTime> last_refill_;
};

/// @brief Queue of records in front of the log. One append is in flight at a time, and an append
/// that failed or got no answer is repeated with the very same bytes until it is known to be in the
/// log. No I/O: the caller sends what NextAppend returns and reports the result.
class Writer {
 public:
  Writer(WriterOptions options, DaemonId daemon, Incarnation incarnation);

  AppendResult Enqueue(Record record, Offset observed);
  /// @brief Bytes of the log entry to append now; nothing if an append is in flight, the queue is
  /// empty, or the rate or the retry delay does not allow one yet.
  std::optional<std::string> NextAppend(MonotonicTime now);
  /// @brief When NextAppend is worth calling again; nothing if only an event changes that.
  std::optional<MonotonicTime> NextWakeup(MonotonicTime now);
  /// @brief The log took the entry.
  void OnAcknowledged();
  /// @brief The append failed or timed out; whether it took effect is not known.
  void OnFailed(MonotonicTime now);
  /// @brief The fold has seen the record, which counts as an acknowledgement of its batch. Returns
  /// true if that ended the append in flight.
  bool OnRecordApplied(std::uint64_t sequence);

  bool in_flight() const { return in_flight_; }
  std::size_t queued_records() const { return queue_.size(); }
  std::size_t queued_bytes() const { return queued_bytes_; }
  /// @brief Last sequence number of the batch that is being appended; 0 if there is none.
  std::uint64_t batch_end() const;
  /// @brief Time of the first attempt of the batch that is not acknowledged yet.
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
  /// Number of records at the head of the queue that form the batch; fixed until acknowledged.
  std::size_t batch_size_ = 0;
  bool in_flight_ = false;
  Duration retry_delay_{};
  MonotonicTime retry_at_;
  std::optional<MonotonicTime> unacknowledged_since_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_WRITER_H_
