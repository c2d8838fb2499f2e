#include "src/organisations/permit_pool.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::organisations {

namespace {

// Permits accrue between two steps of the grantor, also where the limit has no burst.
constexpr double kMinCapacitySeconds = 0.05;
// A grantor that takes over has to bridge the time until permits accrue. The part of the slack
// leaves room for several takeovers in one window.
constexpr double kStartPartOfSlack = 0.15;
// Requests of started programs that arrive within this time find a permit.
constexpr double kReserveSeconds = 0.2;
constexpr double kRecentSeconds = 1;
// Time constant for the size of programs; long enough for dozens of them.
constexpr double kMeasuredSeconds = 10;
// Programs need their permits over some seconds, so more may start at once than the bucket covers.
constexpr double kUncommittedSeconds = 1;
// Below this part of the capacity, programs start only as fast as the limit can carry them.
constexpr double kScarcePart = 0.5;
// Until the leases of all daemons have arrived, waits are estimated for the whole limit.
constexpr Duration kLeasesArrive = std::chrono::milliseconds(1200);
// A grantor that takes over has to see some programs before it can tell what they need.
constexpr Duration kMeasuringTime = std::chrono::seconds(3);
constexpr Duration kMaxWait = std::chrono::seconds(10);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double PermitPool::Capacity() const {
  return std::max(limit_.burst * fraction_,
                  1 + limit_.per_second * fraction_ * kMinCapacitySeconds);
}

void PermitPool::Refill(BootTime now) {
  if (now <= updated_) {
    return;
  }
  const double seconds = Seconds(now - updated_);
  updated_ = now;
  const double accrued = limit_.per_second * fraction_ * seconds;
  level_ = std::min(Capacity(), level_ + accrued);
  uncommitted_ = std::min(MaxUncommitted(), uncommitted_ + accrued);
  recent_started_ *= std::exp(-seconds / kRecentSeconds);
  const double kept = std::exp(-seconds / kMeasuredSeconds);
  measured_started_ *= kept;
  measured_other_ *= kept;
}

double PermitPool::MaxUncommitted() const {
  return Capacity() + limit_.per_second * fraction_ * kUncommittedSeconds;
}

double PermitPool::RequestsPerStart() const {
  return 1 + measured_started_ / std::max(1.0, measured_other_);
}

bool PermitPool::IsCommitted() const {
  return updated_ - fraction_changed_ > kMeasuringTime && uncommitted_ <= 0 &&
         level_ < Capacity() * kScarcePart;
}

void PermitPool::SetLimit(RequestLimit limit, BootTime now) {
  Refill(now);
  limit_ = limit;
  level_ = std::min(level_, Capacity());
}

void PermitPool::SetFraction(double fraction, BootTime now) {
  Refill(now);
  if (fraction == fraction_) {
    return;
  }
  if (now - start_window_ >= tolerance_.window) {
    start_window_ = now;
    start_permits_ = 0;
    // Leases that were in force before the window began bring no permits when they return.
    if (fraction_ > 0) {
      start_permits_ = fraction_ * kStartPartOfSlack * tolerance_.slack;
    }
  }
  const double start_total = fraction * kStartPartOfSlack * tolerance_.slack;
  const double added = std::max(0.0, start_total - start_permits_);
  start_permits_ += added;
  fraction_ = fraction;
  fraction_changed_ = now;
  level_ = fraction_ == 0 ? 0 : std::min(level_ + added, Capacity());
  uncommitted_ = std::min(uncommitted_ + added, MaxUncommitted());
}

double PermitPool::Reserve() const {
  const double wanted = recent_started_ < 0.5 ? 0 : 1 + recent_started_ * kReserveSeconds;
  return std::min(wanted, (Capacity() - 1) / 2);
}

double PermitPool::Available(PermitUse use) const {
  if (use == PermitUse::kStartedProgram) {
    return level_;
  }
  return IsCommitted() ? std::min(0.0, level_ - Reserve()) : level_ - Reserve();
}

double PermitPool::Spare() const {
  return level_ - std::max(Reserve(), Capacity() / 2);
}

void PermitPool::Take(PermitUse use, std::uint32_t permits) {
  level_ -= permits;
  if (use == PermitUse::kStartedProgram) {
    recent_started_ += permits;
    measured_started_ += permits;
    return;
  }
  measured_other_ += permits;
  uncommitted_ = std::max(-MaxUncommitted(), uncommitted_ - permits * RequestsPerStart());
}

void PermitPool::Return(std::uint32_t permits) {
  level_ = std::min(level_ + permits, fraction_ == 0 ? 0 : Capacity());
}

Duration PermitPool::TimeUntil(PermitUse use, double wanted, BootTime now) const {
  double missing = wanted - Available(use);
  if (use == PermitUse::kOther && IsCommitted()) {
    missing = std::max(missing, wanted - 1 - uncommitted_);
  }
  if (missing <= 0) {
    return Duration(0);
  }
  const bool incomplete =
      fraction_ == 0 || (fraction_ < 1 && now - fraction_changed_ < kLeasesArrive);
  const double rate = limit_.per_second * (incomplete ? 1 : fraction_);
  const double seconds = rate > 0 ? missing / rate : Seconds(kMaxWait);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, Seconds(kMaxWait))));
}

}  // namespace acaciaspring::organisations
