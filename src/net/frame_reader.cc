#include "src/net/frame_reader.h"

#include <algorithm>
#include <array>

namespace acaciaspring::net {

namespace {

// Limits the buffer capacity that a connection retains after a large frame; a daemon has several
// hundred connections.
constexpr std::size_t kMaxRetainedCapacity = std::size_t{64} << 10;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = kLengthBytes + wire::kMacBytes;

std::uint32_t ReadLength(std::string_view data) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(data[i]);
  }
  return length;
}

}  // namespace

void FrameReader::Append(std::string_view data) {
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  if (buffer_.empty() && buffer_.capacity() > kMaxRetainedCapacity) {
    buffer_.shrink_to_fit();
  }
  buffer_.append(data);
}

std::optional<wire::Nonce> FrameReader::TakeNonce() {
  if (buffer_.size() - consumed_ < wire::kNonceBytes) {
    return std::nullopt;
  }
  wire::Nonce nonce{};
  std::copy_n(buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_), nonce.size(),
              nonce.begin());
  consumed_ += nonce.size();
  return nonce;
}

std::optional<std::string_view> FrameReader::TakePayload(wire::FrameAuthenticator& authenticator) {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (failed_ || rest.size() < kLengthBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(rest);
  if (length > wire::kMaxFrameBytes) {
    ++drops_.oversized;
    failed_ = true;
    return std::nullopt;
  }
  if (rest.size() < kHeaderBytes + length) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(kHeaderBytes, length);
  if (!authenticator.Verify(rest.substr(kLengthBytes, wire::kMacBytes), payload)) {
    ++drops_.bad_mac;
    failed_ = true;
    return std::nullopt;
  }
  consumed_ += kHeaderBytes + length;
  return payload;
}

void AppendFrame(std::string& out,
                 wire::FrameAuthenticator& authenticator,
                 std::string_view payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
  }
  out.append(authenticator.Sign(payload));
  out.append(payload);
}

}  // namespace acaciaspring::net
