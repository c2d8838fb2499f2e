#ifndef ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_
#define ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_

#include <functional>
#include <string>

#include "src/gateway/context.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief Writes the answer to the caller's connection and logs how the request ended.
class CallerSink : public ResponseSink {
 public:
  CallerSink(Context& context, const CallerRequest& request, net::HttpResponderPtr responder);

  void Head(int status, const net::Headers& headers) override;
  void Data(std::string_view data) override;
  void End() override;
  void Abort(const std::string& reason) override;
  void SendError(const ErrorResponse& error) override;

  /// @brief The caller closed its connection before the answer was whole.
  void OnCallerGone(std::function<void()> callback);
  /// @brief For the log line: what was decided about the request.
  void SetRoute(const std::string& route, ConfigurationVersion version) {
    route_ = route;
    version_ = version;
  }

 private:
  void Log(const std::string& outcome);

  Context& context_;
  RequestId id_;
  net::HttpResponderPtr responder_;
  MonotonicTime arrived_at_;
  std::string route_;
  ConfigurationVersion version_;
  int status_ = 0;
  bool ended_ = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_
