#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_SHARE_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_SHARE_H_

#include <cstdint>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief A daemon that may use a part of an endpoint's rate limit.
struct ShareCandidate {
  DaemonId id = {};
  AvailabilityZone zone = {};
  bool operator==(const ShareCandidate&) const = default;
};

/// @brief An endpoint that names a rate limit, in requests per second.
struct LimitedEndpoint {
  EndpointId id = {};
  AvailabilityZone zone = {};
  double per_second = 0;
  /// The endpoint caches the prompts of sessions.
  bool keeps_sessions = false;
};

struct RateLimitShare {
  /// Fraction of the limit; 0 if the daemon sends no requests to the endpoint.
  double fraction = 0;
  /// Daemons that share the limit.
  std::uint32_t users = 0;
  /// Permits that each user may accumulate.
  double burst = 1;
  /// Position of the daemon among the candidates, from 0.
  std::uint32_t rank = 0;
};

/// @brief Divides the limit of an endpoint among the candidates. All daemons get the same division
/// from the same candidates, and the fractions add up to 1.
///
/// The number of users is bounded by the limit, because each of them may send some requests at
/// once. An endpoint that keeps sessions has fewer users, each with a rate that sustains whole
/// sessions. Candidates are ranked by rendezvous hashing, those in the endpoint's zone first.
/// `self` counts as a candidate even if it is not listed.
RateLimitShare FindRateLimitShare(const LimitedEndpoint& endpoint,
                                  const std::vector<ShareCandidate>& candidates,
                                  const ShareCandidate& self);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_SHARE_H_
