#ifndef ACACIASPRING_SRC_NET_DELIVERY_WAIT_H_
#define ACACIASPRING_SRC_NET_DELIVERY_WAIT_H_

#include <optional>

#include "acaciaspring/base.h"
#include "src/net/socket_state.h"

namespace acaciaspring::net {

struct DeliveryWaitOptions {
  /// Longest time in which the client acknowledges nothing.
  Duration max_stall = std::chrono::seconds(30);
  /// Time for the client to close the connection after it has acknowledged everything.
  Duration max_after_delivery = std::chrono::seconds(2);
};

/// @brief Decides how long a connection is kept behind its last response.
class DeliveryWait {
 public:
  DeliveryWait(MonotonicTime begin, DeliveryWaitOptions options)
      : options_(options), last_progress_(begin) {}
  /// @brief Returns true if the connection is to be closed now.
  bool IsOver(MonotonicTime now, const SocketState& state);

 private:
  DeliveryWaitOptions options_;
  MonotonicTime last_progress_;
  std::optional<std::size_t> undelivered_bytes_;
  std::optional<MonotonicTime> delivered_at_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_DELIVERY_WAIT_H_
