#include "src/gateway/leaving_endpoints.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// Endpoints that are no longer listed may be listed again after an outage of the registry. The
// number that is remembered is limited to this, or to the number of listed endpoints if it is
// larger.
constexpr std::size_t kMinUnlisted = 64;
// A start of which it is unknown whether it spoke is left out for this time, in which an endpoint
// that leaves ends.
constexpr Duration kDoubtPeriod = std::chrono::seconds(60);

}  // namespace

std::vector<ReturnedEndpoint> LeavingEndpoints::OnListed(
    const std::vector<RegisteredEndpoint>& listed,
    MonotonicTime now) {
  std::vector<ReturnedEndpoint> returned;
  listed_.clear();
  listed_at_ = now;
  for (const RegisteredEndpoint& endpoint : listed) {
    listed_[endpoint.id] = endpoint.started_at_ms;
    const auto found = marks_.find(endpoint.id);
    if (found == marks_.end() || found->second.started_at_ms == endpoint.started_at_ms) {
      continue;
    }
    // The registry may have listed an earlier start when the request was sent, for example during
    // an outage, so that a start before the response may be the one that spoke.
    Mark& mark = found->second;
    if (endpoint.started_at_ms <= mark.last_wall_ms && now - mark.last_at < kDoubtPeriod) {
      mark.doubtful_start = endpoint.started_at_ms;
      continue;
    }
    returned.push_back({.endpoint = endpoint.id,
                        .started_at_ms = endpoint.started_at_ms,
                        .left_started_at_ms = mark.started_at_ms,
                        .out = std::chrono::duration_cast<Duration>(now - mark.first_at)});
    marks_.erase(found);
  }
  ForgetOldestUnlisted();
  return returned;
}

std::optional<LeavingNotice> LeavingEndpoints::OnLeaving(const LeavingWord& word) {
  const auto listed = listed_.find(word.endpoint);
  if (listed != listed_.end() && listed->second > word.started_at_ms) {
    return std::nullopt;
  }
  Mark& mark = marks_[word.endpoint];
  const bool first = mark.first_at == MonotonicTime() || mark.started_at_ms != word.started_at_ms;
  if (first) {
    mark = {.started_at_ms = word.started_at_ms, .first_at = word.at};
  }
  mark.last_at = word.at;
  mark.last_wall_ms = word.wall_ms;
  if (!first) {
    return std::nullopt;
  }
  if (listed != listed_.end() && listed->second != word.started_at_ms) {
    mark.doubtful_start = listed->second;
  }
  ForgetOldestUnlisted();
  return LeavingNotice{.registry_age = std::chrono::duration_cast<Duration>(word.at - listed_at_)};
}

bool LeavingEndpoints::Contains(const EndpointId& endpoint, std::int64_t started_at_ms) const {
  const auto found = marks_.find(endpoint);
  return found != marks_.end() && (found->second.started_at_ms == started_at_ms ||
                                   found->second.doubtful_start == started_at_ms);
}

void LeavingEndpoints::ForgetOldestUnlisted() {
  std::vector<std::pair<MonotonicTime, EndpointId>> unlisted;
  for (const auto& [id, mark] : marks_) {
    if (!listed_.contains(id)) {
      unlisted.emplace_back(mark.last_at, id);
    }
  }
  const std::size_t allowed = std::max(kMinUnlisted, listed_.size());
  if (unlisted.size() <= allowed) {
    return;
  }
  std::sort(unlisted.begin(), unlisted.end());
  unlisted.resize(unlisted.size() - allowed);
  for (const auto& [at, id] : unlisted) {
    marks_.erase(id);
  }
}

}  // namespace acaciaspring::gateway
