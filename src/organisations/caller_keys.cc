#include <openssl/sha.h>

#include <array>
#include <utility>

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

KeyFingerprint FingerprintOf(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return KeyFingerprint(std::string(digest.begin(), digest.end()));
}

void CallerKeys::SetOrganisations(ConfigurationVersion version,
                                  std::vector<Organisation> organisations) {
  version_ = version;
  // Only a read that started after the new configuration was found can show that it is the newest.
  confirmed_at_.reset();
  organisations_.clear();
  holders_.clear();
  for (Organisation& organisation : organisations) {
    for (const KeyFingerprint& key : organisation.keys) {
      holders_.emplace(key, organisation.id);
    }
    const OrganisationId id = organisation.id;
    organisations_.insert_or_assign(id, std::move(organisation));
  }
}

void CallerKeys::Confirm(BootTime asked_at) {
  if (!confirmed_at_ || *confirmed_at_ < asked_at) {
    confirmed_at_ = asked_at;
  }
}

std::optional<Duration> CallerKeys::Age(BootTime now) const {
  return confirmed_at_ ? std::optional(now - *confirmed_at_) : std::nullopt;
}

const Organisation* CallerKeys::Find(const OrganisationId& organisation) const {
  const auto found = organisations_.find(organisation);
  return found == organisations_.end() ? nullptr : &found->second;
}

bool CallerKeys::AgeBelow(Duration bound, BootTime now) const {
  const auto age = Age(now);
  return age && *age < bound;
}

KeyDecision CallerKeys::Admit(const std::vector<std::string>& keys, BootTime now) const {
  // With several keys it is not clear for whom the request is sent.
  return Decide(keys.size() == 1 ? FingerprintOf(keys.front()) : KeyFingerprint(), nullptr, now);
}

KeyDecision CallerKeys::Check(const Credential& credential, BootTime now) const {
  if (credential.version > version_) {
    // The daemon that admitted the request knew a newer configuration.
    return KeyHolds{credential};
  }
  return Decide(credential.key, &credential.organisation, now);
}

KeyDecision CallerKeys::Decide(const KeyFingerprint& key,
                               const OrganisationId* expected,
                               BootTime now) const {
  const auto holder = holders_.find(key);
  if (holder == holders_.end() || (expected != nullptr && holder->second != *expected)) {
    return AgeBelow(options_.max_age_for_refusal, now) ? KeyDecision(KeyRefused{})
                                                       : KeyDecision(KeyUnconfirmed{});
  }
  if (options_.withdrawal_bound && !AgeBelow(*options_.withdrawal_bound, now)) {
    return KeyUnconfirmed{};
  }
  return KeyHolds{{.organisation = holder->second, .key = key, .version = version_}};
}

}  // namespace acaciaspring::organisations
