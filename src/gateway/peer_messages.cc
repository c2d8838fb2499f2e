#include "src/gateway/peer_messages.h"

#include <algorithm>
#include <array>
#include <type_traits>
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

template <class Message, std::size_t kIndex = 0>
constexpr std::size_t TypeOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<kIndex, PeerMessage>, Message>) {
    return kIndex;
  } else {
    return TypeOf<Message, kIndex + 1>();
  }
}

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

bool IsTurnResponse(std::string_view bytes) {
  constexpr std::array kTypes = {TypeOf<TurnHead>(), TypeOf<TurnData>(), TypeOf<TurnEnd>(),
                                 TypeOf<TurnAborted>(), TypeOf<TurnRejected>()};
  return !bytes.empty() && std::find(kTypes.begin(), kTypes.end(),
                                     static_cast<unsigned char>(bytes.front())) != kTypes.end();
}

}  // namespace acaciaspring::gateway
