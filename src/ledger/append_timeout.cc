#include <algorithm>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

// The store normally responds within 10 ms. Repeating an append before its response is harmless.
constexpr Duration kMinTimeout = std::chrono::milliseconds(100);
// Four times the latency of the slowest store.
constexpr Duration kMaxTimeout = std::chrono::milliseconds(1000);
// A response that takes this many times the smoothed latency is assumed to be lost.
constexpr int kLatencyMultiple = 8;
// Appends of other daemons to the same store slow a transfer down.
constexpr int kTransferMultiple = 2;
// Weight of a new sample is 1 / kSmoothingDivisor.
constexpr int kSmoothingDivisor = 4;

}  // namespace

Duration TransferTime(std::size_t bytes, std::uint64_t bytes_per_second) {
  return bytes_per_second == 0
             ? Duration(0)
             : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                   static_cast<double>(bytes) / static_cast<double>(bytes_per_second)));
}

AppendTimeout::AppendTimeout(std::uint64_t bytes_per_second)
    : bytes_per_second_(bytes_per_second), current_(kMinTimeout) {}

Duration AppendTimeout::Current(std::size_t bytes) const {
  return current_ + kTransferMultiple * TransferTime(bytes, bytes_per_second_);
}

void AppendTimeout::OnResponse(Duration latency, std::size_t bytes) {
  latency = std::max(latency - TransferTime(bytes, bytes_per_second_), Duration(0));
  smoothed_latency_ += (latency - smoothed_latency_) / kSmoothingDivisor;
  current_ = std::clamp(smoothed_latency_ * kLatencyMultiple, kMinTimeout, kMaxTimeout);
}

void AppendTimeout::OnTimeout() {
  current_ = std::min(current_ * 2, kMaxTimeout);
}

}  // namespace acaciaspring::ledger
