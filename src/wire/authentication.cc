#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "acaciaspring/wire.h"

namespace acaciaspring::wire {

namespace {

constexpr std::size_t kSha256Bytes = 32;

std::string Hmac(std::string_view key, std::string_view data) {
  std::string mac(kSha256Bytes, '\0');
  unsigned int size = kSha256Bytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

std::uint64_t KeyedHash64(std::string_view key, std::string_view data) {
  std::uint64_t hash = 0;
  for (const char byte : Hmac(key, data).substr(0, sizeof(hash))) {
    hash = hash << 8 | static_cast<unsigned char>(byte);
  }
  return hash;
}

Nonce MakeNonce() {
  Nonce nonce{};
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) !=
      1) {
    throw Error("cannot get random bytes from RAND_bytes");
  }
  return nonce;
}

FrameAuthenticator::FrameAuthenticator(std::string_view cluster_key,
                                       const Nonce& initiator,
                                       const Nonce& acceptor,
                                       Direction direction) {
  std::string context(initiator.data(), initiator.size());
  context.append(acceptor.data(), acceptor.size());
  context.push_back(direction == Direction::kToAcceptor ? 'a' : 'i');
  key_ = Hmac(cluster_key, context);
}

std::string FrameAuthenticator::Mac(std::string_view payload) const {
  std::string data = Encode(counter_);
  data.append(payload);
  return Hmac(key_, data).substr(0, kMacBytes);
}

std::string FrameAuthenticator::Sign(std::string_view payload) {
  std::string mac = Mac(payload);
  ++counter_;
  return mac;
}

bool FrameAuthenticator::Verify(std::string_view mac, std::string_view payload) {
  if (!EqualInConstantTime(mac, Mac(payload))) {
    return false;
  }
  ++counter_;
  return true;
}

std::string SignDatagram(std::string_view cluster_key, std::string_view payload) {
  std::string datagram = Hmac(cluster_key, payload).substr(0, kMacBytes);
  datagram.append(payload);
  return datagram;
}

std::optional<std::string_view> VerifyDatagram(std::string_view cluster_key,
                                               std::string_view datagram) {
  if (datagram.size() < kMacBytes || datagram.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
  const std::string_view payload = datagram.substr(kMacBytes);
  if (!EqualInConstantTime(datagram.substr(0, kMacBytes),
                           Hmac(cluster_key, payload).substr(0, kMacBytes))) {
    return std::nullopt;
  }
  return payload;
}

}  // namespace acaciaspring::wire
