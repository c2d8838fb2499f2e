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

/// @brief Identifies one queued call at one dispatcher; chosen by the dispatcher, never reused.
using QueuedCallId = StrongNumber<struct QueuedCallIdTag>;

/// @brief A call that waits for a slot of one endpoint.
struct QueuedCall {
  QueuedCallId id;
  OrganisationId organisation;
  ProgramId program;
  ProgramId root_program;
  PriorityClassId priority_class;
  /// Tokens that the whole root program has received so far, sub-agents included.
  TokenCount attained_service;
  /// Prompt tokens that the endpoint is expected to compute (not found in its cache).
  TokenCount expected_prompt;
  TokenCount expected_output;
  MonotonicTime deadline = MonotonicTime::max();
  MonotonicTime enqueued_at;
  /// Set by EndpointQueue::Pop: the call was served out of rank order to keep a minimum share.
  bool served_by_minimum_share = false;
};

struct PriorityClassPolicy {
  PriorityClassId id;
  /// 0 is the most urgent class; ranks are distinct.
  std::uint32_t rank = 0;
  /// Share of the served cost that the class keeps while more urgent classes have a backlog; the
  /// sum over all classes is below 1.
  double minimum_share = 0;
  /// Longest predicted wait with which a call is still admitted.
  Duration first_token_target = std::chrono::milliseconds(1200);
};

struct EndpointQueueOptions {
  std::vector<PriorityClassPolicy> classes{};
  std::unordered_map<OrganisationId, double> organisation_weights{};
  double default_weight = 1;
  /// Cost that an organisation of weight 1 may spend per round; about the cost of a small call,
  /// since an organisation may have to wait until each other one has spent a quantum.
  double quantum = 128;
  /// Cost that a class may claim at once after it was idle, and that service by rank may count for.
  double share_burst = 1024;
  /// Cost of a prompt token in units of an output token.
  double prompt_token_cost = 0.1;
  /// Attained service that one second of waiting makes up for.
  double ageing_tokens_per_second = 1000;
  std::size_t capacity = 10'000;
  /// Switches of the single rules, for measurement; without a rule calls are served in order of
  /// arrival at that level.
  bool order_by_class = true;
  bool keep_minimum_shares = true;
  bool fair_organisations = true;
  /// Off: measured without gain, see docs/decisions/policy.md.
  bool least_attained_service = false;
};

/// @brief Thrown for a class that the options do not list, and for invalid options.
class SchedulingError : public Error {
 public:
  enum class Kind : std::uint8_t { kUnknownClass, kInvalidOptions, kDuplicateCall };
  SchedulingError(Kind kind, const std::string& what) : Error(what), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

/// @brief Cost that would be served before a call that is not queued yet.
struct WorkAhead {
  /// Cost queued in more urgent classes.
  double urgent = 0;
  /// Cost of the call's own class that precedes it.
  double own_class = 0;
  /// Cost that the class has received beyond its minimum share; negative if it is owed some.
  double own_debt = 0;
  /// Sum of the minimum shares of the less urgent classes with queued calls.
  double lower_shares = 0;
};

/// @brief Calls that wait for one endpoint, in service order.
///
/// Classes by rank, each lower class with its minimum share; in a class, organisations by deficit
/// round robin; in an organisation, least attained service of the root program with ageing.
class EndpointQueue {
 public:
  explicit EndpointQueue(EndpointQueueOptions options);

  /// @return false if the queue is full. Throws SchedulingError for an unknown class or a known id.
  bool Push(QueuedCall call);
  /// @return the next call whose deadline has not passed, or none.
  std::optional<QueuedCall> Pop(MonotonicTime now);
  /// @return the removed call, or none if the id is not queued.
  std::optional<QueuedCall> Remove(QueuedCallId id);
  /// @brief Removes and returns the calls whose deadline is at or before `now`.
  std::vector<QueuedCall> ExpireBefore(MonotonicTime now);
  /// @brief Corrects the shares once the tokens that a popped call used are known.
  void OnServed(const QueuedCall& call, TokenCount prompt, TokenCount output);

  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  /// @brief Earliest deadline of a queued call.
  std::optional<MonotonicTime> NextDeadline() const;
  double Cost(const QueuedCall& call) const;
  /// @brief Most urgent class with queued calls.
  std::optional<PriorityClassId> MostUrgentClass() const;
  /// @brief Class of the call that Pop would return.
  std::optional<PriorityClassId> NextClass() const;
  /// @brief Whether the class has received less than its minimum share during contention.
  bool BelowMinimumShare(const PriorityClassId& priority_class) const;
  const PriorityClassPolicy& Policy(const PriorityClassId& priority_class) const;
  const EndpointQueueOptions& options() const { return options_; }
  /// @brief Work that would be served before the call; counting stops once it exceeds `limit`.
  WorkAhead Ahead(const QueuedCall& call, double limit) const;

 private:
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
    double deficit = 0;
    /// Whether the quantum of the current round was added to the deficit.
    bool granted = false;
    std::list<OrganisationQueue*>::iterator position;
  };
  struct ClassQueue {
    PriorityClassPolicy policy;
    std::unordered_map<OrganisationId, OrganisationQueue> organisations;
    /// Organisations with queued calls; the front one is served next.
    std::list<OrganisationQueue*> round;
    double cost = 0;
    /// Cost that the class is owed to reach its minimum share; negative after it got more.
    double credit = 0;
    double active_weight = 0;
  };
  using CallMap = std::unordered_map<QueuedCallId, QueuedCall>;

  std::size_t PolicyIndex(const PriorityClassId& priority_class) const;
  std::size_t QueueIndex(const PriorityClassId& priority_class) const;
  OrganisationId OrganisationKey(const QueuedCall& call) const;
  Position PositionOf(const QueuedCall& call) const;
  double Weight(const OrganisationId& organisation) const;
  std::optional<std::size_t> MostUrgentIndex() const;
  std::optional<std::size_t> OwedIndex() const;
  QueuedCallId NextInClass(ClassQueue& queue) const;
  void SkipEmptyRounds(ClassQueue& queue) const;
  QueuedCall Take(CallMap::iterator found);
  void Charge(std::size_t served, double cost, bool below_share);

  EndpointQueueOptions options_;
  std::vector<ClassQueue> classes_;
  CallMap calls_;
  std::set<std::pair<MonotonicTime, QueuedCallId>> deadlines_;
  /// Calls that Pop found past their deadline.
  std::vector<QueuedCall> expired_;
};

/// @brief What a dispatcher knows about its endpoint when a call arrives.
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
  /// Span over which the arrival rate of more urgent work is averaged.
  Duration rate_window = std::chrono::seconds(10);
  std::uint32_t min_retry_after_ms = 50;
  std::uint32_t max_retry_after_ms = 30'000;
  bool enabled = true;
};

struct Admitted {
  Duration predicted_wait{};
};
using AdmissionDecision = std::variant<Admitted, NotRun>;

/// @brief Refuses a call early when its predicted wait exceeds its class target or its deadline.
class Admission {
 public:
  explicit Admission(AdmissionOptions options = {});
  /// @brief Decides on a call before it is pushed. The arrival counts towards the rate of its class
  /// if it is admitted.
  AdmissionDecision Decide(const EndpointQueue& queue,
                           const QueuedCall& call,
                           const EndpointOccupancy& endpoint,
                           MonotonicTime now);

 private:
  struct Rate {
    double cost_per_second = 0;
    MonotonicTime updated{};
  };
  double UrgentRate(const EndpointQueue& queue, std::uint32_t rank, MonotonicTime now) const;
  double Decayed(const Rate& rate, MonotonicTime now) const;
  void OnAdmitted(std::uint32_t rank, double cost, MonotonicTime now);

  AdmissionOptions options_;
  std::map<std::uint32_t, Rate> rates_;
};

struct RetryBudgetOptions {
  /// Retries per first attempt.
  double ratio = 0.1;
  /// Retries that may be saved up.
  double capacity = 10;
};

/// @brief Bounds retries to a ratio of the first attempts.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});
  void OnRequest();
  /// @return whether a retry may be sent; it is then counted.
  bool TryRetry();

 private:
  RetryBudgetOptions options_;
  double tokens_;
};

/// @brief Limits of one organisation over all daemons.
struct OrganisationLimit {
  double calls_per_second = 100;
  double burst = 200;
  std::uint32_t concurrency = 64;
};

/// @brief A holder's request for its next grant. `sequence` grows with every request of a holder.
struct GrantRequest {
  std::uint64_t sequence = 0;
  std::uint32_t wanted_calls = 0;
  std::uint32_t wanted_concurrency = 0;
  std::uint32_t running = 0;
};

/// @brief Calls and slots that a holder may use until `valid_for` after it sent the request.
struct LimitGrant {
  std::uint64_t sequence = 0;
  std::uint32_t calls = 0;
  std::uint32_t concurrency = 0;
  Duration valid_for{};
  /// When to ask again if the grant is empty.
  Duration retry_after{};
};

struct LimitGrantorOptions {
  Duration valid_for = std::chrono::seconds(2);
  /// A new grantor starts with the calls of this span instead of the whole burst.
  Duration initial_span = std::chrono::milliseconds(500);
  std::size_t max_holders = 4096;
};

/// @brief Limiter side: splits the limit of one organisation among the homes that ask.
///
/// Calls admitted in a window T by all daemons are at most
/// burst + rate * T + starts * rate * initial_span + rate * (time with two grantors)
/// + rate * valid_for. Slots granted at a time are at most `concurrency` per grantor whose grants
/// have not expired; calls that run past the expiry of their grant add to that until they end.
class LimitGrantor {
 public:
  LimitGrantor(OrganisationLimit limit, MonotonicTime now, LimitGrantorOptions options = {});
  LimitGrant Grant(const DaemonId& holder, const GrantRequest& request, MonotonicTime now);
  void SetLimit(OrganisationLimit limit, MonotonicTime now);

 private:
  struct Holder {
    std::uint32_t wanted_calls = 0;
    std::uint32_t wanted_concurrency = 0;
    /// Slots of the unexpired grants; the holder may still use an older one if an answer was lost.
    std::vector<std::pair<std::uint32_t, MonotonicTime>> slots;
    MonotonicTime deadline{};
  };
  void Refill(MonotonicTime now);
  void DropExpired(MonotonicTime now);
  std::uint32_t FairShare(std::uint32_t Holder::*wanted,
                          std::uint32_t own,
                          std::uint32_t available) const;

  OrganisationLimit limit_;
  LimitGrantorOptions options_;
  double tokens_;
  MonotonicTime refilled_;
  std::map<DaemonId, Holder> holders_;
};

struct LimitHolderOptions {
  /// Time before expiry at which the next grant is requested.
  Duration renew_before = std::chrono::milliseconds(500);
  std::uint32_t min_calls = 4;
  std::uint32_t min_concurrency = 4;
};

/// @brief Home side: spends the grants of one organisation.
class LimitHolder {
 public:
  explicit LimitHolder(LimitHolderOptions options = {});
  /// @return none if the call may start (End must follow), else kRateLimited or
  /// kConcurrencyLimited. Without a grant a caller sends NextRequest() and may try again after
  /// OnGrant().
  std::optional<NotRun> TryStart(MonotonicTime now);
  void End();
  /// @return a request to send to the grantor if one is due.
  std::optional<GrantRequest> NextRequest(MonotonicTime now);
  /// @brief Takes over a grant; answers to unknown or superseded requests are ignored.
  void OnGrant(const LimitGrant& grant, MonotonicTime now);
  std::uint32_t running() const { return running_; }

 private:
  bool Valid(MonotonicTime now) const { return now < deadline_; }

  LimitHolderOptions options_;
  std::uint64_t sequence_ = 0;
  MonotonicTime requested_at_{};
  bool outstanding_ = false;
  MonotonicTime not_before_ = MonotonicTime::min();
  MonotonicTime deadline_ = MonotonicTime::min();
  std::uint32_t calls_ = 0;
  std::uint32_t concurrency_ = 0;
  std::uint32_t running_ = 0;
  /// Starts asked for and most calls at a time since the last request.
  std::uint32_t asked_ = 0;
  std::uint32_t peak_running_ = 0;
  bool refused_ = false;
};

/// @brief A call that an endpoint runs.
struct RunningCall {
  QueuedCallId id;
  PriorityClassId priority_class;
  TokenCount expected_remaining;
  std::uint32_t pauses = 0;
  /// Whether the endpoint can pause and resume this stream.
  bool resumable = false;
  /// Whether it was served to keep a minimum share (QueuedCall::served_by_minimum_share); it isn't
  /// paused.
  bool served_by_minimum_share = false;
};

struct PreemptionOptions {
  std::uint32_t max_pauses = 2;
  /// Only calls of this rank or a more urgent one pause others.
  std::uint32_t preempting_rank = std::numeric_limits<std::uint32_t>::max();
};

/// @brief Chooses the stream to pause for the most urgent queued call on a full endpoint.
/// @return none if nothing runs that may be paused and is less urgent than both the urgent call and
/// the call that would get the slot, which may be one of a class that is owed its minimum share.
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
