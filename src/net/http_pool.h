#ifndef ACACIASPRING_SRC_NET_HTTP_POOL_H_
#define ACACIASPRING_SRC_NET_HTTP_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/http_connection.h"

namespace acaciaspring::net {

/// @brief The idle connections of a client by server.
class HttpPool {
 public:
  HttpPool(Loop& loop, HttpClientOptions options);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;
  ~HttpPool();

  /// @brief A connection that can take a request, or null.
  std::shared_ptr<HttpConnection> Take(const Address& server);
  /// @brief Keeps or closes a connection without an exchange.
  void Return(const Address& server, std::shared_ptr<HttpConnection> connection);

 private:
  struct Idle {
    std::shared_ptr<HttpConnection> connection;
    MonotonicTime since;
    Duration limit;
  };

  bool IsExpired(const Idle& idle) const;
  void RemoveUnusable();

  Loop& loop_;
  HttpClientOptions options_;
  std::map<Address, std::vector<Idle>> idle_;
  Timer sweep_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_POOL_H_
