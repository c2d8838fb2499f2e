#include "src/gateway/permit_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <vector>

namespace acaciaspring::gateway {

PermitDecision PermitQueue::Decide(const ServiceId& service,
                                   std::uint32_t priority,
                                   const PermitForecast& forecast,
                                   MonotonicTime now,
                                   MonotonicTime deadline) const {
  if (forecast.next_permit == MonotonicTime::max()) {
    return RefuseCall{};
  }
  const auto ahead = static_cast<double>(CountAhead(service, priority));
  const std::chrono::duration<double> behind_others(
      forecast.per_second > 0 ? ahead / forecast.per_second : 0);
  const auto wait = std::chrono::ceil<Duration>(std::min<std::chrono::duration<double>>(
      forecast.WaitFrom(now) + behind_others, options_.max_retry_after));
  const auto allowed =
      std::min(options_.max_wait,
               std::chrono::duration_cast<Duration>((deadline - now) * options_.max_wait_share));
  if (wait > allowed) {
    return RefuseCall{.retry_after = wait};
  }
  return WaitForPermit{.until = now + allowed};
}

PermitQueue::Ticket PermitQueue::Add(const ServiceId& service,
                                     std::uint32_t priority,
                                     StartFunction start) {
  const auto order = std::make_pair(priority, ++last_number_);
  waiting_[service].emplace(order, std::move(start));
  return {.service = service, .order = order};
}

void PermitQueue::Remove(const Ticket& ticket) {
  const auto queue = waiting_.find(ticket.service);
  if (queue == waiting_.end()) {
    return;
  }
  queue->second.erase(ticket.order);
  if (queue->second.empty()) {
    waiting_.erase(queue);
  }
}

std::size_t PermitQueue::CountAhead(const ServiceId& service, std::uint32_t priority) const {
  const auto queue = waiting_.find(service);
  if (queue == waiting_.end()) {
    return 0;
  }
  const auto end = queue->second.upper_bound({priority, std::numeric_limits<std::uint64_t>::max()});
  return static_cast<std::size_t>(std::distance(queue->second.begin(), end));
}

void PermitQueue::StartCalls() {
  std::vector<ServiceId> services;
  for (const auto& [service, queue] : waiting_) {
    services.push_back(service);
  }
  for (const ServiceId& service : services) {
    while (true) {
      const auto queue = waiting_.find(service);
      if (queue == waiting_.end()) {
        break;
      }
      // Copied, because the call leaves the queue while it starts.
      const auto first = queue->second.begin();
      const Ticket ticket{.service = service, .order = first->first};
      const StartFunction start = first->second;
      if (!start()) {
        break;
      }
      Remove(ticket);
    }
  }
}

std::size_t PermitQueue::size() const {
  std::size_t size = 0;
  for (const auto& [service, queue] : waiting_) {
    size += queue.size();
  }
  return size;
}

}  // namespace acaciaspring::gateway
