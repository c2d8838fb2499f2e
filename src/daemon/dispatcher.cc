#include "src/daemon/dispatcher.h"

#include <glog/logging.h>

#include <utility>

#include "src/daemon/home_runner.h"

namespace acaciaspring::daemon {

namespace {

EndpointTarget MakeTarget(const EndpointId& id, const config::Endpoint& endpoint) {
  EndpointTarget target;
  target.id = id;
  target.address = ToAddress(endpoint.address);
  target.zone = endpoint.zone;
  target.concurrency = endpoint.concurrency;
  target.leaving = endpoint.state == config::EndpointState::kLeaving;
  target.kind = EngineTarget{endpoint.decode_tokens_per_second};
  return target;
}

EndpointTarget MakeTarget(const EndpointId& id, const config::Service& service) {
  EndpointTarget target;
  target.id = id;
  target.address = ToAddress(service.address);
  target.concurrency = service.concurrency;
  target.kind = ServiceTarget{service.operation, service.timeout};
  return target;
}

}  // namespace

Dispatcher::Dispatcher(Context context, const Cluster& cluster)
    : context_(context), cluster_(cluster) {}

std::optional<EndpointTarget> Dispatcher::FindTarget(const EndpointId& endpoint) const {
  const config::Document& document = context_.document;
  const auto engine = document.endpoints.find(endpoint);
  if (engine != document.endpoints.end()) {
    return MakeTarget(endpoint, engine->second);
  }
  for (const auto& [id, service] : document.services) {
    if (EndpointOfService(id) == endpoint) {
      return MakeTarget(endpoint, service);
    }
  }
  return std::nullopt;
}

EndpointWorker* Dispatcher::FindOrCreate(const EndpointId& endpoint) {
  const auto found = workers_.find(endpoint);
  if (found != workers_.end()) {
    return found->second.get();
  }
  auto target = FindTarget(endpoint);
  if (!target.has_value()) {
    return nullptr;
  }
  auto worker = std::make_unique<EndpointWorker>(context_, std::move(*target));
  return workers_.emplace(endpoint, std::move(worker)).first->second.get();
}

void Dispatcher::OnConfiguration() {
  for (auto& [id, worker] : workers_) {
    if (auto target = FindTarget(id)) {
      worker->Configure(std::move(*target));
    }
  }
  OnPlacementChanged();
}

void Dispatcher::OnPlacementChanged() {
  for (const auto& [id, endpoint] : context_.document.endpoints) {
    const placement::EndpointLocation location{id, endpoint.zone,
                                               membership::Region(context_.settings.region)};
    if (cluster_.placement().Dispatcher(location) == context_.settings.daemon &&
        !workers_.contains(id)) {
      LOG(INFO) << "this daemon is now the dispatcher of endpoint " << id;
      FindOrCreate(id);
    }
  }
}

void Dispatcher::OnRequest(ChannelId channel, wire::DispatchRequest request) {
  EndpointWorker* worker = FindOrCreate(request.endpoint);
  if (worker == nullptr) {
    wire::DispatchFinished finished;
    finished.exchange = request.exchange;
    finished.outcome = NotRun{NotRunReason::kEndpointUnavailable, 100};
    return context_.peers.Send(channel, finished);
  }
  worker->Push(channel, std::move(request));
}

void Dispatcher::OnCancelled(ChannelId channel, const wire::DispatchCancelled& cancelled) {
  for (auto& [id, worker] : workers_) {
    worker->Cancel(channel, cancelled.exchange);
  }
}

void Dispatcher::OnChannelClosed(ChannelId channel) {
  for (auto& [id, worker] : workers_) {
    worker->CancelChannel(channel);
  }
}

void Dispatcher::OnProgramEnded(const ProgramId& program) {
  for (auto& [id, worker] : workers_) {
    worker->ReleaseProgram(program);
  }
}

bool Dispatcher::IsAssigned(const EndpointWorker& worker) const {
  const placement::EndpointLocation location{worker.target().id, worker.target().zone,
                                             membership::Region(context_.settings.region)};
  return cluster_.placement().Dispatcher(location) == context_.settings.daemon;
}

void Dispatcher::Tick() {
  for (auto next = workers_.begin(); next != workers_.end();) {
    const auto current = next++;
    EndpointWorker& worker = *current->second;
    const bool assigned = IsAssigned(worker);
    worker.Tick(assigned);
    const bool removed = !FindTarget(current->first).has_value();
    if (worker.idle() && (removed || !assigned)) {
      workers_.erase(current);
    }
  }
}

std::vector<wire::EndpointReport> Dispatcher::MakeReports() const {
  std::vector<wire::EndpointReport> reports;
  for (const auto& [id, worker] : workers_) {
    if (IsAssigned(*worker) && context_.document.endpoints.contains(id)) {
      reports.push_back(worker->MakeReport());
    }
  }
  return reports;
}

std::size_t Dispatcher::active_calls() const {
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    count += worker->queued() + worker->running();
  }
  return count;
}

Json::Value Dispatcher::Status() const {
  Json::Value statuses = Json::objectValue;
  for (const auto& [id, worker] : workers_) {
    Json::Value& status = statuses[id.value()];
    status["queued"] = Json::UInt64(worker->queued());
    status["running"] = Json::UInt64(worker->running());
    status["available"] = worker->available();
  }
  return statuses;
}

}  // namespace acaciaspring::daemon
