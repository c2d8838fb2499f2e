#ifndef ACACIASPRING_SRC_PROGRAM_CALL_H_
#define ACACIASPRING_SRC_PROGRAM_CALL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/program.h"

namespace acaciaspring::program {

/// @brief Phase of a running call, named after the record or event that the call waits for.
enum class Phase : std::uint8_t {
  /// Verdict on SpendAuthorised before an attempt.
  kAuthorising,
  /// Verdict on a SpendAuthorised that only charges an attempt with an unknown end; the call then
  /// ends as Unknown.
  kCharging,
  /// Verdict on EffectIntended.
  kRecordingIntent,
  /// Verdict on EffectFinished with NotRun, for an intent whose call will not be dispatched.
  kCancellingIntent,
  /// End of the attempt.
  kDispatching,
  /// Verdict on the record that contains the result.
  kCommitting,
  /// Verdict on ProgramCreated.
  kCreating,
  /// Verdict on ProgramEnded.
  kEnding,
};

/// @brief A subscriber of a call and its position in the answer.
struct Subscription {
  Subscriber subscriber;
  wire::ResumePoint resume;
  /// Length of the answer that the subscriber has, in bytes.
  std::uint64_t sent = 0;
  /// The hash of the resume point matched the answer.
  bool resume_verified = false;
};

/// @brief A queued or running call.
struct Call {
  wire::CallRequest request;
  std::vector<Subscription> subscriptions;
  MonotonicTime deadline;
};

/// @brief The call of a program that is being executed.
struct RunningCall {
  Call call;
  Phase phase = Phase::kDispatching;
  /// Ownership epoch of the shard at the start of the call.
  Epoch epoch;
  AppendId append;
  ExchangeId attempt;
  std::uint32_t attempts = 0;
  /// Text that subscribers may have received.
  std::string answer;
  /// Text of the current attempt.
  std::string attempt_text;
  /// Index of the next event of the current attempt.
  std::uint64_t next_index = 0;
  /// Upper bound of the prompt tokens.
  TokenCount prompt_bound;
  /// Maximum number of output tokens.
  TokenCount output_cap;
  /// Result to send once its record is accepted.
  Outcome outcome;
  std::string body;
  wire::Usage usage;
  /// The deadline has passed and the subscribers have received an outcome. The call continues only
  /// until the verdicts on its records arrive.
  bool expired = false;
  /// An attempt ended as Unknown, so the call must not end as NotRun.
  bool may_have_run = false;

  /// @brief Upper bound of the tokens that one attempt spends.
  TokenCount max_spend() const { return prompt_bound + output_cap; }
};

/// @brief Calls of one program. At most one runs; the others are queued in order of arrival.
struct ProgramCalls {
  std::deque<Call> queue;
  std::optional<RunningCall> running;
};

/// @brief Whether two operations are equal in all fields. A repeated key with another operation is
/// a conflict.
bool IsSameOperation(const wire::Operation& left, const wire::Operation& right);

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_SRC_PROGRAM_CALL_H_
