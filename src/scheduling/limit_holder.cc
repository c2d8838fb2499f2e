#include <algorithm>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {

LimitHolder::LimitHolder(LimitHolderOptions options) : options_(options) {}

std::optional<NotRun> LimitHolder::TryStart(MonotonicTime now) {
  ++asked_;
  const auto refuse = [&](NotRunReason reason) {
    refused_ = true;
    const auto wait = std::max(not_before_ - std::min(now, not_before_), options_.renew_before / 4);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return NotRun{.reason = reason, .retry_after_ms = static_cast<std::uint32_t>(ms)};
  };
  if (!Valid(now) || calls_ == 0) {
    return refuse(NotRunReason::kRateLimited);
  }
  if (running_ >= concurrency_) {
    return refuse(NotRunReason::kConcurrencyLimited);
  }
  --calls_;
  ++running_;
  peak_running_ = std::max(peak_running_, running_);
  return std::nullopt;
}

void LimitHolder::End() {
  running_ -= std::min(running_, 1U);
}

std::optional<GrantRequest> LimitHolder::NextRequest(MonotonicTime now) {
  const bool answer_missing = outstanding_ && now < requested_at_ + options_.renew_before;
  const bool idle = asked_ == 0 && running_ == 0;
  const bool ending = now + options_.renew_before >= deadline_ || calls_ < asked_ / 2;
  if (answer_missing || now < not_before_ || idle || !(refused_ || ending)) {
    return std::nullopt;
  }
  // Asks for half as many calls again as were tried since the last request, so that a growing
  // demand needs no second request.
  const GrantRequest request{
      .sequence = ++sequence_,
      .wanted_calls = std::max(options_.min_calls, asked_ + asked_ / 2),
      .wanted_concurrency =
          std::max(options_.min_concurrency,
                   peak_running_ + peak_running_ / 2 + (refused_ ? std::min(asked_, 64U) : 0)),
      .running = running_};
  requested_at_ = now;
  outstanding_ = true;
  asked_ = 0;
  peak_running_ = running_;
  refused_ = false;
  return request;
}

void LimitHolder::OnGrant(const LimitGrant& grant, MonotonicTime now) {
  if (!outstanding_ || grant.sequence != sequence_) {
    return;
  }
  outstanding_ = false;
  // The grant counts from the sending of the request: the grantor's deadline is later by at least
  // the time the request took, so the holder never uses a grant that its grantor has expired.
  deadline_ = requested_at_ + grant.valid_for;
  calls_ = grant.calls;
  concurrency_ = grant.concurrency;
  not_before_ = calls_ == 0 || concurrency_ == 0 ? now + grant.retry_after : now;
}

}  // namespace acaciaspring
