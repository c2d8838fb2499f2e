#include "src/net/pipelined_input.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace acaciaspring::net {

namespace {

bool HasOtherThanLineEnds(std::string_view data) {
  return data.find_first_not_of("\r\n") != std::string_view::npos;
}

/// @brief What h2o has read behind the request. h2o keeps the request at the start of its buffer
/// until the response is complete, and reads nothing meanwhile.
std::string_view BufferedBehind(const h2o_req_t& request, std::string_view buffered) {
  const char* const end = buffered.data() + buffered.size();
  const h2o_iovec_t& body = request.entity;
  if (body.base != nullptr && body.base >= buffered.data() && body.base + body.len <= end) {
    return buffered.substr(static_cast<std::size_t>(body.base - buffered.data()) + body.len);
  }
  // Skips a head, whose lines may end with or without a carriage return.
  const std::size_t empty_line = std::min(buffered.find("\n\r\n"), buffered.find("\n\n"));
  return empty_line == std::string_view::npos ? std::string_view() : buffered.substr(empty_line);
}

}  // namespace

bool HasPipelinedInput(const h2o_req_t& request) {
  h2o_socket_t* const socket = request.conn->callbacks->get_socket(request.conn);
  if (HasOtherThanLineEnds(BufferedBehind(request, {socket->input->bytes, socket->input->size}))) {
    return true;
  }
  std::array<char, 8> next{};
  const ssize_t received =
      recv(h2o_socket_get_fd(socket), next.data(), next.size(), MSG_PEEK | MSG_DONTWAIT);
  return received > 0 && HasOtherThanLineEnds({next.data(), static_cast<std::size_t>(received)});
}

}  // namespace acaciaspring::net
