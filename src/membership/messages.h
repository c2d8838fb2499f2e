#ifndef ACACIASPRING_SRC_MEMBERSHIP_MESSAGES_H_
#define ACACIASPRING_SRC_MEMBERSHIP_MESSAGES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/membership.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::membership {

inline constexpr std::size_t kMaxPayloadBytes = wire::kMaxDatagramBytes - wire::kMacBytes;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxZones = 16;
inline constexpr std::size_t kDigestBuckets = 32;

/// @brief An IPv4 address in 6 bytes.
struct PackedAddress {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  bool operator==(const PackedAddress&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// @brief Throws net::AddressError unless the IP address has the form a.b.c.d.
PackedAddress Pack(const net::Address& address);
net::Address Unpack(const PackedAddress& address);

/// @brief Properties of a daemon that stay constant during one run.
struct Profile {
  PackedAddress peer;
  PackedAddress http;
  AvailabilityZone zone;
  Region region;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(peer, http, zone, region);
  }
};

/// @brief Status published by a daemon about itself. Within a run, a higher version replaces a
/// lower one.
struct Status {
  static constexpr std::uint8_t kReady = 1;
  static constexpr std::uint8_t kLeaving = 2;
  std::uint32_t version = 0;
  Revision revision;
  std::uint8_t flags = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, revision, flags);
  }
};

enum class UpdateKind : std::uint8_t { kAlive, kStatus, kSuspect, kDead };

/// @brief An update about one member.
struct Update {
  DaemonId id;
  Incarnation incarnation;
  std::uint32_t refutation = 0;
  std::uint8_t kind = 0;
  /// Set for kAlive.
  Profile profile;
  /// Set for kAlive and kStatus.
  Status status;
  /// Set for kSuspect and kDead: the zones whose members failed to reach the member.
  std::vector<AvailabilityZone> zones;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, refutation, kind);
    if (Is(UpdateKind::kAlive)) {
      archive(profile);
    }
    if (Is(UpdateKind::kAlive) || Is(UpdateKind::kStatus)) {
      archive(status);
    } else {
      archive(zones);
    }
  }
  bool Is(UpdateKind other) const { return kind == static_cast<std::uint8_t>(other); }
};

/// @brief Acknowledged by an Ack.
struct Probe {
  std::uint64_t sequence = 0;
  /// A daemon with a different id does not acknowledge the probe, e.g. one that has reused the
  /// address. Empty for a seed, whose id is unknown.
  DaemonId target;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, target);
  }
};

/// @brief Asks the receiver to probe `target` and to forward the acknowledgement.
struct ProbeRequest {
  std::uint64_t sequence = 0;
  DaemonId target;
  PackedAddress address;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, target, address);
  }
};

struct Ack {
  std::uint64_t sequence = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

/// @brief Requests the members of all buckets whose digest differs.
struct SyncRequest {
  std::array<std::uint32_t, kDigestBuckets> digests{};
  template <class Archive>
  void serialize(Archive& archive) {
    for (std::uint32_t& digest : digests) {
      archive(digest);
    }
  }
};

/// @brief Carries updates only; has no response.
struct Push {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief Carries the members of the buckets that differ; has no response.
struct SyncResponse {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief Requests the profile of the receiver's current run, which the sender does not know.
struct ProfileRequest {
  template <class Archive>
  void serialize(Archive&) {}
};

using Body =
    std::variant<Probe, ProbeRequest, Ack, SyncRequest, SyncResponse, Push, ProfileRequest>;

/// @brief One datagram.
struct Envelope {
  DaemonId sender;
  Incarnation incarnation;
  std::uint32_t refutation = 0;
  std::uint64_t counter = 0;
  /// Digest of the sender's member table.
  std::uint64_t digest = 0;
  /// Number of members in the table of the sender that are not dead, including itself.
  std::uint16_t live_members = 0;
  Status status;
  Body body;
  std::vector<Update> updates;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, refutation, counter, digest, live_members, status, body, updates);
  }
};

/// @brief Returns nullopt if the payload is malformed or exceeds a limit.
std::optional<Envelope> DecodeEnvelope(std::string_view payload);

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_MESSAGES_H_
