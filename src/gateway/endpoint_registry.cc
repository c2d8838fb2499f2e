#include "src/gateway/endpoint_registry.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// The registry is read twice a second; after this time without a response, its entries may have
// expired for lack of renewal.
constexpr Duration kOutageThreshold = std::chrono::milliseconds(1500);
// Endpoints whose entries expired during a store outage register again within two seconds of its
// end.
constexpr Duration kRecoveryGracePeriod = std::chrono::milliseconds(2200);

}  // namespace

std::vector<OutdatedEntry> EndpointRegistry::Update(const std::vector<RegisteredEndpoint>& listed,
                                                    MonotonicTime now) {
  if (last_read_at_ && now - *last_read_at_ > kOutageThreshold) {
    grace_period_end_ = now + kRecoveryGracePeriod;
  }
  last_read_at_ = now;
  if (InGracePeriod(now)) {
    for (const RegisteredEndpoint& endpoint : listed_) {
      missing_[endpoint.id] = endpoint;
    }
  } else {
    missing_.clear();
  }
  contents_ = listed;
  return ApplyContents(now);
}

std::vector<OutdatedEntry> EndpointRegistry::Learn(const std::vector<SeenEndpoint>& seen,
                                                   MonotonicTime now) {
  newest_.Learn(seen, now);
  return last_read_at_ ? ApplyContents(now) : std::vector<OutdatedEntry>();
}

std::vector<OutdatedEntry> EndpointRegistry::ApplyContents(MonotonicTime now) {
  NewestEntries::Listing listing = newest_.OnListed(contents_, now);
  listed_ = std::move(listing.endpoints);
  for (const RegisteredEndpoint& endpoint : contents_) {
    missing_.erase(endpoint.id);
  }
  return std::move(listing.outdated);
}

std::vector<RegisteredEndpoint> EndpointRegistry::Endpoints(MonotonicTime now) const {
  std::vector<RegisteredEndpoint> endpoints = listed_;
  if (InGracePeriod(now)) {
    for (const auto& [id, endpoint] : missing_) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

std::optional<MonotonicTime> EndpointRegistry::GracePeriodEnd(MonotonicTime now) const {
  return InGracePeriod(now) ? std::optional<MonotonicTime>(grace_period_end_) : std::nullopt;
}

}  // namespace acaciaspring::gateway
