#ifndef ACACIASPRING_NET_H_
#define ACACIASPRING_NET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
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

/// @brief An IPv4 address and port; names are never resolved.
struct Address {
  std::string ip = {};
  std::uint16_t port = 0;
  // clang-tidy takes the zero of the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Address&) const = default;
  std::string ToString() const;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// @brief A text that is not an address of the form a.b.c.d:port.
class AddressError : public Error {
 public:
  using Error::Error;
};

/// @brief A socket that could not be opened or bound.
class SocketError : public Error {
 public:
  SocketError(const std::string& what, int code) : Error(what), code_(code) {}
  /// @brief The libuv error code.
  int code() const { return code_; }

 private:
  int code_;
};

/// @brief A message that is larger than the receiver accepts.
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

/// @brief The process's event loop (libuv). Everything in this package runs on its thread, and the
/// loop outlives every other object of this package. SIGPIPE is ignored from then on.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  /// @brief Makes Run() return after the current iteration.
  void Stop();
  MonotonicTime Now() const;
  static WallTime WallNow();
  /// @brief Calls once after `delay`; the returned timer must outlive the wait.
  [[nodiscard]] Timer After(Duration delay, std::function<void()> callback);
  /// @brief Calls every `period`, first after one period.
  [[nodiscard]] Timer Every(Duration period, std::function<void()> callback);
  /// @brief Calls from the next loop iteration.
  void Post(std::function<void()> callback);
  /// @brief Calls on every delivery of the signal.
  void OnSignal(int signal_number, std::function<void()> callback);
  uv_loop_s* raw();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Header names are lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;
/// @brief First value of a header, or empty.
std::string_view FindHeader(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method = {};
  /// Path without the query, as received (not percent-decoded).
  std::string path = {};
  /// Query without the question mark, or empty.
  std::string query = {};
  Headers headers = {};
  std::string body = {};
};

/// @brief Value of a query parameter as received (not percent-decoded), or empty.
std::string_view FindQueryParameter(const HttpRequest& request, std::string_view name);

/// @brief Answers one HTTP request, at once or as a stream. Safe to keep after the caller is gone:
/// writes are then ignored.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// @brief Sets status and headers, which are sent with the first byte of the body; the body
  /// follows by Write and End.
  virtual void Start(int status, const Headers& headers) = 0;
  /// @brief Queues bytes of the body; buffers until the socket takes them.
  virtual void Write(std::string_view data) = 0;
  virtual void End() = 0;
  /// @brief Breaks the connection, so that an answer that has begun cannot look complete.
  virtual void Abort() = 0;
  /// @brief Sends a whole answer.
  virtual void Respond(int status, const Headers& headers, std::string_view body) = 0;
  /// @brief Bytes accepted by Write and not yet handed to the socket.
  virtual std::size_t pending_bytes() const = 0;
  /// @brief True when the answer is finished or the caller's connection is gone.
  virtual bool closed() const = 0;
  /// @brief Called once from the loop if the connection is lost before the whole answer was handed
  /// to the socket; not called once the server object is destroyed.
  virtual void OnClosed(std::function<void()> callback) = 0;
};
using HttpResponderPtr = std::shared_ptr<HttpResponder>;

struct HttpServerOptions {
  Address listen = {};
  /// Larger bodies are answered with 413.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// Longest idle time of a connection, time to receive a request, and time without progress when
  /// the caller does not read its answer.
  Duration io_timeout = std::chrono::seconds(30);
};

/// @brief HTTP/1.1 server (h2o on the loop). The handler runs when a whole request has arrived.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request, HttpResponderPtr responder)>;
  /// @brief Throws SocketError when the address cannot be bound. An exception of the handler is
  /// logged and answered with 500.
  HttpServer(Loop& loop, HttpServerOptions options, Handler handler);
  /// @brief Breaks the connections that are still open.
  ~HttpServer();
  /// @brief Closes the listening socket; open connections go on and are closed after their next
  /// answer.
  void StopAccepting();
  /// @brief Closes each connection after its next answer, while new ones are still accepted.
  void CloseAfterAnswers();
  /// @brief Replaces the limits of the options, also for open connections.
  void SetLimits(std::size_t max_body_bytes, Duration io_timeout);
  /// @brief Requests whose answer is not wholly handed to the socket.
  std::size_t open_requests() const;
  /// @brief The bound address; the port is the real one when 0 was asked for.
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct HttpClientRequest {
  Address server = {};
  std::string method = "GET";
  /// Path with the query.
  std::string target = "/";
  Headers headers = {};
  std::string body = {};
  /// Longest time without a byte from the server, and for connecting.
  Duration io_timeout = std::chrono::seconds(30);
  /// Longest time for connecting; `io_timeout` holds when it is shorter.
  Duration connect_timeout = std::chrono::seconds(30);
  /// An answer that carries this header with another value belongs to an earlier request of the
  /// connection and is dropped. Lower case; empty for no check.
  std::string echo_header = {};
  std::string echo_value = {};
  /// Takes an answer without a length as whole when the server closes its connection in order.
  bool accept_unframed = false;
};

/// @brief The whole answer arrived. An answer without a length that ends with its connection counts
/// as interrupted unless the request accepts such answers.
struct HttpFinished {
  int status = 0;
};
/// @brief No byte of the request was handed to a socket: the request did not run. Also the result
/// of a request whose method, target or headers contain control characters.
struct HttpNotSent {};
/// @brief The exchange broke after the request may have been sent; `timed_out` tells silence from a
/// closed connection.
struct HttpInterrupted {
  bool timed_out = false;
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

/// @brief One HTTP exchange of a client. Destroying or cancelling it closes the connection, and no
/// callback follows.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  virtual void Cancel() = 0;
  /// @brief Replaces the timeout of the request from now on.
  virtual void SetIoTimeout(Duration timeout) = 0;
};

struct HttpClientOptions {
  /// Idle connections kept for each server.
  std::size_t pool_capacity = 64;
  /// Idle connections are closed after this time; below the server's own keep-alive time.
  Duration pool_idle = std::chrono::seconds(3);
};

/// @brief HTTP/1.1 client with pooled connections. Destroying it cancels its
/// calls.
class HttpClient {
 public:
  HttpClient(Loop& loop, HttpClientOptions options);
  ~HttpClient();
  /// @brief Throws AddressError when the server's ip is not an IPv4 address.
  std::shared_ptr<HttpCall> Send(HttpClientRequest request, HttpCallbacks callbacks);
  Loop& loop() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Whole body of an answer up to `max_bytes` (longer ones count as interrupted).
struct HttpReply {
  HttpResult result = {};
  Headers headers = {};
  std::string body = {};
};
/// @brief Sends a request and collects the answer. The call is kept alive until it ends.
std::shared_ptr<HttpCall> Fetch(HttpClient& client,
                                HttpClientRequest request,
                                std::size_t max_bytes,
                                std::function<void(HttpReply reply)> on_done);

/// @brief One server-sent event.
struct SseEvent {
  /// Value of the event's own `id` line; the last id of the stream is not inherited.
  std::optional<std::string> id;
  /// The `data` lines, joined by line feeds.
  std::string data;
};

/// @brief Splits a stream of server-sent events into events, whatever the boundaries of the pieces
/// in which it arrives.
class SseParser {
 public:
  /// @brief `max_event_bytes` bounds the memory for one event, its lines and comments.
  explicit SseParser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  /// @brief The events that are complete with this piece. Nothing more comes after an overflow.
  std::vector<SseEvent> Feed(std::string_view piece);
  /// @brief True when an event was larger than the bound.
  bool overflowed() const { return overflowed_; }

 private:
  void EndLine(std::vector<SseEvent>& events);
  void TakeField(std::string_view name, std::string_view value);

  std::size_t max_event_bytes_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool overflowed_ = false;
};

/// @brief Counts of messages dropped because they were malformed or not authentic.
struct DropCounters {
  std::uint64_t bad_mac = 0;
  std::uint64_t oversized = 0;
  std::uint64_t malformed = 0;
  std::uint64_t replayed = 0;
};

/// @brief An authenticated stream of messages to another daemon over TCP. Destroying it closes the
/// connection, and no callback follows. A bad frame closes the connection.
class PeerConnection {
 public:
  virtual ~PeerConnection() = default;
  /// @brief Queues one message; ignored after the connection is closed. Throws MessageTooLargeError
  /// above wire::kMaxFrameBytes. A peer that does not read is disconnected when too much is queued.
  virtual void Send(std::string_view payload) = 0;
  virtual void Close() = 0;
  virtual bool open() const = 0;
  /// @brief Bytes queued and not yet handed to the socket.
  virtual std::size_t pending_bytes() const = 0;
};
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

struct PeerCallbacks {
  /// The handshake is done and messages can be sent.
  std::function<void()> on_open = {};
  std::function<void(std::string_view payload)> on_message = {};
  /// Called exactly once from the loop, also when the connection was never open and after Close.
  std::function<void()> on_closed = {};
};

/// @brief Connects; messages sent before on_open are queued. `drops` outlives the connection.
PeerConnectionPtr ConnectPeer(Loop& loop,
                              const Address& address,
                              const std::string& cluster_key,
                              PeerCallbacks callbacks,
                              DropCounters& drops);

/// @brief Accepts authenticated connections.
class PeerListener {
 public:
  /// @brief Returns the callbacks of a new connection, which is closed unless they or their owner
  /// keep the pointer.
  using OnAccept = std::function<PeerCallbacks(PeerConnectionPtr connection)>;
  /// @brief Throws SocketError when the address cannot be bound.
  PeerListener(Loop& loop,
               const Address& listen,
               std::string cluster_key,
               OnAccept on_accept,
               DropCounters& drops);
  ~PeerListener();
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief UDP socket; the payloads are opaque (see wire::SignDatagram).
class DatagramSocket {
 public:
  using OnDatagram = std::function<void(const Address& from, std::string_view data)>;
  /// @brief Throws SocketError when the address cannot be bound.
  DatagramSocket(Loop& loop, const Address& listen, OnDatagram on_datagram);
  ~DatagramSocket();
  /// @brief Sends at once or drops. Throws MessageTooLargeError above wire::kMaxDatagramBytes.
  void Send(const Address& to, std::string_view data);
  Address address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_NET_H_
