#include "src/gateway/rate_limit_share.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// An endpoint bears one and a half times its limit and five more requests in four seconds, that is
// 5 + 2 * limit requests beyond its limit. The users may send this many at once, which leaves a
// reserve for the moments in which daemons disagree on the users.
constexpr double kBurst = 3;
constexpr double kBurstPerRequestRate = 1.5;
// With sessions, a user gets at least the rate of one session.
constexpr double kSessionRate = 2;
// Enough for the next requests of the sessions that stay at an endpoint.
constexpr double kMaxUserBurst = 4;
constexpr double kBurstSeconds = 0.1;
constexpr double kMaxUsers = 1e6;

double MaxUsers(const LimitedEndpoint& endpoint) {
  const double users = endpoint.keeps_sessions ? endpoint.per_second / kSessionRate
                                               : 1 + kBurstPerRequestRate * endpoint.per_second;
  return std::clamp(users, 1.0, kMaxUsers);
}

}  // namespace

RateLimitShare FindRateLimitShare(const LimitedEndpoint& endpoint,
                                  const std::vector<ShareCandidate>& candidates,
                                  const ShareCandidate& self) {
  const std::uint64_t seed = Hash64(endpoint.id.value());
  const auto order = [&](const ShareCandidate& candidate) {
    return std::make_pair(candidate.zone != endpoint.zone, Hash64(candidate.id.value(), seed));
  };
  const auto own_order = order(self);
  RateLimitShare share;
  std::uint32_t others = 0;
  for (const ShareCandidate& candidate : candidates) {
    if (candidate.id != self.id) {
      ++others;
      share.rank += order(candidate) < own_order ? 1 : 0;
    }
  }
  share.users = std::min(static_cast<std::uint32_t>(MaxUsers(endpoint)), others + 1);
  share.fraction = share.rank < share.users ? 1.0 / share.users : 0.0;
  const double per_user = endpoint.per_second / share.users;
  share.burst = std::clamp((kBurst + kBurstPerRequestRate * endpoint.per_second) / share.users, 1.0,
                           std::max(kMaxUserBurst, per_user * kBurstSeconds));
  return share;
}

}  // namespace acaciaspring::gateway
