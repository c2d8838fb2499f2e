#include "acaciaspring/gateway.h"

#include <utility>

#include "src/gateway/gateway_impl.h"

namespace acaciaspring::gateway {

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

void Gateway::Impl::OnSeenEndpoints(const std::vector<SeenEndpoint>& seen) {
  LogOutdated(endpoint_registry.Learn(seen, context.loop.Now()));
  if (endpoints_known) {
    ApplyEndpoints();
  }
}

void Gateway::Impl::LogOutdated(const std::vector<OutdatedEntry>& outdated) {
  const auto sequence = [](const RegisteredEndpoint& entry) {
    return entry.sequence ? static_cast<std::int64_t>(entry.sequence->value()) : -1;
  };
  for (const OutdatedEntry& entry : outdated) {
    context.events.Write(
        "outdated_entry",
        {{"endpoint", entry.listed.id.value()},
         {"started_at_ms", entry.listed.started_at_ms},
         {"sequence", sequence(entry.listed)},
         {"newest_started_at_ms", entry.newest.started_at_ms},
         {"newest_sequence", sequence(entry.newest)},
         {"newest_state", entry.removed                                 ? "gone"
                          : entry.newest.state == EndpointState::kReady ? "ready"
                                                                        : "draining"}});
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
  impl_->LogOutdated(impl_->endpoint_registry.Update(endpoints, impl_->context.loop.Now()));
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

void Gateway::SetAssignment(std::vector<AssignedPartition> assigned,
                            ledger::OwnerEpoch generation,
                            std::function<void()> on_released) {
  impl_->ownership.SetAssignment(std::move(assigned), generation, std::move(on_released));
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
  impl_->ownership.Stop(std::move(on_released));
  impl_->SendStatus();
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
