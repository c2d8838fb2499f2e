#ifndef ACACIASPRING_JOURNAL_H_
#define ACACIASPRING_JOURNAL_H_

#include <array>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::journal {

/// @brief A set of shards, stored as a bit field.
class ShardSet {
 public:
  void Add(ShardId shard);
  void Remove(ShardId shard);
  bool Contains(ShardId shard) const;
  bool empty() const;
  std::size_t size() const;
  /// @brief The members in ascending order.
  std::vector<ShardId> Members() const;
  bool operator==(const ShardSet&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    for (std::uint64_t& word : words_) {
      archive(word);
    }
  }

 private:
  std::array<std::uint64_t, kShardCount / 64> words_{};
};

/// @brief Replaces the configuration; accepted only if `base` is the current revision.
struct ConfigChanged {
  Revision base;
  std::string document;
  std::string author;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(base, document, author);
  }
};

struct ConfigCheckpoint {
  Revision revision;
  std::string document;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, document);
  }
};

/// @brief Claims each shard whose current epoch, read as an offset, is at most `observed`: the
/// writer has seen the claim that it replaces.
struct ShardsClaimed {
  ShardSet shards;
  DaemonId owner;
  Incarnation incarnation;
  Offset observed;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shards, owner, incarnation, observed);
  }
};

/// @brief Planned handover: the owner gives up the shards while no call of them is in flight.
struct ShardsReleased {
  ShardSet shards;
  DaemonId owner;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shards, owner);
  }
};

struct ClaimedShard {
  ShardId shard;
  Epoch epoch;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch);
  }
};

/// @brief Repeats the claims that its writer holds, so that older entries are not needed to know
/// them.
struct ClaimCheckpoint {
  DaemonId owner;
  Incarnation incarnation;
  std::vector<ClaimedShard> claims;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, incarnation, claims);
  }
};

/// @brief Creates a program; `parent` is empty unless it is a sub-agent.
struct ProgramCreated {
  ProgramId program;
  Epoch epoch;
  OrganisationId organisation;
  IdempotencyKey key;
  PriorityClassId priority_class;
  TokenCount budget;
  std::uint32_t max_calls = 0;
  ProgramId parent;
  TokenCount authorised;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, organisation, key, priority_class, budget, max_calls, parent,
            authorised);
  }
};

/// @brief Sets the number of tokens that the owner may spend before its next record. `charged` is
/// first added to the spent tokens: the possible cost of an attempt with unknown outcome.
struct SpendAuthorised {
  ProgramId program;
  Epoch epoch;
  TokenCount amount;
  TokenCount charged{};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, amount, charged);
  }
};

/// @brief A finished model call; `messages` is the JSON array of the messages that the turn adds.
struct TurnCommitted {
  ProgramId program;
  Epoch epoch;
  TurnNumber turn;
  IdempotencyKey key;
  ModelId model;
  std::string messages;
  std::string answer;
  wire::Usage usage;
  TokenCount next_authorised;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, turn, key, model, messages, answer, usage, next_authorised);
  }
};

/// @brief A finished idempotent tool call.
struct ToolCallCommitted {
  ProgramId program;
  Epoch epoch;
  IdempotencyKey key;
  ServiceId service;
  Outcome outcome;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, key, service, outcome, body);
  }
};

/// @brief Intent to make a non-idempotent tool call; written ahead of the call.
struct EffectIntended {
  ProgramId program;
  Epoch epoch;
  IdempotencyKey key;
  ServiceId service;
  std::string request_digest;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, key, service, request_digest);
  }
};

struct EffectFinished {
  ProgramId program;
  Epoch epoch;
  IdempotencyKey key;
  Outcome outcome;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, key, outcome, body);
  }
};

enum class EndReason : std::uint8_t { kRequested, kParentEnded, kIdle, kLimitReached };

struct ProgramEnded {
  ProgramId program;
  Epoch epoch;
  EndReason reason{};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, reason);
  }
};

/// @brief One finished model call of a program.
struct Turn {
  IdempotencyKey key;
  ModelId model;
  std::string messages;
  std::string answer;
  wire::Usage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, model, messages, answer, usage);
  }
};

/// @brief Refers to the turn that answered a key; turns are numbered from 1.
struct TurnResult {
  TurnNumber turn;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(turn);
  }
};

struct ToolResult {
  ServiceId service;
  Outcome outcome;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, outcome, body);
  }
};

using Result = std::variant<TurnResult, ToolResult>;

enum class EffectState : std::uint8_t { kIntended, kFinished };

/// @brief A non-idempotent tool call; `outcome` and `body` are set once it has finished.
struct Effect {
  ServiceId service;
  std::string request_digest;
  EffectState state{};
  Outcome outcome;
  std::string body;
  /// Epoch under which the intent was recorded. If it is older than the current epoch and the call
  /// has not finished, the outcome is unknown.
  Epoch epoch;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, request_digest, state, outcome, body, epoch);
  }
};

/// @brief State of one program. An ended program keeps only its identity and totals.
struct Program {
  ProgramId id;
  OrganisationId organisation;
  IdempotencyKey creation_key;
  PriorityClassId priority_class;
  TokenCount budget;
  std::uint32_t max_calls = 0;
  ProgramId parent;
  /// Root of the tree of sub-agents; the program itself if it has no parent.
  ProgramId root;
  TokenCount spent;
  /// Tokens that the owner may spend before its next record.
  TokenCount authorised;
  /// Sum of the budgets of the live children.
  TokenCount reserved;
  std::uint32_t call_count = 0;
  TurnNumber turn_count;
  std::vector<Turn> turns;
  /// Hash of the previous chain value and the last turn; empty before the first turn.
  std::string chain;
  std::map<IdempotencyKey, Result> results;
  std::map<IdempotencyKey, Effect> effects;
  /// Live children.
  std::set<ProgramId> children;
  bool ended = false;
  EndReason end_reason{};
  /// Append time in ms since the Unix epoch of the last record that changed the program; the time
  /// of the end for an ended program.
  std::int64_t last_activity_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, organisation, creation_key, priority_class, budget, max_calls, parent, root, spent,
            authorised, reserved, call_count, turn_count, turns, chain, results, effects, children,
            ended, end_reason, last_activity_ms);
  }
};

/// @brief Tokens that are neither spent nor authorised nor reserved for children.
TokenCount FreeBudget(const Program& program);
/// @brief Value of the hash chain after `turn`, which has the number `number`.
std::string NextChain(std::string_view previous, TurnNumber number, const Turn& turn);

/// @brief Complete state of one program, written by its owner while no other record of the program
/// is pending.
struct ProgramCheckpoint {
  ProgramId program;
  Epoch epoch;
  Program state;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, epoch, state);
  }
};

using Record = std::variant<ConfigChanged,
                            ConfigCheckpoint,
                            ShardsClaimed,
                            ShardsReleased,
                            ClaimCheckpoint,
                            ProgramCreated,
                            SpendAuthorised,
                            TurnCommitted,
                            ToolCallCommitted,
                            EffectIntended,
                            EffectFinished,
                            ProgramEnded,
                            ProgramCheckpoint>;

struct RecordId {
  DaemonId daemon;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  auto operator<=>(const RecordId&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(daemon, incarnation, sequence);
  }
};

/// @brief A record with its id. `observed` is the last offset that its writer had applied when it
/// created the record.
struct Envelope {
  RecordId id;
  Offset observed;
  Record record;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, observed, record);
  }
};

/// @brief Content of one log entry.
struct Batch {
  std::vector<Envelope> envelopes;
  template <class Archive>
  void save(Archive& archive) const {
    archive(envelopes);
  }
  /// Adds one envelope at a time, so that a corrupt count cannot allocate memory for that many
  /// envelopes.
  template <class Archive>
  void load(Archive& archive) {
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    envelopes.clear();
    for (cereal::size_type index = 0; index < count; ++index) {
      archive(envelopes.emplace_back());
    }
  }
};

enum class RejectReason : std::uint8_t {
  kStaleEpoch,
  kNotOwner,
  kUnknownProgram,
  kProgramEnded,
  kProgramExists,
  kUnknownParent,
  kParentEnded,
  kKeyExists,
  kKeyConflict,
  kWrongTurn,
  kNoIntent,
  kBaseRevisionConflict,
  kBudgetExhausted,
  kCallLimitReached,
  /// Another record about the same item lies between the last entry that the writer had observed
  /// and this record.
  kOutdated,
  /// Replay started after entries that the decision depends on; whether the record was accepted is
  /// not known.
  kUndecided,
  kInvalid,
};
std::string_view ToString(RejectReason reason);

struct Accepted {
  bool operator==(const Accepted&) const = default;
};
/// @brief A copy of a record that was applied before; the first copy got the verdict.
struct Duplicate {
  bool operator==(const Duplicate&) const = default;
};
struct Rejected {
  RejectReason reason{};
  bool operator==(const Rejected&) const = default;
};
using Verdict = std::variant<Accepted, Duplicate, Rejected>;

struct AppliedRecord {
  RecordId id;
  Verdict verdict;
};

struct ShardOwner {
  DaemonId daemon;
  Incarnation incarnation;
  Epoch epoch;
  bool released = false;
  bool operator==(const ShardOwner&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(daemon, incarnation, epoch, released);
  }
};

struct StateOptions {
  /// How long an ended program is kept, measured in append times. Must be equal on all daemons.
  Duration tombstone_retention = std::chrono::hours(24);
};

struct StateCounters {
  std::uint64_t accepted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t rejected = 0;
  std::uint64_t malformed_entries = 0;
  /// Turns that used more tokens than were authorised.
  std::uint64_t budget_violations = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, duplicates, rejected, malformed_entries, budget_violations);
  }
};

struct StateData;

/// @brief State machine that results from replaying the log from offset `first` on. It is
/// deterministic: append times are its only clock. Move-only; copy it with Encode and Decode.
class State {
 public:
  explicit State(StateOptions options = {}, Offset first = Offset(1));
  State(State&&) noexcept;
  State& operator=(State&&) noexcept;
  ~State();

  /// @brief Applies one log entry; entries at or below applied_offset() are ignored.
  std::vector<AppliedRecord> Apply(Offset offset, WallTime append_time, const Batch& batch);
  /// @brief Counts an entry that cannot be decoded and skips it.
  void ApplyMalformed(Offset offset, WallTime append_time);

  /// @brief Null if the program is unknown. Ended programs are found until their retention ends.
  const Program* FindProgram(const ProgramId& id) const;
  std::vector<const Program*> ProgramsOf(ShardId shard) const;
  /// @brief Every known program in the order of the ids, including ended ones.
  std::vector<const Program*> Programs() const;
  std::size_t live_program_count() const;
  /// @brief Null if no accepted claim of the shard is known.
  const ShardOwner* OwnerOf(ShardId shard) const;
  /// @brief Revision 0 and an empty document before the first configuration.
  Revision revision() const;
  const std::string& document() const;
  /// @brief First offset of the replay; above 1 if older entries were no longer retained.
  Offset first_offset() const;
  Offset applied_offset() const;
  const StateCounters& counters() const;

  /// @brief A replay from this offset or an earlier one rebuilds the state of the item.
  Offset ReplayStartOfProgram(const ProgramId& id) const;
  Offset ReplayStartOfShard(ShardId shard) const;
  Offset ReplayStartOfConfig() const;
  /// @brief Append time of the entry at `offset` or of a somewhat earlier one.
  WallTime AppendTimeOf(Offset offset) const;

  /// @brief Snapshot; equal states give equal bytes. Decode throws wire::DecodeError.
  std::string Encode() const;
  static State Decode(std::string_view bytes);

 private:
  std::unique_ptr<StateData> data_;
};

struct CheckpointPlanOptions {
  Duration retention = std::chrono::hours(24 * 7);
  /// Maximum number of records per call; the rest is returned by later calls.
  std::size_t max_records = 64;
};

/// @brief Checkpoints that `owner` should append now: those of its items whose replay has to start
/// at an entry older than half the retention. `is_pending` tells whether records of a program are
/// queued.
std::vector<Record> PlanCheckpoints(const State& state,
                                    const DaemonId& owner,
                                    Incarnation incarnation,
                                    WallTime now,
                                    const CheckpointPlanOptions& options,
                                    const std::function<bool(const ProgramId&)>& is_pending);

struct WriterOptions {
  std::size_t max_queued_bytes = std::size_t{64} << 20;
  std::size_t max_queued_records = 100'000;
  std::size_t max_batch_bytes = std::size_t{1} << 20;
  /// A record above max_batch_bytes (a checkpoint of a long program) is appended alone, up to this
  /// size.
  std::size_t max_record_bytes = std::size_t{3} << 20;
  double appends_per_second = 100;
  Duration append_timeout = std::chrono::seconds(2);
  Duration first_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(2);
};

struct JournalOptions {
  net::Address log;
  std::string stream = "journal";
  DaemonId daemon;
  Incarnation incarnation;
  WriterOptions writer;
  StateOptions state;
  Duration log_unavailable_after = std::chrono::seconds(2);
  /// How long the log may hold back the response to a poll while there is no new entry; must be
  /// below log_unavailable_after.
  Duration poll_wait = std::chrono::milliseconds(500);
  std::size_t max_poll_bytes = std::size_t{4} << 20;
};

struct JournalCounters {
  std::uint64_t appends = 0;
  std::uint64_t append_retries = 0;
  std::uint64_t appended_records = 0;
  std::uint64_t polls = 0;
  std::uint64_t poll_failures = 0;
  std::uint64_t entries_applied = 0;
  std::uint64_t rebuilds = 0;
  std::uint64_t queue_refusals = 0;
};

/// @brief The record was not queued because the queue is full.
struct QueueFull {
  std::size_t queued_bytes = 0;
  std::size_t queued_records = 0;
};
/// @brief The record was not queued because it is larger than WriterOptions::max_record_bytes.
struct RecordTooLarge {
  std::size_t bytes = 0;
};
using AppendResult = std::variant<RecordId, QueueFull, RecordTooLarge>;

/// @brief Reads new log entries into a State and appends records to the log.
class Journal {
 public:
  using Done = std::function<void(const Verdict& verdict)>;
  using Observer =
      std::function<void(const Envelope& envelope, Offset offset, const Verdict& verdict)>;

  Journal(net::Loop& loop, net::HttpClient& client, JournalOptions options);
  ~Journal();

  /// @brief Starts to read and to append.
  void Start();
  /// @brief Queues a record. `done` (may be empty) is called once, when the record has been applied
  /// and never from within Append. It is not called if Append returns QueueFull or RecordTooLarge.
  AppendResult Append(Record record, Done done);
  /// @brief Adds an observer that is called for every record of the log in order, before the `done`
  /// of the record. Observers stay registered for the lifetime of the journal.
  void OnApplied(Observer observer);
  /// @brief Adds a callback for the case that the log no longer retains the next entry, so that the
  /// state was discarded. Replay starts again from the oldest retained entry. Own records that may
  /// be among the missing entries get Rejected{kUndecided}.
  void OnRebuilt(std::function<void()> callback);

  const State& state() const;
  /// @brief True once the state includes the end of the log as of some poll.
  bool caught_up() const;
  /// @brief False before the first response to a poll, and while the log has not answered polls or
  /// has not acknowledged an append for log_unavailable_after.
  bool available() const;
  /// @brief True while a record of the program that was queued here has not been applied.
  bool IsPending(const ProgramId& program) const;
  std::size_t pending_records() const;
  const JournalCounters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_JOURNAL_H_
