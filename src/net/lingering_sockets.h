#ifndef ACACIASPRING_SRC_NET_LINGERING_SOCKETS_H_
#define ACACIASPRING_SRC_NET_LINGERING_SOCKETS_H_

#include <functional>
#include <list>
#include <vector>

#include "acaciaspring/net.h"
#include "src/net/delivery_wait.h"

namespace acaciaspring::net {

struct LingeringSocketOptions {
  ConnectionId connection = {};
  std::uint64_t requests = 0;
  /// Reads and drops what the client still sends: the rest of a request that was refused before
  /// its end. Otherwise nothing is read, so that no further request counts as received.
  bool discard_input = false;
  DeliveryWaitOptions wait = {};
};

/// @brief Keeps connections open behind their last response until the client has it.
///
/// Closing a socket with unread bytes sends a reset, and a reset drops what was not delivered.
class LingeringSockets {
 public:
  using OnLossyClose = std::function<void(const ConnectionEnd&)>;
  LingeringSockets(Loop& loop, OnLossyClose on_lossy_close);
  LingeringSockets(const LingeringSockets&) = delete;
  LingeringSockets& operator=(const LingeringSockets&) = delete;
  ~LingeringSockets();

  /// @brief Ends the direction to the client and keeps the connection of `fd`, whose owner closes
  /// `fd` itself. The number of connections is limited.
  void Add(int fd, LingeringSocketOptions options);
  void CloseAll();
  std::vector<int> file_descriptors() const;
  std::size_t size() const { return sockets_.size(); }

 private:
  struct Socket {
    int fd;
    LingeringSocketOptions options;
    DeliveryWait wait;
  };
  using Iterator = std::list<Socket>::iterator;

  void Check();
  /// @brief Makes room: closes the oldest connection whose client has everything, else the oldest.
  void CloseOne();
  Iterator Close(Iterator socket);

  Loop& loop_;
  OnLossyClose on_lossy_close_;
  std::list<Socket> sockets_;
  Timer timer_;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_LINGERING_SOCKETS_H_
