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

/// @brief Relays calls from the callers of this entry to the homes of their programs. If the home
/// of a call changes or its connection is lost, the call is sent again until its deadline, with the
/// same idempotency key and the position up to which the caller has received the response.
class CallRelay {
 public:
  CallRelay(Context context, const Cluster& cluster, OrganisationLimits& limits);

  /// @brief Sends a call to its home and the result to `responder`; the result of a model call is
  /// an event stream.
  void Start(wire::CallRequest request, net::HttpResponderPtr responder);

  // Messages from homes.
  void OnEvent(ChannelId channel, const wire::CallEvent& event);
  void OnFinished(ChannelId channel, const wire::CallFinished& finished);
  void OnWrongOwner(ChannelId channel, const wire::WrongOwner& wrong_owner);
  void OnChannelClosed(ChannelId channel);
  /// @brief Sends calls again whose home no longer owns their shard.
  void OnOwnershipChanged();

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct RelayedCall;
  using CallPtr = std::shared_ptr<RelayedCall>;

  /// @brief Sends the call once the limits of its organisation allow it, or refuses it after a
  /// short wait.
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

/// @brief Parses an event id of the form BYTES-HASH. Any other text gives the start of the
/// response.
wire::ResumePoint ParseEventId(std::string_view text);
std::string FormatEventId(const wire::ResumePoint& point);

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_CALL_RELAY_H_
