#ifndef ACACIASPRING_SRC_GATEWAY_PERMIT_QUEUE_H_
#define ACACIASPRING_SRC_GATEWAY_PERMIT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief When this daemon may call an endpoint of a service whose endpoints are all at their rate
/// limits.
struct PermitForecast {
  /// max() if this daemon has no share of any limit.
  MonotonicTime next_permit = MonotonicTime::max();
  /// Permits per second at all endpoints of the service.
  double per_second = 0;

  /// @brief Time until the next permit; 0 if it is not known.
  Duration WaitFrom(MonotonicTime now) const {
    return next_permit == MonotonicTime::max()
               ? Duration(0)
               : std::chrono::duration_cast<Duration>(next_permit - now);
  }
};

/// @brief The call waits, at most until the given time.
struct WaitForPermit {
  MonotonicTime until;
};
/// @brief No permit will be available in time.
struct RefuseCall {
  /// When a permit is expected; 0 if this daemon has no share of any limit.
  Duration retry_after{};
};
using PermitDecision = std::variant<WaitForPermit, RefuseCall>;

struct PermitQueueOptions {
  /// Part of a call's remaining time for which it may wait.
  double max_wait_share = 0.5;
  /// Callers abandon a stream that is silent for two seconds.
  Duration max_wait = std::chrono::milliseconds(1500);
  /// Longest time after which a refused caller is told to retry.
  Duration max_retry_after = std::chrono::seconds(10);
};

/// @brief Calls that wait for a permit, by service; the most urgent and then the oldest is first.
class PermitQueue {
 public:
  /// @brief Position of a waiting call.
  struct Ticket {
    ServiceId service;
    std::pair<std::uint32_t, std::uint64_t> order;
  };
  /// @brief Starts the call; returns false if there is still no permit for it.
  using StartFunction = std::function<bool()>;

  explicit PermitQueue(PermitQueueOptions options = {}) : options_(options) {}

  /// @brief Decides whether a call waits behind those that are at least as urgent.
  PermitDecision Decide(const ServiceId& service,
                        std::uint32_t priority,
                        const PermitForecast& forecast,
                        MonotonicTime now,
                        MonotonicTime deadline) const;
  Ticket Add(const ServiceId& service, std::uint32_t priority, StartFunction start);
  void Remove(const Ticket& ticket);
  /// @brief Number of waiting calls of the service that are at least as urgent.
  std::size_t CountAhead(const ServiceId& service, std::uint32_t priority) const;
  /// @brief Starts the first calls of each service for as long as there are permits.
  void StartCalls();
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const;

 private:
  using ServiceQueue = std::map<std::pair<std::uint32_t, std::uint64_t>, StartFunction>;

  PermitQueueOptions options_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<ServiceId, ServiceQueue> waiting_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PERMIT_QUEUE_H_
