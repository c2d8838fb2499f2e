#include <algorithm>
#include <cmath>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

// Minimum share of the capacity that a prediction assumes for a class, even if other classes use
// all of it; it bounds the predicted wait.
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
    const WorkAhead ahead = queue.EstimateWorkAhead(call, 4 * std::max(0.0, limit) * capacity);
    const double more_urgent_share = MoreUrgentRate(queue, policy.rank, now) / capacity;
    const double share_after_more_urgent = std::max(1 - more_urgent_share, kMinCapacityShare);
    const double share_after_less_urgent =
        std::max(1 - ahead.less_urgent_shares, kMinCapacityShare);
    const double slot_wait = endpoint.mean_call_cost / capacity;
    // Each stream that may be paused frees a slot at once, which is worth one call of mean cost.
    const double cost_ahead =
        ahead.more_urgent_cost + ahead.own_class_cost +
        endpoint.mean_call_cost * (1.0 - static_cast<double>(endpoint.pausable));
    wait =
        std::max(0.0, cost_ahead) / (capacity * share_after_more_urgent * share_after_less_urgent);
    if (policy.minimum_share > 0 && queue.options().keep_minimum_shares) {
      // The class gets its minimum share even while more urgent work is queued. The call gets the
      // next slot once the overrun of the share is made up for and the preceding calls are served.
      const double cost_before_call = std::max(0.0, ahead.own_share_overrun + ahead.own_class_cost);
      wait = std::min(wait, cost_before_call / (capacity * policy.minimum_share) + slot_wait);
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

double Admission::DecayedRate(const Rate& rate, MonotonicTime now) const {
  return rate.cost_per_second *
         std::exp(-Seconds(now - rate.updated) / Seconds(options_.rate_window));
}

double Admission::MoreUrgentRate(const EndpointQueue& queue,
                                 std::uint32_t rank,
                                 MonotonicTime now) const {
  double sum = 0;
  for (const auto& [other, rate] : rates_by_rank_) {
    if (other < rank && queue.options().order_by_class) {
      sum += DecayedRate(rate, now);
    }
  }
  return sum;
}

void Admission::OnAdmitted(std::uint32_t rank, double cost, MonotonicTime now) {
  Rate& rate = rates_by_rank_[rank];
  rate.cost_per_second = DecayedRate(rate, now) + cost / Seconds(options_.rate_window);
  rate.updated = now;
}

}  // namespace acaciaspring
