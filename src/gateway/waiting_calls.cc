#include "src/gateway/waiting_calls.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// Permits may also come from a new endpoint or from the end of a limit, so their times are not
// known in advance.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(10);

}  // namespace

PermitQueue::Ticket WaitingCalls::Add(const ServiceId& service,
                                      std::uint32_t priority,
                                      PermitQueue::StartFunction start) {
  if (queue_.empty()) {
    timer_ = loop_.After(kCheckPeriod, [this] { Check(); });
  }
  return queue_.Add(service, priority, std::move(start));
}

void WaitingCalls::Check() {
  queue_.StartCalls();
  if (!queue_.empty()) {
    timer_ = loop_.After(kCheckPeriod, [this] { Check(); });
  }
}

}  // namespace acaciaspring::gateway
