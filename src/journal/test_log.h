#ifndef ACACIASPRING_SRC_JOURNAL_TEST_LOG_H_
#define ACACIASPRING_SRC_JOURNAL_TEST_LOG_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief For tests: a log whose entries hold one record each, and the state after all of them.
class TestLog {
 public:
  explicit TestLog(StateOptions options = {}) : options_(options), state_(options) {}

  /// @brief Appends a record whose writer has applied the whole log.
  Verdict Append(const std::string& daemon, Record record) {
    return AppendObserved(daemon, head(), std::move(record));
  }

  /// @brief Appends a record whose writer has applied the log up to `observed`.
  Verdict AppendObserved(const std::string& daemon, Offset observed, Record record) {
    const RecordId id{DaemonId(daemon), Incarnation(1), ++sequences_[daemon]};
    return AppendBatch(Batch{{Envelope{id, observed, std::move(record)}}});
  }

  /// @brief Appends a copy of the entry at `offset`, as after a lost acknowledgement.
  Verdict AppendAgain(Offset offset) { return AppendBatch(entries_.at(offset.value() - 1).batch); }

  Verdict AppendBatch(Batch batch) {
    time_ms_ += 10;
    entries_.push_back({time_ms_, std::move(batch)});
    return state_.Apply(head(), Time(time_ms_), entries_.back().batch).front().verdict;
  }

  /// @brief Replays the entries from `first` on, as after older entries were trimmed.
  State ReplayFrom(Offset first) const {
    State state(options_, first);
    for (std::size_t index = first.value() - 1; index < entries_.size(); ++index) {
      state.Apply(Offset(index + 1), Time(entries_[index].time_ms), entries_[index].batch);
    }
    return state;
  }

  void AdvanceTime(Duration duration) {
    time_ms_ += std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }
  Offset head() const { return Offset(entries_.size()); }
  const State& state() const { return state_; }
  WallTime now() const { return Time(time_ms_); }

  Verdict Claim(const std::string& daemon, const ProgramId& program) {
    ShardsClaimed claim{{}, DaemonId(daemon), Incarnation(1), head()};
    claim.shards.Add(ShardOf(program));
    return Append(daemon, claim);
  }
  Verdict Release(const std::string& daemon, const ProgramId& program) {
    ShardsReleased release{{}, DaemonId(daemon)};
    release.shards.Add(ShardOf(program));
    return Append(daemon, release);
  }
  Epoch EpochOf(const ProgramId& program) const {
    const ShardOwner* owner = state_.OwnerOf(ShardOf(program));
    return owner == nullptr ? Epoch() : owner->epoch;
  }
  const Program& Get(const ProgramId& program) const { return *state_.FindProgram(program); }

 private:
  struct Entry {
    std::int64_t time_ms = 0;
    Batch batch;
  };
  static WallTime Time(std::int64_t ms) { return WallTime(std::chrono::milliseconds(ms)); }

  StateOptions options_;
  State state_;
  std::vector<Entry> entries_;
  std::map<std::string, std::uint64_t> sequences_;
  std::int64_t time_ms_ = 1'700'000'000'000;
};

/// @brief A creation by organisation "org" under the current epoch in `log`.
inline ProgramCreated Creation(const TestLog& log,
                               const std::string& key,
                               std::uint64_t budget = 1000,
                               const ProgramId& parent = ProgramId()) {
  ProgramCreated creation;
  creation.organisation = OrganisationId("org");
  creation.key = IdempotencyKey(key);
  creation.program = MakeProgramId(creation.organisation, creation.key);
  creation.epoch = log.EpochOf(creation.program);
  creation.priority_class = PriorityClassId("urgent");
  creation.budget = TokenCount(budget);
  creation.max_calls = 10;
  creation.parent = parent;
  return creation;
}

inline ProgramId IdOf(const std::string& key) {
  return MakeProgramId(OrganisationId("org"), IdempotencyKey(key));
}

/// @brief A turn that uses `tokens` and authorises `next` for the following one.
inline TurnCommitted MakeTurn(const TestLog& log,
                              const ProgramId& program,
                              std::uint32_t turn,
                              std::uint64_t tokens = 10,
                              std::uint64_t next = 100) {
  TurnCommitted record;
  record.program = program;
  record.epoch = log.EpochOf(program);
  record.turn = TurnNumber(turn);
  record.key = IdempotencyKey("turn-" + std::to_string(turn));
  record.model = ModelId("m");
  record.messages = R"([{"role":"user","content":"hello"}])";
  record.answer = "answer " + std::to_string(turn);
  record.usage.prompt = TokenCount(tokens / 2);
  record.usage.completion = TokenCount(tokens - tokens / 2);
  record.next_authorised = TokenCount(next);
  return record;
}

inline bool IsAccepted(const Verdict& verdict) {
  return std::holds_alternative<Accepted>(verdict);
}
inline bool IsDuplicate(const Verdict& verdict) {
  return std::holds_alternative<Duplicate>(verdict);
}
inline bool IsRejected(const Verdict& verdict, RejectReason reason) {
  return verdict == Verdict(Rejected{reason});
}

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_TEST_LOG_H_
