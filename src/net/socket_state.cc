#include "src/net/socket_state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace acaciaspring::net {

namespace {

std::size_t QueuedBytes(int fd, unsigned long request) {
  int bytes = 0;
  return ioctl(fd, request, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

}  // namespace

SocketState ReadSocketState(int fd) {
  pollfd state{.fd = fd, .events = POLLRDHUP, .revents = 0};
  poll(&state, 1, /*timeout=*/0);
  return {.undelivered_bytes = QueuedBytes(fd, SIOCOUTQ),
          .unread_bytes = QueuedBytes(fd, SIOCINQ),
          .peer_closed = (state.revents & (POLLRDHUP | POLLHUP)) != 0,
          .failed = (state.revents & (POLLERR | POLLNVAL)) != 0};
}

}  // namespace acaciaspring::net
