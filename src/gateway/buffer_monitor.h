#ifndef ACACIASPRING_SRC_GATEWAY_BUFFER_MONITOR_H_
#define ACACIASPRING_SRC_GATEWAY_BUFFER_MONITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "acaciaspring/net.h"
#include "acaciaspring/telemetry.h"
#include "src/gateway/buffer_budget.h"

namespace acaciaspring::gateway {

/// @brief Measures the bytes that the daemon holds for its callers and endpoints, and closes the
/// connections that the budget chooses. Does nothing without a memory limit.
class BufferMonitor {
 public:
  BufferMonitor(net::Loop& loop,
                std::optional<std::size_t> memory_bytes,
                telemetry::EventLog& events,
                telemetry::Registry& metrics);

  bool enabled() const { return budget_.has_value(); }
  /// @brief Sets the source of the bytes queued for other daemons.
  void SetPeerBytes(std::function<std::size_t()> peer_bytes) {
    peer_bytes_ = std::move(peer_bytes);
  }

  /// @brief Returns false if a new request is to be refused, and counts the refusal.
  bool AcceptRequest();

  BufferId NewId() { return ++last_id_; }
  /// @brief Counts the bytes of a response after a write to it; `on_close` is called if the
  /// response has not ended and its connection is to be closed.
  void OnWritten(BufferId id,
                 const net::HttpResponderPtr& responder,
                 std::function<void()> on_close);
  /// @brief The daemon has the whole response. Its bytes are counted until the caller has them.
  void OnEnded(BufferId id, const net::HttpResponderPtr& responder);

  /// @brief Number of the bytes that belong to no response, for HeldBytes; null without a limit.
  const std::shared_ptr<std::size_t>& held_bytes() const { return held_bytes_; }

 private:
  struct Response {
    std::weak_ptr<net::HttpResponder> responder;
    std::function<void()> on_close;
    bool complete = false;
    /// As last measured, which takes system calls.
    std::uint64_t delivered_bytes = 0;
  };

  void Update(BufferId id, Response& response, bool measure_delivery);
  void UpdateOtherBytes();
  /// @brief Measures all responses again.
  void Sample();
  void CloseSlowest();
  void ReportRefusals();

  net::Loop& loop_;
  telemetry::EventLog& events_;
  telemetry::Registry& metrics_;
  std::optional<BufferBudget> budget_;
  std::unordered_map<std::uint64_t, Response> responses_;
  std::function<std::size_t()> peer_bytes_;
  std::shared_ptr<std::size_t> held_bytes_;
  std::size_t queued_for_peers_ = 0;
  BufferId last_id_;
  MonotonicTime next_choice_;
  /// Refusals since `refusing_since_`, when the daemon accepted requests last; 0 while it does.
  std::uint64_t refusals_ = 0;
  MonotonicTime refusing_since_;
  MonotonicTime last_refusal_;
  net::Timer timer_;
};

/// @brief Counts bytes as held by the daemon while it exists. It may outlive the monitor, because
/// the loop keeps calls alive until their callbacks have returned.
class HeldBytes {
 public:
  HeldBytes(const BufferMonitor& monitor, std::size_t bytes) : total_(monitor.held_bytes()) {
    Set(bytes);
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() { Set(0); }

  void Set(std::size_t bytes) {
    if (total_ != nullptr) {
      *total_ += bytes;
      *total_ -= std::exchange(bytes_, bytes);
    }
  }

 private:
  std::shared_ptr<std::size_t> total_;
  std::size_t bytes_ = 0;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_BUFFER_MONITOR_H_
