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

constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  std::visit([&](const auto& typed) { bytes += wire::Encode(typed); }, message);
  return bytes;
}

PeerMessage DecodePeerMessage(std::string_view bytes) {
  if (bytes.empty()) {
    throw wire::DecodeError(wire::DecodeFault::kTruncated);
  }
  const auto type = static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()));
  if (type >= kDecoders.size()) {
    throw wire::DecodeError(wire::DecodeFault::kInvalid);
  }
  return kDecoders[type](bytes.substr(1));
}

}  // namespace acaciaspring::gateway
