#include <algorithm>

#include "acaciaspring/routing.h"

namespace acaciaspring {

PrefixId PrefixOfProgram(const ProgramId& program) {
  constexpr std::uint64_t kSeed = 1;
  return PrefixId(Hash64(program.value(), kSeed));
}

CacheIndex::CacheIndex(CacheIndexOptions options)
    : options_(options), sweep_cursor_(recency_.end()) {
  prefixes_.reserve(std::min<std::size_t>(options_.capacity, 4096));
}

std::uint32_t CacheIndex::FindOrAddEndpoint(const EndpointId& endpoint) {
  const auto [found, added] =
      endpoint_indices_.try_emplace(endpoint, static_cast<std::uint32_t>(endpoints_.size()));
  if (added) {
    endpoints_.push_back({.id = endpoint});
  }
  return found->second;
}

bool CacheIndex::IsStale(const Entry& entry, MonotonicTime now) const {
  return entry.expiry <= now || entry.generation != endpoints_[entry.endpoint].generation;
}

void CacheIndex::OnCompletion(const EndpointId& endpoint,
                              PrefixId prefix,
                              TokenCount tokens,
                              MonotonicTime now) {
  Store(FindOrAddEndpoint(endpoint), prefix, tokens, now);
  Sweep(now);
}

void CacheIndex::OnEvent(const EndpointId& endpoint, const CacheEvent& event, MonotonicTime now) {
  const std::uint32_t index = FindOrAddEndpoint(endpoint);
  Endpoint& state = endpoints_[index];
  if (event.sequence <= state.last_sequence) {
    return;
  }
  if (event.sequence != state.last_sequence + 1) {
    // The missing events may include evictions, so earlier entries may no longer be cached.
    ++state.gaps;
  }
  state.last_sequence = event.sequence;
  if (event.tokens.value() == 0) {
    EraseEntry(index, event.prefix);
  } else {
    Store(index, event.prefix, event.tokens, now);
  }
  Sweep(now);
}

void CacheIndex::Store(std::uint32_t endpoint,
                       PrefixId prefix,
                       TokenCount tokens,
                       MonotonicTime now) {
  const auto [found, added] = prefixes_.try_emplace(prefix);
  Prefix& state = found->second;
  if (added) {
    recency_.push_front(prefix);
    state.recency = recency_.begin();
    if (prefixes_.size() > options_.capacity) {
      Erase(prefixes_.find(recency_.back()));
    }
  } else {
    if (sweep_cursor_ == state.recency) {
      ++sweep_cursor_;
    }
    recency_.splice(recency_.begin(), recency_, state.recency);
  }
  std::erase_if(state.entries, [&](const Entry& entry) {
    return entry.endpoint == endpoint || IsStale(entry, now);
  });
  if (state.entries.size() >= options_.holders_per_prefix) {
    state.entries.erase(std::ranges::min_element(state.entries, {}, &Entry::expiry));
  }
  state.entries.push_back({.endpoint = endpoint,
                           .generation = endpoints_[endpoint].generation,
                           .gaps_when_stored = endpoints_[endpoint].gaps,
                           .tokens = tokens,
                           .expiry = now + options_.entry_ttl});
}

void CacheIndex::EraseEntry(std::uint32_t endpoint, PrefixId prefix) {
  const auto found = prefixes_.find(prefix);
  if (found == prefixes_.end()) {
    return;
  }
  std::erase_if(found->second.entries,
                [endpoint](const Entry& entry) { return entry.endpoint == endpoint; });
  if (found->second.entries.empty()) {
    Erase(found);
  }
}

void CacheIndex::Erase(std::unordered_map<PrefixId, Prefix>::iterator prefix) {
  if (sweep_cursor_ == prefix->second.recency) {
    ++sweep_cursor_;
  }
  recency_.erase(prefix->second.recency);
  prefixes_.erase(prefix);
}

void CacheIndex::FindHolders(PrefixId prefix,
                             MonotonicTime now,
                             std::vector<CacheHolder>& holders) {
  const auto found = prefixes_.find(prefix);
  if (found == prefixes_.end()) {
    return;
  }
  auto& entries = found->second.entries;
  std::erase_if(entries, [&](const Entry& entry) { return IsStale(entry, now); });
  if (entries.empty()) {
    Erase(found);
    return;
  }
  for (const Entry& entry : entries) {
    const Endpoint& endpoint = endpoints_[entry.endpoint];
    holders.push_back({.endpoint = endpoint.id,
                       .tokens = entry.tokens,
                       .confidence = entry.gaps_when_stored == endpoint.gaps
                                         ? 1
                                         : options_.confidence_after_gap});
  }
}

void CacheIndex::RemovePrefix(PrefixId prefix) {
  const auto found = prefixes_.find(prefix);
  if (found != prefixes_.end()) {
    Erase(found);
  }
}

void CacheIndex::InvalidateEndpoint(const EndpointId& endpoint) {
  const auto found = endpoint_indices_.find(endpoint);
  if (found != endpoint_indices_.end()) {
    Endpoint& state = endpoints_[found->second];
    ++state.generation;
    state.last_sequence = 0;
  }
}

std::uint64_t CacheIndex::NextSequence(const EndpointId& endpoint) const {
  const auto found = endpoint_indices_.find(endpoint);
  return found == endpoint_indices_.end() ? 1 : endpoints_[found->second].last_sequence + 1;
}

// Checks a few prefixes per call, from the least recently used one on, so that expired entries that
// are never looked up are removed without a scan of the whole index.
void CacheIndex::Sweep(MonotonicTime now) {
  for (std::size_t step = 0; step < options_.prefixes_per_sweep && !recency_.empty(); ++step) {
    if (sweep_cursor_ == recency_.begin() || sweep_cursor_ == recency_.end()) {
      sweep_cursor_ = recency_.end();
    }
    --sweep_cursor_;
    const auto found = prefixes_.find(*sweep_cursor_);
    std::erase_if(found->second.entries, [&](const Entry& entry) { return IsStale(entry, now); });
    if (found->second.entries.empty()) {
      Erase(found);
    }
  }
}

}  // namespace acaciaspring
