#ifndef ACACIASPRING_NET_H_
#define ACACIASPRING_NET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

struct uv_loop_s;

namespace acaciaspring::net {

/// @brief An IPv4 address and port. Host names are not supported.
struct Address {
  std::string ip = {};
  std::uint16_t port = 0;
  // clang-tidy mistakes the zero in the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Address&) const = default;
  std::string ToString() const;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// @brief Thrown for text that is not an address of the form a.b.c.d:port.
class AddressError : public Error {
 public:
  using Error::Error;
};

/// @brief Thrown when a socket operation such as opening or binding fails.
class SocketError : public Error {
 public:
  SocketError(const std::string& what, int code) : Error(what), code_(code) {}
  /// @brief The libuv error code.
  int code() const { return code_; }

 private:
  int code_;
};

/// @brief Thrown when a message exceeds the size that the receiver accepts.
class MessageTooLargeError : public Error {
 public:
  using Error::Error;
};

/// @brief Parses "a.b.c.d:port"; throws AddressError.
Address ParseAddress(std::string_view text);

/// @brief Cancels its timer when destroyed. Move-only.
class Timer {
 public:
  Timer() = default;
  explicit Timer(std::function<void()> cancel) : cancel_(std::move(cancel)) {}
  Timer(Timer&& other) noexcept : cancel_(std::exchange(other.cancel_, nullptr)) {}
  Timer& operator=(Timer&& other) noexcept;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { Cancel(); }
  void Cancel();

 private:
  std::function<void()> cancel_;
};

/// @brief Event loop based on libuv. All objects of this package are used on the loop's thread only
/// and must be destroyed before the loop; only timers may outlive it. Constructing a loop makes
/// the process ignore SIGPIPE.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  /// @brief Makes Run() return at the end of the current iteration.
  void Stop();
  MonotonicTime Now() const;
  static WallTime WallNow();
  static BootTime BootNow();
  /// @brief Calls `callback` once after `delay`. Destroying the returned timer cancels the call.
  [[nodiscard]] Timer After(Duration delay, std::function<void()> callback);
  /// @brief Calls `callback` every `period`, for the first time after one period.
  [[nodiscard]] Timer Every(Duration period, std::function<void()> callback);
  /// @brief Calls `callback` from the next loop iteration.
  void Post(std::function<void()> callback);
  /// @brief Calls `callback` on every delivery of the signal.
  void OnSignal(int signal_number, std::function<void()> callback);
  /// @brief Passes exceptions of callbacks to `handler`, so that a fault in one request does not
  /// end the process. Without a handler they leave Run().
  void OnError(std::function<void(const std::exception&)> handler);
  /// @brief Calls `callback`. Returns false if it threw an exception that the handler received.
  bool RunGuarded(const std::function<void()>& callback);
  uv_loop_s* raw();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Header fields in order. Names are in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;
/// @brief First value of the header `name`, or empty. `name` must be in lower case.
std::string_view FindHeader(const Headers& headers, std::string_view name);
/// @brief True if a final response can have the status and the headers: a status from 200 to 599,
/// names that are tokens, and values that fit on a line.
bool IsResponseHead(int status, const Headers& headers);

/// @brief Number of a connection that a server has accepted, unique within the server.
using ConnectionId = StrongNumber<struct ConnectionIdTag>;

struct HttpRequest {
  std::string method = {};
  /// Path without the query, as received (not percent-decoded).
  std::string path = {};
  /// Query without the question mark, or empty.
  std::string query = {};
  Headers headers = {};
  std::string body = {};
  ConnectionId connection = {};
};

/// @brief Value of a query parameter as received (not percent-decoded), or empty.
std::string_view FindQueryParameter(const HttpRequest& request, std::string_view name);

/// @brief Sends the response to one HTTP request, as one unit or as a stream. It may outlive the
/// client's connection, after which writes are ignored.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// @brief Sets status and headers of a streamed response. They are sent with the first byte of
  /// the body, which Write and End provide.
  virtual void Start(int status, const Headers& headers) = 0;
  /// @brief Queues bytes of the body. They are buffered until the socket accepts them.
  virtual void Write(std::string_view data) = 0;
  virtual void End() = 0;
  /// @brief Closes the connection, so that a started response cannot appear complete to the client.
  virtual void Abort() = 0;
  /// @brief Sends a complete response.
  virtual void Respond(int status, const Headers& headers, std::string_view body) = 0;
  /// @brief Bytes accepted by Write and not yet handed to the socket.
  virtual std::size_t pending_bytes() const = 0;
  /// @brief Bytes of the response in the memory of the process: pending ones and those that the
  /// socket has not accepted yet; 0 for a connection that is being closed.
  virtual std::size_t buffered_bytes() const = 0;
  /// @brief Bytes that the client has acknowledged, approximately; never decreases.
  virtual std::uint64_t delivered_bytes() = 0;
  /// @brief Closes the connection and drops what the client has not received, also after the end of
  /// the response. The OnClosed callback is not called.
  virtual void Discard() = 0;
  /// @brief True when the response is finished or the client's connection is closed.
  virtual bool closed() const = 0;
  /// @brief Sets a callback that runs once, from the loop, if the connection is lost before the
  /// complete response was handed to the socket. It does not run after the server object is
  /// destroyed.
  virtual void OnClosed(std::function<void()> callback) = 0;
};
using HttpResponderPtr = std::shared_ptr<HttpResponder>;

/// @brief A connection that a server closed although bytes were under way.
struct ConnectionEnd {
  ConnectionId connection = {};
  /// Requests that the connection has carried.
  std::uint64_t requests = 0;
  /// Bytes of responses that the client had not acknowledged.
  std::size_t undelivered_bytes = 0;
  /// Bytes of the client that were not read.
  std::size_t unread_bytes = 0;
};

/// @brief The connections of a server at one moment.
struct ConnectionSummary {
  std::size_t connections = 0;
  /// Connections whose last response is complete and that wait for the client to receive it.
  std::size_t closing = 0;
  /// Connections with bytes of responses that the client has not acknowledged.
  std::size_t undelivered = 0;
  std::size_t undelivered_bytes = 0;
  /// Connections with bytes of the client that were not read.
  std::size_t unread = 0;
};

struct HttpServerOptions {
  Address listen = {};
  /// Requests with a larger body are rejected with 413.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// Limits the idle time of a connection, the time to receive a request, and the time without
  /// progress while the client does not read the response.
  Duration io_timeout = std::chrono::seconds(30);
  /// Receives each connection that the server closes with undelivered or unread bytes. May be
  /// empty.
  std::function<void(const ConnectionEnd&)> on_lossy_close = {};
};

/// @brief HTTP/1.1 server based on h2o. The handler runs when a complete request has arrived.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request, HttpResponderPtr responder)>;
  /// @brief Throws SocketError when the address cannot be bound. An exception thrown by the handler
  /// is logged and results in a 500 response.
  HttpServer(Loop& loop, HttpServerOptions options, Handler handler);
  /// @brief Closes all open connections without completing their responses.
  ~HttpServer();
  /// @brief Closes the listening socket. Open connections stay usable and are closed as after
  /// DisableKeepAlive.
  void StopAccepting();
  /// @brief Closes each connection after its next response, unless a further request has already
  /// arrived on it. New connections are still accepted.
  void DisableKeepAlive();
  /// @brief Changes the limits given in HttpServerOptions, for open connections too.
  void SetLimits(std::size_t max_body_bytes, Duration io_timeout);
  /// @brief Number of requests whose response has not been completely handed to the socket.
  std::size_t open_requests() const;
  ConnectionSummary SummariseConnections() const;
  /// @brief The bound address. If port 0 was requested, contains the port that was assigned.
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct HttpClientRequest {
  Address server = {};
  std::string method = "GET";
  /// Path and query.
  std::string target = "/";
  Headers headers = {};
  std::string body = {};
  /// Limits the time for connecting and the time without a byte from the server.
  Duration io_timeout = std::chrono::seconds(30);
  /// Limits the time from the start to the end of the response, also while bytes arrive.
  Duration total_timeout = std::chrono::hours(24);
  /// Limits the time for connecting if it is shorter than `io_timeout`.
  Duration connect_timeout = std::chrono::seconds(30);
  /// Name, in lower case, of a header in which the server echoes `echo_value`. A response with
  /// another value belongs to an earlier request on the connection and is discarded. One without
  /// a value interrupts the request unless it is the first on its connection, which is not used
  /// again. The check is disabled if either is empty.
  std::string echo_header = {};
  std::string echo_value = {};
  /// Accepts a response without a length as complete when the server closes the connection cleanly.
  bool accept_close_delimited = false;
};

/// @brief The complete response arrived. A response that is delimited by the end of the connection
/// counts as interrupted unless the request sets `accept_close_delimited`.
struct HttpFinished {
  int status = 0;
};
/// @brief No byte of the request was handed to a socket, so the server did not execute it. Also the
/// result of a request whose method, target or headers are not valid in HTTP, for example because
/// they contain control characters.
struct HttpNotSent {};
/// @brief The exchange failed after the request may have been sent. `timed_out` distinguishes a
/// timeout from a failed connection.
struct HttpInterrupted {
  bool timed_out = false;
  /// Status of a response that may belong to an earlier request and was discarded; 0 if there was
  /// none.
  int unidentified_status = 0;
  /// The server sent bytes that are no response of HTTP/1.1, or not from there on.
  bool invalid_response = false;
};
using HttpResult = std::variant<HttpFinished, HttpNotSent, HttpInterrupted>;

struct HttpCallbacks {
  /// May be empty.
  std::function<void(int status, const Headers& headers)> on_head = {};
  /// May be empty.
  std::function<void(std::string_view data)> on_data = {};
  /// Called exactly once unless the call is cancelled; never from within Send.
  std::function<void(const HttpResult& result)> on_done = {};
};

/// @brief Handle of one HTTP exchange. Destroying it or calling Cancel closes the connection of an
/// unfinished exchange and suppresses all further callbacks.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  virtual void Cancel() = 0;
  /// @brief Changes the `io_timeout` of the request.
  virtual void SetIoTimeout(Duration timeout) = 0;
};

struct HttpClientOptions {
  /// Maximum number of idle connections per server.
  std::size_t pool_capacity = 64;
  /// Idle connections are closed after this time. Should be shorter than the server's keep-alive
  /// timeout.
  Duration pool_idle_timeout = std::chrono::seconds(3);
};

/// @brief HTTP/1.1 client with pooled connections. Destroying it cancels its calls.
class HttpClient {
 public:
  HttpClient(Loop& loop, HttpClientOptions options);
  ~HttpClient();
  /// @brief Throws AddressError when the server's ip is not an IPv4 address.
  std::shared_ptr<HttpCall> Send(HttpClientRequest request, HttpCallbacks callbacks);
  /// @brief Closes the connections to the server that no call uses at this time.
  void CloseIdleConnections(const Address& server);
  Loop& loop() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief The result of Fetch. A body of more than `max_bytes` results in HttpInterrupted.
struct HttpReply {
  HttpResult result = {};
  Headers headers = {};
  std::string body = {};
};
/// @brief Sends a request and collects the response. The call continues if the returned handle is
/// released.
std::shared_ptr<HttpCall> Fetch(HttpClient& client,
                                HttpClientRequest request,
                                std::size_t max_bytes,
                                std::function<void(HttpReply reply)> on_done);

/// @brief One server-sent event.
struct SseEvent {
  /// Value of the event's own `id` field. The last id of the stream is not inherited.
  std::optional<std::string> id;
  /// Values of the `data` fields, joined by line feeds.
  std::string data;
};

/// @brief Incremental parser for a stream of server-sent events. Chunk boundaries may be anywhere.
class SseParser {
 public:
  /// @brief `max_event_bytes` limits the memory for one event, including the line being read.
  explicit SseParser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  /// @brief Returns the events that `chunk` completes. Returns none after an overflow.
  std::vector<SseEvent> Feed(std::string_view chunk);
  /// @brief True after an event that exceeded `max_event_bytes`.
  bool overflowed() const { return overflowed_; }

 private:
  void EndLine(std::vector<SseEvent>& events);
  void AddField(std::string_view name, std::string_view value);

  std::size_t max_event_bytes_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool overflowed_ = false;
};

/// @brief Tells whether a stream of server-sent events may end where it is, without keeping its
/// data.
class SseBoundary {
 public:
  void Feed(std::string_view chunk);
  /// @brief True within a line, or within an event whose blank line has not arrived.
  bool inside_event() const { return in_line_ || in_event_; }

 private:
  bool in_line_ = false;
  /// The line being read is a comment.
  bool in_comment_ = false;
  /// A field has been read since the last blank line.
  bool in_event_ = false;
  bool after_carriage_return_ = false;
};

/// @brief Numbers of messages dropped as malformed or unauthenticated, by cause.
struct DropCounters {
  std::uint64_t bad_mac = 0;
  std::uint64_t oversized = 0;
  std::uint64_t malformed = 0;
  std::uint64_t replayed = 0;
};

class TransferLease;

/// @brief Limits the memory for messages that are sent or received in parts, over all connections
/// that share the budget. Leases are granted in the order in which they were requested. One that is
/// larger than the limit is granted alone.
class TransferBudget {
 public:
  explicit TransferBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  TransferBudget(const TransferBudget&) = delete;
  TransferBudget& operator=(const TransferBudget&) = delete;

  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  friend class TransferLease;
  void GrantWaiting();

  std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
  std::list<TransferLease*> waiting_;
};

/// @brief A part of a TransferBudget that is requested when the lease is made and returned when it
/// is destroyed. The budget must outlive it.
class TransferLease {
 public:
  /// @brief `on_granted` is called if the lease has to wait, once it no longer does. It must not
  /// destroy leases.
  TransferLease(TransferBudget& budget, std::size_t bytes, std::function<void()> on_granted);
  ~TransferLease();
  TransferLease(const TransferLease&) = delete;
  TransferLease& operator=(const TransferLease&) = delete;
  bool granted() const { return granted_; }

 private:
  friend class TransferBudget;
  TransferBudget& budget_;
  std::size_t bytes_;
  std::function<void()> on_granted_;
  bool granted_ = false;
};

/// @brief State shared by the peer connections of a daemon.
struct PeerResources {
  /// @brief `transfer_bytes` limits the messages being sent in parts, and those being received.
  explicit PeerResources(std::size_t transfer_bytes = std::size_t{32} << 20)
      : sending(transfer_bytes), receiving(transfer_bytes) {}
  DropCounters drops = {};
  TransferBudget sending;
  TransferBudget receiving;
};

/// @brief Identifies messages of a connection that arrive in the order in which they were sent.
/// Messages of other streams may overtake one that is sent in parts.
using MessageStreamId = StrongNumber<struct MessageStreamIdTag>;

/// @brief A message that is encoded only when the peer has room for it.
struct DeferredMessage {
  MessageStreamId stream = {};
  /// Size for which the peer reserves memory. The payload may be larger by one frame at most.
  std::size_t bytes = 0;
  /// Returns the payload, or nothing if the message is not to be sent any more. Must not use the
  /// connection.
  std::function<std::optional<std::string>()> encode = {};
};

/// @brief An authenticated message stream to another daemon over TCP. Destroying it closes the
/// connection without further callbacks. An invalid frame closes the connection. Messages above
/// wire::kMaxWholeMessageBytes are sent in parts once the peer has room for them.
class PeerConnection {
 public:
  virtual ~PeerConnection() = default;
  /// @brief Queues one message. Does nothing after the connection is closed. Throws
  /// MessageTooLargeError above wire::kMaxMessageBytes. Closes the connection if the peer does not
  /// read and too many bytes are queued.
  virtual void Send(MessageStreamId stream, std::string_view payload) = 0;
  void Send(std::string_view payload) { Send(MessageStreamId(), payload); }
  /// @brief Like Send(), for a message that need not be in memory until it is sent.
  virtual void SendDeferred(DeferredMessage message) = 0;
  /// @brief Drops the messages of a stream that have not been sent completely.
  virtual void Withdraw(MessageStreamId stream) = 0;
  virtual void Close() = 0;
  virtual bool open() const = 0;
  /// @brief Bytes queued and not yet handed to the socket.
  virtual std::size_t pending_bytes() const = 0;
  /// @brief Bytes queued or not yet acknowledged by the peer's socket; 0 if the connection is not
  /// open.
  virtual std::size_t undelivered_bytes() const = 0;
};
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

struct PeerCallbacks {
  /// Called when the handshake is complete and messages can be sent.
  std::function<void()> on_open = {};
  std::function<void(std::string_view payload)> on_message = {};
  /// Called exactly once, from the loop, also after Close or a failed connection attempt.
  std::function<void()> on_closed = {};
};

enum class ConnectResult : std::uint8_t {
  kAccepted,
  /// No process listens at the address.
  kRefused,
  /// No response in time, or another error.
  kNoAnswer,
};

/// @brief Opens a TCP connection to see whether a process listens at an address, and closes it.
class ConnectCheck {
 public:
  using OnDone = std::function<void(ConnectResult)>;
  /// @brief Throws AddressError if the ip is not an IPv4 address. `on_done` is called from the
  /// loop, unless the check is deleted before.
  ConnectCheck(Loop& loop, const Address& address, Duration timeout, OnDone on_done);
  ~ConnectCheck();
  ConnectCheck(const ConnectCheck&) = delete;
  ConnectCheck& operator=(const ConnectCheck&) = delete;

 private:
  struct Handles;
  void CloseHandles();
  void Finish(ConnectResult result);

  OnDone on_done_;
  Timer timer_;
  Handles* handles_;
};

/// @brief Starts a connection. Messages sent before on_open are queued. `resources` must outlive
/// the connection.
PeerConnectionPtr ConnectPeer(Loop& loop,
                              const Address& address,
                              const std::string& cluster_key,
                              PeerCallbacks callbacks,
                              PeerResources& resources);

/// @brief Listens for authenticated connections of other daemons.
class PeerListener {
 public:
  /// @brief Returns the callbacks for a new connection. The connection is closed unless
  /// `connection` is kept, by the callbacks or elsewhere.
  using OnAccept = std::function<PeerCallbacks(PeerConnectionPtr connection)>;
  /// @brief Throws SocketError when the address cannot be bound.
  PeerListener(Loop& loop,
               const Address& listen,
               std::string cluster_key,
               OnAccept on_accept,
               PeerResources& resources);
  ~PeerListener();
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief UDP socket. Payloads are opaque to it (see wire::SignDatagram).
class DatagramSocket {
 public:
  using OnDatagram = std::function<void(const Address& from, std::string_view data)>;
  /// @brief Throws SocketError when the address cannot be bound.
  DatagramSocket(Loop& loop, const Address& listen, OnDatagram on_datagram);
  ~DatagramSocket();
  /// @brief Sends the datagram immediately or drops it. Throws MessageTooLargeError above
  /// wire::kMaxDatagramBytes.
  void Send(const Address& to, std::string_view data);
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_NET_H_
