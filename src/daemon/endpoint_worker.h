#ifndef ACACIASPRING_SRC_DAEMON_ENDPOINT_WORKER_H_
#define ACACIASPRING_SRC_DAEMON_ENDPOINT_WORKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "acaciaspring/endpoint.h"
#include "acaciaspring/scheduling.h"
#include "src/daemon/context.h"
#include "src/daemon/json.h"

namespace acaciaspring::daemon {

struct EngineTarget {
  double decode_tokens_per_second = 50;
};
struct ServiceTarget {
  std::string operation;
  Duration timeout{};
};

/// @brief Address and properties of the endpoint or tool service to which a worker sends calls.
struct EndpointTarget {
  EndpointId id;
  net::Address address;
  AvailabilityZone zone;
  std::uint32_t concurrency = 1;
  bool leaving = false;
  std::variant<EngineTarget, ServiceTarget> kind;
};

/// @brief Queues the calls to one endpoint or tool service and runs them within its concurrency.
class EndpointWorker {
 public:
  EndpointWorker(Context context, EndpointTarget target);
  ~EndpointWorker();

  /// @brief Applies a changed target or scheduling policy. Queued calls are queued again under the
  /// new policy; those that it does not accept are refused.
  void Configure(EndpointTarget target);
  void Push(ChannelId channel, wire::DispatchRequest request);
  /// @brief Cancels a call: a queued call is refused, a running model call is aborted, and a
  /// running tool call continues.
  void Cancel(ChannelId channel, ExchangeId exchange);
  /// @brief Cancels all calls of a channel that has closed.
  void CancelChannel(ChannelId channel);
  /// @brief Releases the KV cache that the engine may hold for an ended program.
  void ReleaseProgram(const ProgramId& program);
  /// @brief Ends calls whose deadline has passed. If this daemon is the assigned dispatcher of an
  /// engine, also polls its load and releases KV cache held for ended or unknown programs.
  void Tick(bool assigned);

  bool idle() const { return active_calls_.empty(); }
  std::size_t queued() const { return queue_->size(); }
  std::size_t running() const { return running_; }
  bool available() const { return !target_.leaving && !reported_leaving_ && !unreachable_; }
  const EndpointTarget& target() const { return target_; }
  wire::EndpointReport MakeReport() const;

 private:
  /// A queued or running call.
  struct ActiveCall;
  using ActiveCallPtr = std::shared_ptr<ActiveCall>;

  bool is_engine() const { return std::holds_alternative<EngineTarget>(target_.kind); }
  QueuedCall MakeQueuedCall(const ActiveCall& call) const;
  EndpointOccupancy Occupancy() const;
  void StartQueuedCalls();
  void Run(const ActiveCallPtr& call);
  void RunModel(const ActiveCallPtr& call, const wire::ModelDispatch& work);
  void RunTool(const ActiveCallPtr& call, const wire::ToolDispatch& work);
  void RecordServedCost(const ActiveCall& call, const wire::Usage& usage);
  void Finish(const ActiveCallPtr& call,
              const Outcome& outcome,
              std::string body,
              wire::Usage usage);
  void Refuse(const ActiveCallPtr& call, NotRunReason reason, std::uint32_t retry_after_ms);
  void RefuseQueued(NotRunReason reason);
  void PollLoad();
  void PollHolds();
  void ReleaseHold(const ProgramId& program);
  bool IsEndedOrUnknown(const ProgramId& program) const;

  Context context_;
  EndpointTarget target_;
  std::unique_ptr<EndpointQueue> queue_;
  Admission admission_;
  /// Queued and running calls.
  std::map<QueuedCallId, ActiveCallPtr> active_calls_;
  std::size_t running_ = 0;
  QueuedCallId last_id_;
  double mean_output_tokens_;
  double mean_call_cost_;
  bool reported_leaving_ = false;
  bool unreachable_ = false;
  std::uint32_t failed_polls_ = 0;
  MonotonicTime next_load_poll_{};
  MonotonicTime next_hold_poll_{};
  /// Programs for which the engine may hold KV cache.
  std::set<ProgramId> possible_holds_;
  /// Programs that are ended or unknown but have a hold, with the time when that was first seen.
  std::map<ProgramId, MonotonicTime> orphaned_holds_;
  endpoint::CallPtr load_poll_;
  endpoint::CallPtr hold_poll_;
  std::map<ProgramId, endpoint::CallPtr> releases_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_ENDPOINT_WORKER_H_
