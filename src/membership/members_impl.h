#ifndef ACACIASPRING_SRC_MEMBERSHIP_MEMBERS_IMPL_H_
#define ACACIASPRING_SRC_MEMBERSHIP_MEMBERS_IMPL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

#include "acaciaspring/membership.h"
#include "src/membership/gossip_queue.h"
#include "src/membership/member_table.h"
#include "src/membership/messages.h"

namespace acaciaspring::membership {

struct Members::Impl {
  /// @brief A probe that has not been acknowledged.
  struct PendingProbe {
    DaemonId target;
    MonotonicTime sent;
    bool indirect = false;
  };
  /// @brief A probe sent on behalf of another member (indirect probe).
  struct Relay {
    net::Address requester;
    std::uint64_t sequence = 0;
    MonotonicTime expires;
  };
  struct ZoneCounts {
    /// Members of each zone that are not dead.
    std::map<AvailabilityZone, std::size_t> live_members;
    /// True if a zone other than this daemon's has a member in state alive.
    bool other_zone_alive = false;
  };
  using Datagrams = std::vector<OutgoingDatagram>;

  Impl(MembersOptions members_options, std::mt19937_64 generator);

  // members.cc
  /// @brief Appends a datagram to `out`. `priority_updates` are added first, then as many queued
  /// updates as fit into the datagram and the send budget.
  void Send(const net::Address& to,
            Body body,
            const std::vector<Update>& priority_updates,
            Datagrams& out);
  void Disseminate(const DaemonId& id, const Change& change);
  /// @brief Inserts a member at a random position of the probe round.
  void InsertIntoRound(const DaemonId& id);
  void UpdateOwnStatus(Status status);
  void Leave(MonotonicTime now, Datagrams& out);
  /// @brief Sends the status of a leaving member to `fanout` random members without waiting for the
  /// next probe.
  void DisseminateLeaving(const Entry& leaving, std::size_t fanout, Datagrams& out);
  void RefillSendBudget(MonotonicTime now);
  std::vector<const Entry*> LivePeers() const;
  Update MakeSelfUpdate() const;

  // probing.cc
  void Tick(MonotonicTime now, Datagrams& out);
  void CheckProbes(MonotonicTime now, Datagrams& out);
  void RequestIndirectProbes(std::uint64_t sequence, const Entry& target, Datagrams& out);
  void StartPeriod(MonotonicTime now, Datagrams& out);
  void ProbeNext(MonotonicTime now, Datagrams& out);
  void ProbeSuspects(MonotonicTime now, Datagrams& out);
  void ProbeHinted(MonotonicTime now, Datagrams& out);
  void Reconnect(Datagrams& out);
  void SendProbe(const Entry& target, MonotonicTime now, Datagrams& out);
  /// @brief True if this daemon is one of the kConfirmersPerZone members of its zone that probe a
  /// suspect reported by another member.
  bool IsConfirmer(const Entry& suspect, const std::vector<DaemonId>& zone_peers) const;
  /// @brief Records that this daemon failed to reach the member, and suspects it.
  void SuspectUnreachable(Entry& target, MonotonicTime now);
  void DeclareDeaths(MonotonicTime now);
  ZoneCounts CountZones() const;
  bool IsDeathCandidate(const Entry& suspect, MonotonicTime now) const;
  bool IsDeathConfirmed(const Entry& suspect,
                        const ZoneCounts& zone_counts,
                        MonotonicTime now) const;
  void EraseExpiredDead(MonotonicTime now);
  void Hint(MonotonicTime now, const std::string& ip, VmHint hint);

  // receiving.cc
  void Receive(MonotonicTime now,
               const net::Address& from,
               std::string_view payload,
               Datagrams& out);
  /// @brief Checks the sender's incarnation and replay window; false if the datagram must be
  /// dropped.
  bool AcceptSender(const Envelope& envelope, const net::Address& from, Datagrams& out);
  void ApplySenderState(const Envelope& envelope, MonotonicTime now, Datagrams& out);
  /// @brief `already_disseminated`: if the update adds a member, the other members know it already,
  /// so the update is not disseminated further.
  void ApplyUpdate(const Update& update,
                   bool already_disseminated,
                   MonotonicTime now,
                   Datagrams& out);
  void ApplyUpdateAboutSelf(const Update& update);
  void HandleBody(const Envelope& envelope,
                  const net::Address& from,
                  MonotonicTime now,
                  Datagrams& out);
  void HandleAck(const Ack& ack, Datagrams& out);
  void HandleSyncRequest(const SyncRequest& request, const net::Address& from, Datagrams& out);
  void MaybeSync(const Envelope& envelope,
                 const net::Address& from,
                 MonotonicTime now,
                 Datagrams& out);

  MembersOptions options;
  std::mt19937_64 random;
  MemberTable table;
  GossipQueue gossip;
  MembersCounters counters;
  std::uint64_t next_counter = 1;
  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, PendingProbe> probes;
  std::map<std::uint64_t, Relay> relays;
  /// Remaining targets of the shuffled probe round; the next target is at the back.
  std::vector<DaemonId> probe_round;
  /// Suspects that this daemon itself failed to reach.
  std::set<DaemonId> unreachable;
  /// Members to probe early because of the VM list.
  std::vector<DaemonId> hinted;
  std::optional<MonotonicTime> last_tick;
  MonotonicTime next_period;
  std::uint64_t period_count = 0;
  MonotonicTime next_sync;
  MonotonicTime last_sync;
  /// True from the start of this daemon until a sync adds no unknown member or the digests match.
  bool bootstrapping = true;
  /// Bytes that may be sent now. Probes and acknowledgements are sent regardless and can make it
  /// negative.
  double send_budget = 0;
  std::optional<MonotonicTime> send_budget_refilled;
  std::size_t sync_responses = 0;
  bool superseded = false;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_MEMBERS_IMPL_H_
