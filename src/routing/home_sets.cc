#include <algorithm>
#include <cmath>
#include <numeric>

#include "acaciaspring/routing.h"

namespace acaciaspring {

namespace {

// A prefix with less demand has not been requested for three demand windows.
constexpr double kMinRecentDemand = 0.05;
// Sums over all prefixes would make each choice slower with the number of prefixes.
constexpr Duration kTotalsValidity = std::chrono::milliseconds(100);

PrefixId AppendPart(PrefixId prefix, const PromptPart& part) {
  const std::uint64_t ids[] = {prefix.value(), part.id.value()};
  return PrefixId(Hash64({reinterpret_cast<const char*>(ids), sizeof(ids)}));
}

double DecayFactor(Duration age, Duration window) {
  return std::exp(-static_cast<double>(age.count()) / static_cast<double>(window.count()));
}

}  // namespace

std::optional<SharedPrefix> FindSharedPrefix(std::span<const PromptPart> parts) {
  if (parts.size() < 2) {
    return std::nullopt;
  }
  const std::span<const PromptPart> shared = parts.first(parts.size() - 1);
  const std::uint64_t total = std::accumulate(
      shared.begin(), shared.end(), std::uint64_t{0},
      [](std::uint64_t sum, const PromptPart& part) { return sum + part.tokens.value(); });
  SharedPrefix prefix{.id = shared.front().id, .tokens = shared.front().tokens};
  // Sub-agents add the prompt of their parent to the shared parts. Half of the tokens leave it out,
  // so that a program and its sub-agents have the same prefix.
  for (const PromptPart& part : shared.subspan(1)) {
    if (2 * prefix.tokens.value() >= total) {
      break;
    }
    prefix.id = AppendPart(prefix.id, part);
    prefix.tokens += part.tokens;
  }
  return prefix;
}

HomeSets::HomeSets(HomeSetOptions options) : options_(options) {}

void HomeSets::SetMembers(const std::vector<HomeSetMember>& members) {
  members_.clear();
  zone_sizes_.clear();
  ranks_.clear();
  std::unordered_map<AvailabilityZone, std::uint32_t> zones;
  for (const HomeSetMember& member : members) {
    const auto [zone, added] =
        zones.try_emplace(member.zone, static_cast<std::uint32_t>(zone_sizes_.size()));
    if (added) {
      zone_sizes_.push_back(0);
    }
    ++zone_sizes_[zone->second];
    members_.push_back({.hash = Hash64(member.endpoint.value()), .zone = zone->second});
  }
}

void HomeSets::Update(Demand& demand, MonotonicTime now) const {
  if (now > demand.updated) {
    demand.weight *= DecayFactor(now - demand.updated, options_.demand_window);
    demand.updated = now;
  }
}

void HomeSets::OnRequest(const SharedPrefix& prefix, MonotonicTime now) {
  Update(total_, now);
  if (!demands_.contains(prefix.id) && demands_.size() >= options_.max_prefixes) {
    RemoveLeastDemanded(now);
  }
  const auto [entry, added] = demands_.try_emplace(prefix.id);
  if (added) {
    totals_.reset();
  }
  Demand& demand = entry->second;
  Update(demand, now);
  demand.tokens = prefix.tokens;
  demand.weight += 1;
  total_.weight += 1;
}

void HomeSets::RemoveLeastDemanded(MonotonicTime now) {
  for (auto& [id, demand] : demands_) {
    Update(demand, now);
  }
  const auto least = std::min_element(
      demands_.begin(), demands_.end(),
      [](const auto& a, const auto& b) { return a.second.weight < b.second.weight; });
  ranks_.erase(least->first);
  demands_.erase(least);
}

double HomeSets::Headroom(MonotonicTime now) {
  const Totals totals = UpdatedTotals(now);
  if (memory_ == TokenCount() || totals.weighted_tokens <= 0) {
    return options_.headroom;
  }
  // The sets together contain each endpoint `headroom` times on average.
  const double memory = options_.max_memory_share * static_cast<double>(memory_.value());
  return std::min(options_.headroom, memory * totals.weight / totals.weighted_tokens);
}

const HomeSets::Totals& HomeSets::UpdatedTotals(MonotonicTime now) {
  if (totals_ && now - totals_->updated < kTotalsValidity) {
    return *totals_;
  }
  totals_ = Totals{.updated = now};
  for (auto& [id, demand] : demands_) {
    Update(demand, now);
    const auto tokens = static_cast<double>(demand.tokens.value());
    totals_->weight += demand.weight;
    totals_->weighted_tokens += demand.weight * tokens;
    totals_->recent_tokens += demand.weight >= kMinRecentDemand ? tokens : 0;
  }
  return *totals_;
}

bool HomeSets::AllPrefixesFit(MonotonicTime now) {
  if (memory_ == TokenCount()) {
    return true;
  }
  return UpdatedTotals(now).recent_tokens <=
         options_.max_memory_share * static_cast<double>(memory_.value());
}

const std::vector<std::uint32_t>& HomeSets::Ranks(PrefixId prefix) {
  const auto known = ranks_.find(prefix);
  if (known != ranks_.end()) {
    return known->second;
  }
  if (ranks_.size() >= options_.max_prefixes) {
    ranks_.clear();
  }
  std::vector<std::uint64_t> scores;
  for (const Member& member : members_) {
    const std::uint64_t key[] = {member.hash, prefix.value()};
    scores.push_back(Hash64({reinterpret_cast<const char*>(key), sizeof(key)}));
  }
  std::vector<std::uint32_t> order(members_.size());
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(),
            [&](std::uint32_t a, std::uint32_t b) { return scores[a] > scores[b]; });
  std::vector<std::uint32_t> next_rank(zone_sizes_.size(), 0);
  std::vector<std::uint32_t> ranks(members_.size());
  for (const std::uint32_t member : order) {
    ranks[member] = next_rank[members_[member].zone]++;
  }
  return ranks_.emplace(prefix, std::move(ranks)).first->second;
}

void HomeSets::FindMembers(PrefixId prefix, MonotonicTime now, std::vector<bool>& is_member) {
  double share = 0;
  Update(total_, now);
  if (const auto found = demands_.find(prefix); found != demands_.end()) {
    Update(found->second, now);
    share = total_.weight > 0 ? found->second.weight / total_.weight : 0;
  }
  const double headroom = Headroom(now);
  std::vector<std::uint32_t> set_sizes;
  for (const std::uint32_t zone_size : zone_sizes_) {
    const double by_demand = std::ceil(headroom * share * zone_size);
    set_sizes.push_back(
        std::max(options_.min_size, static_cast<std::uint32_t>(std::max(by_demand, 0.0))));
  }
  const std::vector<std::uint32_t>& ranks = Ranks(prefix);
  is_member.resize(members_.size());
  for (std::size_t i = 0; i < members_.size(); ++i) {
    is_member[i] = ranks[i] < set_sizes[members_[i].zone];
  }
}

}  // namespace acaciaspring
