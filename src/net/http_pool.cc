#include "src/net/http_pool.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::net {

namespace {

// Expired connections are also refused by Take, so the period only bounds how long they stay open.
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

}  // namespace

HttpPool::HttpPool(Loop& loop, HttpClientOptions options)
    : loop_(loop),
      options_(options),
      sweep_(loop.Every(kSweepPeriod, [this] { RemoveUnusable(); })) {}

HttpPool::~HttpPool() {
  for (const auto& [server, connections] : idle_) {
    for (const Idle& idle : connections) {
      idle.connection->Close();
    }
  }
}

std::shared_ptr<HttpConnection> HttpPool::Take(const Address& server) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) {
    return nullptr;
  }
  // The most recently used connection first, so that the others can expire.
  while (!found->second.empty()) {
    const Idle idle = std::move(found->second.back());
    found->second.pop_back();
    if (!IsExpired(idle) && idle.connection->IsUsable()) {
      return idle.connection;
    }
    idle.connection->Close();
  }
  return nullptr;
}

void HttpPool::Return(const Address& server, std::shared_ptr<HttpConnection> connection) {
  std::vector<Idle>& connections = idle_[server];
  if (connections.size() >= options_.pool_capacity) {
    connection->Close();
    return;
  }
  // Half of the server's own limit leaves time for a request that is on its way when it expires.
  constexpr int kKeepAliveShare = 2;
  const std::optional<Duration> announced = connection->keep_alive_time();
  const Duration limit = announced
                             ? std::min(options_.pool_idle_timeout, *announced / kKeepAliveShare)
                             : options_.pool_idle_timeout;
  connections.push_back(
      {.connection = std::move(connection), .since = loop_.Now(), .limit = limit});
}

bool HttpPool::IsExpired(const Idle& idle) const {
  return loop_.Now() - idle.since >= idle.limit;
}

void HttpPool::RemoveUnusable() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [this](const Idle& idle) {
      const bool unusable = IsExpired(idle) || !idle.connection->IsUsable();
      if (unusable) {
        idle.connection->Close();
      }
      return unusable;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace acaciaspring::net
