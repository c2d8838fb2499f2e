#include "src/net/delivery_wait.h"

namespace acaciaspring::net {

bool DeliveryWait::IsOver(MonotonicTime now, const SocketState& state) {
  if (state.failed) {
    return true;
  }
  if (state.undelivered_bytes == 0) {
    delivered_at_ = delivered_at_.value_or(now);
    return state.peer_closed || now - *delivered_at_ >= options_.max_after_delivery;
  }
  // A client that has closed its own direction may still read.
  if (!undelivered_bytes_ || state.undelivered_bytes < *undelivered_bytes_) {
    undelivered_bytes_ = state.undelivered_bytes;
    last_progress_ = now;
  }
  return now - last_progress_ >= options_.max_stall;
}

}  // namespace acaciaspring::net
