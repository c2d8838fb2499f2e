#ifndef ACACIASPRING_PROGRAM_H_
#define ACACIASPRING_PROGRAM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/journal.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::program {

/// @brief Receiver of the answer of a call: an exchange on a channel between daemons.
struct Subscriber {
  std::uint64_t channel = 0;
  ExchangeId exchange;
  auto operator<=>(const Subscriber&) const = default;
};

/// @brief Identifies an append whose verdict is pending.
using AppendId = StrongNumber<struct AppendIdTag>;

/// @brief One attempt of a model or tool call. The executor of the action chooses the endpoint.
struct DispatchOrder {
  ProgramId program;
  ProgramId root;
  OrganisationId organisation;
  PriorityClassId priority_class;
  /// Attained service: tokens spent by the root program and those of its descendants that have
  /// ended.
  TokenCount attained;
  TokenCount prompt_estimate;
  MonotonicTime deadline;
  std::variant<wire::ModelDispatch, wire::ToolDispatch> work;
  std::string traceparent;
  /// Number of the retry; 0 for the first attempt.
  std::uint32_t retry = 0;
};

/// @brief Appends `record` to the journal and reports its verdict to Home::OnVerdict.
struct AppendRecord {
  AppendId append;
  journal::Record record;
};
/// @brief Sends an attempt to a dispatcher; its events and its end are reported to Home.
struct StartDispatch {
  ExchangeId attempt;
  DispatchOrder order;
};
/// @brief Cancels an attempt; Home ignores later events of it.
struct CancelDispatch {
  ExchangeId attempt;
};
/// @brief Sends the part of the answer that starts at byte `offset`.
struct SendEvent {
  Subscriber to;
  std::uint64_t offset = 0;
  std::string text;
  /// Hash64 of the answer up to the end of the text.
  std::uint64_t hash = 0;
};
/// @brief Finish reasons of a completed model call, sent as the body of SendFinished.
inline constexpr const char* kFinishStop = "stop";
inline constexpr const char* kFinishLength = "length";
/// @brief Sends the outcome of a call.
struct SendFinished {
  Subscriber to;
  Outcome outcome;
  std::string body;
  wire::Usage usage;
};
/// @brief Redirects a subscriber to the owner of the shard; `owner` is empty if none is known.
struct SendWrongOwner {
  Subscriber to;
  DaemonId owner;
  Epoch epoch;
};

/// @brief An action that Home requests. The caller executes the actions in their order.
using Action = std::
    variant<AppendRecord, StartDispatch, CancelDispatch, SendEvent, SendFinished, SendWrongOwner>;
using Actions = std::vector<Action>;

struct ServiceOptions {
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(10);
};

/// @brief Limits, services and priority classes of the current configuration.
struct Limits {
  TokenCount program_budget{1'000'000};
  std::uint32_t program_max_calls = 1000;
  TokenCount max_output{4096};
  std::size_t queued_calls_per_program = 16;
  std::size_t max_message_bytes = std::size_t{256} << 10;
  std::map<ServiceId, ServiceOptions> services;
  std::set<PriorityClassId> priority_classes;
};

struct HomeOptions {
  DaemonId self;
  Incarnation incarnation;
  /// Maximum number of attempts of a model call or an idempotent tool call.
  std::uint32_t max_attempts = 3;
  /// Time after the deadline of a call at which an attempt without a reported end is cancelled.
  Duration dispatch_grace = std::chrono::seconds(2);
  /// Retry delay for calls that are refused with kOwnerUnavailable, such as those for a draining
  /// shard.
  std::uint32_t retry_after_ms = 20;
};

class HomeImpl;

/// @brief State machine for the programs whose shards this daemon owns. It serialises the calls of
/// each program, enforces its budget, records its history and ensures that a non-idempotent call is
/// dispatched at most once. It does no I/O: each input returns the actions to execute.
class Home {
 public:
  /// @brief `state` is the journal state of this daemon and must outlive the Home.
  Home(const journal::State& state, HomeOptions options);
  ~Home();

  void SetLimits(Limits limits);
  /// @brief While the log is unavailable, new calls are refused.
  void SetLogAvailable(bool available);
  /// @brief A draining shard finishes the calls it has accepted and refuses new ones.
  void SetDraining(ShardId shard, bool draining);

  Actions OnCall(MonotonicTime now, Subscriber from, const wire::CallRequest& request);
  /// @brief Removes a subscriber. Its call continues and the result is recorded.
  void OnCallCancelled(Subscriber from);
  /// @brief Removes all subscribers of the channel.
  void OnChannelClosed(std::uint64_t channel);
  Actions OnVerdict(MonotonicTime now, AppendId append, const journal::Verdict& verdict);
  Actions OnDispatchEvent(MonotonicTime now,
                          ExchangeId attempt,
                          std::uint64_t index,
                          std::string_view text);
  Actions OnDispatchFinished(MonotonicTime now,
                             ExchangeId attempt,
                             const Outcome& outcome,
                             std::string body,
                             wire::Usage usage);
  /// @brief Redirects the calls of shards that this daemon no longer owns to the new owner. Must be
  /// called after the journal state has been updated.
  Actions OnOwnershipChanged();
  /// @brief Ends queued and running calls whose deadline has passed.
  Actions Tick(MonotonicTime now);

  /// @brief Shards with queued or running calls.
  std::set<ShardId> BusyShards() const;
  /// @brief Number of queued and running calls.
  std::size_t active_calls() const;

 private:
  std::unique_ptr<HomeImpl> impl_;
};

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_PROGRAM_H_
