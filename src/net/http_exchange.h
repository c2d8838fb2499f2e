#ifndef ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_
#define ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "src/net/http_connection.h"
#include "src/net/http_pool.h"

namespace acaciaspring::net {

/// @brief One request of the HTTP client and its response.
class HttpExchange : public HttpConnection::Delegate,
                     public std::enable_shared_from_this<HttpExchange> {
 public:
  /// @brief `on_ended` is called once, after which no callback is called.
  HttpExchange(Loop& loop,
               HttpClientRequest request,
               HttpCallbacks callbacks,
               std::function<void(HttpExchange*)> on_ended);

  /// @brief Throws AddressError.
  void Start(const std::shared_ptr<HttpPool>& pool);
  void Cancel();
  void SetIoTimeout(Duration timeout);

  void OnConnected() override;
  void OnReceived() override;
  void OnHead(int status, const Headers& headers) override;
  void OnData(std::string_view data) override;
  void OnComplete(bool reusable) override;
  void OnDisconnected() override;
  void OnUnidentifiedResponse(int status) override;
  void OnInvalidResponse() override;

 private:
  void ArmTimer(Duration delay);
  void OnTimer();
  Duration RemainingTotal() const;
  /// @brief Runs a callback for the response; an exception interrupts the exchange.
  void RunCallback(const std::function<void()>& callback);
  void Finish(const HttpResult& result);
  void NotifyDone();
  void ReleaseCallbacks();

  Loop& loop_;
  HttpClientRequest request_;
  HttpCallbacks callbacks_;
  std::function<void(HttpExchange*)> on_ended_;
  std::weak_ptr<HttpPool> pool_;
  std::shared_ptr<HttpConnection> connection_;
  Timer timer_;
  MonotonicTime started_at_;
  MonotonicTime last_activity_;
  int status_ = 0;
  HttpResult result_;
  /// True if bytes of the request may have been handed to the socket.
  bool sent_ = false;
  bool in_callback_ = false;
  /// True if no further callback is called.
  bool ended_ = false;
  bool has_result_ = false;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_
