#include "acaciaspring/gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "src/gateway/caller_sink.h"
#include "src/gateway/configuration_exchange.h"
#include "src/gateway/context.h"
#include "src/gateway/credentials.h"
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

namespace {

// By then a daemon has read its first configuration, unless the store is unavailable.
constexpr Duration kConfigurationRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaintenancePeriod = std::chrono::seconds(5);
// Time for a few appends; after a longer wait the store is considered unavailable.
constexpr Duration kHandOverTimeout = std::chrono::milliseconds(400);

std::size_t HeaderBytes(const net::Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + 4;
  }
  return bytes;
}

}  // namespace

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
  void LogEndpointChanges(const std::vector<RegisteredEndpoint>& listed);
  void HandOverPartitions();
  void ReleasePartitions();

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
  net::Timer drain_timer;
  std::function<void()> on_released;
  std::optional<StopPlan> stop_plan;
  bool endpoints_known = false;
};

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

std::optional<HttpError> Gateway::Impl::Validate(const CallerRequest& request,
                                                 const Route* route) const {
  if (!configuration) {
    return HttpError{
        .status = 503, .reason = "no_configuration", .retry_after = kConfigurationRetryAfter};
  }
  if (HeaderBytes(request.headers) > configuration->limits.max_header_bytes) {
    return HttpError{.status = 431, .reason = "headers_too_large"};
  }
  if (request.id.empty()) {
    return HttpError{.status = 400, .reason = "no_request_id"};
  }
  if (route == nullptr || route->services.empty()) {
    return HttpError{.status = 404, .reason = "no_route"};
  }
  return std::nullopt;
}

void Gateway::Impl::SetConfiguration(Configuration newer) {
  const bool first = !configuration;
  if (!first && newer.version <= configuration->version) {
    return;
  }
  context.events.Write(
      "configuration",
      {{"version", static_cast<std::int64_t>(newer.version.value())},
       {"former",
        first ? std::int64_t{0} : static_cast<std::int64_t>(configuration->version.value())},
       {"routes", static_cast<std::int64_t>(newer.routes.size())},
       {"organisations", static_cast<std::int64_t>(newer.organisations.size())}});
  routes = std::make_unique<RouteTable>(newer.routes);
  services.clear();
  for (const Service& service : newer.services) {
    services[service.id] = service;
    context.endpoints.SetEngineMemory(service.id, service.kv_capacity);
  }
  context.permits.SetOrganisations(newer.organisations);
  context.caller_keys.SetOrganisations(newer.version, newer.organisations);
  configuration = std::move(newer);
}

Duration Gateway::Impl::TimeoutFor(const CallerRequest& request, const Route& route) const {
  return std::min(request.deadline.value_or(route.timeout), route.timeout);
}

void Gateway::Impl::Handle(CallerRequest request, net::HttpResponderPtr responder) {
  auto sink = std::make_shared<CallerSink>(context, request, std::move(responder));
  const Route* route = routes == nullptr ? nullptr : routes->Find(request.host, request.path);
  if (const auto error = Validate(request, route)) {
    sink->SendError(*error);
    return;
  }
  sink->SetRoute(route->name, configuration->version);
  if (stop_plan && !stop_plan->Admits(context.loop.Now(), TimeoutFor(request, *route))) {
    sink->SendError({.status = 503, .reason = "stopping"});
    return;
  }
  if (!context.buffers.AcceptRequest()) {
    sink->SendError(MakeMemoryError());
    return;
  }
  std::uint32_t priority = route->priority;
  if (context.caller_keys.required()) {
    if (const auto error = Authorise(context, *route, request, priority)) {
      sink->SendError(*error);
      return;
    }
    if (request.credential) {
      sink->SetOrganisation(request.credential->organisation);
    }
  }
  const bool is_turn = request.program && (request.program->budget || route->retained);
  if (is_turn) {
    HandleTurn(*route, priority, std::move(request), std::move(sink));
  } else {
    HandleCall(*route, priority, std::move(request), std::move(sink));
  }
}

void Gateway::Impl::HandleTurn(const Route& route,
                               std::uint32_t priority,
                               CallerRequest request,
                               std::shared_ptr<CallerSink> sink) {
  const ServiceId service = ChooseService(route, request.program->session.value());
  const auto known = services.find(service);
  TurnRequest turn{
      .id = request.id,
      .service = service,
      .kind = route.kind,
      .priority = priority,
      .max_attempts = route.max_attempts,
      .retained = route.retained,
      .retention_us = route.retention.count(),
      .tokens_per_event = known == services.end() ? TokenCount(1) : known->second.tokens_per_event,
      .remaining_us = TimeoutFor(request, route).count(),
      .program = *request.program,
      .prompt = request.prompt,
      .credential = std::move(request.credential),
      .method = std::move(request.method),
      .target = std::move(request.target),
      .headers = std::move(request.headers),
      .body = std::move(request.body)};
  const ExchangeId id = router.Submit(std::move(turn), sink);
  sink->OnCallerGone([this, id] { router.Cancel(id); });
}

void Gateway::Impl::HandleCall(const Route& route,
                               std::uint32_t priority,
                               CallerRequest request,
                               std::shared_ptr<CallerSink> sink) {
  CallPlan plan{.id = request.id,
                .service = ChooseService(route, request.id.value()),
                .kind = route.kind,
                .priority = priority,
                .max_attempts = route.max_attempts,
                .method = std::move(request.method),
                .target = std::move(request.target),
                .headers = std::move(request.headers),
                .body = std::move(request.body),
                .deadline = context.loop.Now() + TimeoutFor(request, route),
                .prompt = request.prompt,
                .credential = std::move(request.credential),
                .program_started = request.program.has_value()};
  const auto response_started = std::make_shared<bool>(false);
  const auto self = std::make_shared<std::weak_ptr<EndpointCall>>();
  const auto call = std::make_shared<EndpointCall>(
      context, std::move(plan),
      CallCallbacks{.on_head =
                        [sink, response_started](int status, const net::Headers& headers) {
                          *response_started = true;
                          sink->Head(status, headers);
                        },
                    .on_data = [sink](std::string_view data) { sink->Data(data); },
                    .on_done =
                        [this, sink, response_started, self](const Outcome& outcome) {
                          if (std::holds_alternative<Completed>(outcome)) {
                            sink->End();
                          } else {
                            Fail(*sink, *response_started, MakeHttpError(outcome));
                          }
                          // Keeps the call alive until its current callback returns.
                          context.loop.Post([live = self->lock()] {});
                          calls.erase(self->lock());
                        }});
  *self = call;
  calls.insert(call);
  sink->OnCallerGone([this, self] {
    if (const auto live = self->lock()) {
      live->Cancel();
      calls.erase(live);
    }
  });
  call->Start();
}

void Gateway::Impl::ApplyEndpoints() {
  const MonotonicTime now = context.loop.Now();
  const std::vector<RegisteredEndpoint> endpoints = endpoint_registry.Endpoints(now);
  LogEndpointChanges(endpoints);
  for (const ReturnedEndpoint& returned : context.endpoints.SetEndpoints(endpoints, now)) {
    context.events.Write(
        "endpoint_returned",
        {{"endpoint", returned.endpoint.value()},
         {"started_at_ms", returned.started_at_ms},
         {"left_started_at_ms", returned.left_started_at_ms},
         {"out_ms", std::chrono::duration_cast<std::chrono::milliseconds>(returned.out).count()}});
  }
  if (const auto grace_period_end = endpoint_registry.GracePeriodEnd(now)) {
    endpoint_grace_timer =
        context.loop.After(std::chrono::duration_cast<Duration>(*grace_period_end - now),
                           [this] { ApplyEndpoints(); });
  }
}

void Gateway::Impl::LogEndpointChanges(const std::vector<RegisteredEndpoint>& listed) {
  std::unordered_map<EndpointId, EndpointState> states;
  for (const RegisteredEndpoint& endpoint : listed) {
    states[endpoint.id] = endpoint.state;
    const auto known = endpoint_states.find(endpoint.id);
    if (known == endpoint_states.end() || known->second != endpoint.state) {
      context.events.Write(
          "endpoint", {{"endpoint", endpoint.id.value()},
                       {"service", endpoint.service.value()},
                       {"address", endpoint.address.ToString()},
                       {"started_at_ms", endpoint.started_at_ms},
                       {"state", endpoint.state == EndpointState::kReady ? "ready" : "draining"}});
    }
  }
  for (const auto& [id, state] : endpoint_states) {
    if (!states.contains(id)) {
      context.events.Write("endpoint", {{"endpoint", id.value()}, {"state", "gone"}});
    }
  }
  endpoint_states = std::move(states);
}

void Gateway::Impl::HandOverPartitions() {
  const auto served = ownership.ServedPartitions();
  const auto pending = std::make_shared<std::size_t>(1);
  const auto on_appended = [this, pending](bool) {
    if (--*pending == 0) {
      ReleasePartitions();
    }
  };
  // If the store does not respond in time, the partitions are released anyway.
  drain_timer = context.loop.After(kHandOverTimeout, [this] { ReleasePartitions(); });
  // With the exact spending recorded, the next owner need not count what this one reserved ahead.
  for (const auto& partition : served) {
    partition->Retire();
    for (const ledger::ProgramSpend& spend : partition->ledger().ExactSpends()) {
      ++*pending;
      partition->Append({.spend = spend}, on_appended);
    }
  }
  on_appended(true);
}

void Gateway::Impl::ReleasePartitions() {
  drain_timer.Cancel();
  if (const auto done = std::exchange(on_released, nullptr)) {
    // Turns that are still running are recorded by the next owners.
    ownership.ReleaseAll();
    done();
  }
}

Gateway::Gateway(net::Loop& loop, GatewayOptions options, ledger::PartitionStore& store)
    : impl_(std::make_unique<Impl>(loop, std::move(options), store)) {}

Gateway::~Gateway() = default;

void Gateway::JoinCluster(const std::string& cluster_key,
                          std::function<void(const Member&)> on_member_exited) {
  impl_->JoinCluster(cluster_key, std::move(on_member_exited));
}

void Gateway::SetConfiguration(Configuration configuration) {
  impl_->SetConfiguration(std::move(configuration));
}

void Gateway::ConfirmConfiguration(BootTime asked_at) {
  impl_->configuration_exchange.Confirm(asked_at);
}

void Gateway::SetEndpoints(const std::vector<RegisteredEndpoint>& endpoints) {
  impl_->endpoints_known = true;
  impl_->endpoint_registry.Update(endpoints, impl_->context.loop.Now());
  impl_->ApplyEndpoints();
}

void Gateway::SetMembers(std::vector<Member> members) {
  impl_->members = std::move(members);
  impl_->rate_limits.SetMembers(impl_->members);
  impl_->context.permits.SetMembers(impl_->members);
  if (impl_->links != nullptr) {
    impl_->links->SetMembers(impl_->members);
  }
}

void Gateway::SetAssignment(const std::vector<AssignedPartition>& assigned,
                            ledger::OwnerEpoch generation) {
  impl_->ownership.SetAssignment(assigned, generation);
}

void Gateway::Handle(CallerRequest request, net::HttpResponderPtr responder) {
  impl_->Handle(std::move(request), std::move(responder));
}

EntryPoints Gateway::FindEntryPoints(const AvailabilityZone& zone) const {
  return impl_->entry_directory.Find(zone);
}

bool Gateway::ready() const {
  return impl_->links != nullptr && impl_->IsReady();
}

const CallerLimits& Gateway::limits() const {
  static const CallerLimits defaults;
  return impl_->configuration ? impl_->configuration->limits : defaults;
}

void Gateway::Drain(MonotonicTime end, std::function<void()> on_released) {
  impl_->stop_plan = StopPlan(impl_->context.loop.Now(), end);
  impl_->on_released = std::move(on_released);
  impl_->ownership.StopServing();
  impl_->SendStatus();
  impl_->HandOverPartitions();
}

std::size_t Gateway::open_requests() const {
  return impl_->calls.size() + impl_->router.open_turns();
}

std::size_t Gateway::undelivered_peer_bytes() const {
  return impl_->links == nullptr ? 0 : impl_->links->undelivered_bytes();
}

telemetry::EventLog& Gateway::events() {
  return impl_->context.events;
}

std::string Gateway::MetricsText() const {
  return impl_->context.metrics.Text();
}

}  // namespace acaciaspring::gateway
