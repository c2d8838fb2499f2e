#ifndef ACACIASPRING_SRC_JOURNAL_TEST_CLUSTER_H_
#define ACACIASPRING_SRC_JOURNAL_TEST_CLUSTER_H_

#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief For property tests: one action of a random run. TestCluster::Execute maps `kind` to an
/// action.
struct Step {
  std::uint32_t kind = 0;
  std::uint32_t daemon = 0;
  std::uint32_t program = 0;
  std::uint32_t argument = 0;
};
inline std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << "," << step.daemon << "," << step.program << ","
             << step.argument << "}";
}

/// @brief For property tests: daemons whose states lag behind the log. They lose acknowledgements,
/// append delayed copies of entries, restart from the trimmed log and write checkpoints.
class TestCluster {
 public:
  static constexpr std::uint32_t kStepKinds = 20;
  static constexpr std::uint32_t kDaemons = 3;
  static constexpr std::uint32_t kPrograms = 6;

  struct Entry {
    WallTime time;
    Batch batch;
    std::vector<AppliedRecord> applied;
  };

  TestCluster();
  void Execute(const Step& step);
  /// @brief Throws std::logic_error if the replay of the whole log violates an invariant.
  void CheckInvariants() const;
  /// @brief Replays the log from `first` on; `verdicts` (may be null) gets one list per entry.
  State ReplayFrom(Offset first, std::vector<std::vector<AppliedRecord>>* verdicts) const;

  const State& reference() const { return reference_; }
  const std::vector<Entry>& entries() const { return entries_; }
  /// @brief Highest first offset to which the log can be trimmed without losing state.
  Offset TrimLimit() const;
  static ProgramId ProgramOf(std::uint32_t index);

 private:
  struct Daemon {
    Daemon() = default;
    DaemonId id;
    Incarnation incarnation{1};
    State state;
    std::uint64_t sequence = 0;
    std::vector<Envelope> queue;
    /// Programs of its own records that it has not applied yet, by sequence number.
    std::map<std::uint64_t, ProgramId> pending;
    /// Offsets of the entries that it appended, including those of earlier incarnations.
    std::vector<Offset> appended_offsets;
  };

  void Enqueue(Daemon& daemon, Record record);
  void Flush(Daemon& daemon, std::uint32_t count);
  void AppendEntry(Batch batch);
  void CatchUp(Daemon& daemon, std::uint64_t count);
  void Restart(Daemon& daemon, std::uint32_t argument);
  void Checkpoint(Daemon& daemon);
  void AppendAgain(const Daemon& daemon, std::uint32_t argument);
  void Claim(Daemon& daemon, const Step& step);
  void Release(Daemon& daemon, const Step& step);
  void CreateProgram(Daemon& daemon, const Step& step);
  void UpdateProgram(Daemon& daemon, const Step& step);
  void SpendOrCommitTurn(Daemon& daemon, const Step& step, const Program& program, Epoch epoch);
  /// The first daemon, starting from that of the step, whose state makes it the owner of the
  /// program; the daemon of the step if there is none.
  Daemon& NextOwner(const Step& step);
  static bool Owns(const Daemon& daemon, ShardId shard);
  bool IsPending(const Daemon& daemon, const ProgramId& program) const;
  void CheckProgram(const Program& program) const;
  void CheckEffects() const;
  void CheckRevisions() const;

  StateOptions options_;
  State reference_;
  std::vector<Entry> entries_;
  std::vector<Daemon> daemons_;
  std::int64_t time_ms_ = 1'700'000'000'000;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_TEST_CLUSTER_H_
