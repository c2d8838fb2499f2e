#include <uv.h>

#include <array>
#include <utility>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// The largest UDP payload, so that a datagram is never cut to a size that looks valid.
constexpr std::size_t kReceiveBytes = 65536;

}  // namespace

struct DatagramSocket::Impl {
  uv_udp_t socket{};
  OnDatagram on_datagram;
  std::array<char, kReceiveBytes> buffer{};
  bool closed = false;

  void OnReceived(ssize_t size, const uv_buf_t* data, const sockaddr* from, unsigned flags) {
    // Without a sender the call tells that there is nothing more to read.
    if (closed || size < 0 || from == nullptr || (flags & UV_UDP_PARTIAL) != 0) {
      return;
    }
    on_datagram(FromSocketAddress(*reinterpret_cast<const sockaddr_in*>(from)),
                std::string_view(data->base, static_cast<std::size_t>(size)));
  }

  /// @brief Closes the socket and deletes the object after that.
  static void Close(Impl* impl) {
    impl->closed = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&impl->socket),
             [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
  }
};

DatagramSocket::DatagramSocket(Loop& loop, const Address& listen, OnDatagram on_datagram)
    : impl_(std::make_unique<Impl>()) {
  const sockaddr_in name = ToSocketAddress(listen);
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
    CheckSocket(uv_udp_bind(&impl_->socket, reinterpret_cast<const sockaddr*>(&name), 0),
                "cannot bind " + listen.ToString());
    CheckSocket(uv_udp_recv_start(&impl_->socket, allocate, on_received),
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
    throw MessageTooLargeError("datagram of " + std::to_string(data.size()) + " bytes");
  }
  const sockaddr_in name = ToSocketAddress(to);
  // uv_try_send does not change the data.
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
  // A full socket buffer or an unreachable host loses the datagram like the network does.
  uv_udp_try_send(&impl_->socket, &buffer, 1, reinterpret_cast<const sockaddr*>(&name));
}

Address DatagramSocket::address() const {
  sockaddr_in name{};
  int size = sizeof(name);
  CheckSocket(uv_udp_getsockname(&impl_->socket, reinterpret_cast<sockaddr*>(&name), &size),
              "cannot read the bound address");
  return FromSocketAddress(name);
}

}  // namespace acaciaspring::net
