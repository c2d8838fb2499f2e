#include "src/net/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace acaciaspring::net {

namespace {

// Sized for many simultaneous connections, such as when all clients reconnect after a failure.
constexpr int kListenBacklog = 1024;

}  // namespace

std::string Address::ToString() const {
  return ip + ":" + std::to_string(port);
}

Address ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw AddressError("missing port in address: " + std::string(text));
  }
  const std::string_view digits = text.substr(colon + 1);
  Address address{.ip = std::string(text.substr(0, colon))};
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    throw AddressError("invalid port in address: " + std::string(text));
  }
  ToSocketAddress(address);
  return address;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
    throw AddressError("not an IPv4 address: " + address.ip);
  }
  return result;
}

Address FromSocketAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return Address{.ip = text.data(), .port = ntohs(address.sin_port)};
}

void ThrowIfSocketError(int code, const std::string& action) {
  if (code < 0) {
    throw SocketError(action + ": " + uv_strerror(code), code);
  }
}

Address BoundAddress(const uv_tcp_t& handle) {
  sockaddr_in socket_address{};
  int size = sizeof(socket_address);
  ThrowIfSocketError(
      uv_tcp_getsockname(&handle, reinterpret_cast<sockaddr*>(&socket_address), &size),
      "cannot read the bound address");
  return FromSocketAddress(socket_address);
}

void CloseAndDelete(uv_tcp_t* handle) {
  uv_close(reinterpret_cast<uv_handle_t*>(handle),
           [](uv_handle_t* closed) { delete reinterpret_cast<uv_tcp_t*>(closed); });
}

void Listen(uv_tcp_t& handle, const Address& address, uv_connection_cb on_connection) {
  const sockaddr_in socket_address = ToSocketAddress(address);
  ThrowIfSocketError(uv_tcp_bind(&handle, reinterpret_cast<const sockaddr*>(&socket_address), 0),
                     "cannot bind " + address.ToString());
  ThrowIfSocketError(
      uv_listen(reinterpret_cast<uv_stream_t*>(&handle), kListenBacklog, on_connection),
      "cannot listen on " + address.ToString());
}

}  // namespace acaciaspring::net
