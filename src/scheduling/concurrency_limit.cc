#include "src/scheduling/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring {

namespace {

constexpr double kMinLimit = 1;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots,
                                   MonotonicTime now,
                                   ConcurrencyLimitOptions options)
    : options_(options),
      slots_(std::max<std::uint32_t>(slots, 1)),
      value_(std::max(kMinLimit, std::floor(slots_ * options.initial_share))),
      grown_at_(now),
      reduced_at_(now) {}

void ConcurrencyLimit::OnCompleted(Duration call_duration, MonotonicTime now) {
  if (consecutive_slow_ > 0) {
    return;
  }
  // Growth follows the time since the last growth and is only released by responses. It is
  // therefore the same for a daemon that receives all responses and for one of many that each
  // receive a few.
  const double elapsed = static_cast<double>((now - grown_at_).count());
  const double duration = static_cast<double>(std::max(call_duration, Duration(1)).count());
  value_ *= std::exp2(std::clamp(elapsed / duration, 0.0, 1.0));
  value_ = std::min(value_, slots_);
  grown_at_ = std::max(grown_at_, now);
}

void ConcurrencyLimit::OnFailed(Duration call_duration, MonotonicTime now) {
  // The calls of one overload fail together and are one sign of it.
  if (now - call_duration >= reduced_at_ && now - reduced_at_ >= options_.failure_interval) {
    Reduce(options_.failure_factor, now);
  }
}

bool ConcurrencyLimit::IsSlow(Duration time, Duration best) const {
  return static_cast<double>(time.count()) >
         options_.slow_multiple * static_cast<double>(best.count()) +
             static_cast<double>(options_.slow_slack.count());
}

void ConcurrencyLimit::OnFirstEvent(Duration time, Duration best, MonotonicTime now) {
  if (!IsSlow(time, best)) {
    consecutive_slow_ = 0;
    return;
  }
  ++consecutive_slow_;
  if (consecutive_slow_ >= options_.slow_before_reduction && now - time >= reduced_at_) {
    Reduce(options_.slow_factor, now);
  }
}

void ConcurrencyLimit::Set(double limit, MonotonicTime observed_at) {
  value_ = std::clamp(limit, kMinLimit, slots_);
  grown_at_ = observed_at;
}

void ConcurrencyLimit::Raise(MonotonicTime now) {
  value_ = std::min(value_ * 2, slots_);
  grown_at_ = now;
}

void ConcurrencyLimit::Reduce(double factor, MonotonicTime now) {
  value_ = std::max(kMinLimit, value_ * factor);
  grown_at_ = now;
  reduced_at_ = now;
}

void BestTime::Record(Duration time, MonotonicTime now) {
  if (!current_ || now - period_start_ >= period_) {
    former_ = current_;
    current_.reset();
    period_start_ = now;
  }
  current_ = current_ ? std::min(*current_, time) : time;
}

std::optional<Duration> BestTime::value() const {
  return former_ && current_ ? std::min(*former_, *current_) : current_;
}

}  // namespace acaciaspring
