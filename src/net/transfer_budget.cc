#include <utility>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

void TransferBudget::GrantWaiting() {
  while (!waiting_.empty()) {
    TransferLease& next = *waiting_.front();
    if (used_bytes_ > 0 && used_bytes_ + next.bytes_ > limit_bytes_) {
      return;
    }
    waiting_.pop_front();
    used_bytes_ += next.bytes_;
    next.granted_ = true;
    if (const auto on_granted = std::exchange(next.on_granted_, nullptr)) {
      on_granted();
    }
  }
}

TransferLease::TransferLease(TransferBudget& budget,
                             std::size_t bytes,
                             std::function<void()> on_granted)
    : budget_(budget), bytes_(bytes) {
  budget_.waiting_.push_back(this);
  budget_.GrantWaiting();
  if (!granted_) {
    on_granted_ = std::move(on_granted);
  }
}

TransferLease::~TransferLease() {
  if (granted_) {
    budget_.used_bytes_ -= bytes_;
  } else {
    budget_.waiting_.remove(this);
  }
  budget_.GrantWaiting();
}

}  // namespace acaciaspring::net
