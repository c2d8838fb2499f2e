#ifndef ACACIASPRING_DAEMON_H_
#define ACACIASPRING_DAEMON_H_

#include <functional>
#include <memory>

#include "acaciaspring/config.h"
#include "acaciaspring/net.h"

namespace acaciaspring::daemon {

class DaemonImpl;

/// @brief One daemon with all its roles: entry, home, dispatcher, journal writer and member.
class Daemon {
 public:
  /// @brief Opens the sockets; throws net::SocketError.
  Daemon(net::Loop& loop, config::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /// @brief Graceful shutdown: finishes what is in flight, hands the shards over, then calls
  /// `on_finished` once.
  void Shutdown(std::function<void()> on_finished);

 private:
  std::unique_ptr<DaemonImpl> impl_;
};

}  // namespace acaciaspring::daemon

#endif  // ACACIASPRING_DAEMON_H_
