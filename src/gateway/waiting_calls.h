#ifndef ACACIASPRING_SRC_GATEWAY_WAITING_CALLS_H_
#define ACACIASPRING_SRC_GATEWAY_WAITING_CALLS_H_

#include "acaciaspring/net.h"
#include "src/gateway/permit_queue.h"

namespace acaciaspring::gateway {

/// @brief Starts the calls of a permit queue when permits become available.
class WaitingCalls {
 public:
  explicit WaitingCalls(net::Loop& loop) : loop_(loop) {}

  const PermitQueue& queue() const { return queue_; }
  PermitQueue::Ticket Add(const ServiceId& service,
                          std::uint32_t priority,
                          PermitQueue::StartFunction start);
  void Remove(const PermitQueue::Ticket& ticket) { queue_.Remove(ticket); }

 private:
  void Check();

  net::Loop& loop_;
  PermitQueue queue_;
  net::Timer timer_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_WAITING_CALLS_H_
