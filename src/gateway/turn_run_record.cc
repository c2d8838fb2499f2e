#include "src/gateway/turn_run.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// A slow store responds in 240 ms; after a longer wait the partition is probably unavailable.
constexpr Duration kAnyPartitionDelay = std::chrono::milliseconds(300);
// The store may take the records of the partition at half of its rate.
constexpr int kBacklogMultiple = 2;

}  // namespace

void TurnRun::RecordTurn() {
  recording_since_ = context_.loop.Now();
  for (const ledger::Turn& turn : imported_turns_) {
    partition_->Append({.turn = turn}, [](bool) {});
  }
  ledger::Record record;
  if (request_.program.budget) {
    record.spend = partition_->ledger().SpendAtEnd(claim_, UsedTokens());
  }
  record.turn = ledger::Turn{.id = ledger::TurnId(request_.program.id_prefix + request_.id.value()),
                             .previous_turn = request_.program.previous_turn,
                             .input = std::move(request_.body),
                             .output = std::move(output_),
                             .recorded_at = net::Loop::WallNow(),
                             .retention = Duration(request_.retention_us)};
  turn_record_ = record.turn;
  Settle();
  const auto self = shared_from_this();
  const bool stalled = partition_->stalled();
  partition_->Append(record, [weak = weak_from_this()](bool durable) {
    const auto live = weak.lock();
    if (!live || live->ended_) {
      return;
    }
    if (durable) {
      live->OnRecorded(true);
    } else {
      live->RecordAtNextOwner();
    }
  });
  if (ended_) {
    return;
  }
  if (stalled) {
    RecordInAnyPartition();
  } else {
    const Duration delay = kAnyPartitionDelay + kBacklogMultiple * partition_->BacklogTime();
    any_partition_timer_ = context_.loop.After(delay, [this] { RecordInAnyPartition(); });
  }
}

void TurnRun::RecordAtNextOwner() {
  // The next owner has already counted the tokens, because they were below the recorded ceiling. It
  // lacks the turns of the chain whose records were lost with the partition.
  std::vector<ledger::Turn> turns = imported_turns_;
  for (const ledger::Turn& turn :
       partition_->ledger().UnrecordedInChain(request_.program.previous_turn)) {
    turns.push_back(turn);
  }
  turns.push_back(*turn_record_);
  dependencies_.commit_at_next_owner(
      {.program = request_.program.program, .turns = std::move(turns)}, deadline_,
      [weak = weak_from_this()](bool recorded) {
        if (const auto live = weak.lock()) {
          live->OnRecorded(recorded);
        }
      });
}

void TurnRun::RecordInAnyPartition() {
  std::vector<ledger::Turn> turns = imported_turns_;
  const ledger::TurnId& previous = request_.program.previous_turn;
  if (!previous.empty() && turns.empty()) {
    const auto chain = partition_->ledger().Chain(previous);
    if (!chain) {
      return;
    }
    for (const ledger::Turn* turn : *chain) {
      turns.push_back(*turn);
    }
  }
  turns.push_back(*turn_record_);
  cancel_any_partition_ = dependencies_.record_in_any_partition(
      {.program = request_.program.program, .turns = turns, .any_partition = true}, deadline_,
      [weak = weak_from_this(), turns](bool durable) {
        const auto self = weak.lock();
        if (!self || self->ended_ || !durable) {
          return;
        }
        // Lets the program's next turn find its chain in this partition.
        self->partition_->ledger().AddRecordedElsewhere(turns);
        self->context_.events.Write("recorded_elsewhere",
                                    {{"id", self->request_.id.value()},
                                     {"partition", self->partition_->id().value()},
                                     {"turns", static_cast<std::int64_t>(turns.size())}});
        self->OnRecorded(true);
      });
}

void TurnRun::OnRecorded(bool durable) {
  if (ended_) {
    return;
  }
  if (durable) {
    const auto self = shared_from_this();
    FlushDelayedData();
    sink_->End();
    Finish("completed");
  } else {
    FailWith({.status = 502, .reason = "owner_changed"});
  }
}

}  // namespace acaciaspring::gateway
