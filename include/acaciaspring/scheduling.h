#ifndef ACACIASPRING_SCHEDULING_H_
#define ACACIASPRING_SCHEDULING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring {

/// @brief Identifies one queued call within a dispatcher; assigned by the dispatcher, never reused.
using QueuedCallId = StrongNumber<struct QueuedCallIdTag>;

/// @brief A call that waits for a slot of an endpoint.
struct QueuedCall {
  QueuedCallId id;
  OrganisationId organisation;
  ProgramId program;
  ProgramId root_program;
  PriorityClassId priority_class;
  /// Tokens served so far to the root program, including its sub-agents.
  TokenCount attained_service;
  /// Prompt tokens that the endpoint is expected to compute because they are not in its cache.
  TokenCount expected_prompt;
  TokenCount expected_output;
  MonotonicTime deadline = MonotonicTime::max();
  MonotonicTime enqueued_at;
  /// Set by EndpointQueue::Pop(): the call was served before more urgent calls because its class
  /// was below its minimum share.
  bool served_by_minimum_share = false;
};

struct PriorityClassPolicy {
  PriorityClassId id;
  /// 0 is the most urgent class; ranks are distinct.
  std::uint32_t rank = 0;
  /// Share of the served cost that the class is guaranteed while more urgent classes have a
  /// backlog; the sum over all classes must be below 1.
  double minimum_share = 0;
  /// Maximum predicted wait at which a call is admitted.
  Duration first_token_target = std::chrono::milliseconds(1200);
};

struct EndpointQueueOptions {
  std::vector<PriorityClassPolicy> classes{};
  std::unordered_map<OrganisationId, double> organisation_weights{};
  double default_weight = 1;
  /// Deficit round robin quantum: cost that an organisation of weight 1 is granted per round. About
  /// the cost of a small call, since an organisation may have to wait until each other one has used
  /// a quantum.
  double quantum = 128;
  /// Upper bound of the share credit that an idle class accumulates, and of the overrun of its
  /// share that service in rank order is charged for.
  double share_burst = 1024;
  /// Cost of a prompt token relative to an output token.
  double prompt_token_cost = 0.1;
  /// Tokens of attained service that one second of waiting offsets.
  double ageing_tokens_per_second = 1000;
  std::size_t capacity = 10'000;
  /// Switches for the individual ordering rules, used by benchmarks. With a rule off, that level
  /// serves calls in order of arrival.
  bool order_by_class = true;
  bool keep_minimum_shares = true;
  bool fair_organisations = true;
  /// Off by default because measurements showed no gain; see docs/decisions/policy.md.
  bool least_attained_service = false;
};

/// @brief Thrown for an unknown priority class, invalid options or a duplicate call id.
class SchedulingError : public Error {
 public:
  enum class Kind : std::uint8_t { kUnknownClass, kInvalidOptions, kDuplicateCall };
  SchedulingError(Kind kind, const std::string& what) : Error(what), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

/// @brief Estimate of the work that would be served before a call that is not queued yet.
struct WorkAhead {
  /// Cost of the calls queued in more urgent classes.
  double more_urgent_cost = 0;
  /// Cost of the calls of the same class that would be served before the call.
  double own_class_cost = 0;
  /// Cost served to the class beyond its minimum share; negative if it is below its share.
  double own_share_overrun = 0;
  /// Sum of the minimum shares of less urgent classes with queued calls.
  double less_urgent_shares = 0;
};

/// @brief Queue of the calls that wait for one endpoint, in service order.
///
/// Priority classes are served by rank, but classes below their minimum share are served first.
/// Within a class, organisations are served by deficit round robin. Within an organisation, calls
/// are served in order of arrival or by least attained service of the root program with ageing.
class EndpointQueue {
 public:
  explicit EndpointQueue(EndpointQueueOptions options);

  /// @return false if the queue is full. Throws SchedulingError for an unknown class or an id that
  /// is already queued.
  bool Push(QueuedCall call);
  /// @return the next call whose deadline has not passed, or none.
  std::optional<QueuedCall> Pop(MonotonicTime now);
  /// @return the removed call, or none if the id is not queued.
  std::optional<QueuedCall> Remove(QueuedCallId id);
  /// @brief Removes and returns the calls whose deadline is at or before `now`.
  std::vector<QueuedCall> ExpireBefore(MonotonicTime now);
  /// @brief Corrects the deficit and the share credit of a popped call once its actual token counts
  /// are known.
  void OnServed(const QueuedCall& call, TokenCount prompt, TokenCount output);

  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  /// @brief Earliest deadline of a queued call.
  std::optional<MonotonicTime> NextDeadline() const;
  double Cost(const QueuedCall& call) const;
  /// @brief The most urgent class with queued calls.
  std::optional<PriorityClassId> MostUrgentClass() const;
  /// @brief Class of the call that Pop() would return if no deadline has passed.
  std::optional<PriorityClassId> NextClass() const;
  /// @brief Whether the class has queued calls and has been served less than its minimum share.
  bool BelowMinimumShare(const PriorityClassId& priority_class) const;
  const PriorityClassPolicy& Policy(const PriorityClassId& priority_class) const;
  const EndpointQueueOptions& options() const { return options_; }
  /// @brief Estimates the work that would be served before the call. The organisation's queued
  /// calls are summed only until their cost exceeds `limit`.
  WorkAhead EstimateWorkAhead(const QueuedCall& call, double limit) const;

 private:
  /// Place of a call in the order within its organisation; a lower key is served first.
  struct Position {
    double key = 0;
    QueuedCallId id;
    double cost = 0;
    bool operator<(const Position& other) const {
      return key != other.key ? key < other.key : id < other.id;
    }
  };
  struct OrganisationQueue {
    std::set<Position> order;
    double weight = 1;
    double cost = 0;
    /// Deficit counter of deficit round robin: cost that may be served in the current round.
    double deficit = 0;
    /// Whether the quantum of the current round was added to the deficit.
    bool quantum_added = false;
    std::list<OrganisationQueue*>::iterator active_position;
  };
  struct ClassQueue {
    PriorityClassPolicy policy;
    std::unordered_map<OrganisationId, OrganisationQueue> organisations;
    /// Organisations with queued calls; the front one is served next.
    std::list<OrganisationQueue*> active_organisations;
    double cost = 0;
    /// Cost that the class is below its minimum share; negative if it is above.
    double share_credit = 0;
    /// Sum of the weights of the active organisations.
    double active_weight = 0;
  };
  using CallMap = std::unordered_map<QueuedCallId, QueuedCall>;

  std::size_t PolicyIndex(const PriorityClassId& priority_class) const;
  std::size_t QueueIndex(const PriorityClassId& priority_class) const;
  OrganisationId OrganisationKey(const QueuedCall& call) const;
  Position PositionOf(const QueuedCall& call) const;
  double Weight(const OrganisationId& organisation) const;
  std::optional<std::size_t> MostUrgentIndex() const;
  std::optional<std::size_t> BelowShareIndex() const;
  QueuedCallId NextInClass(ClassQueue& queue) const;
  void SkipRoundsWithoutService(ClassQueue& queue) const;
  QueuedCall Extract(CallMap::iterator found);
  void Charge(std::size_t served, double cost, bool by_minimum_share);

  EndpointQueueOptions options_;
  std::vector<ClassQueue> classes_;
  CallMap calls_;
  std::set<std::pair<MonotonicTime, QueuedCallId>> deadlines_;
  /// Calls that Pop() skipped because their deadline had passed, until ExpireBefore() returns them.
  std::vector<QueuedCall> expired_;
};

/// @brief State of an endpoint as known to its dispatcher when a call arrives.
struct EndpointOccupancy {
  std::uint32_t running = 0;
  std::uint32_t concurrency = 1;
  /// Cost that the endpoint serves per second with all slots in use.
  double cost_per_second = 1;
  /// Mean cost of a running call.
  double mean_call_cost = 0;
  /// Running streams that may be paused for the call; see CountPausable().
  std::uint32_t pausable = 0;
};

struct AdmissionOptions {
  /// Time constant of the moving average of the arrival rate of more urgent work.
  Duration rate_window = std::chrono::seconds(10);
  std::uint32_t min_retry_after_ms = 50;
  std::uint32_t max_retry_after_ms = 30'000;
  bool enabled = true;
};

struct Admitted {
  Duration predicted_wait{};
};
using AdmissionDecision = std::variant<Admitted, NotRun>;

/// @brief Admission control: refuses a call whose predicted wait exceeds the first-token target of
/// its class or its deadline.
class Admission {
 public:
  explicit Admission(AdmissionOptions options = {});
  /// @brief Decides whether to admit a call that has not been pushed yet. An admitted call counts
  /// towards the arrival rate of its class.
  AdmissionDecision Decide(const EndpointQueue& queue,
                           const QueuedCall& call,
                           const EndpointOccupancy& endpoint,
                           MonotonicTime now);

 private:
  struct Rate {
    double cost_per_second = 0;
    MonotonicTime updated{};
  };
  double MoreUrgentRate(const EndpointQueue& queue, std::uint32_t rank, MonotonicTime now) const;
  double DecayedRate(const Rate& rate, MonotonicTime now) const;
  void OnAdmitted(std::uint32_t rank, double cost, MonotonicTime now);

  AdmissionOptions options_;
  std::map<std::uint32_t, Rate> rates_by_rank_;
};

struct RetryBudgetOptions {
  /// Retries per first attempt.
  double ratio = 0.1;
  /// Maximum number of retries that accumulate while none is sent; also the initial number.
  double capacity = 10;
};

/// @brief Token bucket that limits retries to a ratio of the first attempts.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});
  /// @brief Counts a first attempt.
  void OnRequest();
  /// @brief Consumes one retry from the budget.
  /// @return whether the retry may be sent.
  bool TryRetry();

 private:
  RetryBudgetOptions options_;
  double tokens_;
};

/// @brief Limits of one organisation, summed over all daemons.
struct OrganisationLimit {
  double calls_per_second = 100;
  double burst = 200;
  std::uint32_t concurrency = 64;
};

/// @brief A holder's request for its next grant. `sequence` increases with each request of a
/// holder.
struct GrantRequest {
  std::uint64_t sequence = 0;
  std::uint32_t wanted_calls = 0;
  std::uint32_t wanted_concurrency = 0;
  std::uint32_t running = 0;
};

/// @brief Calls and concurrency slots that a holder may use until `valid_for` after it sent the
/// request.
struct LimitGrant {
  std::uint64_t sequence = 0;
  std::uint32_t calls = 0;
  std::uint32_t concurrency = 0;
  Duration valid_for{};
  /// Delay before the next request if the grant is empty.
  Duration retry_after{};
};

struct LimitGrantorOptions {
  Duration valid_for = std::chrono::seconds(2);
  /// A new grantor starts with the calls that accrue in this time instead of the whole burst.
  Duration initial_span = std::chrono::milliseconds(500);
  std::size_t max_holders = 4096;
};

/// @brief Splits the limit of one organisation among the entry daemons that request grants; runs on
/// the organisation's limiter daemon.
///
/// All daemons together admit in a time window T at most
/// burst + rate * T + (grantor starts) * rate * initial_span + rate * (time with two grantors)
/// + rate * valid_for calls. The slots granted at any time are at most `concurrency` per grantor
/// with unexpired grants. Calls that still run after the expiry of their grant are not included in
/// that bound.
class LimitGrantor {
 public:
  LimitGrantor(OrganisationLimit limit, MonotonicTime now, LimitGrantorOptions options = {});
  LimitGrant Grant(const DaemonId& holder, const GrantRequest& request, MonotonicTime now);
  void SetLimit(OrganisationLimit limit, MonotonicTime now);

 private:
  struct Holder {
    std::uint32_t wanted_calls = 0;
    std::uint32_t wanted_concurrency = 0;
    /// Slots and expiry of each unexpired grant; the holder may still use an older grant if the
    /// response with a newer one was lost.
    std::vector<std::pair<std::uint32_t, MonotonicTime>> granted_slots;
    MonotonicTime expiry{};
  };
  void Refill(MonotonicTime now);
  void RemoveExpired(MonotonicTime now);
  std::uint32_t FairShare(std::uint32_t Holder::*wanted,
                          std::uint32_t own,
                          std::uint32_t available) const;

  OrganisationLimit limit_;
  LimitGrantorOptions options_;
  double tokens_;
  MonotonicTime last_refill_;
  std::map<DaemonId, Holder> holders_;
};

struct LimitHolderOptions {
  /// Time before the expiry of a grant at which the next one is requested; also the response
  /// timeout of a request.
  Duration renew_before = std::chrono::milliseconds(500);
  std::uint32_t min_calls = 4;
  std::uint32_t min_concurrency = 4;
};

/// @brief Spends the grants of one organisation on the calls of one entry daemon.
class LimitHolder {
 public:
  explicit LimitHolder(LimitHolderOptions options = {});
  /// @return none if the call may start; the caller then calls End() when the call ends. Otherwise
  /// kRateLimited or kConcurrencyLimited; the caller sends NextRequest() to the grantor and may try
  /// again after OnGrant().
  std::optional<NotRun> TryStart(MonotonicTime now);
  void End();
  /// @return a request to send to the grantor if one is due.
  std::optional<GrantRequest> NextRequest(MonotonicTime now);
  /// @brief Applies a grant; responses to unknown or superseded requests are ignored.
  void OnGrant(const LimitGrant& grant, MonotonicTime now);
  std::uint32_t running() const { return running_; }

 private:
  bool HasValidGrant(MonotonicTime now) const { return now < grant_expiry_; }

  LimitHolderOptions options_;
  std::uint64_t sequence_ = 0;
  MonotonicTime requested_at_{};
  bool request_outstanding_ = false;
  MonotonicTime next_request_at_ = MonotonicTime::min();
  MonotonicTime grant_expiry_ = MonotonicTime::min();
  std::uint32_t granted_calls_ = 0;
  std::uint32_t granted_concurrency_ = 0;
  std::uint32_t running_ = 0;
  /// TryStart() calls and maximum of `running_` since the last request.
  std::uint32_t start_attempts_ = 0;
  std::uint32_t peak_running_ = 0;
  bool start_refused_ = false;
};

/// @brief A call that is running on an endpoint.
struct RunningCall {
  QueuedCallId id;
  PriorityClassId priority_class;
  TokenCount expected_remaining;
  std::uint32_t pauses = 0;
  /// Whether the endpoint can pause and resume this stream.
  bool resumable = false;
  /// Copied from QueuedCall::served_by_minimum_share; such a call is not paused.
  bool served_by_minimum_share = false;
};

struct PreemptionOptions {
  /// Maximum number of pauses of one call.
  std::uint32_t max_pauses = 2;
  /// Least urgent rank whose calls may pause others.
  std::uint32_t preempting_rank = std::numeric_limits<std::uint32_t>::max();
};

/// @brief Chooses the running stream to pause for the most urgent queued call on a full endpoint.
/// @return none if the most urgent class may not preempt or no running stream may be paused. A
/// stream may be paused only if it is less urgent than the next call in service order, which gets
/// the slot and may belong to a class below its minimum share.
std::optional<QueuedCallId> ChoosePreemption(const EndpointQueue& queue,
                                             std::span<const RunningCall> running,
                                             const PreemptionOptions& options = {});

/// @brief Number of running streams that may be paused for a call of the class.
std::uint32_t CountPausable(const EndpointQueue& queue,
                            const PriorityClassId& priority_class,
                            std::span<const RunningCall> running,
                            const PreemptionOptions& options = {});

}  // namespace acaciaspring

#endif  // ACACIASPRING_SCHEDULING_H_
