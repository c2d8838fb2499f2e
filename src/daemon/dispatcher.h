#ifndef ACACIASPRING_SRC_DAEMON_DISPATCHER_H_
#define ACACIASPRING_SRC_DAEMON_DISPATCHER_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "src/daemon/cluster.h"
#include "src/daemon/endpoint_worker.h"

namespace acaciaspring::daemon {

/// @brief The dispatcher role: runs a worker for each endpoint that placement assigns to this
/// daemon or that still has calls here.
class Dispatcher {
 public:
  Dispatcher(Context context, const Cluster& cluster);

  void OnConfiguration();
  void OnPlacementChanged();
  void OnRequest(ChannelId channel, wire::DispatchRequest request);
  void OnCancelled(ChannelId channel, const wire::DispatchCancelled& cancelled);
  void OnChannelClosed(ChannelId channel);
  /// @brief Releases the KV cache that engines hold for the program.
  void OnProgramEnded(const ProgramId& program);
  void Tick();

  std::size_t active_calls() const;
  Json::Value Status() const;
  /// @brief Load reports of the endpoints that placement assigns to this daemon.
  std::vector<wire::EndpointReport> MakeReports() const;

 private:
  bool IsAssigned(const EndpointWorker& worker) const;
  EndpointWorker* FindOrCreate(const EndpointId& endpoint);
  std::optional<EndpointTarget> FindTarget(const EndpointId& endpoint) const;

  Context context_;
  const Cluster& cluster_;
  std::map<EndpointId, std::unique_ptr<EndpointWorker>> workers_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_SRC_DAEMON_DISPATCHER_H_
