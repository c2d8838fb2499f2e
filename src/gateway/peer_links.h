#ifndef ACACIASPRING_SRC_GATEWAY_PEER_LINKS_H_
#define ACACIASPRING_SRC_GATEWAY_PEER_LINKS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway/context.h"
#include "src/gateway/heartbeat_plan.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

/// @brief A message that is made only when the other daemon has room for it.
struct DeferredPeerMessage {
  net::MessageStreamId stream = {};
  /// Approximate size.
  std::size_t bytes = 0;
  /// Returns nothing if the message is not to be sent any more.
  std::function<std::optional<PeerMessage>()> make = {};
};

/// @brief Sends a reply to the daemon that a message came from. Has no effect once the connection
/// is closed.
class ReplyFunction {
 public:
  using Send = std::function<void(const PeerMessage&)>;
  using SendDeferred = std::function<void(DeferredPeerMessage)>;

  ReplyFunction(Send send, SendDeferred send_deferred)
      : send_(std::move(send)), send_deferred_(std::move(send_deferred)) {}
  void operator()(const PeerMessage& message) const { send_(message); }
  void Defer(DeferredPeerMessage message) const { send_deferred_(std::move(message)); }

 private:
  Send send_;
  SendDeferred send_deferred_;
};

/// @brief A daemon that is ready, and the correction of its capacity with its age.
struct ReadyPeer {
  Member member = {};
  double capacity_correction = 1;
  Duration correction_age = {};
};

struct PeerHandlers {
  std::function<void(const DaemonId&, const PeerStatus&)> on_status = {};
  std::function<void(const DaemonId&, const PeerLoad&)> on_load = {};
  std::function<void(const DaemonId&, const PeerDemand&)> on_demand = {};
  std::function<void(const DaemonId&, const PeerRateLimits&)> on_rate_limits = {};
  std::function<void(const DaemonId&, const PeerCrashReports&)> on_crashes = {};
  std::function<void(const PeerSeenEndpoints&)> on_seen_endpoints = {};
  /// Called for all other messages.
  std::function<void(const DaemonId&, PeerMessage, const ReplyFunction&)> on_message = {};
  /// The connection to the daemon opened.
  std::function<void(const DaemonId&)> on_connected = {};
  /// The connection to the daemon was lost; messages sent on it may have arrived.
  std::function<void(const DaemonId&)> on_disconnected = {};
  /// The first attempt to reconnect failed too, so the process of the daemon counts as ended.
  std::function<void(const Member&)> on_exited = {};
  /// The connection from a daemon, which may have requested turns, was lost.
  std::function<void(const DaemonId&)> on_requester_disconnected = {};
};

/// @brief Connections to the other daemons: an outgoing one to each for the requests of this
/// daemon, and accepted ones for the requests of the others.
class PeerLinks {
 public:
  PeerLinks(Context& context, std::string cluster_key, PeerHandlers handlers);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  ~PeerLinks();

  void SetMembers(const std::vector<Member>& members);
  /// @brief Returns false if there is no open connection.
  bool Send(const DaemonId& daemon, const PeerMessage& message);
  /// @brief Like Send(), for a message that can be larger than one frame.
  bool Defer(const DaemonId& daemon, DeferredPeerMessage message);
  /// @brief Sends a message to all daemons with an open connection.
  void SendToAll(const PeerMessage& message);
  bool IsOpen(const DaemonId& daemon) const;
  /// @brief Sends a status to the daemons whose heartbeat is due and closes the connections to
  /// those that have been silent.
  void Heartbeat(const PeerStatus& status);
  /// @brief Sends a status to all daemons at once, after a change that they must learn of.
  void SendStatus(const PeerStatus& status);
  /// @brief Sends the calls in flight to the daemons of the same zone.
  void SendLoad(const PeerLoad& load);
  /// @brief Minimum time between two calls of SendLoad().
  Duration LoadPeriod() const { return periods_.load; }
  /// @brief Time until a heartbeat is due to some daemon.
  Duration HeartbeatPeriod() const { return periods_.same_zone; }
  /// @brief Longest time between two messages to a daemon.
  Duration LongestPeriod() const { return std::max(periods_.same_zone, periods_.other_zone); }
  /// @brief Daemons whose last status is recent and reports them as ready.
  std::vector<ReadyPeer> ReadyPeers() const;
  /// @brief Daemons that have a writable partition, as of their last status.
  std::vector<DaemonId> WritablePeers() const;
  /// @brief Daemons with an open connection.
  std::vector<DaemonId> OpenPeers() const;
  /// @brief Bytes of messages that other daemons have not acknowledged.
  std::size_t undelivered_bytes() const;
  /// @brief Bytes of messages that no socket has taken yet.
  std::size_t queued_bytes() const;

 private:
  struct Outgoing {
    Member member;
    net::PeerConnectionPtr connection;
    net::Timer retry_timer;
    MonotonicTime opened_at;
    MonotonicTime last_status_sent_at;
    /// When the last status or load was sent.
    MonotonicTime last_sent_at;
    /// Connection attempts since the connection was last open.
    std::uint32_t attempts = 0;
  };
  struct Incoming {
    net::PeerConnectionPtr connection;
    std::optional<Member> member = {};
  };
  struct LastStatus {
    Member member;
    bool ready = false;
    bool has_writable_partition = false;
    double capacity_correction = 1;
    /// When the last status or load was received.
    MonotonicTime received_at;
    MonotonicTime status_received_at;
  };

  Duration PeriodFor(const Member& member) const;
  /// @brief Sends a status to the daemons for which `is_due` is true.
  void SendStatusIf(const PeerStatus& status, const std::function<bool(const Outgoing&)>& is_due);
  void CloseSilent();
  net::PeerCallbacks Accept(net::PeerConnectionPtr connection);
  void Connect(const DaemonId& daemon);
  void OnOutgoingClosed(const DaemonId& daemon);
  void OnIncoming(const std::shared_ptr<Incoming>& incoming, std::string_view payload);
  void OnOutgoingMessage(const DaemonId& daemon, std::string_view payload);
  std::optional<PeerMessage> Decode(std::string_view payload);
  void LogTooLarge(const DaemonId& daemon, std::size_t bytes);

  Context& context_;
  HeartbeatPeriods periods_;
  std::string cluster_key_;
  PeerHandlers handlers_;
  net::PeerResources resources_;
  std::unordered_map<DaemonId, Outgoing> outgoing_;
  std::map<Incoming*, std::shared_ptr<Incoming>> incoming_;
  std::unordered_map<DaemonId, LastStatus> last_statuses_;
  std::unique_ptr<net::PeerListener> listener_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PEER_LINKS_H_
