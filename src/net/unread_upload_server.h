#ifndef ACACIASPRING_SRC_NET_UNREAD_UPLOAD_SERVER_H_
#define ACACIASPRING_SRC_NET_UNREAD_UPLOAD_SERVER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string_view>
#include <utility>

#include "src/net/test_support.h"

namespace acaciaspring::net {

/// @brief A server that reads only what it is told to, so that the rest of a long request stays in
/// the sockets.
class UnreadUploadServer {
 public:
  UnreadUploadServer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in bound = ToSocketAddress(kAnyLoopbackPort);
    socklen_t size = sizeof(bound);
    BOOST_REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&bound), size) == 0);
    BOOST_REQUIRE(listen(listener_, 1) == 0);
    BOOST_REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size) == 0);
    address_ = FromSocketAddress(bound);
  }
  UnreadUploadServer(const UnreadUploadServer&) = delete;
  UnreadUploadServer& operator=(const UnreadUploadServer&) = delete;
  ~UnreadUploadServer() {
    close(connection_);
    close(listener_);
  }

  Address address() const { return address_; }
  /// @brief Waits for a connection and the first byte of its request.
  void Accept(Loop& loop) {
    RunUntil(loop, [&] {
      connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      return connection_ >= 0;
    });
    char byte = 0;
    RunUntil(loop, [&] { return recv(connection_, &byte, 1, MSG_PEEK) == 1; });
  }
  void Read(Loop& loop, std::size_t bytes) {
    std::array<char, 65536> buffer{};
    RunUntil(loop, [&] {
      const ssize_t received = recv(connection_, buffer.data(), std::min(bytes, buffer.size()), 0);
      bytes -= received > 0 ? static_cast<std::size_t>(received) : 0;
      return bytes == 0;
    });
  }
  void Send(Loop& loop, std::string_view data) {
    RunUntil(loop, [&] {
      const ssize_t sent = send(connection_, data.data(), data.size(), MSG_NOSIGNAL);
      data.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
      return data.empty();
    });
  }
  void EndSending() { shutdown(connection_, SHUT_WR); }
  /// @brief Without `reset` the kernel sends a reset only because bytes are unread.
  void Close(bool reset) {
    if (reset) {
      const linger abort{.l_onoff = 1, .l_linger = 0};
      setsockopt(connection_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }
    close(std::exchange(connection_, -1));
  }

 private:
  int listener_;
  int connection_ = -1;
  Address address_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_UNREAD_UPLOAD_SERVER_H_
