#include "src/gateway/rate_limit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace acaciaspring::gateway {

namespace {

// Tolerance for rounding when a permit has accrued.
constexpr double kRounding = 1e-6;

double Seconds(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

std::optional<double> ParseRateLimit(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool valid = error == std::errc() && parsed_to == end && std::isfinite(value) && value >= 0;
  return valid ? std::optional<double>(value) : std::nullopt;
}

std::string FormatRateLimit(const std::optional<double>& per_second) {
  if (!per_second) {
    return "none";
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", *per_second);
  return text.data();
}

RateLimit::RateLimit(double per_second, double permits, MonotonicTime now, RateLimitOptions options)
    : options_(options), permits_(permits), updated_(now) {
  SetLimit(per_second, now);
}

void RateLimit::SetLimit(std::optional<double> per_second, MonotonicTime now) {
  Update(now);
  if (per_second) {
    base_ = std::max(*per_second, options_.min_per_second);
  } else if (limit_) {
    lifted_at_ = now;
  }
  limit_ = per_second;
}

void RateLimit::SetShare(double share, double burst, MonotonicTime now) {
  Update(now);
  share_ = share;
  burst_ = burst;
}

double RateLimit::Accrued(MonotonicTime from, MonotonicTime to) const {
  const double rate = base_ * share_;
  if (limit_) {
    return rate * Seconds(from, to);
  }
  // Integral of the rate, which doubles in each period since the end of the limit.
  const double doubling = std::chrono::duration<double>(options_.recovery_doubling).count();
  const double begin = Seconds(lifted_at_, from) / doubling;
  const double end = Seconds(lifted_at_, to) / doubling;
  return rate * doubling / std::log(2.0) * (std::exp2(end) - std::exp2(begin));
}

double RateLimit::PermitsAt(MonotonicTime now) const {
  return std::min(burst_, permits_ + Accrued(updated_, std::max(now, updated_)));
}

void RateLimit::Update(MonotonicTime now) {
  permits_ = PermitsAt(now);
  updated_ = std::max(now, updated_);
}

bool RateLimit::HasPermit(MonotonicTime now) const {
  return Recovered(now) || PermitsAt(now) >= 1 - kRounding;
}

bool RateLimit::HasSpare(MonotonicTime now) const {
  return Recovered(now) || PermitsAt(now) >= burst_ - kRounding;
}

void RateLimit::Take(MonotonicTime now) {
  Update(now);
  permits_ = std::max(0.0, permits_ - 1);
}

MonotonicTime RateLimit::NextPermit(MonotonicTime now) const {
  if (HasPermit(now)) {
    return now;
  }
  const MonotonicTime recovered = limit_ ? MonotonicTime::max() : lifted_at_ + options_.recovery;
  const double rate = base_ * share_;
  if (rate <= 0) {
    return recovered;
  }
  // While the limit recovers, the permit comes earlier than at the base rate.
  const std::chrono::duration<double> wait((1 - PermitsAt(now)) / rate);
  return std::min(recovered, now + std::chrono::ceil<Duration>(wait));
}

bool RateLimit::Recovered(MonotonicTime now) const {
  return !limit_ && now >= lifted_at_ + options_.recovery;
}

}  // namespace acaciaspring::gateway
