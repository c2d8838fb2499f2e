#ifndef ACACIASPRING_DAEMON_H_
#define ACACIASPRING_DAEMON_H_

#include <functional>
#include <memory>

#include "acaciaspring/config.h"
#include "acaciaspring/net.h"

namespace acaciaspring::daemon {

class DaemonImpl;

/// @brief One daemon of the cluster. It accepts calls over HTTP (entry), runs the programs of the
/// shards that it owns (home), queues calls for endpoints (dispatcher), appends to the journal and
/// takes part in membership.
class Daemon {
 public:
  /// @brief Opens the sockets. Throws net::SocketError.
  Daemon(net::Loop& loop, config::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /// @brief Shuts down gracefully: finishes the calls in flight, hands the shards over to other
  /// daemons and then calls `on_finished` once.
  void Shutdown(std::function<void()> on_finished);

 private:
  std::unique_ptr<DaemonImpl> impl_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_DAEMON_H_
