#ifndef ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_
#define ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_

#include <http_parser.h>
#include <uv.h>

#include <memory>
#include <optional>
#include <string>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

/// @brief One TCP connection of the HTTP client and the parser of its answers.
///
/// The client of h2o 2.2 is not used: it aborts the process on an answer with an invalid
/// Content-Length, and it reports a chunked answer as complete when the connection ends between two
/// chunks.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /// @brief What happens to the current exchange. The connection may be closed by any call.
  class Events {
   public:
    virtual ~Events() = default;
    virtual void OnConnected() = 0;
    virtual void OnReceived() = 0;
    virtual void OnHead(int status, const Headers& headers) = 0;
    virtual void OnData(std::string_view data) = 0;
    /// @brief The whole answer has arrived; `reusable` tells whether another request may follow.
    virtual void OnComplete(bool reusable) = 0;
    /// @brief The connection failed or ended; it is closed.
    virtual void OnBroken() = 0;
  };

  explicit HttpConnection(Loop& loop) : loop_(loop) {}

  void Connect(const Address& server);
  /// @brief Null while no exchange uses the connection.
  void SetEvents(Events* events) { events_ = events; }
  struct Outgoing {
    std::string head;
    std::string body;
    /// The answer to a HEAD request has none.
    bool expects_body = true;
    /// See HttpClientRequest.
    std::string echo_header;
    std::string echo_value;
    bool accept_close_delimited = false;
  };
  /// @brief Hands the request to the socket.
  void Send(Outgoing outgoing);
  void Close();
  /// @brief False when the server has closed the idle connection or sent surplus bytes.
  bool IsUsable();
  /// @brief Time that the server keeps the idle connection, if it has said so.
  std::optional<Duration> keep_alive_time() const { return keep_alive_time_; }

 private:
  static const http_parser_settings& ParserSettings();
  void StartReading();
  void OnRead(ssize_t size, const uv_buf_t* buffer);
  void Parse(std::string_view data);
  void Break();
  /// @brief The server closed its side in order; true when this ends an unframed answer.
  bool EndUnframed();
  void StartParser();
  bool IsForeign() const;
  void ReadKeepAlive();
  void FinishAnswer(bool reusable);
  void StoreHeader();
  int OnHeadersComplete();
  int OnBody(std::string_view data);
  int OnMessageComplete();
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

  Loop& loop_;
  Events* events_ = nullptr;
  uv_tcp_t socket_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  /// The request, which libuv refers to until it is written.
  Outgoing outgoing_;
  http_parser parser_{};
  Headers headers_;
  std::string header_name_;
  std::string header_value_;
  std::optional<Duration> keep_alive_time_;
  /// The answer being read belongs to an earlier request.
  bool foreign_ = false;
  bool writing_ = false;
  bool in_exchange_ = false;
  bool keep_alive_ = false;
  bool complete_ = false;
  bool closed_ = true;
  /// Keeps the connection until libuv has closed the socket.
  std::shared_ptr<HttpConnection> self_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_
