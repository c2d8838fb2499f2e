#ifndef ACACIASPRING_SRC_GATEWAY_REQUEST_FINGERPRINT_H_
#define ACACIASPRING_SRC_GATEWAY_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Identifies the content of a request. The same request has the same fingerprint whenever
/// it is sent again, under any request id and at any daemon.
using RequestFingerprint = StrongNumber<struct RequestFingerprintTag>;

/// @brief What makes two requests the same.
struct RequestContent {
  /// With other credentials it is the request of another caller, and another request. An address
  /// does not identify a caller: many share one, and one has several.
  std::string_view credentials = {};
  std::string_view method = {};
  std::string_view host = {};
  /// Path and query.
  std::string_view target = {};
  /// Body as the caller sent it, without the earlier turns of its chain.
  std::string_view body = {};
};

/// @brief A request whose body is the first `body_bytes` of a longer one.
struct ShorterForm {
  RequestFingerprint request = {};
  std::uint64_t body_bytes = 0;
  bool operator==(const ShorterForm&) const = default;
};

struct RequestFingerprints {
  /// Of the whole request.
  RequestFingerprint whole = {};
  /// Of the request with the start of the body only. Requests with another one have no shorter form
  /// in common.
  RequestFingerprint start = {};
  std::uint64_t body_bytes = 0;
  /// Shorter forms of the request, as far as they were asked for. A conversation that comes again
  /// with a longer history has its earlier form among them.
  std::vector<ShorterForm> shorter = {};
  bool operator==(const RequestFingerprints&) const = default;
};

/// @brief Bodies that are not longer than this have no shorter forms.
inline constexpr std::size_t kStartBytes = 512;

/// @brief Returns the body sizes, above kStartBytes, of the shorter forms to compute for a request
/// with the given start.
using ShorterSizes = std::function<std::vector<std::uint64_t>(RequestFingerprint start)>;

/// @brief The fingerprints under a key that only the daemons know, so that nobody can make a
/// request with the fingerprints of another one.
RequestFingerprints MakeFingerprints(std::string_view key,
                                     const RequestContent& content,
                                     const ShorterSizes& shorter_sizes = {});
/// @brief Computes the fingerprint of a shorter form of one request.
using Shortener = std::function<RequestFingerprint(std::uint64_t body_bytes)>;
/// @brief Bodies that are longer than this are not kept to compute shorter forms later.
inline constexpr std::size_t kMaxRememberedBytes = std::size_t{64} << 10;
/// @brief Returns a shortener with a copy of the content, or null if the body has no shorter forms
/// or is too long to keep.
Shortener MakeShortener(const std::string& key, const RequestContent& content);
/// @brief 16 hexadecimal digits.
std::string ToString(RequestFingerprint fingerprint);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_REQUEST_FINGERPRINT_H_
