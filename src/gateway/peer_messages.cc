#include "src/gateway/peer_messages.h"

#include <array>
#include <utility>

namespace acaciaspring::gateway {

namespace {

using Decoder = PeerMessage (*)(std::string_view);

template <std::size_t... kIndices>
constexpr auto MakeDecoders(std::index_sequence<kIndices...>) {
  return std::array<Decoder, sizeof...(kIndices)>{[](std::string_view bytes) {
    return PeerMessage(wire::Decode<std::variant_alternative_t<kIndices, PeerMessage>>(bytes));
  }...};
}

// Set in the type of a message whose payload is compressed. Prompts and chains are, because bytes
// between zones are expensive.
constexpr unsigned char kCompressedFlag = 0x80;

constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  const std::string payload =
      std::visit([](const auto& typed) { return wire::Encode(typed); }, message);
  const auto type = static_cast<unsigned char>(message.index());
  if (const auto compressed = wire::Compress(payload)) {
    return std::string(1, static_cast<char>(type | kCompressedFlag)) + *compressed;
  }
  return std::string(1, static_cast<char>(type)) + payload;
}

PeerMessage DecodePeerMessage(std::string_view bytes) {
  if (bytes.empty()) {
    throw wire::DecodeError(wire::DecodeFault::kTruncated);
  }
  const auto first = static_cast<unsigned char>(bytes.front());
  const std::size_t type = first & ~kCompressedFlag;
  if (type >= kDecoders.size()) {
    throw wire::DecodeError(wire::DecodeFault::kInvalid);
  }
  const std::string_view payload = bytes.substr(1);
  if ((first & kCompressedFlag) != 0) {
    return kDecoders[type](wire::Decompress(payload, wire::kMaxFrameBytes));
  }
  return kDecoders[type](payload);
}

}  // namespace acaciaspring::gateway
