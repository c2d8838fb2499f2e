#ifndef ACACIASPRING_LEDGER_H_
#define ACACIASPRING_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::ledger {

/// @brief One turn of a program; equal to the id of the request that it was sent with.
using TurnId = StrongString<struct TurnIdTag>;
using PartitionId = StrongNumber<struct PartitionIdTag, std::uint32_t>;
/// @brief Position of a record in its partition; the first one is 0.
using RecordOffset = StrongNumber<struct RecordOffsetTag>;
/// @brief Number of an append of one owner; the first one is 0.
using AppendSequence = StrongNumber<struct AppendSequenceTag>;
/// @brief Grows with each change of a partition's owner.
using OwnerEpoch = StrongNumber<struct OwnerEpochTag>;

/// @brief Bytes that are not a ledger record.
class RecordError : public Error {
 public:
  using Error::Error;
};

/// @brief Tokens of a program: `spent` were handed out, and up to `ceiling` may have been when the
/// owner is lost.
struct ProgramSpend {
  ProgramId program = {};
  TokenCount spent = {};
  TokenCount ceiling = {};
  bool operator==(const ProgramSpend&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, spent, ceiling);
  }
};

/// @brief A turn that was answered whole.
struct Turn {
  TurnId id = {};
  /// Empty for the first turn of a chain.
  TurnId parent = {};
  std::string input = {};
  /// Data of the events, each followed by a line feed.
  std::string output = {};
  WallTime recorded_at = {};
  Duration retention = {};
  bool operator==(const Turn&) const = default;
  template <class Archive>
  void save(Archive& archive) const {
    archive(id, parent, input, output,
            static_cast<std::int64_t>(recorded_at.time_since_epoch().count()),
            static_cast<std::int64_t>(retention.count()));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::int64_t recorded_ms = 0;
    std::int64_t retention_us = 0;
    archive(id, parent, input, output, recorded_ms, retention_us);
    recorded_at = WallTime(std::chrono::milliseconds(recorded_ms));
    retention = Duration(retention_us);
  }
};

/// @brief A durable change of a partition's state.
struct Record {
  std::optional<ProgramSpend> spend = {};
  std::optional<Turn> turn = {};
};

/// @brief Encodes a record as one or more pieces of at most `max_bytes`.
std::vector<std::string> EncodeRecord(const Record& record, std::size_t max_bytes);

/// @brief Joins the pieces of records as they are read.
class RecordReader {
 public:
  /// @brief Returns the record that is complete with this piece. Throws RecordError; the next whole
  /// record can still be read.
  std::optional<Record> Take(std::string_view piece);

 private:
  std::string joined_;
  std::uint32_t next_piece_ = 0;
};

/// @brief A turn that is about to run.
struct TurnDemand {
  ProgramId program = {};
  TokenCount budget = {};
  /// Most tokens that the turn generates.
  TokenCount maximum = {};
};

/// @brief The tokens of one admitted turn.
struct TurnClaim {
  ProgramId program = {};
  /// Most tokens that the turn generates.
  TokenCount maximum = {};
  /// Tokens that it may hand out before the claim is extended.
  TokenCount covered = {};
};

/// @brief The turn may hand out tokens at once.
struct SpendGranted {
  /// To be recorded without waiting for it; until then a successor does not count the turn.
  std::optional<ProgramSpend> spend = {};
};
/// @brief The turn may hand out tokens once `spend` is durable.
struct SpendNeedsRecord {
  ProgramSpend spend;
};
/// @brief The budget does not hold the turn.
struct BudgetSpent {
  TokenCount spent;
  TokenCount in_flight;
};
using Admission = std::variant<SpendGranted, SpendNeedsRecord, BudgetSpent>;

struct ProgramLedgerOptions {
  /// Share of a turn's most tokens that is covered when it starts. A lost owner's successor counts
  /// it as spent. Turns use a fifth on average; those that use more need one more append.
  double first_step = 1.0 / 3;
  /// Share of the budget that a record covers for the next turns if it holds a whole one; otherwise
  /// the record of a turn covers one first step. It saves appends and lets programs go on while
  /// their partition is away; a lost owner's successor counts it as spent. Programs use 15 to 40 %
  /// of their budgets.
  double budget_share_ahead = 0.25;
  /// Time beyond its retention for which a turn is kept, because wall clocks differ.
  Duration retention_margin = std::chrono::seconds(12);
  /// Time without a turn after which a program is forgotten.
  Duration program_retention = std::chrono::seconds(180);
};

/// @brief The programs and turns of one partition, as a function of its records.
class ProgramLedger {
 public:
  explicit ProgramLedger(ProgramLedgerOptions options = {}) : options_(options) {}

  /// @brief Takes over a record read from or acknowledged by the store.
  void Apply(const Record& record, RecordOffset offset, MonotonicTime now);
  /// @brief All records of the former owner are applied: what it may have spent counts as spent.
  void FinishLoading();

  /// @brief Reserves `demand.maximum` tokens unless the budget is spent.
  Admission Admit(const TurnDemand& demand, MonotonicTime now);
  /// @brief The claim of a turn that is admitted.
  TurnClaim ClaimOf(const TurnDemand& demand) const;
  /// @brief Covers all tokens of a turn that has used up the first step; never BudgetSpent.
  Admission Extend(TurnClaim& claim);
  /// @brief The admitted turn ended; `used` tokens were handed out.
  void Settle(const TurnClaim& claim, TokenCount used);
  /// @brief The spend to record with the end of a turn that is still admitted and used `used`.
  ProgramSpend SpendAtEnd(const TurnClaim& claim, TokenCount used);
  /// @brief Counts `demand.maximum` as spent for a turn that the former owner runs; returns what to
  /// record, or none if the budget does not hold the turn.
  std::optional<ProgramSpend> ReserveForFormerOwner(const TurnDemand& demand, MonotonicTime now);
  /// @brief Counts tokens that the former owner has handed out without a record.
  ProgramSpend AddSpent(const ProgramId& program, TokenCount tokens, MonotonicTime now);
  /// @brief What each program may have spent when its turns in flight have ended, without anything
  /// reserved ahead; to be recorded before a planned release.
  std::vector<ProgramSpend> ExactSpends();

  /// @brief The turn and those before it, oldest first; none unless all are known.
  std::optional<std::vector<const Turn*>> Chain(const TurnId& turn) const;
  /// @brief Forgets expired turns and programs.
  void Expire(WallTime wall_now, MonotonicTime now);
  /// @brief Records that must be written again before the store drops those below `before`.
  std::vector<Record> LiveRecordsBefore(RecordOffset before);
  /// @brief Offset of the oldest record that is still needed.
  std::optional<RecordOffset> OldestNeeded() const;

  /// @brief Knows turns that are durable in another partition, until their records here are
  /// acknowledged.
  void AddRecordedElsewhere(const std::vector<Turn>& turns);
  bool HasTurn(const TurnId& turn) const { return turns_.contains(turn); }
  /// @brief The turns of a chain, oldest first, whose records here are not acknowledged.
  std::vector<Turn> UnrecordedInChain(const TurnId& turn) const;

  std::size_t turn_count() const { return turns_.size(); }
  std::size_t program_count() const { return programs_.size(); }

 private:
  struct Program {
    TokenCount spent;
    /// Of the admitted turns: their maximum, and what their claims cover.
    TokenCount in_flight;
    TokenCount covered;
    /// Of the newest durable record, and of those handed to the partition's appends, oldest first.
    TokenCount ceiling;
    std::deque<TokenCount> queued_ceilings;
    TokenCount budget;
    TokenCount largest_turn;
    MonotonicTime last_active;
    RecordOffset offset;
  };
  struct StoredTurn {
    Turn turn;
    /// None while the turn is recorded in another partition only.
    std::optional<RecordOffset> offset;
  };

  TokenCount FirstStep(TokenCount maximum) const;
  /// @brief The share of the budget to cover ahead; 0 if it does not hold a whole turn.
  TokenCount ShareAhead(const Program& program) const;
  /// @brief Whether what the program's turns may hand out is covered by its records.
  Admission Cover(const ProgramId& id, Program& program, TokenCount maximum) const;
  /// @brief A spend for the next append, with `ahead` tokens beyond those of the admitted turns.
  static ProgramSpend MakeSpend(const ProgramId& id, Program& program, TokenCount ahead);

  ProgramLedgerOptions options_;
  std::unordered_map<ProgramId, Program> programs_;
  std::unordered_map<TurnId, StoredTurn> turns_;
};

/// @brief The records were appended; `end` is the offset after the last of them.
struct Appended {
  RecordOffset end;
};
/// @brief Another owner has a higher epoch.
struct Fenced {};
/// @brief The store expects another sequence from this owner.
struct SequenceMismatch {
  AppendSequence expected;
};
/// @brief No answer, or one that says that nothing was done: the append may be repeated.
struct StoreUnavailable {};
using AppendResult = std::variant<Appended, Fenced, SequenceMismatch, StoreUnavailable>;

struct ReadPieces {
  RecordOffset first;
  RecordOffset end;
  std::vector<std::string> pieces;
};
/// @brief Records before `oldest` are no longer kept.
struct HistoryDropped {
  RecordOffset oldest;
};
using ReadResult = std::variant<ReadPieces, HistoryDropped, StoreUnavailable>;

/// @brief How long to wait for the answer to an append before it is repeated.
class AppendTimeout {
 public:
  AppendTimeout();
  Duration Current() const { return current_; }
  void OnAnswer(Duration took);
  void OnTimeout();

 private:
  /// Smoothed time of recent answers.
  Duration usual_{};
  Duration current_;
};

/// @brief The durable log of the partitions. Callbacks come from the loop, exactly once.
class PartitionStore {
 public:
  virtual ~PartitionStore() = default;
  /// @brief Appends all pieces or none. An append without pieces only sets the epoch.
  virtual void Append(PartitionId partition,
                      OwnerEpoch epoch,
                      AppendSequence sequence,
                      std::vector<std::string> pieces,
                      std::function<void(const AppendResult&)> on_done) = 0;
  virtual void Read(PartitionId partition,
                    RecordOffset from,
                    std::function<void(const ReadResult&)> on_done) = 0;
  /// @brief Drops the records before an offset; a failure is not reported.
  virtual void Trim(PartitionId partition, RecordOffset before) = 0;
  /// @brief Calls back after a delay, or earlier when the store answers again after an outage.
  virtual void RetryAfter(Duration delay, std::function<void()> callback) = 0;
  /// @brief False while calls of this daemon get no answers.
  virtual bool available() const = 0;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

struct PartitionOptions {
  ProgramLedgerOptions ledger = {};
  /// Largest piece and largest append that the store takes.
  std::size_t max_piece_bytes = std::size_t{256} << 10;
  std::size_t max_append_bytes = std::size_t{2} << 20;
  /// What the store counts for each piece beside its bytes: the length before it.
  std::size_t piece_overhead_bytes = 4;
  /// Wait before an append or read is repeated; doubles up to the maximum.
  Duration retry_delay = std::chrono::milliseconds(30);
  Duration max_retry_delay = std::chrono::milliseconds(400);
  /// Time without an answer to an append after which the partition counts as away. A slow store
  /// answers in 240 ms.
  Duration stall_after = std::chrono::milliseconds(300);
  /// Records that can be dropped before the store is asked to; the store drops old ones by itself.
  std::uint64_t min_trim_records = 2000;
  /// Age at which live records are written again; half of the store's retention.
  Duration rewrite_age = std::chrono::seconds(150);
};

/// @brief One partition while this daemon owns it: takes it over, keeps its ledger and appends.
class Partition : public std::enable_shared_from_this<Partition> {
 public:
  /// kLost: another owner has fenced this one, or it was released.
  enum class State : std::uint8_t { kFencing, kLoading, kServing, kLost };
  using OnStateChanged = std::function<void(const Partition&)>;

  Partition(PartitionId id,
            OwnerEpoch epoch,
            PartitionStore& store,
            PartitionOptions options,
            OnStateChanged on_state_changed);

  /// @brief Fences the former owner and reads the records.
  void Start();
  /// @brief Makes a record durable and applies it; `on_done` gets false if the partition is lost.
  void Append(const Record& record, std::function<void(bool durable)> on_done);
  /// @brief Asks the store whether this daemon still owns the partition. Needed before the absence
  /// of a record is reported, because another owner may have written it.
  void Confirm(std::function<void(bool owned)> on_done);
  /// @brief Admits no more turns; what is admitted goes on. Precedes a planned release.
  void Retire() { retired_ = true; }
  bool admits() const { return state_ == State::kServing && !retired_; }
  /// @brief Gives the partition up; appends that wait fail.
  void Release();
  /// @brief Expires, rewrites and trims; to be called every few seconds.
  void Maintain();

  PartitionId id() const { return id_; }
  OwnerEpoch epoch() const { return epoch_; }
  State state() const { return state_; }
  ProgramLedger& ledger() { return ledger_; }
  /// @brief True while records are not acknowledged, as far as is known.
  bool stalled() const { return retrying_ || !store_.available(); }
  /// @brief True if a record that is appended now is expected to be durable soon.
  bool takes_records() const;

 private:
  struct Waiting {
    Record record;
    std::vector<std::string> pieces;
    std::function<void(bool)> on_done;
  };
  struct Checkpoint {
    RecordOffset offset;
    MonotonicTime at;
  };

  void Fence();
  void Load();
  void OnRead(const ReadResult& result);
  void Flush();
  void SendBatch();
  void OnAppended(const AppendResult& result);
  void FinishBatch(RecordOffset end);
  void Lose();
  void SetState(State state);
  void RetryLater(void (Partition::*operation)());

  PartitionId id_;
  OwnerEpoch epoch_;
  PartitionStore& store_;
  PartitionOptions options_;
  OnStateChanged on_state_changed_;
  State state_ = State::kFencing;
  ProgramLedger ledger_;
  RecordReader reader_;
  RecordOffset next_offset_{};
  AppendSequence sequence_{};
  std::deque<Waiting> queue_;
  std::vector<Waiting> batch_;
  MonotonicTime batch_sent_at_{};
  Duration retry_delay_{};
  std::deque<Checkpoint> checkpoints_;
  RecordOffset trimmed_before_{};
  /// The last append failed.
  bool retrying_ = false;
  bool retired_ = false;
};

/// @brief Partition of a program among `count`.
PartitionId PartitionOf(const ProgramId& program, std::uint32_t count);

}  // namespace acaciaspring::ledger

#endif  // ACACIASPRING_LEDGER_H_
