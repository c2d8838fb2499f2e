#ifndef ACACIASPRING_SRC_GATEWAY_BUFFER_BUDGET_H_
#define ACACIASPRING_SRC_GATEWAY_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Identifies a response whose bytes are counted.
using BufferId = StrongNumber<struct BufferIdTag>;

/// @brief What is known of one response at one time.
struct BufferState {
  /// Bytes in the memory of the daemon.
  std::size_t buffered_bytes = 0;
  /// Bytes that the caller has acknowledged since the start of the response.
  std::uint64_t delivered_bytes = 0;
  /// The daemon has the whole response.
  bool complete = false;
};

/// @brief Counts the bytes that a daemon holds for its callers and endpoints, and decides when to
/// refuse requests and which connections to close.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t memory_bytes) : memory_bytes_(memory_bytes) {}

  /// @brief Counts a response, or counts it anew. Only the times when the delivered bytes have
  /// increased count as progress.
  void Update(BufferId id, const BufferState& state, MonotonicTime now);
  void Remove(BufferId id);
  /// @brief Sets the bytes that belong to no response: requests, chains, messages to daemons.
  void SetOtherBytes(std::size_t bytes) { other_bytes_ = bytes; }

  std::size_t buffered_bytes() const { return response_bytes_ + other_bytes_; }
  std::size_t refusal_threshold() const { return memory_bytes_ / 4; }
  std::size_t closing_threshold() const { return memory_bytes_ / 2; }
  bool AcceptsRequests() const { return buffered_bytes() <= refusal_threshold(); }
  bool IsOverClosingThreshold() const { return buffered_bytes() > closing_threshold(); }
  /// @brief Connections to close, in this order, so that the bytes are below half of the memory
  /// again; empty if they are. Connections whose buffers would take longest to drain come first.
  std::vector<BufferId> ChooseToClose(MonotonicTime now) const;

 private:
  struct Response {
    BufferState state = {};
    MonotonicTime last_progress;
    /// Start of the current and of the former period over which the rate is measured.
    MonotonicTime period_start;
    std::uint64_t delivered_at_start = 0;
    MonotonicTime former_start;
    std::uint64_t delivered_at_former_start = 0;
    MonotonicTime known_since;
  };
  static double DrainSeconds(const Response& response, MonotonicTime now);
  bool MayClose(const Response& response, MonotonicTime now) const;

  std::size_t memory_bytes_;
  std::size_t other_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  std::map<BufferId, Response> responses_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_BUFFER_BUDGET_H_
