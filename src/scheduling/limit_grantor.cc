#include <algorithm>
#include <cmath>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LimitGrantor::LimitGrantor(OrganisationLimit limit, MonotonicTime now, LimitGrantorOptions options)
    : limit_(limit),
      options_(options),
      tokens_(std::min(limit.burst, limit.calls_per_second * Seconds(options.initial_span))),
      last_refill_(now) {}

void LimitGrantor::SetLimit(OrganisationLimit limit, MonotonicTime now) {
  Refill(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, limit_.burst);
}

void LimitGrantor::Refill(MonotonicTime now) {
  if (now > last_refill_) {
    tokens_ =
        std::min(limit_.burst, tokens_ + limit_.calls_per_second * Seconds(now - last_refill_));
    last_refill_ = now;
  }
}

void LimitGrantor::RemoveExpired(MonotonicTime now) {
  std::erase_if(holders_, [now](const auto& entry) { return entry.second.expiry <= now; });
  for (auto& [id, holder] : holders_) {
    std::erase_if(holder.granted_slots, [now](const auto& slots) { return slots.second <= now; });
  }
}

// Max-min fair share: what a holder does not want of its equal part goes to the others.
std::uint32_t LimitGrantor::FairShare(std::uint32_t Holder::*wanted,
                                      std::uint32_t own,
                                      std::uint32_t available) const {
  std::vector<std::uint32_t> demands;
  demands.reserve(holders_.size());
  for (const auto& [id, holder] : holders_) {
    demands.push_back(holder.*wanted);
  }
  std::ranges::sort(demands);
  std::size_t remaining_holders = demands.size();
  for (const std::uint32_t demand : demands) {
    const auto equal_part =
        static_cast<std::uint32_t>((available + remaining_holders - 1) / remaining_holders);
    if (demand > equal_part) {
      return std::min(own, equal_part);
    }
    available -= demand;
    --remaining_holders;
  }
  return own;
}

LimitGrant LimitGrantor::Grant(const DaemonId& id, const GrantRequest& request, MonotonicTime now) {
  Refill(now);
  RemoveExpired(now);
  LimitGrant grant{.sequence = request.sequence,
                   .calls = 0,
                   .concurrency = 0,
                   .valid_for = options_.valid_for,
                   .retry_after = options_.valid_for};
  if (!holders_.contains(id) && holders_.size() >= options_.max_holders) {
    return grant;
  }
  Holder& holder = holders_[id];
  holder.wanted_calls = request.wanted_calls;
  holder.wanted_concurrency = std::max(request.wanted_concurrency, request.running);
  std::uint32_t slots_of_others = 0;
  for (const auto& [other, state] : holders_) {
    if (other != id && !state.granted_slots.empty()) {
      slots_of_others += std::ranges::max_element(state.granted_slots)->first;
    }
  }
  const std::uint32_t free_slots =
      limit_.concurrency - std::min(slots_of_others, limit_.concurrency);
  grant.concurrency = std::min(
      free_slots,
      FairShare(&Holder::wanted_concurrency, holder.wanted_concurrency, limit_.concurrency));
  // Running calls keep their slots even if the holder's share is now lower.
  holder.expiry = now + options_.valid_for;
  holder.granted_slots.emplace_back(std::max(grant.concurrency, request.running), holder.expiry);

  const auto available = static_cast<std::uint32_t>(tokens_);
  grant.calls =
      std::min(available, FairShare(&Holder::wanted_calls, holder.wanted_calls, available));
  tokens_ -= grant.calls;
  if (limit_.calls_per_second > 0) {
    const double seconds_to_next_call =
        std::max(0.0, 1 - tokens_) / limit_.calls_per_second * static_cast<double>(holders_.size());
    grant.retry_after =
        std::min(options_.valid_for,
                 Duration(static_cast<Duration::rep>(std::ceil(1e6 * seconds_to_next_call))));
  }
  return grant;
}

}  // namespace acaciaspring
