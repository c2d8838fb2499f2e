#ifndef ACACIASPRING_SRC_NET_RESPONSE_PROOF_H_
#define ACACIASPRING_SRC_NET_RESPONSE_PROOF_H_

#include <cstdint>
#include <string_view>

namespace acaciaspring::net {

/// @brief The request that a response on a connection belongs to.
enum class ResponseOwner : std::uint8_t {
  kCurrentRequest,
  kEarlierRequest,
  /// Nothing shows whether the response belongs to the current request or to an earlier one.
  kUnknown,
};

/// @brief What is known of a response when its head has arrived.
struct ResponseEvidence {
  /// Id of the current request; empty if the server is not asked to echo one.
  std::string_view request_id = {};
  /// Id in the response, or empty.
  std::string_view echoed_id = {};
  /// A response, to whichever request, has arrived on the connection before this one.
  bool has_earlier_response = false;
};

ResponseOwner FindResponseOwner(const ResponseEvidence& evidence);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_RESPONSE_PROOF_H_
