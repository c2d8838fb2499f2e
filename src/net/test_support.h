#ifndef ACACIASPRING_SRC_NET_TEST_SUPPORT_H_
#define ACACIASPRING_SRC_NET_TEST_SUPPORT_H_

#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

inline const Address kAnyLoopbackPort{.ip = "127.0.0.1", .port = 0};

/// @brief An IP address that no other run of the tests on this machine uses.
inline std::string ProcessIp() {
  constexpr int kNumbers = 250;
  return "127.78." + std::to_string(getpid() / kNumbers % kNumbers) + "." +
         std::to_string(1 + getpid() % kNumbers);
}

/// @brief An address to listen on that is known before its server starts. A port that was free a
/// moment ago on a shared address may be taken by a connection of another test.
inline Address ReservedAddress() {
  static std::uint16_t port = 7000;
  return {.ip = ProcessIp(), .port = ++port};
}

/// @brief Runs the loop until the condition is true. If it never is, the test ends by ctest's
/// timeout.
inline void RunUntil(Loop& loop, const std::function<bool()>& condition) {
  const Timer poll = loop.Every(std::chrono::milliseconds(1), [&] {
    if (condition()) {
      loop.Stop();
    }
  });
  while (!condition()) {
    loop.Run();
  }
}

/// @brief A TCP connection that sends and receives raw bytes.
class RawConnection {
 public:
  explicit RawConnection(Loop& loop) : socket_(std::make_unique<Socket>()) {
    uv_tcp_init(loop.raw(), &socket_->handle);
    socket_->handle.data = socket_.get();
  }
  RawConnection(Loop& loop, const Address& server) : RawConnection(loop) {
    const sockaddr_in socket_address = ToSocketAddress(server);
    connect_ = std::make_unique<uv_connect_t>();
    connect_->data = socket_.get();
    uv_tcp_connect(connect_.get(), &socket_->handle,
                   reinterpret_cast<const sockaddr*>(&socket_address),
                   [](uv_connect_t* request, int status) {
                     if (status == 0) {
                       static_cast<Socket*>(request->data)->Start();
                     }
                   });
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() {
    Close();
    socket_->connect = std::move(connect_);
    uv_close(reinterpret_cast<uv_handle_t*>(&socket_.release()->handle),
             [](uv_handle_t* handle) { delete static_cast<Socket*>(handle->data); });
  }

  void Accept(uv_stream_t* listener) {
    uv_accept(listener, socket_->stream());
    socket_->Start();
  }
  /// @brief Sends immediately, or once the connection is established.
  void Send(std::string_view data) {
    socket_->unsent.append(data);
    if (socket_->connected) {
      socket_->SendNow();
    }
  }
  /// @brief Shuts down both directions of the connection, or sends a TCP reset if `reset` is true.
  void Close(bool reset = false) {
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&socket_->handle), &fd) != 0) {
      return;
    }
    if (reset) {
      // On Linux, connecting a TCP socket to an AF_UNSPEC address sends a reset.
      const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
      static_cast<void>(connect(fd, &unspecified, sizeof(unspecified)));
    } else {
      shutdown(fd, SHUT_RDWR);
    }
  }
  /// @brief Ends the direction to the peer; the other one stays open.
  void EndSending() {
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&socket_->handle), &fd) == 0) {
      shutdown(fd, SHUT_WR);
    }
  }
  const std::string& received() const { return socket_->received; }
  void ClearReceived() { socket_->received.clear(); }
  /// @brief True if the peer has closed or reset the connection.
  bool ended() const { return socket_->ended; }
  /// @brief True if the connection ended by an error, so not in order.
  bool failed() const { return socket_->failed; }
  bool connected() const { return socket_->connected; }

 private:
  struct Socket {
    uv_tcp_t handle{};
    std::unique_ptr<uv_connect_t> connect;
    std::string unsent;
    std::string received;
    std::array<char, 65536> buffer{};
    bool connected = false;
    bool ended = false;
    bool failed = false;

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle); }
    /// libuv reports a reset that follows data as an orderly end.
    bool HasError() const {
      uv_os_fd_t fd = -1;
      char byte = 0;
      return uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &fd) != 0 ||
             recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
    }
    void Start() {
      connected = true;
      SendNow();
      uv_read_start(
          stream(),
          [](uv_handle_t* reading, size_t, uv_buf_t* out) {
            auto& target = static_cast<Socket*>(reading->data)->buffer;
            *out = uv_buf_init(target.data(), target.size());
          },
          [](uv_stream_t* reading, ssize_t size, const uv_buf_t* data) {
            auto* self = static_cast<Socket*>(reading->data);
            if (size < 0) {
              self->ended = true;
              self->failed = size != UV_EOF || self->HasError();
              uv_read_stop(reading);
            } else {
              self->received.append(data->base, static_cast<std::size_t>(size));
            }
          });
    }
    void SendNow() {
      if (unsent.empty()) {
        return;
      }
      struct Write {
        uv_write_t request{};
        std::string data;
      };
      auto* write = new Write{.request = {}, .data = std::exchange(unsent, {})};
      write->request.data = write;
      const uv_buf_t bytes =
          uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
      uv_write(&write->request, stream(), &bytes, 1,
               [](uv_write_t* done, int) { delete static_cast<Write*>(done->data); });
    }
  };

  std::unique_ptr<Socket> socket_;
  std::unique_ptr<uv_connect_t> connect_;
};

/// @brief A listener whose accepted connections send and receive raw bytes.
class RawServer {
 public:
  explicit RawServer(Loop& loop) : loop_(loop), listener_(std::make_unique<uv_tcp_t>()) {
    uv_tcp_init(loop.raw(), listener_.get());
    listener_->data = this;
    Listen(*listener_, kAnyLoopbackPort, [](uv_stream_t* stream, int) {
      auto* self = static_cast<RawServer*>(stream->data);
      self->connections_.push_back(std::make_unique<RawConnection>(self->loop_));
      self->connections_.back()->Accept(stream);
    });
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() { CloseAndDelete(listener_.release()); }

  Address address() const { return BoundAddress(*listener_); }
  std::vector<std::unique_ptr<RawConnection>>& connections() { return connections_; }

 private:
  Loop& loop_;
  std::unique_ptr<uv_tcp_t> listener_;
  std::vector<std::unique_ptr<RawConnection>> connections_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_TEST_SUPPORT_H_
