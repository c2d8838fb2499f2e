#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_EXCHANGE_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_EXCHANGE_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/context.h"
#include "src/gateway/member_presence.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief Keeps the daemons' knowledge of endpoints' rate limits, and of who shares them, in step.
class RateLimitExchange {
 public:
  using SendFunction = std::function<void(const PeerMessage&)>;

  explicit RateLimitExchange(Context& context)
      : context_(context), presence_(context.options.self.id) {}

  void SetMembers(const std::vector<Member>& members);
  void OnHeard(const DaemonId& daemon);
  void OnDemand(const DaemonId& daemon, const PeerDemand& demand);
  void OnReports(const DaemonId& daemon, const PeerRateLimits& limits);
  /// @brief Tells a daemon that has connected what this one knows.
  void Greet(const SendFunction& send_to_daemon);
  /// @brief Applies the passing of time and tells all daemons of changes.
  void Update(const SendFunction& send_to_all);

 private:
  void UpdatePresence();
  PeerDemand MakeDemand() const;

  Context& context_;
  MemberPresence presence_;
  /// Services as last sent to all daemons.
  std::set<ServiceId> sent_demand_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_EXCHANGE_H_
