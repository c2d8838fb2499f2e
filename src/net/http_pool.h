#ifndef ACACIASPRING_SRC_NET_HTTP_POOL_H_
#define ACACIASPRING_SRC_NET_HTTP_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/http_connection.h"

namespace acaciaspring::net {

/// @brief Pool of the idle connections of a client, by server.
class HttpPool {
 public:
  HttpPool(Loop& loop, HttpClientOptions options);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;
  ~HttpPool();

  /// @brief Removes a usable connection from the pool and returns it, or null if there is none.
  std::shared_ptr<HttpConnection> Acquire(const Address& server);
  /// @brief Adds a connection that is no longer in use, or closes it if the pool is full.
  void Release(const Address& server, std::shared_ptr<HttpConnection> connection);
  /// @brief Closes the connections to the server that are in the pool.
  void CloseAll(const Address& server);

 private:
  struct IdleConnection {
    std::shared_ptr<HttpConnection> connection;
    MonotonicTime idle_since;
    Duration idle_timeout;
  };

  bool IsExpired(const IdleConnection& idle) const;
  void EvictUnusable();

  Loop& loop_;
  HttpClientOptions options_;
  std::map<Address, std::vector<IdleConnection>> idle_;
  Timer eviction_timer_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_POOL_H_
