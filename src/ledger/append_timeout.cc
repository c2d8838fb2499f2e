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
// Weight of a new sample is 1 / kSmoothingDivisor.
constexpr int kSmoothingDivisor = 4;

}  // namespace

AppendTimeout::AppendTimeout() : current_(kMinTimeout) {}

void AppendTimeout::OnResponse(Duration latency) {
  smoothed_latency_ += (latency - smoothed_latency_) / kSmoothingDivisor;
  current_ = std::clamp(smoothed_latency_ * kLatencyMultiple, kMinTimeout, kMaxTimeout);
}

void AppendTimeout::OnTimeout() {
  current_ = std::min(current_ * 2, kMaxTimeout);
}

}  // namespace acaciaspring::ledger
