#include <zlib.h>

#include "acaciaspring/wire.h"

namespace acaciaspring::wire {

namespace {

// Smaller messages gain less than the call costs.
constexpr std::size_t kMinBytes = 512;
// The fastest level: prompts are compressed once for each hop, and a higher level gains little.
constexpr int kLevel = 1;

}  // namespace

std::optional<std::string> Compress(std::string_view bytes) {
  if (bytes.size() < kMinBytes || bytes.size() > kMaxFrameBytes) {
    return std::nullopt;
  }
  const std::string size = Encode(static_cast<std::uint32_t>(bytes.size()));
  std::string out = size;
  out.resize(size.size() + compressBound(bytes.size()));
  uLongf compressed = out.size() - size.size();
  const int status = compress2(reinterpret_cast<Bytef*>(out.data() + size.size()), &compressed,
                               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kLevel);
  if (status != Z_OK || size.size() + compressed >= bytes.size()) {
    return std::nullopt;
  }
  out.resize(size.size() + compressed);
  return out;
}

std::string Decompress(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() < sizeof(std::uint32_t)) {
    throw DecodeError(DecodeFault::kTruncated);
  }
  const auto size = Decode<std::uint32_t>(bytes.substr(0, sizeof(std::uint32_t)));
  bytes.remove_prefix(sizeof(std::uint32_t));
  if (size > max_bytes) {
    throw DecodeError(DecodeFault::kInvalid);
  }
  // Allocated at once, which is safe because the stated size is bounded.
  std::string out(size, '\0');
  uLongf written = out.size();
  const int status = uncompress(reinterpret_cast<Bytef*>(out.data()), &written,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  if (status != Z_OK || written != size) {
    throw DecodeError(DecodeFault::kInvalid);
  }
  return out;
}

}  // namespace acaciaspring::wire
