// Measures the growth rates listed in docs/CAPACITY.md: memory and time of the replayed journal
// state by number of programs, turns and history tokens, and the time to compute the placement of
// shards by number of members.

#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include "acaciaspring/journal.h"
#include "acaciaspring/placement.h"

namespace {

namespace journal = acaciaspring::journal;
using acaciaspring::DaemonId;
using acaciaspring::IdempotencyKey;
using acaciaspring::Incarnation;
using acaciaspring::Offset;
using acaciaspring::OrganisationId;
using acaciaspring::ProgramId;
using acaciaspring::TokenCount;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kRecordsPerBatch = 64;

double ResidentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Microseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

void Print(const std::string& name, double value, const std::string& unit) {
  std::cout << name << " " << std::fixed << std::setprecision(3) << value << " " << unit << "\n";
}

/// @brief Builds a journal state from encoded batches as the log delivers them; one daemon owns all
/// shards.
class JournalReplay {
 public:
  JournalReplay() {
    journal::ShardsClaimed claim;
    for (std::uint16_t shard = 0; shard < acaciaspring::kShardCount; ++shard) {
      claim.shards.Add(acaciaspring::ShardId(shard));
    }
    claim.owner = daemon_;
    claim.incarnation = incarnation_;
    Add(std::move(claim));
    Flush();
  }

  void Add(journal::Record record) {
    journal::Envelope envelope;
    envelope.id = journal::RecordId{daemon_, incarnation_, ++sequence_};
    envelope.observed = offset_;
    envelope.record = std::move(record);
    batch_.envelopes.push_back(std::move(envelope));
    if (batch_.envelopes.size() >= kRecordsPerBatch) {
      Flush();
    }
  }

  // Encodes and decodes the batch as a transfer through the log does, and applies it to the state.
  // Only decoding and applying are timed.
  void Flush() {
    if (batch_.envelopes.empty()) {
      return;
    }
    const std::string bytes = acaciaspring::wire::Encode(batch_);
    bytes_ += bytes.size();
    records_ += batch_.envelopes.size();
    batch_.envelopes.clear();
    const auto start = Clock::now();
    const auto decoded = acaciaspring::wire::Decode<journal::Batch>(bytes);
    state_.Apply(++offset_, acaciaspring::WallTime(std::chrono::milliseconds(offset_.value())),
                 decoded);
    apply_time_ += Clock::now() - start;
  }

  acaciaspring::Epoch EpochOf(const ProgramId& program) const {
    return state_.OwnerOf(acaciaspring::ShardOf(program))->epoch;
  }
  const journal::State& state() const { return state_; }
  double MicrosecondsPerRecord() const {
    return Microseconds(apply_time_) / static_cast<double>(records_);
  }
  double BytesPerRecord() const {
    return static_cast<double>(bytes_) / static_cast<double>(records_);
  }
  void ResetCounters() {
    apply_time_ = {};
    records_ = 0;
    bytes_ = 0;
  }

 private:
  DaemonId daemon_{"d1"};
  Incarnation incarnation_{1};
  journal::State state_;
  journal::Batch batch_;
  Offset offset_;
  std::uint64_t sequence_ = 0;
  std::uint64_t records_ = 0;
  std::uint64_t bytes_ = 0;
  Clock::duration apply_time_{};
};

ProgramId AddProgram(JournalReplay& replay, std::size_t number) {
  const OrganisationId organisation("org-" + std::to_string(number % 330));
  const IdempotencyKey key("create-" + std::to_string(number));
  journal::ProgramCreated record;
  record.program = acaciaspring::MakeProgramId(organisation, key);
  record.epoch = replay.EpochOf(record.program);
  record.organisation = organisation;
  record.key = key;
  record.priority_class = acaciaspring::PriorityClassId("chat");
  record.budget = TokenCount(1'000'000'000);
  record.max_calls = 1000;
  const ProgramId program = record.program;
  replay.Add(std::move(record));
  return program;
}

void AddTurn(JournalReplay& replay,
             const ProgramId& program,
             std::uint32_t turn,
             std::size_t tokens) {
  journal::TurnCommitted record;
  record.program = program;
  record.epoch = replay.EpochOf(program);
  record.turn = acaciaspring::TurnNumber(turn);
  record.key = IdempotencyKey("turn-" + std::to_string(turn));
  record.model = acaciaspring::ModelId("model-a");
  const std::size_t half = tokens * kBytesPerToken / 2;
  record.messages = R"([{"role":"user","content":")" + std::string(half, 'q') + R"("}])";
  record.answer = std::string(half, 'a');
  record.usage = {TokenCount(tokens), TokenCount(tokens / 2), TokenCount(0)};
  replay.Add(std::move(record));
}

void MeasurePrograms(std::size_t programs) {
  const std::string prefix = "programs_" + std::to_string(programs);
  const double memory_before = ResidentMegabytes();
  JournalReplay replay;
  for (std::size_t number = 0; number < programs; ++number) {
    AddProgram(replay, number);
  }
  replay.Flush();
  Print(prefix + "_create_time", replay.MicrosecondsPerRecord(), "us/record");
  Print(prefix + "_memory", ResidentMegabytes() - memory_before, "MB");
  Print(prefix + "_create_size", replay.BytesPerRecord(), "bytes/record");
}

void MeasureHistory(std::size_t turns, std::size_t tokens) {
  const std::string prefix = "history_" + std::to_string(tokens);
  const double memory_before = ResidentMegabytes();
  JournalReplay replay;
  const ProgramId program = AddProgram(replay, 0);
  replay.Flush();
  replay.ResetCounters();
  for (std::uint32_t turn = 1; turn <= turns; ++turn) {
    AddTurn(replay, program, turn, tokens / turns);
  }
  replay.Flush();
  Print(prefix + "_turn_time", replay.MicrosecondsPerRecord(), "us/record");
  Print(prefix + "_turn_size", replay.BytesPerRecord(), "bytes/record");
  Print(prefix + "_memory", ResidentMegabytes() - memory_before, "MB");
  const auto start = Clock::now();
  journal::ProgramCheckpoint checkpoint{program, replay.EpochOf(program),
                                        *replay.state().FindProgram(program)};
  const std::string bytes = acaciaspring::wire::Encode(checkpoint);
  Print(prefix + "_checkpoint_time", Microseconds(Clock::now() - start), "us");
  Print(prefix + "_checkpoint_size", static_cast<double>(bytes.size()), "bytes");
}

void MeasurePlacement(std::size_t members) {
  std::vector<acaciaspring::membership::Member> member_list;
  for (std::size_t number = 0; number < members; ++number) {
    acaciaspring::membership::Member member;
    member.id = DaemonId("d" + std::to_string(number));
    member.incarnation = Incarnation(1);
    member.zone = acaciaspring::AvailabilityZone("z" + std::to_string(number % 5));
    member.region = acaciaspring::membership::Region("r");
    member.ready = true;
    member_list.push_back(member);
  }
  acaciaspring::placement::Placement placement;
  const auto start = Clock::now();
  placement.Update(member_list);
  const auto first_update_end = Clock::now();
  member_list.back().state = acaciaspring::membership::MemberState::kDead;
  placement.Update(member_list);
  const std::string prefix = "placement_" + std::to_string(members);
  Print(prefix + "_first", Microseconds(first_update_end - start), "us");
  Print(prefix + "_one_death", Microseconds(Clock::now() - first_update_end), "us");
}

}  // namespace

int main() {
  for (const std::size_t programs : {1'000, 10'000, 100'000}) {
    MeasurePrograms(programs);
  }
  for (const std::size_t tokens : {10'000, 100'000, 290'000}) {
    MeasureHistory(530, tokens);
  }
  for (const std::size_t members : {7, 60, 420}) {
    MeasurePlacement(members);
  }
  return 0;
}
