#ifndef ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_
#define ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <uv.h>

#include <string>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

/// @brief Throws AddressError when the ip is not an IPv4 address.
sockaddr_in ToSocketAddress(const Address& address);
Address FromSocketAddress(const sockaddr_in& address);

/// @brief Throws SocketError when a libuv call failed.
void CheckSocket(int code, const std::string& action);

/// @brief The address that a listening socket is bound to.
Address BoundAddress(const uv_tcp_t& handle);

/// @brief Closes a handle made with new.
void CloseAndDelete(uv_tcp_t* handle);

/// @brief Binds and listens; throws SocketError. `data` of the handle stays as the caller set it.
void Listen(uv_tcp_t& handle, const Address& address, uv_connection_cb on_connection);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_
