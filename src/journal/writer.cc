#include "src/journal/writer.h"

#include <algorithm>

namespace acaciaspring::journal {

namespace {

/// Burst size in seconds of the append rate: unused appends accumulate for at most this long.
constexpr double kBurstSeconds = 0.1;

}  // namespace

Writer::Writer(WriterOptions options, DaemonId daemon, Incarnation incarnation)
    : options_(options),
      daemon_(std::move(daemon)),
      incarnation_(incarnation),
      bucket_(options.appends_per_second, options.appends_per_second * kBurstSeconds) {}

AppendResult Writer::Enqueue(Record record, Offset observed) {
  const RecordId id{daemon_, incarnation_, next_sequence_};
  std::string bytes = wire::Encode(Envelope{id, observed, std::move(record)});
  if (bytes.size() > options_.max_record_bytes) {
    return RecordTooLarge{bytes.size()};
  }
  if (queue_.size() >= options_.max_queued_records ||
      queued_bytes_ + bytes.size() > options_.max_queued_bytes) {
    return QueueFull{queued_bytes_, queue_.size()};
  }
  ++next_sequence_;
  queued_bytes_ += bytes.size();
  queue_.push_back({id.sequence, std::move(bytes)});
  return id;
}

std::string Writer::BatchBytes() const {
  // Equals the encoding of a Batch: the number of envelopes, then the envelopes.
  std::string bytes = wire::Encode(static_cast<std::uint32_t>(batch_size_));
  for (std::size_t index = 0; index < batch_size_; ++index) {
    bytes += queue_[index].bytes;
  }
  return bytes;
}

void Writer::ChooseBatch() {
  std::size_t bytes = sizeof(std::uint32_t);
  while (batch_size_ < queue_.size()) {
    bytes += queue_[batch_size_].bytes.size();
    if (batch_size_ > 0 && bytes > options_.max_batch_bytes) {
      break;
    }
    ++batch_size_;
  }
}

std::optional<std::string> Writer::NextAppend(MonotonicTime now) {
  if (in_flight_ || queue_.empty() || (batch_size_ > 0 && now < retry_at_) ||
      !bucket_.TryTake(now)) {
    return std::nullopt;
  }
  if (batch_size_ == 0) {
    ChooseBatch();
    unacknowledged_since_ = now;
  }
  in_flight_ = true;
  return BatchBytes();
}

std::optional<MonotonicTime> Writer::NextWakeup(MonotonicTime now) {
  if (in_flight_ || queue_.empty()) {
    return std::nullopt;
  }
  const MonotonicTime token = bucket_.NextTokenTime(now);
  return batch_size_ > 0 ? std::max(token, retry_at_) : token;
}

void Writer::FinishBatch() {
  for (; batch_size_ > 0; --batch_size_) {
    queued_bytes_ -= queue_.front().bytes.size();
    queue_.pop_front();
  }
  in_flight_ = false;
  retry_delay_ = Duration();
  unacknowledged_since_.reset();
}

void Writer::OnAcknowledged() {
  FinishBatch();
}

void Writer::OnFailed(MonotonicTime now) {
  in_flight_ = false;
  retry_delay_ = retry_delay_ == Duration() ? options_.first_retry_delay
                                            : std::min(retry_delay_ * 2, options_.max_retry_delay);
  retry_at_ = now + retry_delay_;
}

bool Writer::OnRecordApplied(std::uint64_t sequence) {
  if (batch_size_ == 0 || sequence < queue_.front().sequence || sequence > batch_end()) {
    return false;
  }
  const bool was_in_flight = in_flight_;
  FinishBatch();
  return was_in_flight;
}

std::uint64_t Writer::batch_end() const {
  return batch_size_ == 0 ? 0 : queue_[batch_size_ - 1].sequence;
}

}  // namespace acaciaspring::journal
