#include <algorithm>
#include <cmath>

#include "src/journal/writer.h"

namespace acaciaspring::journal {

TokenBucket::TokenBucket(double tokens_per_second, double burst)
    : rate_(tokens_per_second), burst_(std::max(1.0, burst)), tokens_(burst_) {}

void TokenBucket::Refill(MonotonicTime now) {
  if (last_refill_ && now > *last_refill_) {
    const double seconds = std::chrono::duration<double>(now - *last_refill_).count();
    tokens_ = std::min(burst_, tokens_ + seconds * rate_);
  }
  last_refill_ = last_refill_ ? std::max(*last_refill_, now) : now;
}

bool TokenBucket::TryTake(MonotonicTime now) {
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

MonotonicTime TokenBucket::NextTokenTime(MonotonicTime now) {
  Refill(now);
  if (tokens_ >= 1) {
    return now;
  }
  // Rounded up, so that a token is available at that time.
  const double microseconds = std::ceil((1 - tokens_) / rate_ * 1e6) + 1;
  return now + Duration(static_cast<Duration::rep>(microseconds));
}

}  // namespace acaciaspring::journal
