#include "src/gateway/capacity_correction.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaspring::gateway {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

CapacityCorrection::CapacityCorrection(CapacityCorrectionOptions options) : options_(options) {}

Duration CapacityCorrection::delay() const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay_seconds_));
}

void CapacityCorrection::OnTimer(MonotonicTime now) {
  if (!last_) {
    last_ = now;
  }
  if (now <= *last_) {
    return;
  }
  const Duration since_last = std::chrono::duration_cast<Duration>(now - *last_);
  last_ = now;
  const Duration delay =
      std::clamp(since_last - options_.period, Duration::zero(), options_.max_delay);
  const double elapsed = Seconds(std::min(since_last, options_.period + options_.max_delay));
  const double weight = 1 - std::exp(-elapsed / Seconds(options_.smoothing));
  delay_seconds_ += weight * (Seconds(delay) - delay_seconds_);

  if (delay_seconds_ < Seconds(options_.low_delay)) {
    Rise(elapsed);
  } else if (delay_seconds_ > Seconds(options_.high_delay)) {
    Fall(elapsed);
  }
}

void CapacityCorrection::SetDirection(Direction direction) {
  const Direction former = std::exchange(direction_, direction);
  if (former != Direction::kNone && former != direction) {
    pace_ = std::max(options_.min_pace, pace_ / 2);
  }
}

void CapacityCorrection::Rise(double elapsed_seconds) {
  if (value_ == 1) {
    pace_ = 1;
    direction_ = Direction::kNone;
    return;
  }
  SetDirection(Direction::kRise);
  pace_ = std::min(1.0, pace_ * std::exp2(elapsed_seconds / Seconds(options_.rise_acceleration)));
  value_ = std::min(1.0, value_ * std::exp(options_.rise * pace_ * elapsed_seconds));
}

void CapacityCorrection::Fall(double elapsed_seconds) {
  SetDirection(Direction::kFall);
  pace_ = std::min(1.0, pace_ * std::exp2(elapsed_seconds / Seconds(options_.fall_acceleration)));
  const double high = Seconds(options_.high_delay);
  const double overload =
      std::min(1.0, (delay_seconds_ - high) / (Seconds(options_.overload_delay) - high));
  const double fall =
      options_.slowest_fall + overload * (options_.fastest_fall - options_.slowest_fall);
  value_ = std::max(options_.min, value_ * std::exp(-fall * pace_ * elapsed_seconds));
}

}  // namespace acaciaspring::gateway
