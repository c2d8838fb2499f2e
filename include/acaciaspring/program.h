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

/// @brief Who waits for the answer of a call: an exchange on a channel between daemons.
struct Subscriber {
  std::uint64_t channel = 0;
  ExchangeId exchange;
  auto operator<=>(const Subscriber&) const = default;
};

/// @brief Identifies an append whose verdict is awaited.
using AppendId = StrongNumber<struct AppendIdTag>;

/// @brief Work for an endpoint or a service; whoever executes the action chooses the endpoint.
struct DispatchOrder {
  ProgramId program;
  ProgramId root;
  OrganisationId organisation;
  PriorityClassId priority_class;
  /// Tokens the whole tree of programs has spent.
  TokenCount attained;
  TokenCount prompt_estimate;
  MonotonicTime deadline;
  std::variant<wire::ModelDispatch, wire::ToolDispatch> work;
  std::string traceparent;
  /// 0 for the first attempt.
  std::uint32_t retry = 0;
};

struct AppendRecord {
  AppendId append;
  journal::Record record;
};
struct StartDispatch {
  ExchangeId attempt;
  DispatchOrder order;
};
struct CancelDispatch {
  ExchangeId attempt;
};
struct SendEvent {
  Subscriber to;
  std::uint64_t offset = 0;
  std::string text;
  /// Hash64 of the answer up to the end of the text.
  std::uint64_t hash = 0;
};
/// @brief Body of a finished model call: why the answer ends there.
inline constexpr const char* kFinishStop = "stop";
inline constexpr const char* kFinishLength = "length";
struct SendFinished {
  Subscriber to;
  Outcome outcome;
  std::string body;
  wire::Usage usage;
};
struct SendWrongOwner {
  Subscriber to;
  DaemonId owner;
  Epoch epoch;
};

/// @brief What the caller of Home must do, in this order.
using Action = std::
    variant<AppendRecord, StartDispatch, CancelDispatch, SendEvent, SendFinished, SendWrongOwner>;
using Actions = std::vector<Action>;

struct ServiceOptions {
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(10);
};

/// @brief The limits in force; from the configuration.
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
  /// Attempts of one idempotent call.
  std::uint32_t max_attempts = 3;
  /// Time after the deadline in which a dispatcher must have reported the end of a call.
  Duration dispatch_grace = std::chrono::seconds(2);
  /// Retry delay told to callers that met a shard in hand-over or a full queue.
  std::uint32_t retry_after_ms = 20;
};

class HomeImpl;

/// @brief The home of the programs whose shards this daemon owns: order of calls, budget, history
/// and non-idempotent calls. No I/O: every input returns the actions to execute.
class Home {
 public:
  /// @brief `state` is the fold of this daemon and must outlive the home.
  Home(const journal::State& state, HomeOptions options);
  ~Home();

  void SetLimits(Limits limits);
  /// @brief While the log does not answer, calls that would start are refused.
  void SetLogAvailable(bool available);
  /// @brief A draining shard finishes what it has accepted and refuses new calls.
  void SetDraining(ShardId shard, bool draining);

  Actions OnCall(MonotonicTime now, Subscriber from, const wire::CallRequest& request);
  /// @brief The caller is gone; its call goes on and the result is kept.
  void OnCallCancelled(Subscriber from);
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
  /// @brief Drops the calls of shards that another daemon owns now. Call after the fold has
  /// advanced.
  Actions OnOwnershipChanged();
  /// @brief Ends calls past their deadline.
  Actions Tick(MonotonicTime now);

  /// @brief Shards with calls that are queued or running here.
  std::set<ShardId> BusyShards() const;
  /// @brief Calls queued or running.
  std::size_t active_calls() const;

 private:
  std::unique_ptr<HomeImpl> impl_;
};

}  // namespace acaciaspring::program

#endif  // ACACIASPRING_PROGRAM_H_
