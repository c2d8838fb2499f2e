#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

Partition::Partition(PartitionId id,
                     OwnerEpoch epoch,
                     PartitionStore& store,
                     PartitionOptions options,
                     OnStateChanged on_state_changed)
    : id_(id),
      epoch_(epoch),
      store_(store),
      options_(options),
      on_state_changed_(std::move(on_state_changed)),
      ledger_(options.ledger),
      retry_delay_(options.retry_delay) {}

void Partition::Start() {
  Fence();
}

void Partition::SetState(State state) {
  state_ = state;
  on_state_changed_(*this);
}

void Partition::RetryLater(void (Partition::*operation)()) {
  store_.RetryAfter(retry_delay_, [weak = weak_from_this(), operation] {
    if (const auto self = weak.lock(); self && self->state_ != State::kLost) {
      (*self.*operation)();
    }
  });
  retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
}

void Partition::Fence() {
  store_.Append(id_, epoch_, sequence_, {}, [weak = weak_from_this()](const AppendResult& result) {
    const auto self = weak.lock();
    if (!self || self->state_ == State::kLost) {
      return;
    }
    if (std::holds_alternative<Appended>(result)) {
      self->retry_delay_ = self->options_.retry_delay;
      self->SetState(State::kLoading);
      self->Load();
    } else if (std::holds_alternative<Fenced>(result)) {
      self->MarkLost();
    } else {
      // A sequence mismatch means that this epoch has already been used for appends, so the former
      // owner is fenced. Load the records and continue with the sequence that the store expects.
      if (std::holds_alternative<SequenceMismatch>(result)) {
        self->sequence_ = std::get<SequenceMismatch>(result).expected;
        self->SetState(State::kLoading);
        self->Load();
        return;
      }
      self->RetryLater(&Partition::Fence);
    }
  });
}

void Partition::Load() {
  store_.Read(id_, next_offset_, [weak = weak_from_this()](const ReadResult& result) {
    const auto self = weak.lock();
    if (self && self->state_ == State::kLoading) {
      self->OnRead(result);
    }
  });
}

void Partition::OnRead(const ReadResult& result) {
  if (std::holds_alternative<StoreUnavailable>(result)) {
    RetryLater(&Partition::Load);
    return;
  }
  if (const auto* dropped = std::get_if<HistoryDropped>(&result)) {
    next_offset_ = std::max(dropped->oldest, next_offset_);
    RetryLater(&Partition::Load);
    return;
  }
  const auto& read = std::get<ReadPieces>(result);
  retry_delay_ = options_.retry_delay;
  next_offset_ = read.first;
  for (const std::string& piece : read.pieces) {
    try {
      if (const auto record = reader_.AddPiece(piece)) {
        // The offset of a record is that of its first piece, before which the log may be trimmed.
        const std::uint64_t earlier_pieces = reader_.last_piece_count() - 1;
        ledger_.Apply(*record, RecordOffset(next_offset_.value() - earlier_pieces), store_.Now());
      }
    } catch (const RecordError& error) {
      LOG(WARNING) << "partition " << id_ << " offset " << next_offset_
                   << ": skipping unreadable record: " << error.what();
    }
    ++next_offset_;
  }
  if (next_offset_ < read.end) {
    Load();
    return;
  }
  ledger_.FinishLoading();
  serving_since_ = store_.Now();
  checkpoints_.push_back({.offset = next_offset_, .at = serving_since_});
  SetState(State::kServing);
  MarkFirstOwner();
  Flush();
}

void Partition::MarkFirstOwner() {
  // Later owners find a record, and may not be the first to let a turn run ahead.
  if (next_offset_ == RecordOffset()) {
    Append({}, [this](bool durable) {
      if (durable) {
        ledger_.AllowRunningAhead();
      }
    });
  }
}

void Partition::Append(const Record& record, std::function<void(bool)> on_done) {
  if (state_ == State::kLost) {
    on_done(false);
    return;
  }
  const std::vector<std::string> pieces = EncodeRecord(record, options_.max_piece_bytes);
  queue_.push_back(
      {.record = record, .pieces = {pieces.begin(), pieces.end()}, .on_done = std::move(on_done)});
  Flush();
}

void Partition::Flush() {
  if (state_ != State::kServing || pieces_under_way_ > 0 || queue_.empty()) {
    return;
  }
  pieces_under_way_ = CountPiecesToSend();
  SendPieces();
}

std::size_t Partition::CountPiecesToSend() const {
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const PendingRecord& pending : queue_) {
    for (const std::string& piece : pending.pieces) {
      bytes += piece.size() + options_.piece_overhead_bytes;
      if (count > 0 && bytes > options_.max_append_bytes) {
        return count;
      }
      ++count;
    }
  }
  return count;
}

Duration Partition::BacklogTime() const {
  std::size_t bytes = 0;
  for (const PendingRecord& pending : queue_) {
    for (const std::string& piece : pending.pieces) {
      bytes += piece.size();
    }
  }
  return TransferTime(bytes, options_.bytes_per_second);
}

bool Partition::writable() const {
  const bool append_overdue =
      pieces_under_way_ > 0 && store_.Now() - pieces_sent_at_ > options_.append_overdue_after;
  return admits() && !stalled() && !append_overdue;
}

void Partition::SendPieces() {
  pieces_sent_at_ = store_.Now();
  std::vector<std::string> pieces;
  for (auto pending = queue_.begin(); pieces.size() < pieces_under_way_; ++pending) {
    const std::size_t count = std::min(pending->pieces.size(), pieces_under_way_ - pieces.size());
    pieces.insert(pieces.end(), pending->pieces.begin(),
                  pending->pieces.begin() + static_cast<std::ptrdiff_t>(count));
  }
  store_.Append(id_, epoch_, sequence_, std::move(pieces),
                [weak = weak_from_this()](const AppendResult& result) {
                  const auto self = weak.lock();
                  if (self && self->state_ == State::kServing) {
                    self->OnAppended(result);
                  }
                });
}

void Partition::OnAppended(const AppendResult& result) {
  retrying_ = !std::holds_alternative<Appended>(result);
  if (const auto* appended = std::get_if<Appended>(&result)) {
    retry_delay_ = options_.retry_delay;
    ++sequence_;
    FinishPieces(appended->end);
  } else if (const auto* mismatch = std::get_if<SequenceMismatch>(&result)) {
    // No part of this append took effect: if an earlier attempt had succeeded, the store would have
    // repeated its result.
    LOG(WARNING) << "partition " << id_ << " epoch " << epoch_
                 << ": append rejected: expected sequence " << mismatch->expected << ", sent "
                 << sequence_;
    sequence_ = mismatch->expected;
    RetryLater(&Partition::SendPieces);
  } else if (std::holds_alternative<Fenced>(result)) {
    MarkLost();
  } else if (std::holds_alternative<AppendTooLarge>(result)) {
    OnTooLarge();
  } else {
    RetryLater(&Partition::SendPieces);
  }
}

void Partition::OnTooLarge() {
  if (pieces_under_way_ > 1) {
    pieces_under_way_ /= 2;
    SendPieces();
    return;
  }
  const auto self = shared_from_this();
  PendingRecord& first = queue_.front();
  LOG(ERROR) << "partition " << id_ << ": the store rejects a record piece of "
             << first.pieces.front().size() << " bytes as too large; the record is given up";
  retrying_ = false;
  pieces_under_way_ = 0;
  const auto on_done = std::exchange(first.on_done, [](bool) {});
  if (first.record.spend && first.record.turn) {
    // The next record of the program counts on the ceiling of this one.
    first.record.turn.reset();
    const std::vector<std::string> pieces = EncodeRecord(first.record, options_.max_piece_bytes);
    first.pieces = {pieces.begin(), pieces.end()};
    first.offset.reset();
  } else {
    queue_.pop_front();
  }
  on_done(false);
  Flush();
}

void Partition::FinishPieces(RecordOffset end) {
  const auto self = shared_from_this();
  std::size_t remaining = std::exchange(pieces_under_way_, 0);
  RecordOffset offset(end.value() - std::min<std::uint64_t>(end.value(), remaining));
  next_offset_ = end;
  std::vector<PendingRecord> done;
  while (remaining > 0) {
    PendingRecord& first = queue_.front();
    first.offset = first.offset.value_or(offset);
    const std::size_t durable = std::min(remaining, first.pieces.size());
    first.pieces.erase(first.pieces.begin(),
                       first.pieces.begin() + static_cast<std::ptrdiff_t>(durable));
    offset += RecordOffset(durable);
    remaining -= durable;
    if (first.pieces.empty()) {
      done.push_back(std::move(first));
      queue_.pop_front();
    }
  }
  for (const PendingRecord& pending : done) {
    ledger_.Apply(pending.record, *pending.offset, store_.Now());
  }
  for (const PendingRecord& pending : done) {
    pending.on_done(true);
  }
  Flush();
}

void Partition::MarkLost() {
  const auto self = shared_from_this();
  SetState(State::kLost);
  pieces_under_way_ = 0;
  const std::deque<PendingRecord> queue = std::exchange(queue_, {});
  for (const PendingRecord& pending : queue) {
    pending.on_done(false);
  }
}

void Partition::Confirm(std::function<void(bool)> on_done) {
  store_.Append(
      id_, epoch_, sequence_, {},
      [weak = weak_from_this(), on_done = std::move(on_done)](const AppendResult& result) {
        const auto self = weak.lock();
        if (self && std::holds_alternative<Fenced>(result)) {
          self->Release();
        }
        on_done(self && self->state_ == State::kServing &&
                std::holds_alternative<Appended>(result));
      });
}

void Partition::HandOver(std::function<void(bool)> on_recorded) {
  retired_ = true;
  if (state_ != State::kServing) {
    // While the partition is loaded, the ledger understates the spends.
    on_recorded(false);
    return;
  }
  const std::vector<ProgramSpend> spends = ledger_.HandOver();
  if (spends.empty()) {
    on_recorded(true);
    return;
  }
  // Appends are acknowledged in order, so the result of the last one covers the earlier ones.
  for (std::size_t i = 0; i + 1 < spends.size(); ++i) {
    Append({.spend = spends[i]}, [](bool) {});
  }
  Append({.spend = spends.back()}, std::move(on_recorded));
}

void Partition::Release() {
  if (state_ != State::kLost) {
    MarkLost();
  }
}

void Partition::Maintain() {
  if (state_ != State::kServing) {
    return;
  }
  const MonotonicTime now = store_.Now();
  ledger_.Expire(store_.WallNow(), now);
  // By now, a former owner would have forgotten the programs that it has let run ahead.
  if (now - serving_since_ > options_.ledger.program_retention) {
    ledger_.AllowRunningAhead();
  }
  checkpoints_.push_back({.offset = next_offset_, .at = now});
  std::optional<RecordOffset> old;
  while (!checkpoints_.empty() && now - checkpoints_.front().at > options_.rewrite_age) {
    old = checkpoints_.front().offset;
    checkpoints_.pop_front();
  }
  if (old) {
    for (const Record& record : ledger_.LiveRecordsBefore(*old)) {
      Append(record, [](bool) {});
    }
  }
  const RecordOffset needed = ledger_.OldestNeeded().value_or(next_offset_);
  if (needed.value() >= trimmed_before_.value() + options_.min_trim_records) {
    trimmed_before_ = needed;
    store_.Trim(id_, needed);
  }
}

}  // namespace acaciaspring::ledger
