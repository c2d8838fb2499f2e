#ifndef ACACIASPRING_SRC_GATEWAY_GATEWAY_IMPL_H_
#define ACACIASPRING_SRC_GATEWAY_GATEWAY_IMPL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/gateway/caller_sink.h"
#include "src/gateway/configuration_exchange.h"
#include "src/gateway/context.h"
#include "src/gateway/endpoint_call.h"
#include "src/gateway/endpoint_limit_log.h"
#include "src/gateway/endpoint_registry.h"
#include "src/gateway/entry_directory.h"
#include "src/gateway/ownership.h"
#include "src/gateway/peer_links.h"
#include "src/gateway/rate_limit_exchange.h"
#include "src/gateway/route_table.h"
#include "src/gateway/stop_plan.h"
#include "src/gateway/turn_router.h"

namespace acaciaspring::gateway {

struct Gateway::Impl {
  Impl(net::Loop& loop, GatewayOptions options, ledger::PartitionStore& store)
      : context(loop, options),
        rate_limits(context),
        endpoint_limit_log(context),
        configuration_exchange(
            context,
            {.links = [this] { return links.get(); },
             .document = [this] { return configuration ? configuration->document : std::string(); },
             .apply = [this](Configuration newer) { SetConfiguration(std::move(newer)); }}),
        entry_directory(
            context,
            {.ready_peers =
                 [this] { return links ? links->ReadyPeers() : std::vector<ReadyPeer>(); },
             .self_is_ready = [this] { return links != nullptr && IsReady(); },
             .members = [this]() -> const std::vector<Member>& { return members; }}),
        ownership(context, store, [this] { OnOwnershipChanged(); }),
        router(context, ownership, [this] { return links.get(); }) {}

  void JoinCluster(const std::string& cluster_key,
                   std::function<void(const Member&)> on_member_exited);
  void OnOwnershipChanged();
  bool IsReady() const { return configuration.has_value() && endpoints_known && !stop_plan; }
  PeerStatus MakeStatus();
  /// @brief Tells all daemons of a change.
  void SendStatus();
  void ScheduleHeartbeat();
  /// @brief Reports the load whenever it has changed.
  void ScheduleLoadReport();
  void Handle(CallerRequest request, net::HttpResponderPtr responder);
  void SetConfiguration(Configuration newer);
  void HandleTurn(const Route& route,
                  std::uint32_t priority,
                  CallerRequest request,
                  std::shared_ptr<CallerSink> sink);
  void HandleCall(const Route& route,
                  std::uint32_t priority,
                  CallerRequest request,
                  std::shared_ptr<CallerSink> sink);
  std::optional<HttpError> Validate(const CallerRequest& request, const Route* route) const;
  Duration TimeoutFor(const CallerRequest& request, const Route& route) const;
  /// @brief Applies the endpoints to use at this time.
  void ApplyEndpoints();
  /// @brief Applies what another daemon has seen of endpoints.
  void OnSeenEndpoints(const std::vector<SeenEndpoint>& seen);
  void LogOutdated(const std::vector<OutdatedEntry>& outdated);
  void LogEndpointChanges(const std::vector<RegisteredEndpoint>& listed);

  Context context;
  RateLimitExchange rate_limits;
  EndpointLimitLog endpoint_limit_log;
  ConfigurationExchange configuration_exchange;
  EntryDirectory entry_directory;
  std::optional<Configuration> configuration;
  std::unique_ptr<RouteTable> routes;
  std::unordered_map<ServiceId, Service> services;
  Ownership ownership;
  std::unique_ptr<PeerLinks> links;
  std::vector<Member> members;
  EndpointRegistry endpoint_registry;
  net::Timer endpoint_grace_timer;
  /// Endpoint states as last logged.
  std::unordered_map<EndpointId, EndpointState> endpoint_states;
  TurnRouter router;
  std::set<std::shared_ptr<EndpointCall>> calls;
  net::Timer heartbeat;
  net::Timer load_report;
  /// State of the endpoint table at the last load report.
  std::uint64_t reported_changes = 0;
  net::Timer maintenance;
  std::optional<StopPlan> stop_plan;
  bool endpoints_known = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_GATEWAY_IMPL_H_
