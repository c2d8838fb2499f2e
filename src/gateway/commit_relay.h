#ifndef ACACIASPRING_SRC_GATEWAY_COMMIT_RELAY_H_
#define ACACIASPRING_SRC_GATEWAY_COMMIT_RELAY_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"

namespace acaciaspring::gateway {

/// @brief Records turns and token counts that a turn's own partition cannot record: at the current
/// owner if the partition moved while the turn ran, or in any writable partition while the own one
/// is unavailable.
class CommitRelay {
 public:
  CommitRelay(Context& context, Ownership& ownership, std::function<PeerLinks*()> links)
      : context_(context), ownership_(ownership), links_(std::move(links)) {}

  /// @brief `on_done` gets false if the request was refused or not recorded by the deadline.
  /// Returns the id for Cancel().
  ExchangeId Commit(CommitRequest request,
                    MonotonicTime deadline,
                    std::function<void(bool)> on_done);
  void Cancel(ExchangeId id) { pending_.erase(id); }
  /// @brief Handles a request from another daemon.
  void HandleRequest(const CommitRequest& request, const ReplyFunction& reply);
  void OnReply(const CommitReply& reply);
  /// @brief Sends the requests that have no recipient; to be called when owners change.
  void RetryWaiting();
  void OnPeerDisconnected(const DaemonId& daemon);

 private:
  struct Pending {
    CommitRequest request;
    std::function<void(bool)> on_done;
    /// Empty while no recipient is known.
    DaemonId sent_to;
    /// Recorders asked so far, for a request that any partition may record.
    std::uint32_t attempt = 0;
    net::Timer timer;
    net::Timer next_recorder_timer;
  };

  void Dispatch(ExchangeId id);
  /// @brief Sends a pending request to a daemon. Returns false if there is no connection.
  bool SendTo(PeerLinks& links, const DaemonId& daemon, ExchangeId id);
  void DispatchToRecorder(ExchangeId id, Pending& pending);
  /// @brief Time after which another recorder is asked.
  Duration NextRecorderDelay(const CommitRequest& request) const;
  void Record(const std::shared_ptr<ledger::Partition>& partition,
              const CommitRequest& request,
              std::function<void(const CommitReply&)> on_done);
  /// @brief The local partition that can record a request from another daemon; null if there is
  /// none.
  std::shared_ptr<ledger::Partition> LocalPartitionFor(const CommitRequest& request) const;
  void Finish(ExchangeId id, bool durable);
  ledger::PartitionId PartitionFor(const CommitRequest& request) const;

  Context& context_;
  Ownership& ownership_;
  std::function<PeerLinks*()> links_;
  std::unordered_map<ExchangeId, Pending> pending_;
  ExchangeId last_id_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_COMMIT_RELAY_H_
