#ifndef ACACIASPRING_SRC_GATEWAY_PENDING_EXCHANGE_H_
#define ACACIASPRING_SRC_GATEWAY_PENDING_EXCHANGE_H_

#include <unordered_map>
#include <utility>

#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief Ends an exchange with other daemons and reports its result; does nothing if it has
/// already ended. `Pending` has a member `on_done`, which may start another exchange.
template <class Pending, class Result>
void FinishExchange(std::unordered_map<ExchangeId, Pending>& pending,
                    ExchangeId id,
                    Result result) {
  const auto found = pending.find(id);
  if (found == pending.end()) {
    return;
  }
  const auto on_done = std::move(found->second.on_done);
  pending.erase(found);
  on_done(std::move(result));
}

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PENDING_EXCHANGE_H_
