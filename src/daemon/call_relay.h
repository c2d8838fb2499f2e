#ifndef ACACIASPRING_SRC_DAEMON_CALL_RELAY_H_
#define ACACIASPRING_SRC_DAEMON_CALL_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/daemon/cluster.h"
#include "src/daemon/organisation_limits.h"

namespace acaciaspring::daemon {

/// @brief Relays calls of this entry's callers to the homes of their programs. A call whose home
/// changes or is lost is sent again under the same idempotency key, from the point that the caller
/// has reached, until its deadline.
class CallRelay {
 public:
  CallRelay(Context context, const Cluster& cluster, OrganisationLimits& limits);

  /// @brief Sends a call to its home; the answer goes to `responder`. Model calls are answered as
  /// an event stream.
  void Start(wire::CallRequest request, net::HttpResponderPtr responder);

  /// @brief Messages from homes.
  void OnEvent(ChannelId channel, const wire::CallEvent& event);
  void OnFinished(ChannelId channel, const wire::CallFinished& finished);
  void OnWrongOwner(ChannelId channel, const wire::WrongOwner& wrong_owner);
  void OnChannelClosed(ChannelId channel);
  /// @brief Sends calls again whose home is no longer the owner.
  void OnOwnershipChanged();

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct RelayedCall;
  using CallPtr = std::shared_ptr<RelayedCall>;

  /// @brief Starts the call when the limits of its organisation allow it.
  void Admit(const CallPtr& call);
  void Send(const CallPtr& call);
  void RetryLater(const CallPtr& call, Duration delay);
  void Finish(const CallPtr& call, const wire::CallFinished& finished);
  void FinishStream(const CallPtr& call, const wire::CallFinished& finished);
  void FinishWithOutcome(const CallPtr& call, const Outcome& outcome);
  CallPtr Find(ChannelId channel, ExchangeId exchange);

  Context context_;
  const Cluster& cluster_;
  OrganisationLimits& limits_;
  ExchangeId last_exchange_;
  std::unordered_map<ExchangeId, CallPtr> calls_;
};

/// @brief Parses an event id of the form BYTES-HASH; anything else gives the start of the answer.
wire::ResumePoint ParseEventId(std::string_view text);
std::string FormatEventId(const wire::ResumePoint& point);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CALL_RELAY_H_
