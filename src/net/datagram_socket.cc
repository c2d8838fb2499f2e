#include <uv.h>

#include <array>
#include <utility>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// Exceeds the largest UDP payload, so that a datagram is never truncated to a size that looks
// valid.
constexpr std::size_t kReceiveBytes = 65536;

}  // namespace

struct DatagramSocket::Impl {
  uv_udp_t socket{};
  OnDatagram on_datagram;
  std::array<char, kReceiveBytes> buffer{};
  bool closed = false;

  void OnReceived(ssize_t size, const uv_buf_t* data, const sockaddr* from, unsigned flags) {
    // libuv calls without a sender when there is nothing more to read.
    if (closed || size < 0 || from == nullptr || (flags & UV_UDP_PARTIAL) != 0) {
      return;
    }
    on_datagram(FromSocketAddress(*reinterpret_cast<const sockaddr_in*>(from)),
                std::string_view(data->base, static_cast<std::size_t>(size)));
  }

  /// @brief Closes the socket, then deletes the object.
  static void Close(Impl* impl) {
    impl->closed = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&impl->socket),
             [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
  }
};

DatagramSocket::DatagramSocket(Loop& loop, const Address& listen, OnDatagram on_datagram)
    : impl_(std::make_unique<Impl>()) {
  const sockaddr_in socket_address = ToSocketAddress(listen);
  uv_udp_init(loop.raw(), &impl_->socket);
  impl_->socket.data = impl_.get();
  impl_->on_datagram = std::move(on_datagram);
  const auto allocate = [](uv_handle_t* handle, size_t, uv_buf_t* buffer) {
    auto* impl = static_cast<Impl*>(handle->data);
    *buffer = uv_buf_init(impl->buffer.data(), impl->buffer.size());
  };
  const auto on_received = [](uv_udp_t* socket, ssize_t size, const uv_buf_t* data,
                              const sockaddr* from, unsigned flags) {
    static_cast<Impl*>(socket->data)->OnReceived(size, data, from, flags);
  };
  try {
    ThrowIfSocketError(
        uv_udp_bind(&impl_->socket, reinterpret_cast<const sockaddr*>(&socket_address), 0),
        "cannot bind " + listen.ToString());
    ThrowIfSocketError(uv_udp_recv_start(&impl_->socket, allocate, on_received),
                       "cannot receive datagrams");
  } catch (const Error&) {
    Impl::Close(impl_.release());
    throw;
  }
}

DatagramSocket::~DatagramSocket() {
  Impl::Close(impl_.release());
}

void DatagramSocket::Send(const Address& to, std::string_view data) {
  if (data.size() > wire::kMaxDatagramBytes) {
    throw MessageTooLargeError("datagram exceeds the size limit: " + std::to_string(data.size()) +
                               " bytes");
  }
  const sockaddr_in socket_address = ToSocketAddress(to);
  // uv_udp_try_send does not modify the data.
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
  // A full socket buffer or an unreachable host is treated like packet loss in the network.
  uv_udp_try_send(&impl_->socket, &buffer, 1, reinterpret_cast<const sockaddr*>(&socket_address));
}

Address DatagramSocket::address() const {
  sockaddr_in socket_address{};
  int size = sizeof(socket_address);
  ThrowIfSocketError(
      uv_udp_getsockname(&impl_->socket, reinterpret_cast<sockaddr*>(&socket_address), &size),
      "cannot read the bound address");
  return FromSocketAddress(socket_address);
}

}  // namespace acaciaspring::net
