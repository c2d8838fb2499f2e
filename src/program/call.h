#ifndef ACACIASPRING_SRC_PROGRAM_CALL_H_
#define ACACIASPRING_SRC_PROGRAM_CALL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/program.h"

namespace acaciaspring::program {

/// @brief What a running call waits for.
enum class Phase : std::uint8_t {
  /// SpendAuthorised, before an attempt.
  kAuthorising,
  /// SpendAuthorised that only charges the spend of a lost attempt; the call then ends as Unknown.
  kCharging,
  /// EffectIntended.
  kIntending,
  /// EffectFinished(NotRun) for an intent whose call will not be dispatched.
  kWithdrawing,
  /// The end of the attempt.
  kDispatching,
  /// The record that holds the result.
  kCommitting,
  /// ProgramCreated.
  kCreating,
  /// ProgramEnded.
  kEnding,
};

struct Listener {
  Subscriber subscriber;
  wire::ResumePoint resume;
  /// Bytes of the answer sent.
  std::uint64_t sent = 0;
  /// The resume point was compared with the answer.
  bool verified = false;
};

/// @brief A call that was accepted, queued or running.
struct Call {
  wire::CallRequest request;
  std::vector<Listener> listeners;
  MonotonicTime deadline;
};

struct RunningCall {
  Call call;
  Phase phase = Phase::kDispatching;
  /// Epoch under which the call was started.
  Epoch epoch;
  AppendId append;
  ExchangeId attempt;
  std::uint32_t attempts = 0;
  /// Text that listeners may have received.
  std::string answer;
  /// Text of the current attempt.
  std::string attempt_text;
  std::uint64_t next_index = 0;
  TokenCount prompt_bound;
  TokenCount output_cap;
  /// Result that waits for its record.
  Outcome outcome;
  std::string body;
  wire::Usage usage;
  /// The listeners have been told an outcome; the call only goes on to settle its records.
  bool expired = false;
  /// An attempt ended as Unknown, so the call can no longer end as NotRun.
  bool may_have_run = false;

  TokenCount worst_case() const { return prompt_bound + output_cap; }
};

/// @brief Calls of one program: at most one runs, the others wait in order of arrival.
struct ProgramCalls {
  std::deque<Call> queue;
  std::optional<RunningCall> running;
};

/// @brief Whether two requests with the same key ask for the same work.
bool SameWork(const wire::Operation& left, const wire::Operation& right);

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_SRC_PROGRAM_CALL_H_
