#include <algorithm>

#include "acaciaspring/ledger.h"

namespace acaciaspring::ledger {

namespace {

// An append is answered within 10 ms; a repeat before its answer is harmless.
constexpr Duration kShortest = std::chrono::milliseconds(100);
// The slowest store answers in a quarter of this.
constexpr Duration kLongest = std::chrono::milliseconds(1000);
// Answers that take this many times the usual are probably lost.
constexpr int kUsualTimes = 8;
constexpr int kSmoothing = 4;

}  // namespace

AppendTimeout::AppendTimeout() : current_(kShortest) {}

void AppendTimeout::OnAnswer(Duration took) {
  usual_ += (took - usual_) / kSmoothing;
  current_ = std::clamp(usual_ * kUsualTimes, kShortest, kLongest);
}

void AppendTimeout::OnTimeout() {
  current_ = std::min(current_ * 2, kLongest);
}

}  // namespace acaciaspring::ledger
