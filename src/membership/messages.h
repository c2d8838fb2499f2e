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

/// @brief What stays constant during one run of a daemon.
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

/// @brief What a daemon states about itself; the higher version wins within a run.
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

/// @brief One piece of news about a member.
struct Update {
  DaemonId id;
  Incarnation incarnation;
  std::uint32_t refutation = 0;
  std::uint8_t kind = 0;
  /// Of kAlive.
  Profile profile;
  /// Of kAlive and kStatus.
  Status status;
  /// Of kSuspect and kDead: the zones that failed to reach the member.
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

/// @brief Answered by an Ack.
struct Probe {
  std::uint64_t sequence = 0;
  /// Another daemon that has taken over the address does not answer; empty for a seed, whose id is
  /// not known.
  DaemonId target;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, target);
  }
};

/// @brief Asks the receiver to probe `target` and to forward the answer.
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

/// @brief Asks for the members of all buckets whose digest differs.
struct SyncRequest {
  std::array<std::uint32_t, kDigestBuckets> digests{};
  template <class Archive>
  void serialize(Archive& archive) {
    for (std::uint32_t& digest : digests) {
      archive(digest);
    }
  }
};

/// @brief Carries updates only; no answer follows.
struct Push {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief Carries members of the buckets that differed; no answer follows.
struct SyncAnswer {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief The receiver does not know the profile of the addressed run and asks for it.
struct ProfileRequest {
  template <class Archive>
  void serialize(Archive&) {}
};

using Body = std::variant<Probe, ProbeRequest, Ack, SyncRequest, SyncAnswer, Push, ProfileRequest>;

/// @brief One datagram.
struct Envelope {
  DaemonId sender;
  Incarnation incarnation;
  std::uint32_t refutation = 0;
  std::uint64_t counter = 0;
  /// Of the sender's member table.
  std::uint64_t digest = 0;
  /// Number of members that the sender knows and does not hold as dead.
  std::uint16_t living = 0;
  Status status;
  Body body;
  std::vector<Update> updates;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, refutation, counter, digest, living, status, body, updates);
  }
};

/// @brief Nothing for a payload that is malformed or exceeds a bound.
std::optional<Envelope> DecodeEnvelope(std::string_view payload);

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_MESSAGES_H_
