#ifndef ACACIASPRING_MEMBERSHIP_H_
#define ACACIASPRING_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::membership {

using Region = StrongString<struct RegionTag>;

enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// @brief "alive", "suspect", "leaving" or "dead".
std::string_view ToString(MemberState state);

/// @brief What a daemon knows about one daemon.
struct Member {
  DaemonId id;
  /// Identifies the run of the process: constant from its start to its end.
  Incarnation incarnation;
  /// Grows with every suspicion that the member has refuted in this run.
  std::uint32_t refutation = 0;
  net::Address peer;
  net::Address http;
  AvailabilityZone zone;
  Region region;
  MemberState state = MemberState::kAlive;
  Revision revision;
  bool ready = false;
};

struct MembersOptions {
  DaemonId self;
  /// Must be higher than in every earlier run under the same id, e.g. the start time.
  Incarnation incarnation;
  net::Address peer;
  net::Address http;
  AvailabilityZone zone;
  Region region;
  /// Peer addresses that are probed while no living member has them.
  std::vector<net::Address> seeds;
  Duration probe_period = std::chrono::seconds(1);
  /// Wait for a direct answer; indirect probes use the rest of the period.
  Duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  /// Time for a suspected member to refute.
  Duration suspicion_time = std::chrono::seconds(5);
  /// After this time the confirmation of this daemon's own zone suffices, if no other zone has a
  /// member in state alive.
  Duration lone_zone_suspicion_time = std::chrono::seconds(60);
  /// Dead members are remembered, and probed now and then, for this time. Longer than the longest
  /// expected partition.
  Duration dead_retention = std::chrono::hours(4);
  /// Bytes of member updates in one datagram.
  std::size_t max_piggyback_bytes = 1000;
  /// Limits what is sent, with IP, UDP and authentication headers. Member updates wait when it is
  /// used up; probes and their answers don't. As much is received as sent on average, and unevenly:
  /// the default leaves room below half of the design's 4 KB/s.
  std::size_t max_sent_bytes_per_second = 1600;
};

/// @brief A payload to seal and send to the peer address of a daemon.
struct OutgoingDatagram {
  net::Address to;
  std::string payload;
};

/// @brief State of a VM in the platform's list.
enum class VmHint : std::uint8_t { kLive, kLeaving, kAbsent };

struct MembersCounters {
  std::uint64_t malformed = 0;
  /// Datagrams whose counter was not above that of an earlier one of the same run of the sender.
  std::uint64_t replayed = 0;
  std::uint64_t probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t syncs = 0;
};

/// @brief Failure detector and member list of one daemon (SWIM). No I/O: the caller carries
/// datagrams and time. Payloads are at most wire::kMaxDatagramBytes - wire::kMacBytes long.
class Members {
 public:
  Members(MembersOptions options, std::mt19937_64 random);
  ~Members();
  Members(Members&&) noexcept;
  Members& operator=(Members&&) noexcept;

  /// @brief Call at least every quarter of the probe timeout.
  std::vector<OutgoingDatagram> Tick(MonotonicTime now);
  /// @brief Takes the payload of an authentic datagram; a malformed one is counted and dropped.
  std::vector<OutgoingDatagram> Receive(MonotonicTime now,
                                        const net::Address& from,
                                        std::string_view payload);
  /// @brief Merges one entry of the platform's VM list; `ip` selects the members on that VM. Can
  /// cause an early probe, never a suspicion or a death by itself.
  void Hint(MonotonicTime now, const std::string& ip, VmHint hint);
  /// @brief Spreads this daemon's own configuration revision and readiness.
  void SetRevision(Revision revision);
  void SetReady(bool ready);
  /// @brief Announces that this daemon is leaving; returns datagrams that spread it at once. Not
  /// reversible.
  std::vector<OutgoingDatagram> Leave(MonotonicTime now);

  /// @brief All known members with this daemon first, then by id. Valid until the next call of a
  /// function that is not const.
  const std::vector<Member>& members() const;
  /// @brief The entry of a member, or null.
  const Member* Find(const DaemonId& id) const;
  const Member& self() const;
  /// @brief True once another process is known to run under this id with a higher incarnation,
  /// which other daemons believe: this process has to stop.
  bool superseded() const;
  /// @brief Changes whenever the id, incarnation, state or readiness of any member changes.
  std::uint64_t version() const;
  const MembersCounters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_MEMBERSHIP_H_
