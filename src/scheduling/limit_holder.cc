#include <algorithm>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {

LimitHolder::LimitHolder(LimitHolderOptions options) : options_(options) {}

std::optional<NotRun> LimitHolder::TryStart(MonotonicTime now) {
  ++start_attempts_;
  const auto refuse = [&](NotRunReason reason) {
    start_refused_ = true;
    const auto wait =
        std::max(next_request_at_ - std::min(now, next_request_at_), options_.renew_before / 4);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return NotRun{.reason = reason, .retry_after_ms = static_cast<std::uint32_t>(ms)};
  };
  if (!HasValidGrant(now) || granted_calls_ == 0) {
    return refuse(NotRunReason::kRateLimited);
  }
  if (running_ >= granted_concurrency_) {
    return refuse(NotRunReason::kConcurrencyLimited);
  }
  --granted_calls_;
  ++running_;
  peak_running_ = std::max(peak_running_, running_);
  return std::nullopt;
}

void LimitHolder::End() {
  running_ -= std::min(running_, 1U);
}

std::optional<GrantRequest> LimitHolder::NextRequest(MonotonicTime now) {
  const bool awaiting_grant = request_outstanding_ && now < requested_at_ + options_.renew_before;
  const bool idle = start_attempts_ == 0 && running_ == 0;
  const bool grant_running_out =
      now + options_.renew_before >= grant_expiry_ || granted_calls_ < start_attempts_ / 2;
  if (awaiting_grant || now < next_request_at_ || idle || !(start_refused_ || grant_running_out)) {
    return std::nullopt;
  }
  // Requests 1.5 times the calls attempted since the last request, so that growing demand needs no
  // second request.
  const GrantRequest request{
      .sequence = ++sequence_,
      .wanted_calls = std::max(options_.min_calls, start_attempts_ + start_attempts_ / 2),
      .wanted_concurrency = std::max(options_.min_concurrency,
                                     peak_running_ + peak_running_ / 2 +
                                         (start_refused_ ? std::min(start_attempts_, 64U) : 0)),
      .running = running_};
  requested_at_ = now;
  request_outstanding_ = true;
  start_attempts_ = 0;
  peak_running_ = running_;
  start_refused_ = false;
  return request;
}

void LimitHolder::OnGrant(const LimitGrant& grant, MonotonicTime now) {
  if (!request_outstanding_ || grant.sequence != sequence_) {
    return;
  }
  request_outstanding_ = false;
  // The validity starts when the request was sent. The grantor counts it from the receipt of the
  // request, which is later, so the holder never uses a grant that has expired at its grantor.
  grant_expiry_ = requested_at_ + grant.valid_for;
  granted_calls_ = grant.calls;
  granted_concurrency_ = grant.concurrency;
  next_request_at_ =
      granted_calls_ == 0 || granted_concurrency_ == 0 ? now + grant.retry_after : now;
}

}  // namespace acaciaspring
