#include "src/membership/messages.h"

#include <arpa/inet.h>

#include <algorithm>

namespace acaciaspring::membership {

namespace {

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

bool IsValid(const Profile& profile) {
  return profile.peer.port != 0 && IsValidName(profile.zone.value()) &&
         IsValidName(profile.region.value());
}

bool IsValid(const Update& update) {
  if (!IsValidName(update.id.value()) ||
      update.kind > static_cast<std::uint8_t>(UpdateKind::kDead)) {
    return false;
  }
  if (update.Is(UpdateKind::kAlive) && !IsValid(update.profile)) {
    return false;
  }
  return update.zones.size() <= kMaxZones &&
         std::all_of(update.zones.begin(), update.zones.end(),
                     [](const AvailabilityZone& zone) { return IsValidName(zone.value()); });
}

}  // namespace

PackedAddress Pack(const net::Address& address) {
  in_addr binary{};
  if (inet_pton(AF_INET, address.ip.c_str(), &binary) != 1) {
    throw net::AddressError("member address is not an IPv4 address: " + address.ip);
  }
  return PackedAddress{ntohl(binary.s_addr), address.port};
}

net::Address Unpack(const PackedAddress& address) {
  in_addr binary{};
  binary.s_addr = htonl(address.ip);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &binary, text.data(), text.size());
  return net::Address{text.data(), address.port};
}

std::optional<Envelope> DecodeEnvelope(std::string_view payload) {
  if (payload.size() > kMaxPayloadBytes) {
    return std::nullopt;
  }
  try {
    auto envelope = wire::Decode<Envelope>(payload);
    const bool valid = IsValidName(envelope.sender.value()) &&
                       std::all_of(envelope.updates.begin(), envelope.updates.end(),
                                   [](const Update& update) { return IsValid(update); });
    return valid ? std::optional(std::move(envelope)) : std::nullopt;
  } catch (const wire::DecodeError&) {
    return std::nullopt;
  }
}

}  // namespace acaciaspring::membership
