#include <map>
#include <unordered_map>
#include <utility>

#include "acaciaspring/net.h"
#include "src/net/deferred.h"
#include "src/net/h2o.h"
#include "src/net/http_exchange.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// Endpoints come and go; without an end the pools of former addresses would accumulate.
constexpr Duration kUnusedPoolLifetime = std::chrono::minutes(2);
// h2o's own timeout is the same for all calls of a context; each exchange has its own timer, which
// must always be the first to fire.
constexpr std::uint64_t kH2oTimeoutMs = std::uint64_t{24} * 3600 * 1000;

struct Pool {
  h2o_socketpool_t sockets{};
  std::size_t calls = 0;
  MonotonicTime last_used;
};

/// @brief Memory that h2o and libuv refer to until the handles in it are closed.
struct Context {
  h2o_timeout_t timeout{};
  h2o_http1client_ctx_t client{};
};

/// @brief The exchanges that have not ended. One of them can end after the client is gone, when the
/// client is destroyed by its callback.
struct Exchanges {
  std::unordered_map<HttpExchange*, std::shared_ptr<HttpExchange>> live;
};

class CallHandle : public HttpCall {
 public:
  explicit CallHandle(std::shared_ptr<HttpExchange> exchange) : exchange_(std::move(exchange)) {}
  ~CallHandle() override { exchange_->Cancel(); }
  void Cancel() override { exchange_->Cancel(); }

 private:
  std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace

struct HttpClient::Impl {
  Impl(Loop& event_loop, HttpClientOptions client_options)
      : loop(event_loop), options(client_options) {
    h2o_timeout_init(loop.raw(), &context->timeout, kH2oTimeoutMs);
    context->client.loop = loop.raw();
    context->client.io_timeout = &context->timeout;
    sweep = loop.Every(kUnusedPoolLifetime, [this] { RemoveUnusedPools(); });
  }

  ~Impl() {
    const auto live = std::move(exchanges->live);
    exchanges->live.clear();
    for (const auto& [key, exchange] : live) {
      exchange->Cancel();
    }
    for (const auto& [address, pool] : pools) {
      Dispose(pool);
    }
    RunAtEndOfIteration(loop.raw(), [raw = loop.raw(), context = context] {
      h2o_timeout_dispose(raw, &context->timeout);
      ReleaseAfterClose(raw, context);
    });
  }

  void Dispose(const std::shared_ptr<Pool>& pool) {
    // When the client is destroyed by a callback of h2o, h2o returns the connection to the pool
    // after that callback.
    RunAtEndOfIteration(loop.raw(), [raw = loop.raw(), pool] {
      h2o_socketpool_dispose(&pool->sockets);
      ReleaseAfterClose(raw, pool);
    });
  }

  std::shared_ptr<Pool> PoolOf(const Address& address) {
    sockaddr_in name = ToSocketAddress(address);
    std::shared_ptr<Pool>& pool = pools[address];
    if (pool == nullptr) {
      pool = std::make_shared<Pool>();
      h2o_socketpool_init_by_address(&pool->sockets, reinterpret_cast<sockaddr*>(&name),
                                     sizeof(name), /*is_ssl=*/0, options.pool_capacity);
      h2o_socketpool_set_timeout(
          &pool->sockets, loop.raw(),
          static_cast<std::uint64_t>(
              std::chrono::ceil<std::chrono::milliseconds>(options.pool_idle).count()));
    }
    pool->last_used = loop.Now();
    return pool;
  }

  void RemoveUnusedPools() {
    for (auto it = pools.begin(); it != pools.end();) {
      if (it->second->calls == 0 && loop.Now() - it->second->last_used > kUnusedPoolLifetime) {
        Dispose(it->second);
        it = pools.erase(it);
      } else {
        ++it;
      }
    }
  }

  Loop& loop;
  HttpClientOptions options;
  std::shared_ptr<Context> context = std::make_shared<Context>();
  std::map<Address, std::shared_ptr<Pool>> pools;
  std::shared_ptr<Exchanges> exchanges = std::make_shared<Exchanges>();
  Timer sweep;
};

HttpClient::HttpClient(Loop& loop, HttpClientOptions options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::Send(HttpClientRequest request, HttpCallbacks callbacks) {
  const bool sendable = HttpExchange::IsSendable(request);
  const std::shared_ptr<Pool> pool = impl_->PoolOf(request.server);
  const auto on_ended = [exchanges = impl_->exchanges, pool](HttpExchange* ended) {
    --pool->calls;
    exchanges->live.erase(ended);
  };
  auto exchange = std::make_shared<HttpExchange>(impl_->loop, std::move(request),
                                                 std::move(callbacks), on_ended);
  impl_->exchanges->live.emplace(exchange.get(), exchange);
  ++pool->calls;
  if (sendable) {
    // h2o 2.2 does not limit the idle connections of a pool, so connections above the limit are
    // used once.
    const bool keep_alive = pool->calls <= impl_->options.pool_capacity;
    exchange->Start(impl_->context->client, pool->sockets, keep_alive);
  } else {
    exchange->FailUnsent();
  }
  return std::make_shared<CallHandle>(std::move(exchange));
}

}  // namespace acaciaspring::net
