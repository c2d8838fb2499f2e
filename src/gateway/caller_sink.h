#ifndef ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_
#define ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_

#include <functional>
#include <memory>
#include <string>

#include "src/gateway/context.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief Writes the response to the caller's connection and logs the outcome of the request.
class CallerSink : public ResponseSink, public std::enable_shared_from_this<CallerSink> {
 public:
  CallerSink(Context& context, const CallerRequest& request, net::HttpResponderPtr responder);

  void Head(int status, const net::Headers& headers) override;
  void Data(std::string_view data) override;
  void End() override;
  void Abort(const std::string& reason) override;
  void SendError(const HttpError& error) override;

  /// @brief Sets a callback for a caller that disconnects before the response is complete.
  void OnCallerGone(std::function<void()> callback);
  /// @brief Sets the route and configuration version for the log entry of the request.
  void SetRoute(const std::string& route, ConfigurationVersion version) {
    route_ = route;
    version_ = version;
  }
  /// @brief Sets the organisation for the log entry of the request.
  void SetOrganisation(const OrganisationId& organisation) { organisation_ = organisation; }

 private:
  /// @brief Ends a response that its caller reads too slowly.
  void CloseSlow();
  void Log(const std::string& outcome);

  Context& context_;
  RequestId id_;
  net::ConnectionId connection_;
  net::HttpResponderPtr responder_;
  BufferId buffer_;
  /// The request's body, which the connection keeps until the response is complete.
  HeldBytes held_;
  MonotonicTime arrived_at_;
  std::string route_;
  ConfigurationVersion version_;
  OrganisationId organisation_;
  int status_ = 0;
  bool ended_ = false;
  std::function<void()> on_gone_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CALLER_SINK_H_
