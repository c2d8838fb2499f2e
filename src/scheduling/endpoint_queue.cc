#include <algorithm>
#include <cmath>
#include <limits>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

void Validate(const EndpointQueueOptions& options) {
  double shares = 0;
  std::set<std::uint32_t> ranks;
  for (const auto& policy : options.classes) {
    shares += policy.minimum_share;
    ranks.insert(policy.rank);
  }
  const bool positive = options.quantum > 0 && options.share_burst > 0 &&
                        options.default_weight > 0 &&
                        std::ranges::all_of(options.organisation_weights,
                                            [](const auto& entry) { return entry.second > 0; });
  if (options.classes.empty() || ranks.size() != options.classes.size() || shares >= 1 ||
      !positive) {
    throw SchedulingError(
        SchedulingError::Kind::kInvalidOptions,
        "endpoint queue: at least one class is required, ranks must be distinct, the "
        "sum of minimum shares must be below 1, and quantum, share burst and "
        "weights must be positive");
  }
}

// Maximum number of calls of an organisation that an estimate visits; with more, the estimate uses
// the cost of the whole queue of the organisation. Visiting 4,800 small calls took 36 us, which is
// more than the time allowed for an admission decision.
constexpr std::size_t kMaxVisitedCalls = 512;

double Seconds(MonotonicTime time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}  // namespace

EndpointQueue::EndpointQueue(EndpointQueueOptions options) : options_(std::move(options)) {
  Validate(options_);
  std::ranges::sort(options_.classes, {}, &PriorityClassPolicy::rank);
  for (const auto& policy : options_.classes) {
    classes_.emplace_back().policy = policy;
  }
}

std::size_t EndpointQueue::PolicyIndex(const PriorityClassId& priority_class) const {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].policy.id == priority_class) {
      return i;
    }
  }
  throw SchedulingError(SchedulingError::Kind::kUnknownClass,
                        "endpoint queue: unknown priority class " + priority_class.value());
}

std::size_t EndpointQueue::QueueIndex(const PriorityClassId& priority_class) const {
  const std::size_t index = PolicyIndex(priority_class);
  return options_.order_by_class ? index : 0;
}

OrganisationId EndpointQueue::OrganisationKey(const QueuedCall& call) const {
  return options_.fair_organisations ? call.organisation : OrganisationId();
}

double EndpointQueue::Weight(const OrganisationId& organisation) const {
  const auto found = options_.organisation_weights.find(organisation);
  return found == options_.organisation_weights.end() ? options_.default_weight : found->second;
}

double EndpointQueue::Cost(const QueuedCall& call) const {
  return options_.prompt_token_cost * static_cast<double>(call.expected_prompt.value()) +
         static_cast<double>(call.expected_output.value());
}

// Ageing lowers the key of every waiting call at the same rate, so the relative order of two calls
// does not change while they wait. The key can therefore use the enqueue time instead of the time
// waited, and needs no update.
EndpointQueue::Position EndpointQueue::PositionOf(const QueuedCall& call) const {
  double key = Seconds(call.enqueued_at);
  if (options_.least_attained_service) {
    key = static_cast<double>(call.attained_service.value()) +
          options_.ageing_tokens_per_second * key;
  }
  return {.key = key, .id = call.id, .cost = Cost(call)};
}

bool EndpointQueue::Push(QueuedCall call) {
  ClassQueue& queue = classes_[QueueIndex(call.priority_class)];
  if (calls_.contains(call.id)) {
    throw SchedulingError(SchedulingError::Kind::kDuplicateCall,
                          "endpoint queue: call id is already queued");
  }
  if (calls_.size() >= options_.capacity) {
    return false;
  }
  const auto [found, added] = queue.organisations.try_emplace(OrganisationKey(call));
  OrganisationQueue& organisation = found->second;
  if (added) {
    organisation.weight = Weight(found->first);
    organisation.active_position =
        queue.active_organisations.insert(queue.active_organisations.end(), &organisation);
    queue.active_weight += organisation.weight;
  }
  const Position position = PositionOf(call);
  organisation.order.insert(position);
  organisation.cost += position.cost;
  queue.cost += position.cost;
  deadlines_.emplace(call.deadline, call.id);
  calls_.emplace(call.id, std::move(call));
  return true;
}

std::optional<std::size_t> EndpointQueue::MostUrgentIndex() const {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (!classes_[i].active_organisations.empty()) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> EndpointQueue::BelowShareIndex() const {
  for (std::size_t i = 0; options_.keep_minimum_shares && i < classes_.size(); ++i) {
    if (!classes_[i].active_organisations.empty() && classes_[i].share_credit > 0) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<QueuedCall> EndpointQueue::Pop(MonotonicTime now) {
  while (const auto urgent = MostUrgentIndex()) {
    const std::size_t served = BelowShareIndex().value_or(*urgent);
    QueuedCall call = Extract(calls_.find(NextInClass(classes_[served])));
    if (call.deadline <= now) {
      expired_.push_back(std::move(call));
      continue;
    }
    const OrganisationId key = OrganisationKey(call);
    const auto organisation = classes_[served].organisations.find(key);
    if (organisation != classes_[served].organisations.end()) {
      organisation->second.deficit -= Cost(call);
    }
    call.served_by_minimum_share = served != *urgent;
    Charge(served, Cost(call), call.served_by_minimum_share);
    return call;
  }
  return std::nullopt;
}

QueuedCallId EndpointQueue::NextInClass(ClassQueue& queue) const {
  for (std::size_t visited = 1;; ++visited) {
    OrganisationQueue& organisation = *queue.active_organisations.front();
    if (!organisation.quantum_added) {
      organisation.deficit += options_.quantum * organisation.weight;
      organisation.quantum_added = true;
    }
    const Position& head = *organisation.order.begin();
    if (head.cost <= organisation.deficit) {
      return head.id;
    }
    organisation.quantum_added = false;
    queue.active_organisations.splice(queue.active_organisations.end(), queue.active_organisations,
                                      queue.active_organisations.begin());
    if (visited == queue.active_organisations.size()) {
      SkipRoundsWithoutService(queue);
    }
  }
}

// Adds in one step the quanta of all rounds in which no organisation has enough deficit for its
// next call. Otherwise a call that costs many quanta would take as many passes over all
// organisations.
void EndpointQueue::SkipRoundsWithoutService(ClassQueue& queue) const {
  double rounds = std::numeric_limits<double>::infinity();
  for (const OrganisationQueue* organisation : queue.active_organisations) {
    const double missing = organisation->order.begin()->cost - organisation->deficit;
    rounds = std::min(rounds, std::ceil(missing / (options_.quantum * organisation->weight)));
  }
  for (OrganisationQueue* organisation : queue.active_organisations) {
    organisation->deficit += std::max(0.0, rounds - 1) * options_.quantum * organisation->weight;
  }
}

// Service in rank order is charged to the share as well, up to the burst. Otherwise a class that is
// served mostly while more urgent classes are idle would still take its share from urgent calls. A
// class without queued calls accumulates credit up to the burst, so that calls that arrive in
// bursts or one after the other also get the share.
void EndpointQueue::Charge(std::size_t served, double cost, bool by_minimum_share) {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    ClassQueue& queue = classes_[i];
    queue.share_credit += queue.policy.minimum_share * cost;
    if (i == served) {
      const double lowest =
          by_minimum_share ? -HUGE_VAL : std::min(queue.share_credit, -options_.share_burst);
      queue.share_credit = std::max(queue.share_credit - cost, lowest);
    }
    if (queue.active_organisations.empty()) {
      queue.share_credit = std::min(queue.share_credit, options_.share_burst);
    }
  }
}

QueuedCall EndpointQueue::Extract(CallMap::iterator found) {
  QueuedCall call = std::move(found->second);
  calls_.erase(found);
  deadlines_.erase({call.deadline, call.id});
  ClassQueue& queue = classes_[QueueIndex(call.priority_class)];
  const auto entry = queue.organisations.find(OrganisationKey(call));
  OrganisationQueue& organisation = entry->second;
  const Position position = PositionOf(call);
  organisation.order.erase(position);
  organisation.cost -= position.cost;
  queue.cost -= position.cost;
  if (organisation.order.empty()) {
    queue.active_weight -= organisation.weight;
    queue.active_organisations.erase(organisation.active_position);
    queue.organisations.erase(entry);
  }
  if (queue.active_organisations.empty()) {
    // Resets the rounding errors of the sums.
    queue.cost = 0;
    queue.active_weight = 0;
  }
  return call;
}

std::optional<QueuedCall> EndpointQueue::Remove(QueuedCallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  return Extract(found);
}

std::vector<QueuedCall> EndpointQueue::ExpireBefore(MonotonicTime now) {
  std::vector<QueuedCall> expired = std::exchange(expired_, {});
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(Extract(calls_.find(deadlines_.begin()->second)));
  }
  return expired;
}

void EndpointQueue::OnServed(const QueuedCall& call, TokenCount prompt, TokenCount output) {
  QueuedCall actual = call;
  actual.expected_prompt = prompt;
  actual.expected_output = output;
  const double difference = Cost(actual) - Cost(call);
  const std::size_t index = QueueIndex(call.priority_class);
  ClassQueue& queue = classes_[index];
  const auto organisation = queue.organisations.find(OrganisationKey(call));
  if (organisation != queue.organisations.end()) {
    organisation->second.deficit -= difference;
  }
  // The charge for a call that was served in rank order may have been capped at the burst.
  // Refunding part of the uncapped cost would turn unused output into share credit.
  if (difference > 0 || call.served_by_minimum_share) {
    Charge(index, difference, call.served_by_minimum_share);
  }
}

std::optional<MonotonicTime> EndpointQueue::NextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

std::optional<PriorityClassId> EndpointQueue::MostUrgentClass() const {
  const auto index = MostUrgentIndex();
  return index ? std::optional(classes_[*index].policy.id) : std::nullopt;
}

std::optional<PriorityClassId> EndpointQueue::NextClass() const {
  const auto below_share = BelowShareIndex();
  return below_share ? std::optional(classes_[*below_share].policy.id) : MostUrgentClass();
}

bool EndpointQueue::BelowMinimumShare(const PriorityClassId& priority_class) const {
  const ClassQueue& queue = classes_[PolicyIndex(priority_class)];
  return options_.keep_minimum_shares && !queue.active_organisations.empty() &&
         queue.share_credit > 0;
}

const PriorityClassPolicy& EndpointQueue::Policy(const PriorityClassId& priority_class) const {
  return classes_[PolicyIndex(priority_class)].policy;
}

WorkAhead EndpointQueue::EstimateWorkAhead(const QueuedCall& call, double limit) const {
  WorkAhead ahead;
  const std::size_t index = QueueIndex(call.priority_class);
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (i < index) {
      ahead.more_urgent_cost += classes_[i].cost;
    } else if (i > index && !classes_[i].active_organisations.empty() &&
               options_.keep_minimum_shares) {
      ahead.less_urgent_shares += classes_[i].policy.minimum_share;
    }
  }
  const ClassQueue& queue = classes_[index];
  ahead.own_share_overrun = -queue.share_credit;
  const OrganisationId key = OrganisationKey(call);
  const double weight = Weight(key);
  double own_cost = 0;
  std::size_t visited_calls = 0;
  double other_weight = queue.active_weight;
  const auto organisation = queue.organisations.find(key);
  if (organisation != queue.organisations.end()) {
    const Position position = PositionOf(call);
    for (const Position& queued : organisation->second.order) {
      if (!(queued < position) || own_cost > limit) {
        break;
      }
      own_cost += queued.cost;
      if (++visited_calls == kMaxVisitedCalls) {
        own_cost = organisation->second.cost;
        break;
      }
    }
    other_weight -= weight;
  }
  const double own_total =
      organisation == queue.organisations.end() ? 0 : organisation->second.cost;
  // Until the call and the calls of its organisation before it are served, the other organisations
  // get at most service in proportion to their weight, and at most the cost that they have queued.
  const double others = std::min(queue.cost - own_total,
                                 (own_cost + Cost(call)) * std::max(0.0, other_weight) / weight);
  ahead.own_class_cost = own_cost + std::max(0.0, others);
  return ahead;
}

}  // namespace acaciaspring
