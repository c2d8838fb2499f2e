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

/// @brief Entry of the member list about one daemon.
struct Member {
  DaemonId id;
  /// Identifies one run of the process; constant from its start to its end.
  Incarnation incarnation;
  /// Increases with each suspicion that the member has refuted in this run.
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
  /// Must be higher than in all earlier runs under the same id, e.g. the start time.
  Incarnation incarnation;
  net::Address peer;
  net::Address http;
  AvailabilityZone zone;
  Region region;
  /// Peer addresses that are probed while no live member has them.
  std::vector<net::Address> seeds;
  Duration probe_period = std::chrono::seconds(1);
  /// Timeout of a direct probe; indirect probes use the rest of the period.
  Duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  /// Time in which a suspected member can refute the suspicion.
  Duration suspicion_time = std::chrono::seconds(5);
  /// After this time a confirmation by this daemon's own zone is sufficient if no other zone has a
  /// member in state alive.
  Duration single_zone_suspicion_time = std::chrono::seconds(60);
  /// Time for which dead members are kept in the list and occasionally probed. Must exceed the
  /// longest expected partition.
  Duration dead_retention = std::chrono::hours(4);
  /// Maximum bytes of queued member updates in one datagram.
  std::size_t max_piggyback_bytes = 1000;
  /// Limits the bytes sent, including IP, UDP and authentication headers. Member updates wait when
  /// the limit is reached; probes and acknowledgements are always sent. On average a daemon
  /// receives as much as it sends, but unevenly: the default keeps the sent traffic below half of
  /// the 4 KB/s that the design allows.
  std::size_t max_sent_bytes_per_second = 1600;
};

/// @brief A payload to be authenticated and sent to the peer address of a daemon.
struct OutgoingDatagram {
  net::Address to;
  std::string payload;
};

/// @brief State of a VM in the platform's VM list.
enum class VmHint : std::uint8_t { kLive, kLeaving, kAbsent };

struct MembersCounters {
  std::uint64_t malformed = 0;
  /// Datagrams whose counter the same run of the sender had used before or that were 64 or more
  /// counters late.
  std::uint64_t replayed = 0;
  std::uint64_t probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t syncs = 0;
};

/// @brief Failure detector and member list of one daemon (SWIM). Performs no I/O: the caller
/// transfers the datagrams and provides the time. Payloads have at most wire::kMaxDatagramBytes -
/// wire::kMacBytes bytes.
class Members {
 public:
  Members(MembersOptions options, std::mt19937_64 random);
  ~Members();
  Members(Members&&) noexcept;
  Members& operator=(Members&&) noexcept;

  /// @brief Sends probes and checks timeouts. Must be called at least once in every
  /// quarter of probe_timeout.
  std::vector<OutgoingDatagram> Tick(MonotonicTime now);
  /// @brief Handles the payload of an authenticated datagram; a malformed one is counted and
  /// dropped.
  std::vector<OutgoingDatagram> Receive(MonotonicTime now,
                                        const net::Address& from,
                                        std::string_view payload);
  /// @brief Applies one entry of the platform's VM list; `ip` selects the members on that VM. Can
  /// cause an early probe, but by itself no suspicion or death.
  void Hint(MonotonicTime now, const std::string& ip, VmHint hint);
  /// @brief Disseminates this daemon's configuration revision and readiness.
  void SetRevision(Revision revision);
  void SetReady(bool ready);
  /// @brief Announces that this daemon is leaving; returns the datagrams to send immediately.
  /// Cannot be undone.
  std::vector<OutgoingDatagram> Leave(MonotonicTime now);

  /// @brief All known members: this daemon first, the others by id. Valid until the next call of a
  /// non-const function.
  const std::vector<Member>& members() const;
  /// @brief Returns the entry of a member, or nullptr if it is unknown.
  const Member* Find(const DaemonId& id) const;
  const Member& self() const;
  /// @brief True once another process with a higher incarnation is known to run under this id.
  /// Other daemons accept only that one: this process must stop.
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
