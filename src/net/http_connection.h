#ifndef ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_
#define ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_

#include <uv.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "acaciaspring/net.h"
#include "src/net/response_parser.h"
#include "src/net/response_proof.h"

namespace acaciaspring::net {

/// @brief One TCP connection of the HTTP client.
///
/// The client of h2o 2.2 is not used: it aborts the process on a response with an invalid
/// Content-Length, and it reports a chunked response as complete when the connection ends between
/// two chunks.
class HttpConnection : public ResponseParser::Delegate,
                       public std::enable_shared_from_this<HttpConnection> {
 public:
  /// @brief Receives the events of the current exchange. Any of the calls may close the connection.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void OnConnected() = 0;
    virtual void OnReceived() = 0;
    virtual void OnHead(int status, const Headers& headers) = 0;
    virtual void OnData(std::string_view data) = 0;
    /// @brief The complete response has arrived. `reusable` is true if the connection can take
    /// another request.
    virtual void OnComplete(bool reusable) = 0;
    /// @brief The connection failed or was closed by the server, and is now closed.
    virtual void OnDisconnected() = 0;
    /// @brief A response arrived that may belong to an earlier request. The connection is closed.
    virtual void OnUnidentifiedResponse(int status) = 0;
    /// @brief Bytes arrived that are no valid response. The connection is closed.
    virtual void OnInvalidResponse() = 0;
  };

  explicit HttpConnection(Loop& loop) : loop_(loop), parser_(*this) {}

  void Connect(const Address& server);
  /// @brief `delegate` is null while no exchange uses the connection.
  void SetDelegate(Delegate* delegate) { delegate_ = delegate; }
  struct OutgoingRequest {
    std::string head;
    std::string body;
    /// False for HEAD requests, whose responses have no body.
    bool expects_body = true;
    /// See HttpClientRequest.
    std::string echo_header;
    std::string echo_value;
    bool accept_close_delimited = false;
  };
  /// @brief Hands the request to the socket.
  void Send(OutgoingRequest outgoing);
  void Close();
  /// @brief False if the server has closed the idle connection or sent unexpected bytes.
  bool IsUsable();
  /// @brief The timeout from the server's Keep-Alive header, if any.
  std::optional<Duration> keep_alive_timeout() const { return keep_alive_timeout_; }

  ResponseParser::AfterHead OnResponseHead(int status, const Headers& headers) override;
  bool OnResponseBody(std::string_view data) override;

 private:
  /// What the next read of the socket would find.
  enum class ReceiveState : std::uint8_t { kOpen, kData, kEnd, kFailed };

  void StartReading();
  void OnRead(ssize_t size, const uv_buf_t* buffer);
  void Parse(std::string_view data);
  void Disconnect();
  /// @brief Handles the end of the connection. Returns true if it completes a close-delimited
  /// response.
  bool CompleteOnEof();
  ReceiveState PeekReceiveState();
  /// @brief True if the server has closed the connection and not reset it.
  bool HasOrderlyEnd();
  void StartParser();
  /// @brief The request that the response whose head has arrived belongs to.
  ResponseOwner IdentifyResponse(const Headers& headers);
  void DiscardUnidentified(int status);
  void DiscardInvalid();
  void ParseKeepAliveTimeout(const Headers& headers);
  void FinishResponse(bool reusable);
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

  Loop& loop_;
  Delegate* delegate_ = nullptr;
  uv_tcp_t socket_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  /// The current request. libuv accesses it until it is written.
  OutgoingRequest request_;
  ResponseParser parser_;
  std::optional<Duration> keep_alive_timeout_;
  /// The response being read belongs to an earlier request.
  bool stale_ = false;
  /// Bytes of responses to earlier requests, received during the current exchange.
  std::size_t stale_bytes_ = 0;
  /// A stale response was received during the current exchange.
  bool had_stale_ = false;
  /// The head of a response has arrived on this connection.
  bool has_response_ = false;
  /// The response being read has the id of its request, or needs none.
  bool has_echo_ = false;
  bool writing_ = false;
  /// A write found that the server has reset the connection.
  bool reset_ = false;
  bool in_exchange_ = false;
  bool closed_ = true;
  /// Keeps the connection alive until libuv has closed the socket.
  std::shared_ptr<HttpConnection> self_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_CONNECTION_H_
