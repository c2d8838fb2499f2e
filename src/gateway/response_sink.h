#ifndef ACACIASPRING_SRC_GATEWAY_RESPONSE_SINK_H_
#define ACACIASPRING_SRC_GATEWAY_RESPONSE_SINK_H_

#include <memory>
#include <string>
#include <string_view>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief An answer of the system itself in place of an endpoint's.
struct ErrorResponse {
  int status = 503;
  /// Short stable text for logs and metrics.
  std::string reason = {};
  /// Time after which the caller may try again; 0 for none.
  Duration retry_after{};
  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t retry_us = retry_after.count();
    archive(status, reason, retry_us);
    retry_after = Duration(retry_us);
  }
};

/// @brief Where the answer to one request goes: the caller's connection or another daemon.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Head(int status, const net::Headers& headers) = 0;
  virtual void Data(std::string_view data) = 0;
  virtual void End() = 0;
  /// @brief Ends an answer that has begun, so that it cannot look complete.
  virtual void Abort(const std::string& reason) = 0;
  /// @brief Only before Head.
  virtual void SendError(const ErrorResponse& error) = 0;
};
using ResponseSinkPtr = std::shared_ptr<ResponseSink>;

/// @brief What a caller gets for a request that ended without an answer of an endpoint.
ErrorResponse MakeErrorResponse(const Outcome& outcome);

/// @brief Ends a request without an endpoint's whole answer: by a refusal, or by breaking off what
/// has begun.
void Fail(ResponseSink& sink, bool response_started, const ErrorResponse& error);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RESPONSE_SINK_H_
