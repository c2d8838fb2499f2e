#ifndef ACACIASPRING_SRC_NET_SOCKET_STATE_H_
#define ACACIASPRING_SRC_NET_SOCKET_STATE_H_

#include <cstddef>

namespace acaciaspring::net {

/// @brief What the kernel knows about a connected TCP socket.
struct SocketState {
  /// Bytes that were written and that the peer has not acknowledged, including the end of the
  /// stream.
  std::size_t undelivered_bytes = 0;
  /// Bytes of the peer that were not read.
  std::size_t unread_bytes = 0;
  /// The peer has closed its direction.
  bool peer_closed = false;
  /// The connection was reset or has timed out.
  bool failed = false;
};

SocketState ReadSocketState(int fd);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_SOCKET_STATE_H_
