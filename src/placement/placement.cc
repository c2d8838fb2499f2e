#include "acaciaspring/placement.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace acaciaspring::placement {

namespace {

// Separate hash seeds make the assignments of shards, endpoints and organisations independent of
// each other, even for equal names.
constexpr std::uint64_t kDispatcherSeed = 1;
constexpr std::uint64_t kLimiterSeed = 2;
constexpr std::uint64_t kShardSeed = 3;

std::uint64_t HashNumber(std::uint64_t number, std::uint64_t seed) {
  // The bytes are hashed in a fixed order, so that the result does not depend on the byte order of
  // the machine.
  std::array<char, sizeof(number)> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(number & 0xff);
    number >>= 8;
  }
  return Hash64(std::string_view(bytes.data(), bytes.size()), seed);
}

std::uint64_t ShardKey(std::size_t shard) {
  return HashNumber(shard, kShardSeed);
}

}  // namespace

bool IsEligible(const membership::Member& member) {
  return member.ready && (member.state == membership::MemberState::kAlive ||
                          member.state == membership::MemberState::kSuspect);
}

std::uint64_t Placement::ComputeScore(const Candidate& candidate, std::uint64_t key) {
  return HashNumber(key, candidate.hash);
}

bool Placement::IsBetter(const Candidate& candidate, std::uint64_t score, const Best& best) {
  if (best.candidate == nullptr || score != best.score) {
    return best.candidate == nullptr || score > best.score;
  }
  return candidate.id < best.candidate->id;
}

void Placement::RemoveCandidate(const DaemonId& id) {
  const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                  [&](const auto& candidate) { return candidate->id == id; });
  const std::unique_ptr<Candidate> removed = std::move(*found);
  candidates_.erase(found);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    Best& best = shards_[shard];
    if (best.candidate != removed.get()) {
      continue;
    }
    best = Best{};
    const std::uint64_t key = ShardKey(shard);
    for (const auto& candidate : candidates_) {
      const std::uint64_t score = ComputeScore(*candidate, key);
      if (IsBetter(*candidate, score, best)) {
        best = Best{score, candidate.get()};
      }
    }
  }
}

void Placement::AddCandidate(std::unique_ptr<Candidate> candidate) {
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    const std::uint64_t score = ComputeScore(*candidate, ShardKey(shard));
    if (IsBetter(*candidate, score, shards_[shard])) {
      shards_[shard] = Best{score, candidate.get()};
    }
  }
  candidates_.push_back(std::move(candidate));
}

void Placement::Update(const std::vector<membership::Member>& members) {
  std::vector<Candidate> eligible;
  for (const membership::Member& member : members) {
    if (IsEligible(member)) {
      eligible.push_back(
          Candidate{member.id, member.zone, member.region, Hash64(member.id.value())});
    }
  }
  const auto by_id = [](const Candidate& left, const Candidate& right) {
    return left.id < right.id;
  };
  std::sort(eligible.begin(), eligible.end(), by_id);
  std::vector<DaemonId> removed_ids;
  for (const auto& candidate : candidates_) {
    const auto found = std::lower_bound(eligible.begin(), eligible.end(), *candidate, by_id);
    if (found == eligible.end() || !(*found == *candidate)) {
      removed_ids.push_back(candidate->id);
    }
  }
  for (const DaemonId& id : removed_ids) {
    RemoveCandidate(id);
  }
  std::vector<Candidate> added;
  for (const Candidate& candidate : eligible) {
    const auto found = std::lower_bound(
        candidates_.begin(), candidates_.end(), candidate,
        [&](const auto& left, const Candidate& right) { return by_id(*left, right); });
    if (found == candidates_.end() || (*found)->id != candidate.id) {
      added.push_back(candidate);
    }
  }
  for (Candidate& candidate : added) {
    AddCandidate(std::make_unique<Candidate>(std::move(candidate)));
  }
  if (removed_ids.empty() && added.empty()) {
    return;
  }
  std::sort(candidates_.begin(), candidates_.end(),
            [&](const auto& left, const auto& right) { return by_id(*left, *right); });
  dispatchers_.clear();
  limiters_.clear();
  ++version_;
}

std::optional<DaemonId> Placement::PreferredOwner(ShardId shard) const {
  const Best& best = shards_.at(shard.value());
  return best.candidate == nullptr ? std::nullopt : std::optional(best.candidate->id);
}

std::optional<DaemonId> Placement::Dispatcher(const EndpointLocation& location) const {
  const auto cached = dispatchers_.find(location.endpoint);
  if (cached != dispatchers_.end() && cached->second.location == location) {
    return cached->second.dispatcher;
  }
  const std::uint64_t key = Hash64(location.endpoint.value(), kDispatcherSeed);
  Best in_zone;
  Best in_region;
  for (const auto& candidate : candidates_) {
    if (candidate->region != location.region) {
      continue;
    }
    const std::uint64_t score = ComputeScore(*candidate, key);
    for (Best* best : {&in_region, &in_zone}) {
      const bool is_candidate = best == &in_region || candidate->zone == location.zone;
      if (is_candidate && IsBetter(*candidate, score, *best)) {
        *best = Best{score, candidate.get()};
      }
    }
  }
  const Best& best = in_zone.candidate != nullptr ? in_zone : in_region;
  const auto dispatcher =
      best.candidate == nullptr ? std::nullopt : std::optional(best.candidate->id);
  dispatchers_[location.endpoint] = CachedDispatcher{location, dispatcher};
  return dispatcher;
}

std::optional<DaemonId> Placement::Limiter(const OrganisationId& organisation) const {
  const auto cached = limiters_.find(organisation);
  if (cached != limiters_.end()) {
    return cached->second;
  }
  const std::uint64_t key = Hash64(organisation.value(), kLimiterSeed);
  Best best;
  for (const auto& candidate : candidates_) {
    const std::uint64_t score = ComputeScore(*candidate, key);
    if (IsBetter(*candidate, score, best)) {
      best = Best{score, candidate.get()};
    }
  }
  const auto limiter = best.candidate == nullptr ? std::nullopt : std::optional(best.candidate->id);
  return limiters_[organisation] = limiter;
}

}  // namespace acaciaspring::placement
