#include "src/net/http_pool.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::net {

namespace {

// Acquire does not return expired connections either, so the period only limits how long they stay
// open.
constexpr Duration kEvictionPeriod = std::chrono::seconds(1);

}  // namespace

HttpPool::HttpPool(Loop& loop, HttpClientOptions options)
    : loop_(loop),
      options_(options),
      eviction_timer_(loop.Every(kEvictionPeriod, [this] { EvictUnusable(); })) {}

HttpPool::~HttpPool() {
  for (const auto& [server, connections] : idle_) {
    for (const IdleConnection& idle : connections) {
      idle.connection->Close();
    }
  }
}

std::shared_ptr<HttpConnection> HttpPool::Acquire(const Address& server) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) {
    return nullptr;
  }
  // Use the most recently used connection first, so that the others can expire.
  while (!found->second.empty()) {
    const IdleConnection idle = std::move(found->second.back());
    found->second.pop_back();
    if (!IsExpired(idle) && idle.connection->IsUsable()) {
      return idle.connection;
    }
    idle.connection->Close();
  }
  return nullptr;
}

void HttpPool::Release(const Address& server, std::shared_ptr<HttpConnection> connection) {
  std::vector<IdleConnection>& connections = idle_[server];
  if (connections.size() >= options_.pool_capacity) {
    connection->Close();
    return;
  }
  // Half of the server's timeout, so that the server does not close the connection while a request
  // is in transit.
  constexpr int kKeepAliveDivisor = 2;
  const std::optional<Duration> server_timeout = connection->keep_alive_timeout();
  const Duration idle_timeout =
      server_timeout ? std::min(options_.pool_idle_timeout, *server_timeout / kKeepAliveDivisor)
                     : options_.pool_idle_timeout;
  connections.push_back({.connection = std::move(connection),
                         .idle_since = loop_.Now(),
                         .idle_timeout = idle_timeout});
}

void HttpPool::CloseAll(const Address& server) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) {
    return;
  }
  for (const IdleConnection& idle : found->second) {
    idle.connection->Close();
  }
  idle_.erase(found);
}

bool HttpPool::IsExpired(const IdleConnection& idle) const {
  return loop_.Now() - idle.idle_since >= idle.idle_timeout;
}

void HttpPool::EvictUnusable() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [this](const IdleConnection& idle) {
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
