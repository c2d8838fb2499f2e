#ifndef ACACIASPRING_SRC_NET_FRAME_READER_H_
#define ACACIASPRING_SRC_NET_FRAME_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::net {

/// @brief The bytes that one side of a peer connection receives: a nonce, then frames of a u32
/// big-endian length, a MAC and the payload.
class FrameReader {
 public:
  explicit FrameReader(DropCounters& drops) : drops_(drops) {}

  /// @brief Adds received bytes. Previously returned payloads become invalid.
  void Append(std::string_view data);
  /// @brief The peer's nonce, once, when it has arrived.
  std::optional<wire::Nonce> TakeNonce();
  /// @brief The next whole and authentic payload, or nothing. Counts a bad frame, after which
  /// `broken` is true.
  std::optional<std::string_view> TakePayload(wire::FrameAuthenticator& authenticator);
  bool broken() const { return broken_; }

 private:
  DropCounters& drops_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  bool broken_ = false;
};

/// @brief Appends one frame to `out`.
void AppendFrame(std::string& out,
                 wire::FrameAuthenticator& authenticator,
                 std::string_view payload);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_FRAME_READER_H_
