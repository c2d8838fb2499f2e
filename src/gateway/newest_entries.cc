#include "src/gateway/newest_entries.h"

#include <algorithm>
#include <unordered_set>

namespace acaciaspring::gateway {

namespace {

// A write without a response takes effect up to 6 s after it was sent, or never.
constexpr Duration kMaxWriteDelay = std::chrono::seconds(10);
// An endpoint writes every 1.2 s, so an outdated entry of a running one is replaced sooner.
constexpr Duration kReplacementPeriod = std::chrono::seconds(2);
// Time for which an endpoint that is not listed is remembered. Exceeds kMaxWriteDelay.
constexpr Duration kMemory = std::chrono::seconds(30);

}  // namespace

bool NewestEntries::IsOutdated(const RegisteredEndpoint& entry, const Newest& newest) {
  // Entries without a start or a sequence cannot be compared.
  if (entry.started_at_ms == 0 || newest.started_at_ms == 0) {
    return false;
  }
  if (entry.started_at_ms != newest.started_at_ms) {
    return entry.started_at_ms < newest.started_at_ms;
  }
  return entry.sequence && newest.sequence && *entry.sequence < *newest.sequence;
}

bool NewestEntries::IsRunning(const RegisteredEndpoint& entry, Newest& newest, MonotonicTime now) {
  // The clock of the endpoint may have been set back between two starts.
  if (entry.started_at_ms == newest.started_at_ms || !entry.sequence ||
      now - newest.outdated->first_listed_at <= kMaxWriteDelay) {
    return false;
  }
  std::optional<EntrySequence>& settled = newest.outdated->settled_sequence;
  if (!settled) {
    settled = entry.sequence;
  }
  return *entry.sequence > *settled;
}

void NewestEntries::Accept(const RegisteredEndpoint& entry, Newest& newest) {
  newest.entry = entry;
  newest.outdated.reset();
  if (entry.started_at_ms != 0 && (entry.sequence || entry.started_at_ms != newest.started_at_ms)) {
    newest.started_at_ms = entry.started_at_ms;
    newest.sequence = entry.sequence;
  }
}

RegisteredEndpoint NewestEntries::Ordered(const Newest& newest) {
  RegisteredEndpoint entry = newest.entry;
  entry.started_at_ms = newest.started_at_ms;
  entry.sequence = newest.sequence;
  return entry;
}

NewestEntries::Listing NewestEntries::OnListed(const std::vector<RegisteredEndpoint>& listed,
                                               MonotonicTime now) {
  Listing result;
  std::unordered_set<EndpointId> current;
  for (const RegisteredEndpoint& entry : listed) {
    const auto [found, is_new] = newest_.try_emplace(entry.id);
    Newest& newest = found->second;
    newest.last_listed_at = now;
    if (!is_new && IsOutdated(entry, newest)) {
      if (!newest.outdated || newest.outdated->started_at_ms != entry.started_at_ms) {
        newest.outdated = {.started_at_ms = entry.started_at_ms, .first_listed_at = now};
        result.outdated.push_back(
            {.listed = entry, .newest = newest.entry, .removed = !newest.listed});
      }
      if (!IsRunning(entry, newest, now)) {
        if (newest.listed && now - newest.outdated->first_listed_at <= kReplacementPeriod) {
          current.insert(entry.id);
          result.endpoints.push_back(newest.entry);
        }
        continue;
      }
    }
    Accept(entry, newest);
    current.insert(entry.id);
    result.endpoints.push_back(entry);
  }
  for (auto& [id, newest] : newest_) {
    newest.listed = current.contains(id);
  }
  std::erase_if(newest_, [&](const auto& known) {
    return !known.second.listed && now - known.second.last_listed_at > kMemory;
  });
  return result;
}

std::vector<SeenEndpoint> NewestEntries::Seen(MonotonicTime now) const {
  std::vector<SeenEndpoint> seen;
  for (const auto& [id, newest] : newest_) {
    if (newest.listed && newest.entry.state == EndpointState::kReady) {
      continue;
    }
    seen.push_back(
        {.entry = Ordered(newest),
         .removed = !newest.listed,
         .age_us = std::chrono::duration_cast<Duration>(now - newest.last_listed_at).count()});
  }
  return seen;
}

void NewestEntries::Learn(const std::vector<SeenEndpoint>& seen, MonotonicTime now) {
  for (const SeenEndpoint& endpoint : seen) {
    const auto [found, is_new] = newest_.try_emplace(endpoint.entry.id);
    Newest& newest = found->second;
    Newest other;
    Accept(endpoint.entry, other);
    if (!is_new && !IsOutdated(Ordered(newest), other)) {
      continue;
    }
    Accept(endpoint.entry, newest);
    newest.listed = !endpoint.removed;
    newest.last_listed_at = now - std::clamp(Duration(endpoint.age_us), Duration(0), kMemory);
  }
}

}  // namespace acaciaspring::gateway
