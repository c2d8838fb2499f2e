#include <unordered_map>
#include <utility>

#include "acaciaspring/net.h"
#include "src/net/http_exchange.h"
#include "src/net/http_pool.h"

namespace acaciaspring::net {

namespace {

/// @brief The exchanges that have not ended. Shared with the exchanges, because one whose callback
/// destroys the client ends after the client.
struct ActiveExchanges {
  std::unordered_map<HttpExchange*, std::shared_ptr<HttpExchange>> exchanges;
};

class CallHandle : public HttpCall {
 public:
  explicit CallHandle(std::shared_ptr<HttpExchange> exchange) : exchange_(std::move(exchange)) {}
  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;
  ~CallHandle() override { exchange_->Cancel(); }
  void Cancel() override { exchange_->Cancel(); }
  void SetIoTimeout(Duration timeout) override { exchange_->SetIoTimeout(timeout); }

 private:
  std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace

struct HttpClient::Impl {
  Impl(Loop& event_loop, HttpClientOptions options)
      : loop(event_loop), pool(std::make_shared<HttpPool>(event_loop, options)) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() {
    const auto exchanges = std::exchange(active->exchanges, {});
    for (const auto& [key, exchange] : exchanges) {
      exchange->Cancel();
    }
  }

  Loop& loop;
  std::shared_ptr<HttpPool> pool;
  std::shared_ptr<ActiveExchanges> active = std::make_shared<ActiveExchanges>();
};

HttpClient::HttpClient(Loop& loop, HttpClientOptions options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() = default;

Loop& HttpClient::loop() const {
  return impl_->loop;
}

void HttpClient::CloseIdleConnections(const Address& server) {
  impl_->pool->CloseAll(server);
}

std::shared_ptr<HttpCall> HttpClient::Send(HttpClientRequest request, HttpCallbacks callbacks) {
  const auto on_ended = [active = impl_->active](HttpExchange* ended) {
    active->exchanges.erase(ended);
  };
  auto exchange = std::make_shared<HttpExchange>(impl_->loop, std::move(request),
                                                 std::move(callbacks), on_ended);
  exchange->Start(impl_->pool);
  impl_->active->exchanges.emplace(exchange.get(), exchange);
  return std::make_shared<CallHandle>(std::move(exchange));
}

}  // namespace acaciaspring::net
