#include <fcntl.h>
#include <glog/logging.h>
#include <sys/socket.h>
#include <unistd.h>

#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/deferred.h"
#include "src/net/h2o.h"
#include "src/net/http_message.h"
#include "src/net/http_responder.h"
#include "src/net/lingering_sockets.h"
#include "src/net/socket_address.h"
#include "src/net/socket_state.h"

namespace acaciaspring::net {

namespace {

// Interval of the checks for disconnected clients. Each check costs one recv() per open request.
constexpr Duration kRequestCheckPeriod = std::chrono::milliseconds(250);

std::uint64_t ToTimeoutMs(Duration timeout) {
  return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
}

class ServerState;

struct Handler {
  h2o_handler_t base;
  ServerState* server;
};

struct Logger {
  h2o_logger_t base;
  ServerState* server;
};

/// @brief The h2o objects of a server. They outlive the HttpServer until the last connection is
/// closed, because h2o cannot close its connections immediately.
class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(Loop& loop, HttpServerOptions options, HttpServer::Handler handler)
      : loop_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)),
        lingering_(loop, options_.on_lossy_close) {}

  void Open();
  void StopAccepting();
  void DisableKeepAlive() { *keep_alive_ = false; }
  void SetLimits(std::size_t max_body_bytes, Duration io_timeout);
  void Close();
  std::size_t open_requests() const { return responders_.size(); }
  ConnectionSummary SummariseConnections() const;
  Address address() const { return address_; }

 private:
  struct Connection {
    std::shared_ptr<ServerState> server;
    h2o_socket_t* socket;
    const uv_stream_t* stream;
    ConnectionId id;
    std::uint64_t requests = 0;
    /// Duplicate of the descriptor, -1 for none. It keeps an undelivered response when h2o closes
    /// the idle connection.
    int kept_descriptor = -1;
  };
  struct RequestLink {
    std::shared_ptr<ServerState> server;
    const h2o_req_t* request;
  };

  void Configure();
  void OnConnection(int status);
  void OnConnectionClosed(Connection* connection);
  int OnRequest(h2o_req_t* request);
  void OnRequestDisposed(const h2o_req_t& request);
  void OnRequestLogged(const h2o_req_t& request);
  void Linger(const h2o_req_t& request, bool discard_input);
  static HttpRequest ToHttpRequest(const h2o_req_t& request);
  static Connection& ConnectionOf(const h2o_req_t& request);
  void CheckOpenRequests();
  void CheckDeliveries();
  /// @brief Ends the watch over the delivery of the connection's last response.
  void StopWatching(Connection& connection);
  void DisposeIfUnused();

  Loop& loop_;
  HttpServerOptions options_;
  HttpServer::Handler handler_;
  Address address_;
  std::unique_ptr<uv_tcp_t> listener_;
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_connection_ = 0;
  std::unordered_map<const h2o_req_t*, std::shared_ptr<H2oResponder>> responders_;
  /// Idle connections whose client may not have received all of the last response.
  std::unordered_set<Connection*> delivering_;
  LingeringSockets lingering_;
  Timer check_timer_;
  /// Shared with the responders, which decide when they send the head.
  std::shared_ptr<bool> keep_alive_ = std::make_shared<bool>(true);
  bool closing_ = false;
  bool disposing_ = false;
};

void ServerState::Open() {
  listener_ = std::make_unique<uv_tcp_t>();
  uv_tcp_init(loop_.raw(), listener_.get());
  listener_->data = this;
  try {
    Listen(*listener_, options_.listen, [](uv_stream_t* stream, int status) {
      static_cast<ServerState*>(stream->data)->OnConnection(status);
    });
    address_ = BoundAddress(*listener_);
  } catch (const Error&) {
    CloseAndDelete(listener_.release());
    throw;
  }
  Configure();
  check_timer_ = loop_.Every(kRequestCheckPeriod, [this] {
    CheckOpenRequests();
    CheckDeliveries();
  });
}

void ServerState::Configure() {
  // h2o stores bodies above the threshold in a temporary file; keep all bodies in memory.
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
  h2o_config_init(&config_);
  config_.server_name = ToIovec("acaciaspring");
  config_.max_request_entity_size = options_.max_body_bytes;
  config_.http1.req_timeout = ToTimeoutMs(options_.io_timeout);
  config_.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t* host = h2o_config_register_host(&config_, ToIovec("default"), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->server = this;
  handler->base.on_req = [](h2o_handler_t* self, h2o_req_t* request) {
    return reinterpret_cast<Handler*>(self)->server->OnRequest(request);
  };
  // Requests that h2o refuses itself never reach a handler.
  for (h2o_pathconf_t* conf : {path, &host->fallback_path}) {
    auto* logger = reinterpret_cast<Logger*>(h2o_create_logger(conf, sizeof(Logger)));
    logger->server = this;
    logger->base.log_access = [](h2o_logger_t* self, h2o_req_t* request) {
      reinterpret_cast<Logger*>(self)->server->OnRequestLogged(*request);
    };
  }
  h2o_context_init(&context_, loop_.raw(), &config_);
  accept_.ctx = &context_;
  accept_.hosts = config_.hosts;
}

void ServerState::OnConnection(int status) {
  if (status < 0) {
    LOG(WARNING) << "cannot accept a connection on " << address_.ToString() << ": "
                 << uv_strerror(status);
    return;
  }
  auto stream = std::make_unique<uv_tcp_t>();
  uv_tcp_init(loop_.raw(), stream.get());
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_.get()),
                reinterpret_cast<uv_stream_t*>(stream.get())) != 0) {
    CloseAndDelete(stream.release());
    return;
  }
  uv_tcp_nodelay(stream.get(), 1);
  auto* const raw_stream = reinterpret_cast<uv_stream_t*>(stream.release());
  h2o_socket_t* socket = h2o_uv_socket_create(
      raw_stream, [](uv_handle_t* closed) { delete reinterpret_cast<uv_tcp_t*>(closed); });
  auto connection =
      std::make_unique<Connection>(Connection{.server = shared_from_this(),
                                              .socket = socket,
                                              .stream = raw_stream,
                                              .id = ConnectionId(next_connection_++)});
  socket->on_close.data = connection.get();
  socket->on_close.cb = [](void* data) {
    auto* closed = static_cast<Connection*>(data);
    const std::shared_ptr<ServerState> server = closed->server;
    server->OnConnectionClosed(closed);
  };
  connections_.emplace(connection.get(), std::move(connection));
  h2o_accept(&accept_, socket);
}

void ServerState::OnConnectionClosed(Connection* connection) {
  if (!closing_ && connection->kept_descriptor >= 0) {
    const SocketState state = ReadSocketState(connection->kept_descriptor);
    if (state.undelivered_bytes > 0 && !state.failed) {
      lingering_.Add(connection->kept_descriptor, {.connection = connection->id,
                                                   .requests = connection->requests,
                                                   .wait = {.max_stall = options_.io_timeout}});
    }
  }
  StopWatching(*connection);
  connections_.erase(connection);
  DisposeIfUnused();
}

HttpRequest ServerState::ToHttpRequest(const h2o_req_t& request) {
  HttpRequest result{.connection = ConnectionOf(request).id};
  const std::string_view target = ToStringView(request.input.path);
  const std::size_t query_at = std::min(request.input.query_at, target.size());
  result.method = ToStringView(request.input.method);
  result.path = target.substr(0, query_at);
  if (query_at < target.size()) {
    result.query = target.substr(query_at + 1);
  }
  result.headers.reserve(request.headers.size + 1);
  result.headers.emplace_back("host", ToStringView(request.input.authority));
  for (std::size_t i = 0; i < request.headers.size; ++i) {
    const h2o_header_t& header = request.headers.entries[i];
    result.headers.emplace_back(LowerCase(ToStringView(*header.name)), ToStringView(header.value));
  }
  if (request.entity.base != nullptr) {
    result.body = ToStringView(request.entity);
  }
  return result;
}

int ServerState::OnRequest(h2o_req_t* request) {
  Connection& connection = ConnectionOf(*request);
  StopWatching(connection);
  auto responder = std::make_shared<H2oResponder>(loop_, request, connection.stream, keep_alive_);
  void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(RequestLink), [](void* data) {
    auto* link = static_cast<RequestLink*>(data);
    link->server->OnRequestDisposed(*link->request);
    link->~RequestLink();
  });
  new (memory) RequestLink{.server = shared_from_this(), .request = request};
  responders_.emplace(request, responder);
  ++connection.requests;
  if (closing_) {
    responder->AbortWithoutCallback();
    return 0;
  }
  try {
    handler_(ToHttpRequest(*request), responder);
  } catch (const std::exception& error) {
    LOG(ERROR) << "request handler failed for " << ToStringView(request->input.path) << ": "
               << error.what();
    responder->Respond(500, {}, "");
  }
  return 0;
}

ServerState::Connection& ServerState::ConnectionOf(const h2o_req_t& request) {
  h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
  return *static_cast<Connection*>(socket->on_close.data);
}

void ServerState::OnRequestDisposed(const h2o_req_t& request) {
  const auto disposed = responders_.extract(&request);
  const std::shared_ptr<H2oResponder>& responder = disposed.mapped();
  const bool is_complete = responder->complete();
  responder->OnDisposed();
  if (is_complete && request.http1_is_persistent == 0) {
    Linger(request, /*discard_input=*/false);
  } else if (is_complete) {
    delivering_.insert(&ConnectionOf(request));
  }
}

void ServerState::OnRequestLogged(const h2o_req_t& request) {
  // A status without a responder is an error response of h2o; requests that time out have none.
  if (!responders_.contains(&request) && request.res.status != 0 &&
      request.http1_is_persistent == 0) {
    Linger(request, /*discard_input=*/true);
  }
}

void ServerState::Linger(const h2o_req_t& request, bool discard_input) {
  if (closing_) {
    return;
  }
  // h2o closes its descriptor next.
  const Connection& connection = ConnectionOf(request);
  lingering_.Add(h2o_socket_get_fd(connection.socket),
                 {.connection = connection.id,
                  .requests = connection.requests,
                  .discard_input = discard_input,
                  .wait = {.max_stall = options_.io_timeout}});
}

ConnectionSummary ServerState::SummariseConnections() const {
  std::vector<int> descriptors = lingering_.file_descriptors();
  ConnectionSummary summary{.connections = connections_.size() + descriptors.size(),
                            .closing = descriptors.size()};
  for (const auto& [key, connection] : connections_) {
    descriptors.push_back(h2o_socket_get_fd(connection->socket));
  }
  for (const int fd : descriptors) {
    const SocketState state = ReadSocketState(fd);
    summary.undelivered += state.undelivered_bytes > 0 ? 1 : 0;
    summary.undelivered_bytes += state.undelivered_bytes;
    summary.unread += state.unread_bytes > 0 ? 1 : 0;
  }
  return summary;
}

void ServerState::CheckOpenRequests() {
  const auto responders = responders_;
  for (const auto& [request, responder] : responders) {
    responder->CheckConnection(options_.io_timeout);
  }
}

void ServerState::CheckDeliveries() {
  // The idle timeout is several times the period of this check, so that most connections have
  // delivered their response by then and need no second descriptor.
  const std::vector<Connection*> delivering(delivering_.begin(), delivering_.end());
  for (Connection* connection : delivering) {
    const int fd = h2o_socket_get_fd(connection->socket);
    if (ReadSocketState(fd).undelivered_bytes == 0) {
      StopWatching(*connection);
    } else if (connection->kept_descriptor < 0) {
      connection->kept_descriptor = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    }
  }
}

void ServerState::StopWatching(Connection& connection) {
  delivering_.erase(&connection);
  if (const int kept = std::exchange(connection.kept_descriptor, -1); kept >= 0) {
    close(kept);
  }
}

void ServerState::SetLimits(std::size_t max_body_bytes, Duration io_timeout) {
  options_.max_body_bytes = max_body_bytes;
  options_.io_timeout = io_timeout;
  config_.max_request_entity_size = max_body_bytes;
  config_.http1.req_timeout = ToTimeoutMs(io_timeout);
  // Connections use the timeout of the context, which was copied from the configuration.
  context_.http1.req_timeout.timeout = config_.http1.req_timeout;
}

void ServerState::StopAccepting() {
  *keep_alive_ = false;
  if (listener_ != nullptr) {
    CloseAndDelete(listener_.release());
  }
}

void ServerState::Close() {
  StopAccepting();
  closing_ = true;
  check_timer_.Cancel();
  const auto responders = responders_;
  for (const auto& [request, responder] : responders) {
    responder->AbortWithoutCallback();
  }
  lingering_.CloseAll();
  for (const auto& [key, connection] : connections_) {
    // h2o closes a connection when a read reports the end of the stream.
    shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
  }
  DisposeIfUnused();
}

void ServerState::DisposeIfUnused() {
  if (!closing_ || disposing_ || !connections_.empty()) {
    return;
  }
  disposing_ = true;
  // h2o may still be using the context of the connection that it has just closed.
  RunAtEndOfIteration(loop_.raw(), [self = shared_from_this()] {
    h2o_context_dispose(&self->context_);
    h2o_config_dispose(&self->config_);
    ReleaseAfterClose(self->loop_.raw(), self);
  });
}

}  // namespace

struct HttpServer::Impl {
  std::shared_ptr<ServerState> state;
};

HttpServer::HttpServer(Loop& loop, HttpServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>()) {
  impl_->state = std::make_shared<ServerState>(loop, std::move(options), std::move(handler));
  impl_->state->Open();
}

HttpServer::~HttpServer() {
  impl_->state->Close();
}

void HttpServer::StopAccepting() {
  impl_->state->StopAccepting();
}

void HttpServer::DisableKeepAlive() {
  impl_->state->DisableKeepAlive();
}

void HttpServer::SetLimits(std::size_t max_body_bytes, Duration io_timeout) {
  impl_->state->SetLimits(max_body_bytes, io_timeout);
}

ConnectionSummary HttpServer::SummariseConnections() const {
  return impl_->state->SummariseConnections();
}

std::size_t HttpServer::open_requests() const {
  return impl_->state->open_requests();
}

Address HttpServer::address() const {
  return impl_->state->address();
}

}  // namespace acaciaspring::net
