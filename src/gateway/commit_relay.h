#ifndef ACACIASPRING_SRC_GATEWAY_COMMIT_RELAY_H_
#define ACACIASPRING_SRC_GATEWAY_COMMIT_RELAY_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"

namespace acaciaspring::gateway {

/// @brief Records for turns whose partition moved while they ran, at whoever owns it now, and for
/// turns whose partition is away, at any daemon with a partition that takes records.
class CommitRelay {
 public:
  CommitRelay(Context& context, Ownership& ownership, std::function<PeerLinks*()> links)
      : context_(context), ownership_(ownership), links_(std::move(links)) {}

  /// @brief `on_done` gets false when nobody has recorded it by the deadline. The result cancels
  /// the request.
  ExchangeId Commit(CommitRequest request,
                    MonotonicTime deadline,
                    std::function<void(bool)> on_done);
  void Cancel(ExchangeId id) { pending_.erase(id); }
  /// @brief Answers another daemon.
  void HandleRequest(const CommitRequest& request, const ReplyFunction& reply);
  void OnReply(const CommitReply& reply);
  /// @brief Sends again what has no owner yet; to be called when owners change.
  void RetryWaiting();
  void OnPeerDisconnected(const DaemonId& daemon);

 private:
  struct Pending {
    CommitRequest request;
    std::function<void(bool)> on_done;
    /// Empty while no owner is known.
    DaemonId sent_to;
    /// Recorders that have been asked, for a request to any of them.
    std::uint32_t attempt = 0;
    net::Timer timer;
    net::Timer next_recorder_timer;
  };

  void Dispatch(ExchangeId id);
  void DispatchToRecorder(ExchangeId id, Pending& pending);
  void Record(const std::shared_ptr<ledger::Partition>& partition,
              const CommitRequest& request,
              std::function<void(const CommitReply&)> on_done);
  /// @brief The partition of this daemon that can record the request for another one.
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
