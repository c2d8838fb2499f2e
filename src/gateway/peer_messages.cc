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

// Lengths, times and the other fields of fixed size.
constexpr std::size_t kTurnOverheadBytes = 64;

std::size_t EncodedBytes(const ledger::Turn& turn) {
  return turn.id.value().size() + turn.previous_turn.value().size() + turn.input.size() +
         turn.output.size() + kTurnOverheadBytes;
}

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

net::MessageStreamId StreamOf(const PeerMessage& message) {
  constexpr std::size_t kTurnMessages = std::variant_size_v<PeerMessage>;
  constexpr int kTypeBits = 8;
  const auto exchange = std::visit(
      [](const auto& typed) -> std::uint64_t {
        if constexpr (requires { typed.exchange; }) {
          return typed.exchange.value();
        } else {
          return 0;
        }
      },
      message);
  const bool of_turn =
      std::holds_alternative<TurnRequest>(message) || std::holds_alternative<TurnHead>(message) ||
      std::holds_alternative<TurnData>(message) || std::holds_alternative<TurnEnd>(message) ||
      std::holds_alternative<TurnAborted>(message) ||
      std::holds_alternative<TurnRejected>(message) ||
      std::holds_alternative<TurnCancelled>(message);
  return net::MessageStreamId(exchange << kTypeBits | (of_turn ? kTurnMessages : message.index()));
}

std::size_t EncodedBytes(const std::vector<ledger::Turn>& turns) {
  std::size_t bytes = 0;
  for (const ledger::Turn& turn : turns) {
    bytes += EncodedBytes(turn);
  }
  return bytes;
}

std::size_t EncodedBytes(const std::vector<const ledger::Turn*>& turns) {
  std::size_t bytes = 0;
  for (const ledger::Turn* turn : turns) {
    bytes += EncodedBytes(*turn);
  }
  return bytes;
}

bool IsTurnResponse(std::string_view bytes) {
  constexpr std::array kTypes = {TypeOf<TurnHead>(), TypeOf<TurnData>(), TypeOf<TurnEnd>(),
                                 TypeOf<TurnAborted>(), TypeOf<TurnRejected>()};
  return !bytes.empty() && std::find(kTypes.begin(), kTypes.end(),
                                     static_cast<unsigned char>(bytes.front())) != kTypes.end();
}

}  // namespace acaciaspring::gateway
