#ifndef ACACIASPRING_ORGANISATIONS_H_
#define ACACIASPRING_ORGANISATIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::organisations {

/// @brief Hash of a caller's key. Keys themselves are neither kept nor sent between daemons.
using KeyFingerprint = StrongString<struct KeyFingerprintTag>;

KeyFingerprint FingerprintOf(std::string_view key);

/// @brief Requests that an organisation may send, over all daemons together.
struct RequestLimit {
  double per_second = 0;
  double burst = 0;
  bool operator==(const RequestLimit&) const = default;
};

/// @brief A customer whose callers share keys, a priority and a request limit.
struct Organisation {
  OrganisationId id = {};
  std::vector<KeyFingerprint> keys = {};
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority = {};
  /// Absent if the organisation may send any number of requests.
  std::optional<RequestLimit> limit = {};
};

/// @brief Organisation and key of a request, as the daemon that received it found them.
struct Credential {
  OrganisationId organisation = {};
  KeyFingerprint key = {};
  /// Configuration in which the key was found.
  ConfigurationVersion version = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, version);
  }
};

/// @brief The key holds and belongs to the organisation of the credential.
struct KeyHolds {
  Credential credential;
};
/// @brief The newest configuration does not contain the key.
struct KeyRefused {};
/// @brief The key may hold, but the configuration of this daemon may be outdated.
struct KeyUnconfirmed {};
using KeyDecision = std::variant<KeyHolds, KeyRefused, KeyUnconfirmed>;

struct CallerKeysOptions {
  /// Time after which a key that is withdrawn from the configuration must not be accepted any more.
  /// Absent if a key is accepted for as long as no newer configuration is known.
  std::optional<Duration> withdrawal_bound = {};
  /// A key that is not in the configuration is refused only if the configuration was the newest
  /// this long ago; a younger configuration may contain it.
  Duration max_age_for_refusal = std::chrono::seconds(1);
};

/// @brief The callers' keys of the current configuration, and the time at which that configuration
/// was last known to be the newest.
class CallerKeys {
 public:
  explicit CallerKeys(CallerKeysOptions options = {}) : options_(options) {}

  /// @brief Sets the organisations of a newer configuration.
  void SetOrganisations(ConfigurationVersion version, std::vector<Organisation> organisations);
  /// @brief The current configuration was the newest one at some time after `asked_at`.
  void Confirm(BootTime asked_at);
  /// @brief False if the configuration has no organisations, so that requests need no key.
  bool required() const { return !organisations_.empty(); }
  /// @brief True if keys are accepted only while the configuration is confirmed.
  bool needs_confirmation() const { return required() && options_.withdrawal_bound.has_value(); }

  /// @brief Decides on a request with the given values of the key header.
  KeyDecision Admit(const std::vector<std::string>& keys, BootTime now) const;
  /// @brief Decides on a request that has been admitted here or by another daemon, directly before
  /// it is sent to an endpoint.
  KeyDecision Check(const Credential& credential, BootTime now) const;
  /// @brief Time since the current configuration was last known to be the newest; empty if it never
  /// was.
  std::optional<Duration> Age(BootTime now) const;
  /// @brief Null if the configuration does not list the organisation.
  const Organisation* Find(const OrganisationId& organisation) const;
  ConfigurationVersion version() const { return version_; }
  const CallerKeysOptions& options() const { return options_; }

 private:
  KeyDecision Decide(const KeyFingerprint& key, const OrganisationId* expected, BootTime now) const;
  bool AgeBelow(Duration bound, BootTime now) const;

  CallerKeysOptions options_;
  ConfigurationVersion version_;
  std::unordered_map<OrganisationId, Organisation> organisations_;
  std::unordered_map<KeyFingerprint, OrganisationId> holders_;
  std::optional<BootTime> confirmed_at_;
};

/// @brief Prefix that separates the ids of one organisation's programs, sessions and turns from
/// those of the others.
std::string IdPrefix(const OrganisationId& organisation);

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_ORGANISATIONS_H_
