#ifndef ACACIASPRING_SRC_NET_FRAME_READER_H_
#define ACACIASPRING_SRC_NET_FRAME_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::net {

/// @brief Parses the byte stream of a peer connection: a nonce, then frames that consist of a u32
/// big-endian length, a MAC and the payload.
class FrameReader {
 public:
  explicit FrameReader(DropCounters& drops) : drops_(drops) {}

  /// @brief Adds received bytes. Invalidates previously returned payloads.
  void Append(std::string_view data);
  /// @brief Consumes the peer's nonce, or returns nothing if it has not arrived completely.
  std::optional<wire::Nonce> TakeNonce();
  /// @brief Consumes the next complete and authenticated payload, if any. An invalid frame is
  /// counted in the drop counters and makes `failed` true.
  std::optional<std::string_view> TakePayload(wire::FrameAuthenticator& authenticator);
  bool failed() const { return failed_; }

 private:
  DropCounters& drops_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  bool failed_ = false;
};

/// @brief Appends one frame to `out`.
void AppendFrame(std::string& out,
                 wire::FrameAuthenticator& authenticator,
                 std::string_view payload);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_FRAME_READER_H_
