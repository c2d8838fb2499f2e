#ifndef ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_
#define ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <uv.h>

#include <string>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

/// @brief Throws AddressError if `ip` is not an IPv4 address.
sockaddr_in ToSocketAddress(const Address& address);
Address FromSocketAddress(const sockaddr_in& address);

/// @brief Throws SocketError if the result of a libuv call is an error. `action` starts the
/// message.
void ThrowIfSocketError(int code, const std::string& action);

/// @brief Returns the address that a listening socket is bound to.
Address BoundAddress(const uv_tcp_t& handle);

/// @brief Closes a handle that was allocated with new, then deletes it.
void CloseAndDelete(uv_tcp_t* handle);

/// @brief Binds the handle and listens. Throws SocketError. Does not change `handle.data`.
void Listen(uv_tcp_t& handle, const Address& address, uv_connection_cb on_connection);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_SOCKET_ADDRESS_H_
