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
  /// @brief A probe whose answer has not arrived.
  struct PendingProbe {
    DaemonId target;
    MonotonicTime sent;
    bool indirect = false;
  };
  /// @brief A probe that is sent on behalf of another member.
  struct Relay {
    net::Address requester;
    std::uint64_t sequence = 0;
    MonotonicTime expires;
  };
  struct ZoneCensus {
    /// Members of each zone that are not dead.
    std::map<AvailabilityZone, std::size_t> present;
    /// A zone other than this daemon's has a member in state alive.
    bool other_zone_alive = false;
  };
  using Datagrams = std::vector<OutgoingDatagram>;

  Impl(MembersOptions given, std::mt19937_64 engine);

  // members.cc
  /// @brief Appends a datagram with as many updates as fit. `about` is described first.
  void Send(const net::Address& to, Body body, const std::vector<Update>& about, Datagrams& out);
  void Spread(const DaemonId& id, const Change& change);
  /// @brief Puts a member at a random position of the round.
  void JoinRound(const DaemonId& id);
  void ChangeOwnStatus(Status status);
  void Leave(MonotonicTime now, Datagrams& out);
  /// @brief Sends the status of a leaving member to random members at once.
  void SpreadAtOnce(const Entry& leaving, std::size_t fanout, Datagrams& out);
  void RefillBudget(MonotonicTime now);
  std::vector<const Entry*> LivingPeers() const;
  Update DescribeSelf() const;

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
  /// @brief True for the few members of each zone that probe a suspect on hearsay.
  bool IsConfirmer(const Entry& suspect, const std::vector<DaemonId>& zone_peers) const;
  void Accuse(Entry& target, MonotonicTime now);
  void JudgeSuspects(MonotonicTime now);
  ZoneCensus CountZones() const;
  bool AwaitsVerdict(const Entry& suspect, MonotonicTime now) const;
  bool IsDead(const Entry& suspect, const ZoneCensus& census, MonotonicTime now) const;
  void ForgetDead(MonotonicTime now);
  void Hint(MonotonicTime now, const std::string& ip, VmHint hint);

  // receiving.cc
  void Receive(MonotonicTime now,
               const net::Address& from,
               std::string_view payload,
               Datagrams& out);
  /// @brief Checks the sender's run and replay window; false drops the datagram.
  bool Admit(const Envelope& envelope, const net::Address& from, Datagrams& out);
  void TakeSenderState(const Envelope& envelope, MonotonicTime now, Datagrams& out);
  /// @brief `introduction`: the update may tell of a member that the others know already.
  void TakeUpdate(const Update& update, bool introduction, MonotonicTime now, Datagrams& out);
  void TakeUpdateAboutSelf(const Update& update);
  void TakeBody(const Envelope& envelope,
                const net::Address& from,
                MonotonicTime now,
                Datagrams& out);
  void TakeAck(const Ack& ack, Datagrams& out);
  void AnswerSync(const SyncRequest& request, const net::Address& from, Datagrams& out);
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
  /// The rest of the shuffled round; the next target is at the back.
  std::vector<DaemonId> round;
  /// Suspects that this daemon failed to reach itself.
  std::set<DaemonId> accused;
  std::vector<DaemonId> hinted;
  std::optional<MonotonicTime> last_tick;
  MonotonicTime next_period;
  std::uint64_t periods = 0;
  MonotonicTime next_sync;
  MonotonicTime last_sync;
  /// This daemon has just started, and syncs still bring members that were unknown.
  bool learning = true;
  /// Bytes that may be sent now; probes and answers can make it negative.
  double budget = 0;
  std::optional<MonotonicTime> budget_at;
  std::size_t sync_answers = 0;
  bool superseded = false;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_MEMBERS_IMPL_H_
