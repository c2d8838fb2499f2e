#ifndef ACACIASPRING_SRC_LEDGER_TEST_STORE_H_
#define ACACIASPRING_SRC_LEDGER_TEST_STORE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/ledger.h"
#include "fakes/store_model.h"

namespace acaciaspring::ledger {

/// @brief In-memory store in virtual time. Fences like the platform's store and simulates its
/// faults.
class TestStore : public PartitionStore {
 public:
  /// Outcome of an append. kRefuse: the append fails without effect. kLoseResponse: the append
  /// takes effect, but its response is lost. kDelay: the append takes effect after the owner has
  /// stopped waiting for the response.
  enum class AppendOutcome : std::uint8_t { kServe, kRefuse, kLoseResponse, kDelay };

  void Append(PartitionId partition,
              OwnerEpoch epoch,
              AppendSequence sequence,
              std::vector<std::string> pieces,
              std::function<void(const AppendResult&)> on_done) override {
    const AppendOutcome outcome =
        append_outcomes_.empty() ? AppendOutcome::kServe : append_outcomes_.front();
    if (!append_outcomes_.empty()) {
      append_outcomes_.pop_front();
    }
    ++appends_;
    std::size_t bytes = 0;
    for (const std::string& piece : pieces) {
      bytes += kLengthPrefixBytes + piece.size();
    }
    largest_append_ = std::max(largest_append_, bytes);
    if (unavailable_partitions_.contains(partition)) {
      Post([=] { on_done(StoreUnavailable{}); });
      return;
    }
    if (bytes > max_append_bytes_) {
      Post([=] { on_done(AppendTooLarge{}); });
      return;
    }
    switch (outcome) {
      case AppendOutcome::kServe:
        Post([=, this] { on_done(Serve(partition, epoch, sequence, pieces)); });
        return;
      case AppendOutcome::kRefuse:
        Post([=] { on_done(StoreUnavailable{}); });
        return;
      case AppendOutcome::kLoseResponse:
        Serve(partition, epoch, sequence, pieces);
        Post([=] { on_done(StoreUnavailable{}); });
        return;
      case AppendOutcome::kDelay:
        delayed_appends_.push_back([=, this] { Serve(partition, epoch, sequence, pieces); });
        Post([=] { on_done(StoreUnavailable{}); });
        return;
    }
  }

  void Read(PartitionId partition,
            RecordOffset from,
            std::function<void(const ReadResult&)> on_done) override {
    Post([=, this] {
      if (unavailable_partitions_.contains(partition)) {
        on_done(StoreUnavailable{});
        return;
      }
      const fakes::StorePartition& log = logs_[partition];
      if (from.value() < log.first()) {
        on_done(HistoryDropped{.oldest = RecordOffset(log.first())});
        return;
      }
      ReadPieces read{.first = from, .end = RecordOffset(log.end()), .pieces = {}};
      for (std::uint64_t offset = from.value();
           offset < log.end() && read.pieces.size() < pieces_per_read_; ++offset) {
        read.pieces.push_back(log.At(offset));
      }
      on_done(read);
    });
  }

  void Trim(PartitionId partition, RecordOffset before) override {
    logs_[partition].TrimBefore(before.value());
  }

  void RetryAfter(Duration delay, std::function<void()> callback) override {
    timers_.emplace(now_ + delay, std::move(callback));
  }
  bool available() const override { return available_; }
  void SetAvailable(bool available) { available_ = available; }
  MonotonicTime Now() const override { return now_; }
  WallTime WallNow() const override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
  }

  /// @brief Advances the clock by `duration` and runs all callbacks that become due.
  void Run(Duration duration) {
    const MonotonicTime end = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto next = timers_.begin();
      now_ = next->first;
      const auto callback = std::move(next->second);
      timers_.erase(next);
      callback();
    }
    now_ = end;
  }
  /// @brief Executes the appends that were delayed by kDelay.
  void DeliverDelayedAppends() {
    for (const auto& delayed_append : std::exchange(delayed_appends_, {})) {
      delayed_append();
    }
  }

  /// @brief Makes each append to and read of one partition fail while `unavailable` is set.
  void SetPartitionUnavailable(PartitionId partition, bool unavailable) {
    if (unavailable) {
      unavailable_partitions_.insert(partition);
    } else {
      unavailable_partitions_.erase(partition);
    }
  }
  /// @brief Sets the outcomes of the next appends, in order; appends after them are served.
  void SetAppendOutcomes(std::deque<AppendOutcome> outcomes) {
    append_outcomes_ = std::move(outcomes);
  }
  /// @brief Rejects larger appends.
  void SetMaxAppendBytes(std::size_t bytes) { max_append_bytes_ = bytes; }
  void SetPiecesPerRead(std::size_t pieces) { pieces_per_read_ = pieces; }
  std::size_t appends() const { return appends_; }
  /// @brief Bytes of the largest append, including the length prefix of each piece.
  std::size_t largest_append() const { return largest_append_; }
  std::size_t size(PartitionId partition) {
    return logs_[partition].end() - logs_[partition].first();
  }

 private:
  void Post(std::function<void()> callback) { RetryAfter(kResponseTime, std::move(callback)); }

  AppendResult Serve(PartitionId partition,
                     OwnerEpoch epoch,
                     AppendSequence sequence,
                     const std::vector<std::string>& pieces) {
    const fakes::StoreAppendResult result = logs_[partition].Append(
        {.at = {},
         .producer =
             fakes::StoreAppend::Producer{
                 .name = "owner", .epoch = epoch.value(), .sequence = sequence.value()},
         .records = pieces});
    return std::visit(
        Overloaded{[](const fakes::StoreAppended& appended) {
                     return AppendResult(Appended{.end = RecordOffset(appended.end)});
                   },
                   [](const fakes::StoreNotAtEnd&) { return AppendResult(StoreUnavailable{}); },
                   [](const fakes::StoreFenced&) { return AppendResult(Fenced{}); },
                   [](const fakes::StoreSequenceGap& gap) {
                     return AppendResult(
                         SequenceMismatch{.expected = AppendSequence(gap.expected)});
                   }},
        result);
  }

  static constexpr std::size_t kLengthPrefixBytes = 4;
  static constexpr Duration kResponseTime = std::chrono::milliseconds(4);
  MonotonicTime now_{std::chrono::seconds(1000)};
  std::multimap<MonotonicTime, std::function<void()>> timers_;
  std::map<PartitionId, fakes::StorePartition> logs_;
  std::set<PartitionId> unavailable_partitions_;
  std::deque<AppendOutcome> append_outcomes_;
  std::vector<std::function<void()>> delayed_appends_;
  std::size_t pieces_per_read_ = 1000;
  std::size_t appends_ = 0;
  std::size_t largest_append_ = 0;
  std::size_t max_append_bytes_ = SIZE_MAX;
  bool available_ = true;
};

}  // namespace acaciaspring::ledger

#endif  // ACACIASPRING_SRC_LEDGER_TEST_STORE_H_
