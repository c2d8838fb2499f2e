#ifndef ACACIASPRING_SRC_GATEWAY_PERMIT_EXCHANGE_H_
#define ACACIASPRING_SRC_GATEWAY_PERMIT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief Functions that the exchange needs from the connections to other daemons.
struct PermitExchangeLinks {
  std::function<bool(const DaemonId&, const PeerMessage&)> send = {};
  std::function<std::vector<DaemonId>()> ready_daemons = {};
  std::function<bool()> self_ready = {};
  std::function<Duration()> longest_period = {};
};

/// @brief Obtains permits of organisations for the calls of this daemon, and exchanges shares and
/// permits with the other daemons. Sends nothing unless an organisation has a limit.
class PermitExchange {
 public:
  using OnDecision = std::function<void(const organisations::PermitDecision&)>;

  PermitExchange(net::Loop& loop,
                 telemetry::EventLog& events,
                 telemetry::Registry& metrics,
                 const GatewayOptions& options);

  void Join(PermitExchangeLinks links);
  void SetOrganisations(const std::vector<organisations::Organisation>& organisations);
  void SetMembers(const std::vector<Member>& members);
  void OnHeard(const DaemonId& daemon);
  void OnConnected(const DaemonId& daemon);
  /// @brief The daemon may have ended: its connection was lost and could not be opened again.
  void OnExited(const Member& member);
  /// @brief Returns false if the message is of another kind.
  bool OnMessage(const DaemonId& daemon, const PeerMessage& message);

  bool HasLimit(const OrganisationId& organisation) const;
  /// @brief Takes a permit. Calls `on_decision` later if the result is PermitWaits.
  organisations::PermitDecision Acquire(const OrganisationId& organisation,
                                        organisations::PermitUse use,
                                        Duration remaining,
                                        OnDecision on_decision);
  void Cancel(organisations::PermitTicket ticket);
  void Return(const organisations::Permit& permit);
  /// @brief Counts the execution of a request, which has used a permit.
  void CountUsed(const OrganisationId& organisation);

 private:
  bool active() const { return limits_ != nullptr && limits_->active(); }
  /// @brief Lets the next step take place soon.
  void Hasten();
  void Schedule(Duration delay);
  void Step();
  void LogChanges(const organisations::RequestLimitsOutput& output);
  void CountRefusal(const OrganisationId& organisation,
                    const organisations::PermitDecision& decision);
  void LogRefusals();
  std::string Label(const OrganisationId& organisation);

  struct Waiter {
    OrganisationId organisation;
    OnDecision on_decision;
  };
  struct Refusals {
    std::int64_t denied = 0;
    std::int64_t unanswered = 0;
  };

  net::Loop& loop_;
  telemetry::EventLog& events_;
  telemetry::Registry& metrics_;
  /// Null if the limits do not apply.
  std::unique_ptr<organisations::RequestLimits> limits_;
  PermitExchangeLinks links_;
  std::unordered_map<organisations::PermitTicket, Waiter> waiters_;
  net::Timer timer_;
  BootTime step_due_ = BootTime::max();
  BootTime last_step_;
  /// Connection attempts to daemons that may have ended.
  std::map<DaemonId, std::unique_ptr<net::ConnectCheck>> checks_;
  std::map<OrganisationId, Refusals> refusals_;
  net::Timer refusal_timer_;
  /// Organisations with metrics of their own.
  std::set<OrganisationId> labelled_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PERMIT_EXCHANGE_H_
