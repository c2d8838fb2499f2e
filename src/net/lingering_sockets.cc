#include "src/net/lingering_sockets.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace acaciaspring::net {

namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);
// Bounds the descriptors and the buffers of clients that do not read.
constexpr std::size_t kMaxSockets = 256;
// Bounds the time of one check for a client that sends quickly.
constexpr int kMaxReadsPerCheck = 16;

void DiscardInput(int fd) {
  std::array<char, 65536> buffer{};
  for (int i = 0; i < kMaxReadsPerCheck; ++i) {
    if (recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

}  // namespace

LingeringSockets::LingeringSockets(Loop& loop, OnLossyClose on_lossy_close)
    : loop_(loop), on_lossy_close_(std::move(on_lossy_close)) {}

LingeringSockets::~LingeringSockets() {
  CloseAll();
}

void LingeringSockets::Add(int fd, LingeringSocketOptions options) {
  const int kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (kept < 0) {
    return;
  }
  shutdown(kept, SHUT_WR);
  if (sockets_.size() >= kMaxSockets) {
    CloseOne();
  }
  const DeliveryWait wait(loop_.Now(), options.wait);
  sockets_.push_back({.fd = kept, .options = options, .wait = wait});
  if (sockets_.size() == 1) {
    timer_ = loop_.Every(kCheckPeriod, [this] { Check(); });
  }
}

void LingeringSockets::CloseAll() {
  for (auto socket = sockets_.begin(); socket != sockets_.end();) {
    socket = Close(socket);
  }
  timer_.Cancel();
}

std::vector<int> LingeringSockets::file_descriptors() const {
  std::vector<int> descriptors;
  for (const Socket& socket : sockets_) {
    descriptors.push_back(socket.fd);
  }
  return descriptors;
}

void LingeringSockets::Check() {
  for (auto socket = sockets_.begin(); socket != sockets_.end();) {
    if (socket->options.discard_input) {
      DiscardInput(socket->fd);
    }
    const bool over = socket->wait.IsOver(loop_.Now(), ReadSocketState(socket->fd));
    socket = over ? Close(socket) : std::next(socket);
  }
  if (sockets_.empty()) {
    timer_.Cancel();
  }
}

void LingeringSockets::CloseOne() {
  const auto delivered = std::find_if(sockets_.begin(), sockets_.end(), [](const Socket& socket) {
    return ReadSocketState(socket.fd).undelivered_bytes == 0;
  });
  Close(delivered == sockets_.end() ? sockets_.begin() : delivered);
}

LingeringSockets::Iterator LingeringSockets::Close(Iterator socket) {
  const SocketState state = ReadSocketState(socket->fd);
  if (on_lossy_close_ && (state.undelivered_bytes > 0 || state.unread_bytes > 0)) {
    on_lossy_close_({.connection = socket->options.connection,
                     .requests = socket->options.requests,
                     .undelivered_bytes = state.undelivered_bytes,
                     .unread_bytes = state.unread_bytes});
  }
  close(socket->fd);
  return sockets_.erase(socket);
}

}  // namespace acaciaspring::net
