#include <utility>

#include "src/gateway/gateway_impl.h"

namespace acaciaspring::gateway {

namespace {

constexpr Duration kMaintenancePeriod = std::chrono::seconds(5);

}  // namespace

void Gateway::Impl::JoinCluster(const std::string& cluster_key,
                                std::function<void(const Member&)> on_member_exited) {
  context.fingerprint_key = cluster_key;
  links = std::make_unique<PeerLinks>(
      context, cluster_key,
      PeerHandlers{
          .on_status =
              [this](const DaemonId& daemon, const PeerStatus& status) {
                rate_limits.OnHeard(daemon);
                context.permits.OnHeard(daemon);
                context.endpoints.SetRemoteCounts(daemon, status.in_flight);
                context.endpoints.OnConcurrencyReports(status.endpoint_limits, context.loop.Now());
                ownership.OnStatus(daemon, status);
                router.RetryWaitingTurns();
              },
          .on_load =
              [this](const DaemonId& daemon, const PeerLoad& load) {
                rate_limits.OnHeard(daemon);
                context.permits.OnHeard(daemon);
                context.endpoints.SetRemoteCounts(daemon, load.in_flight);
              },
          .on_demand = [this](const DaemonId& daemon,
                              const PeerDemand& demand) { rate_limits.OnDemand(daemon, demand); },
          .on_rate_limits =
              [this](const DaemonId& daemon, const PeerRateLimits& limits) {
                rate_limits.OnReports(daemon, limits);
              },
          .on_crashes =
              [this](const DaemonId& daemon, const PeerCrashReports& reports) {
                context.crashes.OnReports(daemon, reports);
              },
          .on_seen_endpoints =
              [this](const PeerSeenEndpoints& seen) { OnSeenEndpoints(seen.endpoints); },
          .on_message =
              [this](const DaemonId& daemon, PeerMessage message, const ReplyFunction& reply) {
                if (!configuration_exchange.OnMessage(message, reply) &&
                    !context.permits.OnMessage(daemon, message)) {
                  router.OnMessage(daemon, std::move(message), reply);
                }
              },
          .on_connected =
              [this](const DaemonId& daemon) {
                // Before the status, which would prolong leases that have ended.
                context.permits.OnConnected(daemon);
                links->Send(daemon, MakeStatus());
                rate_limits.Greet(
                    [&](const PeerMessage& message) { links->Send(daemon, message); });
                PeerCrashReports crashes{
                    .crashes = context.crashes.evidence().MakeReports(context.loop.Now())};
                if (!crashes.crashes.empty()) {
                  links->Send(daemon, std::move(crashes));
                }
                PeerSeenEndpoints seen{.endpoints = endpoint_registry.Seen(context.loop.Now())};
                if (!seen.endpoints.empty()) {
                  links->Send(daemon, std::move(seen));
                }
              },
          .on_disconnected =
              [this](const DaemonId& daemon) {
                context.events.Write("peer_lost", {{"peer", daemon.value()}});
                context.endpoints.ForgetDaemon(daemon);
                ownership.ForgetDaemon(daemon);
                router.OnPeerDisconnected(daemon);
              },
          .on_exited =
              [this, on_member_exited = std::move(on_member_exited)](const Member& member) {
                context.permits.OnExited(member);
                on_member_exited(member);
              },
          .on_requester_disconnected =
              [this](const DaemonId& daemon) { router.OnRequesterDisconnected(daemon); }});
  context.permits.Join(
      {.send = [this](const DaemonId& daemon,
                      const PeerMessage& message) { return links->Send(daemon, message); },
       .ready_daemons =
           [this] {
             std::vector<DaemonId> ready;
             for (const ReadyPeer& peer : links->ReadyPeers()) {
               ready.push_back(peer.member.id);
             }
             return ready;
           },
       .self_ready = [this] { return MakeStatus().ready; },
       .longest_period = [this] { return links->LongestPeriod(); }});
  links->SetMembers(members);
  context.buffers.SetPeerBytes([this] { return links->queued_bytes(); });
  ScheduleHeartbeat();
  ScheduleLoadReport();
  configuration_exchange.Start();
  entry_directory.Start();
  context.crashes.SetSend(
      [this](PeerCrashReports reports) { links->SendToAll(std::move(reports)); });
  maintenance = context.loop.Every(kMaintenancePeriod, [this] {
    ownership.Maintain();
    context.crashes.Expire();
  });
}

void Gateway::Impl::ScheduleHeartbeat() {
  heartbeat = context.loop.After(links->HeartbeatPeriod(), [this] {
    links->Heartbeat(MakeStatus());
    endpoint_limit_log.Update();
    rate_limits.Update([this](const PeerMessage& message) { links->SendToAll(message); });
    ScheduleHeartbeat();
  });
}

void Gateway::Impl::ScheduleLoadReport() {
  load_report = context.loop.After(links->LoadPeriod(), [this] {
    const std::uint64_t changes = context.endpoints.own_changes();
    if (std::exchange(reported_changes, changes) != changes) {
      links->SendLoad({.in_flight = context.endpoints.OwnCounts()});
    }
    ScheduleLoadReport();
  });
}

void Gateway::Impl::OnOwnershipChanged() {
  // Posted, because this is called from within a partition, which must not be re-entered.
  context.loop.Post([this] {
    router.RetryWaitingTurns();
    SendStatus();
  });
}

PeerStatus Gateway::Impl::MakeStatus() {
  return {
      .ready = IsReady(),
      .in_flight = context.endpoints.OwnCounts(),
      .owned = ownership.OwnedPartitions(),
      .has_writable_partition = !ownership.WritablePartitions().empty(),
      .capacity_correction = entry_directory.correction(),
      .endpoint_limits = context.endpoints.concurrency_limits().MakeReports(context.loop.Now())};
}

void Gateway::Impl::SendStatus() {
  if (links != nullptr) {
    links->SendStatus(MakeStatus());
  }
}

}  // namespace acaciaspring::gateway
