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

/// @brief Identifies one turn of a program; equal to the id of the request that started the turn.
using TurnId = StrongString<struct TurnIdTag>;
using PartitionId = StrongNumber<struct PartitionIdTag, std::uint32_t>;
/// @brief Position of a store record in its partition, starting at 0. A ledger record occupies one
/// store record per piece.
using RecordOffset = StrongNumber<struct RecordOffsetTag>;
/// @brief Sequence number of an append by one owner in one epoch, starting at 0.
using AppendSequence = StrongNumber<struct AppendSequenceTag>;
/// @brief Increases with each change of a partition's owner.
using OwnerEpoch = StrongNumber<struct OwnerEpochTag>;

/// @brief Thrown for bytes that cannot be decoded as a ledger record.
class RecordError : public Error {
 public:
  using Error::Error;
};

/// @brief Token spend of a program: `spent` tokens were handed out to the caller; `ceiling` is the
/// number that counts as spent if the owner is lost, as it may have handed out that many by then.
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

/// @brief A turn with a complete response.
struct Turn {
  TurnId id = {};
  /// Empty for the first turn of a chain.
  TurnId previous_turn = {};
  std::string input = {};
  /// Data of the response's events, each followed by a line feed.
  std::string output = {};
  WallTime recorded_at = {};
  Duration retention = {};
  bool operator==(const Turn&) const = default;
  template <class Archive>
  void save(Archive& archive) const {
    archive(id, previous_turn, input, output,
            static_cast<std::int64_t>(recorded_at.time_since_epoch().count()),
            static_cast<std::int64_t>(retention.count()));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::int64_t recorded_ms = 0;
    std::int64_t retention_us = 0;
    archive(id, previous_turn, input, output, recorded_ms, retention_us);
    recorded_at = WallTime(std::chrono::milliseconds(recorded_ms));
    retention = Duration(retention_us);
  }
};

/// @brief One change of a partition's state, as written to the store.
struct Record {
  std::optional<ProgramSpend> spend = {};
  std::optional<Turn> turn = {};
};

/// @brief Encodes a record as one or more pieces of at most `max_piece_bytes` each.
std::vector<std::string> EncodeRecord(const Record& record, std::size_t max_piece_bytes);

/// @brief Reassembles records from their pieces, which are added in the order of the store.
class RecordReader {
 public:
  /// @brief Adds the next piece and returns the record if the piece completes one. Throws
  /// RecordError for an invalid piece; later complete records can still be read.
  std::optional<Record> AddPiece(std::string_view piece);
  /// @brief Number of pieces of the record that AddPiece() returned last.
  std::uint32_t last_piece_count() const { return last_piece_count_; }

 private:
  std::string joined_;
  std::uint32_t last_piece_count_ = 0;
  std::uint32_t next_piece_ = 0;
};

/// @brief The tokens that a turn asks for before it starts.
struct TurnDemand {
  ProgramId program = {};
  /// Token budget of the whole program.
  TokenCount budget = {};
  /// Maximum number of tokens that the turn generates.
  TokenCount maximum = {};
};

/// @brief The tokens reserved for one admitted turn.
struct TurnClaim {
  ProgramId program = {};
  /// Maximum number of tokens that the turn generates.
  TokenCount maximum = {};
  /// Tokens that the turn may hand out before its claim must be extended.
  TokenCount covered = {};
};

/// @brief The turn may hand out tokens immediately.
struct SpendGranted {
  /// If set, it must be appended, but the turn does not wait for it. If the owner is lost before
  /// this record is durable, the next owner does not count the tokens of the turn.
  std::optional<ProgramSpend> spend = {};
};
/// @brief The turn may hand out tokens only after `spend` is durable.
struct SpendNeedsRecord {
  ProgramSpend spend;
};
/// @brief The turn's maximum exceeds the budget that is neither spent nor reserved by turns in
/// flight.
struct BudgetSpent {
  TokenCount spent;
  TokenCount in_flight;
};
using Admission = std::variant<SpendGranted, SpendNeedsRecord, BudgetSpent>;

struct ProgramLedgerOptions {
  /// Share of a turn's maximum that is covered when the turn starts. If the owner is lost, the
  /// next owner counts this share as spent. Turns use a fifth of their maximum on average; a turn
  /// that exceeds the initial share needs one more append.
  double initial_share = 1.0 / 3;
  /// Share of the program's budget that a record reserves ahead for later turns. If the share is
  /// smaller than the program's largest turn, nothing is reserved ahead, except that the record at
  /// the end of a turn covers the initial share of one more turn. Reserving ahead saves appends and
  /// lets programs continue while their partition is unavailable, but if the owner is lost, the
  /// next owner counts the tokens as spent. Programs use 15 to 40 % of their budgets.
  double budget_share_reserved_ahead = 0.25;
  /// Limit of what a record reserves ahead, in turns of the size of the program's largest one.
  /// Bounds what a lost owner costs a program with a large budget.
  std::uint64_t max_turns_reserved_ahead = 4;
  /// Time for which a turn is kept beyond its retention, to allow for clock skew between daemons.
  Duration retention_margin = std::chrono::seconds(12);
  /// Idle time after which the state of a program is removed.
  Duration program_retention = std::chrono::seconds(180);
};

/// @brief State of the programs and turns of one partition, built from the records of the
/// partition.
class ProgramLedger {
 public:
  explicit ProgramLedger(ProgramLedgerOptions options = {}) : options_(options) {}

  /// @brief Applies a record that was read from the store or acknowledged by it.
  void Apply(const Record& record, RecordOffset offset, MonotonicTime now);
  /// @brief To be called after all records of the former owner are applied. Counts each program's
  /// ceiling as spent, because the former owner may have handed out that many tokens. From then on,
  /// no turn runs ahead of its record, because one of the former owner may have done so.
  void FinishLoading();
  /// @brief Lets one turn at a time run ahead of its record in programs that are first seen from
  /// now on. To be called only if no other owner has let a turn of such a program do so.
  void AllowRunningAhead() { running_ahead_allowed_ = true; }

  /// @brief Reserves `demand.maximum` tokens if the remaining budget allows it.
  Admission Admit(const TurnDemand& demand, MonotonicTime now);
  /// @brief Returns the initial claim of an admitted turn.
  TurnClaim ClaimOf(const TurnDemand& demand) const;
  /// @brief Extends the claim of a turn that has used its initial share to the maximum of the turn.
  /// Never returns BudgetSpent.
  Admission Extend(TurnClaim& claim);
  /// @brief True if durable records cover all tokens that the claims of the program's turns allow.
  /// Holds for a lost partition too: its next owner has read these records.
  bool IsCovered(const ProgramId& program) const;
  /// @brief Releases the claim of a turn that ended after handing out `used` tokens.
  void Settle(const TurnClaim& claim, TokenCount used);
  /// @brief Returns the spend to record when a turn ends after handing out `used` tokens. To be
  /// called before Settle().
  ProgramSpend SpendAtEnd(const TurnClaim& claim, TokenCount used);
  /// @brief Counts `demand.maximum` tokens as spent for a turn that still runs at the former owner.
  /// Returns the spend to record, or nullopt if they exceed the remaining budget.
  std::optional<ProgramSpend> ReserveForFormerOwner(const TurnDemand& demand, MonotonicTime now);
  /// @brief Counts tokens that the former owner handed out without a record, even beyond the
  /// budget. Returns the spend to record.
  ProgramSpend AddSpent(const ProgramId& program, TokenCount tokens, MonotonicTime now);
  /// @brief Returns the spends to record before a planned release. The ceiling of each, and of all
  /// later ones of this ledger, is the spend of the program if all its turns in flight use their
  /// maximum, with nothing reserved ahead.
  std::vector<ProgramSpend> HandOver();

  /// @brief Returns the turn and all its predecessors, oldest first, or nullopt if any is missing.
  std::optional<std::vector<const Turn*>> Chain(const TurnId& turn) const;
  /// @brief Removes expired turns and programs.
  void Expire(WallTime wall_now, MonotonicTime now);
  /// @brief Returns the records for all live state last written before offset `before`. They must
  /// be appended again before the store drops the originals.
  std::vector<Record> LiveRecordsBefore(RecordOffset before);
  /// @brief Returns the offset of the oldest record that is still needed, if any.
  std::optional<RecordOffset> OldestNeeded() const;

  /// @brief Adds turns that are durable in another partition. Each has no offset in this partition
  /// until its own record here is acknowledged.
  void AddRecordedElsewhere(const std::vector<Turn>& turns);
  bool HasTurn(const TurnId& turn) const { return turns_.contains(turn); }
  /// @brief Returns the turns of the chain of `turn`, oldest first, that have no acknowledged
  /// record in this partition.
  std::vector<Turn> UnrecordedInChain(const TurnId& turn) const;

  /// @brief True if turns of the program have spent tokens or are in flight.
  bool HasStarted(const ProgramId& program) const;

  std::size_t turn_count() const { return turns_.size(); }
  std::size_t program_count() const { return programs_.size(); }

 private:
  struct Program {
    TokenCount spent;
    /// Sum of the maxima of the admitted turns.
    TokenCount in_flight;
    /// Sum of the tokens that the claims of the admitted turns cover.
    TokenCount covered;
    /// Ceiling of the newest durable record.
    TokenCount ceiling;
    /// Ceilings of the records that are queued for append, oldest first.
    std::deque<TokenCount> queued_ceilings;
    TokenCount budget;
    TokenCount largest_turn;
    MonotonicTime last_active;
    RecordOffset offset;
    /// One turn may hand out tokens before its record is durable.
    bool may_run_ahead = false;
  };
  struct StoredTurn {
    Turn turn;
    /// Empty while the turn is recorded only in another partition.
    std::optional<RecordOffset> offset;
  };

  /// @brief Returns the tokens that a claim covers when its turn starts.
  TokenCount InitialTokens(TokenCount maximum) const;
  /// @brief Returns the tokens to reserve ahead of the admitted turns; 0 if the share is smaller
  /// than the program's largest turn.
  TokenCount TokensReservedAhead(const Program& program) const;
  /// @brief Decides whether the tokens that the admitted turns may hand out are covered by the
  /// recorded ceilings, and makes a new spend if not.
  Admission Cover(const ProgramId& id, Program& program, TokenCount maximum) const;
  /// @brief The lowest ceiling that applies now or once the queued records are durable.
  static TokenCount LowestCeiling(const Program& program);
  /// @brief Makes the spend for the next append and queues its ceiling: the spent and covered
  /// tokens plus up to `ahead` tokens that the budget still allows. During a hand-over, the ceiling
  /// covers the admitted turns whole and nothing ahead.
  ProgramSpend MakeSpend(const ProgramId& id, Program& program, TokenCount ahead) const;

  ProgramLedgerOptions options_;
  bool handing_over_ = false;
  /// New programs may run ahead of their records.
  bool running_ahead_allowed_ = true;
  std::unordered_map<ProgramId, Program> programs_;
  std::unordered_map<TurnId, StoredTurn> turns_;
};

/// @brief The pieces were appended; `end` is the offset after the last of them.
struct Appended {
  RecordOffset end;
};
/// @brief The append was rejected because another owner has a higher epoch.
struct Fenced {};
/// @brief The append was rejected because the store expects another sequence from this owner.
struct SequenceMismatch {
  AppendSequence expected;
};
/// @brief The append was rejected because it exceeds a limit of the store. Repeating it is useless.
struct AppendTooLarge {};
/// @brief The store did not respond, or responded that the call had no effect. The call may be
/// repeated: a repeated append takes effect only once.
struct StoreUnavailable {};
using AppendResult =
    std::variant<Appended, Fenced, SequenceMismatch, AppendTooLarge, StoreUnavailable>;

/// @brief Pieces from offset `first` on; `end` is the offset after the last one in the partition.
struct ReadPieces {
  RecordOffset first;
  RecordOffset end;
  std::vector<std::string> pieces;
};
/// @brief The requested records were dropped by the store; the oldest kept one is at `oldest`.
struct HistoryDropped {
  RecordOffset oldest;
};
using ReadResult = std::variant<ReadPieces, HistoryDropped, StoreUnavailable>;

/// @brief Time for a partition of the store to take `bytes`.
Duration TransferTime(std::size_t bytes, std::uint64_t bytes_per_second);

/// @brief Adaptive timeout after which an append without a response is repeated.
class AppendTimeout {
 public:
  explicit AppendTimeout(std::uint64_t bytes_per_second = 0);
  /// @brief Timeout of an append of the given size.
  Duration Current(std::size_t bytes = 0) const;
  void OnResponse(Duration latency, std::size_t bytes = 0);
  void OnTimeout();

 private:
  /// 0 if the store takes any size at once.
  std::uint64_t bytes_per_second_;
  /// Exponentially smoothed latency of the responses.
  Duration smoothed_latency_{};
  Duration current_;
};

/// @brief Durable log of the partitions. Each callback runs exactly once, on the event loop.
class PartitionStore {
 public:
  virtual ~PartitionStore() = default;
  /// @brief Appends all pieces or none of them. An append without pieces only sets the epoch.
  virtual void Append(PartitionId partition,
                      OwnerEpoch epoch,
                      AppendSequence sequence,
                      std::vector<std::string> pieces,
                      std::function<void(const AppendResult&)> on_done) = 0;
  virtual void Read(PartitionId partition,
                    RecordOffset from,
                    std::function<void(const ReadResult&)> on_done) = 0;
  /// @brief Drops the records before an offset. Failures are not reported.
  virtual void Trim(PartitionId partition, RecordOffset before) = 0;
  /// @brief Runs `callback` after `delay`, or earlier if the store becomes available again.
  virtual void RetryAfter(Duration delay, std::function<void()> callback) = 0;
  /// @brief False while the store does not respond to the calls of this daemon.
  virtual bool available() const = 0;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

struct PartitionOptions {
  ProgramLedgerOptions ledger = {};
  /// Largest piece and largest append that the store accepts.
  std::size_t max_piece_bytes = std::size_t{256} << 10;
  std::size_t max_append_bytes = std::size_t{2} << 20;
  /// Size of the length prefix of each piece, which the store counts towards the append size.
  std::size_t piece_overhead_bytes = 4;
  /// Rate at which the store takes the appends of one partition; 0 if it is not limited.
  std::uint64_t bytes_per_second = 0;
  /// Initial delay before a failed call is repeated; doubles up to the maximum.
  Duration retry_delay = std::chrono::milliseconds(30);
  Duration max_retry_delay = std::chrono::milliseconds(400);
  /// Time without a response after which an append is overdue and the partition does not count as
  /// writable. A slow store responds in 240 ms.
  Duration append_overdue_after = std::chrono::milliseconds(300);
  /// Minimum number of unneeded records for a trim call. The store also drops old records by
  /// itself.
  std::uint64_t min_trim_records = 2000;
  /// Age at which live records are appended again: half of the store's retention.
  Duration rewrite_age = std::chrono::seconds(150);
};

/// @brief A partition owned by this daemon. Fences the former owner, loads the ledger from the
/// store and appends records to it.
class Partition : public std::enable_shared_from_this<Partition> {
 public:
  /// kLost: another owner fenced this one, or the partition was released.
  enum class State : std::uint8_t { kFencing, kLoading, kServing, kLost };
  using OnStateChanged = std::function<void(const Partition&)>;

  Partition(PartitionId id,
            OwnerEpoch epoch,
            PartitionStore& store,
            PartitionOptions options,
            OnStateChanged on_state_changed);

  /// @brief Fences the former owner, then loads the records.
  void Start();
  /// @brief Queues a record to be appended and, once it is durable, applied to the ledger. A record
  /// of many pieces takes several appends. Calls `on_done` with false if the partition is lost
  /// first; the record may or may not be durable then. Also calls it with false if the store
  /// rejects the turn of the record as too large; its spend is recorded nevertheless.
  void Append(const Record& record, std::function<void(bool durable)> on_done);
  /// @brief Asks the store whether this daemon still owns the partition. To be called before a
  /// record is reported as absent, because a newer owner may have written it.
  void Confirm(std::function<void(bool owned)> on_done);
  /// @brief Prepares a planned release: admits no more turns and records the spend of each program,
  /// with its admitted turns at their maximum, so that these continue whoever owns the partition.
  /// Calls `on_recorded` with false if the partition is lost first.
  void HandOver(std::function<void(bool durable)> on_recorded);
  bool admits() const { return state_ == State::kServing && !retired_; }
  /// @brief Gives up ownership. Pending appends are reported as failed.
  void Release();
  /// @brief Removes expired state, appends old live records again and trims the store. To be called
  /// every few seconds.
  void Maintain();

  PartitionId id() const { return id_; }
  OwnerEpoch epoch() const { return epoch_; }
  State state() const { return state_; }
  ProgramLedger& ledger() { return ledger_; }
  /// @brief True if the last append failed or the store is unavailable.
  bool stalled() const { return retrying_ || !store_.available(); }
  /// @brief True if a record that is appended now is expected to become durable soon: turns are
  /// admitted, the last append did not fail, and none is overdue.
  bool writable() const;
  /// @brief Time that the store needs for the records that are not yet durable.
  Duration BacklogTime() const;

 private:
  struct PendingRecord {
    Record record;
    /// The pieces that are not yet durable.
    std::deque<std::string> pieces;
    std::function<void(bool)> on_done;
    /// Offset of the first piece, once it is durable.
    std::optional<RecordOffset> offset = {};
  };
  /// @brief The end of the partition at one point in time; used to find the age of records.
  struct Checkpoint {
    RecordOffset offset;
    MonotonicTime at;
  };

  void Fence();
  void Load();
  void OnRead(const ReadResult& result);
  /// @brief Leaves a record if this is the first owner; only that one lets turns run ahead at once.
  void MarkFirstOwner();
  void Flush();
  /// @brief Number of pieces at the front of the queue that fit into one append; at least one.
  std::size_t CountPiecesToSend() const;
  /// @brief Appends the pieces under way; a repeated append has the same pieces.
  void SendPieces();
  void OnAppended(const AppendResult& result);
  void FinishPieces(RecordOffset end);
  /// @brief Sends fewer pieces, or gives up the first record if a single piece is too large.
  void OnTooLarge();
  void MarkLost();
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
  std::deque<PendingRecord> queue_;
  /// Pieces at the front of the queue that are being appended.
  std::size_t pieces_under_way_ = 0;
  MonotonicTime pieces_sent_at_{};
  Duration retry_delay_{};
  std::deque<Checkpoint> checkpoints_;
  MonotonicTime serving_since_{};
  RecordOffset trimmed_before_{};
  /// True if the last append failed and is being retried.
  bool retrying_ = false;
  bool retired_ = false;
};

/// @brief Returns the partition of a program, out of `count` partitions.
PartitionId PartitionOf(const ProgramId& program, std::uint32_t count);

}  // namespace acaciaspring::ledger

#endif  // ACACIASPRING_LEDGER_H_
