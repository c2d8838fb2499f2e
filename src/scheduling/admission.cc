#include <algorithm>
#include <cmath>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

// Capacity that a class is assumed to keep when more urgent work takes everything; it bounds the
// prediction.
constexpr double kMinCapacityShare = 0.02;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1e9)));
}

}  // namespace

Admission::Admission(AdmissionOptions options) : options_(options) {}

AdmissionDecision Admission::Decide(const EndpointQueue& queue,
                                    const QueuedCall& call,
                                    const EndpointOccupancy& endpoint,
                                    MonotonicTime now) {
  const PriorityClassPolicy& policy = queue.Policy(call.priority_class);
  const double capacity = std::max(endpoint.cost_per_second, 1e-9);
  const double until_deadline = Seconds(call.deadline - now);
  const double limit = std::min(Seconds(policy.first_token_target), until_deadline);
  double wait = 0;
  if (endpoint.running >= endpoint.concurrency || !queue.empty()) {
    const WorkAhead ahead = queue.Ahead(call, 4 * std::max(0.0, limit) * capacity);
    const double urgent_share = UrgentRate(queue, policy.rank, now) / capacity;
    const double free_share = std::max(1 - urgent_share, kMinCapacityShare);
    const double after_lower_shares = std::max(1 - ahead.lower_shares, kMinCapacityShare);
    const double slot = endpoint.mean_call_cost / capacity;
    // Each stream that may be paused makes room for one call of mean cost at once.
    const double work = ahead.urgent + ahead.own_class +
                        endpoint.mean_call_cost * (1.0 - static_cast<double>(endpoint.pausable));
    wait = std::max(0.0, work) / (capacity * free_share * after_lower_shares);
    if (policy.minimum_share > 0 && queue.options().keep_minimum_shares) {
      // The minimum share serves the class even while more urgent work is queued: once its debt is
      // repaid and what precedes the call is served, the call gets the next slot.
      const double owing = std::max(0.0, ahead.own_debt + ahead.own_class);
      wait = std::min(wait, owing / (capacity * policy.minimum_share) + slot);
    }
  }
  if (options_.enabled && wait > limit) {
    const double retry_after_ms = std::clamp(1000 * (wait - std::max(0.0, limit)),
                                             static_cast<double>(options_.min_retry_after_ms),
                                             static_cast<double>(options_.max_retry_after_ms));
    return NotRun{.reason = NotRunReason::kOverloaded,
                  .retry_after_ms = static_cast<std::uint32_t>(std::lround(retry_after_ms))};
  }
  OnAdmitted(policy.rank, queue.Cost(call), now);
  return Admitted{.predicted_wait = FromSeconds(wait)};
}

double Admission::Decayed(const Rate& rate, MonotonicTime now) const {
  return rate.cost_per_second *
         std::exp(-Seconds(now - rate.updated) / Seconds(options_.rate_window));
}

double Admission::UrgentRate(const EndpointQueue& queue,
                             std::uint32_t rank,
                             MonotonicTime now) const {
  double sum = 0;
  for (const auto& [other, rate] : rates_) {
    if (other < rank && queue.options().order_by_class) {
      sum += Decayed(rate, now);
    }
  }
  return sum;
}

void Admission::OnAdmitted(std::uint32_t rank, double cost, MonotonicTime now) {
  Rate& rate = rates_[rank];
  rate.cost_per_second = Decayed(rate, now) + cost / Seconds(options_.rate_window);
  rate.updated = now;
}

}  // namespace acaciaspring
