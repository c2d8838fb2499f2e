#ifndef ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_
#define ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "src/net/h2o.h"

namespace acaciaspring::net {

/// @brief One request of an h2o client and its answer.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  /// @brief `on_ended` is called once, when h2o no longer refers to the exchange and no callback
  /// follows.
  HttpExchange(Loop& loop,
               HttpClientRequest request,
               HttpCallbacks callbacks,
               std::function<void(HttpExchange*)> on_ended);

  /// @brief True when method, target and headers can be sent as they are.
  static bool IsSendable(const HttpClientRequest& request);

  void Start(h2o_http1client_ctx_t& context, h2o_socketpool_t& pool, bool keep_alive);
  /// @brief Ends an exchange that was not started.
  void FailUnsent() { Finish(HttpNotSent{}); }
  void Cancel();

 private:
  // The h2o callbacks, in the order of the exchange.
  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** buffers,
                                           size_t* buffer_count,
                                           int* method_is_head);
  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* error,
                                        int minor_version,
                                        int status,
                                        h2o_iovec_t message,
                                        h2o_header_t* headers,
                                        size_t header_count,
                                        int head_size);
  static int OnBody(h2o_http1client_t* client, const char* error);

  h2o_http1client_body_cb ReceiveHead(const char* error, int status, Headers headers);
  void DeliverBody(h2o_buffer_t** input);
  void ArmTimer(Duration delay);
  void OnTimer();
  void Finish(const HttpResult& result);
  void Report();
  void ReleaseCallbacks();

  Loop& loop_;
  HttpClientRequest request_;
  HttpCallbacks callbacks_;
  std::function<void(HttpExchange*)> on_ended_;
  std::string head_;
  std::array<h2o_iovec_t, 2> buffers_{};
  h2o_http1client_t* client_ = nullptr;
  Timer timer_;
  MonotonicTime last_activity_;
  int status_ = 0;
  HttpResult result_;
  /// Bytes of the request were handed to the socket.
  bool sent_ = false;
  bool ends_with_connection_ = false;
  /// h2o is calling; it must not be asked to cancel, but told by the return value.
  bool in_callback_ = false;
  bool cancelled_ = false;
  bool finished_ = false;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_EXCHANGE_H_
