#ifndef ACACIASPRING_ORGANISATIONS_H_
#define ACACIASPRING_ORGANISATIONS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
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
  /// this long ago; a newer configuration may contain it.
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

/// @brief How far the requests sent in a window may exceed the limits.
struct LimitTolerance {
  Duration window = std::chrono::seconds(5);
  /// Part of the permits of a window.
  double over = 0.1;
  /// Number of permits beyond that part.
  double slack = 20;
};

/// @brief The limit that grantors apply: the organisation's limit and a part of the tolerance, so
/// that callers at their limit are not refused for a short burst.
RequestLimit EnforcedLimit(const RequestLimit& limit, const LimitTolerance& tolerance);

/// @brief Whether a request continues a program. Interrupting a program wastes the permits that it
/// has used, so its requests get permits first.
enum class PermitUse : std::uint8_t { kStartedProgram, kOther };

/// @brief Permits that a holder needs for an organisation.
struct PermitWant {
  OrganisationId organisation = {};
  /// Requests that wait, by use.
  std::uint32_t started = 0;
  std::uint32_t other = 0;
  /// Permits wanted for the holder's stock.
  std::uint32_t spare = 0;
  /// Permits received from this grantor in total, which tells it how many are on their way.
  std::uint64_t received = 0;
  /// Permits given back with this message.
  std::uint32_t returned = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, started, other, spare, received, returned);
  }
};

/// @brief Message to a grantor: needed permits and the complete list of leases, if it has changed.
struct PermitRequest {
  /// Session of the sender, and that of the receiver as the sender knows it. A daemon begins a
  /// session when it starts and when it was suspended; messages for a former session are dropped.
  std::uint64_t session = 0;
  std::uint64_t to_session = 0;
  /// Time of the sender, returned with the grants.
  std::int64_t sent_us = 0;
  bool has_leases = false;
  std::uint64_t lease_sequence = 0;
  /// Number of daemons that the sender counts, itself included.
  std::uint32_t daemons = 0;
  /// The leases end when the sender has been silent for this long.
  std::int64_t lease_us = 0;
  /// Organisations whose shares the sender leases to the receiver.
  std::vector<OrganisationId> leases = {};
  std::vector<PermitWant> wants = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(session, to_session, sent_us, has_leases, lease_sequence, daemons, lease_us, leases,
            wants);
  }
};

struct PermitAnswer {
  OrganisationId organisation = {};
  std::uint32_t permits = 0;
  /// Time until all requests of the holder have their permits, or until the next permit.
  std::int64_t started_wait_us = 0;
  std::int64_t other_wait_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, permits, started_wait_us, other_wait_us);
  }
};

/// @brief Message of a grantor; also tells the receiver the grantor's session.
struct PermitGrant {
  std::uint64_t session = 0;
  std::uint64_t to_session = 0;
  /// `sent_us` of the request.
  std::int64_t asked_us = 0;
  /// The last list of leases that has been applied.
  std::uint64_t lease_sequence = 0;
  /// The receiver has to send its leases again, because the sender has new organisations.
  bool send_leases = false;
  std::vector<PermitAnswer> answers = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(session, to_session, asked_us, lease_sequence, send_leases, answers);
  }
};

/// @brief Identifies a request that waits for a permit.
using PermitTicket = StrongNumber<struct PermitTicketTag>;

/// @brief A permit for one attempt that an endpoint may execute.
struct Permit {
  OrganisationId organisation = {};
  DaemonId grantor = {};
  std::uint64_t session = 0;
  /// The permit must not be used later.
  BootTime use_until = BootTime::max();
};
struct PermitWaits {
  PermitTicket ticket;
};
/// @brief The organisation has used its permits.
struct PermitDenied {
  /// When a permit is expected; differs between requests, so that callers do not retry together.
  Duration retry_after{};
};
/// @brief No grantor has answered.
struct PermitUnanswered {};
using PermitDecision = std::variant<Permit, PermitWaits, PermitDenied, PermitUnanswered>;

struct RequestLimitsOptions {
  DaemonId self = {};
  /// Differs between all runs of the daemon; not 0.
  std::uint64_t session = 1;
  LimitTolerance tolerance = {};
  /// Least time without a message after which a lease ends.
  Duration min_lease = std::chrono::milliseconds(600);
  /// Time for which a former grantor may use a lease beyond its end, because a message was delayed.
  Duration lease_margin = std::chrono::milliseconds(400);
};

/// @brief What has to be done after time has passed or a message has been received.
struct RequestLimitsOutput {
  struct GrantorChange {
    DaemonId former = {};
    DaemonId current = {};
    std::uint32_t organisations = 0;
  };
  std::vector<std::pair<DaemonId, PermitRequest>> requests = {};
  std::vector<std::pair<DaemonId, PermitGrant>> grants = {};
  /// Decisions on requests that were waiting.
  std::vector<std::pair<PermitTicket, PermitDecision>> decisions = {};
  std::vector<GrantorChange> changes = {};
};

/// @brief The part of one daemon in the request limits of all organisations. It leases its shares
/// of the limits to grantors, grants permits from the shares that are leased to it, and obtains
/// permits for its requests.
class RequestLimits {
 public:
  explicit RequestLimits(RequestLimitsOptions options);
  ~RequestLimits();
  RequestLimits(const RequestLimits&) = delete;
  RequestLimits& operator=(const RequestLimits&) = delete;

  /// @brief Sets the organisations of the configuration.
  void SetOrganisations(const std::vector<Organisation>& organisations, BootTime now);
  /// @brief True if an organisation has a limit.
  bool active() const;
  bool HasLimit(const OrganisationId& organisation) const;

  /// @brief Sets all registered daemons; this daemon leases nothing before.
  void SetMembers(const std::vector<DaemonId>& members, BootTime now);
  /// @brief Records a message from another daemon.
  void OnHeard(const DaemonId& daemon, BootTime now);
  /// @brief The process of the daemon has ended.
  void OnEnded(const DaemonId& daemon, BootTime now);
  /// @brief Sets the other daemons that report themselves as ready, whether this one is, and the
  /// time between two messages to a daemon.
  void SetReady(const std::vector<DaemonId>& ready, bool self_ready, Duration heartbeat_period);
  /// @brief A connection to the daemon opened. The next Step() returns the messages for it, which
  /// have to precede others.
  void OnConnected(const DaemonId& daemon);
  void OnRequest(const DaemonId& from, const PermitRequest& request, BootTime now);
  void OnGrant(const DaemonId& from, const PermitGrant& grant, BootTime now);

  /// @brief Takes a permit for a request that ends at `deadline`, or lets it wait.
  PermitDecision Acquire(const OrganisationId& organisation,
                         PermitUse use,
                         BootTime deadline,
                         BootTime now);
  /// @brief The request does not wait any more.
  void Cancel(PermitTicket ticket);
  /// @brief Returns a permit whose request no endpoint has executed.
  void Return(const Permit& permit);

  /// @brief To be called every 5 ms while busy(), and every 50 ms otherwise.
  RequestLimitsOutput Step(BootTime now);
  /// @brief Requests or messages wait.
  bool busy() const;
  /// @brief Number of daemons that count as present, this one included.
  std::size_t daemons(BootTime now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Prefix that separates the ids of one organisation's programs, sessions and turns from
/// those of the others.
std::string IdPrefix(const OrganisationId& organisation);

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_ORGANISATIONS_H_
