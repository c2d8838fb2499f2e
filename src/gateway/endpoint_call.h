#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/context.h"

namespace acaciaspring::gateway {

/// @brief One request and the rules by which it may be sent to endpoints.
struct CallPlan {
  RequestId id = {};
  ServiceId service = {};
  RequestKind kind = RequestKind::kAtMostOnce;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  std::string method = {};
  std::string target = {};
  net::Headers headers = {};
  std::string body = {};
  MonotonicTime deadline = {};
  /// Endpoint that probably has the prompt's prefix in memory, or empty.
  EndpointId preferred = {};
};

/// @brief What happens to a call. The head and the data come from one endpoint only.
struct CallCallbacks {
  std::function<void(int status, const net::Headers& headers)> on_head = {};
  std::function<void(std::string_view data)> on_data = {};
  /// Called once unless the call is cancelled. Completed: the whole answer was delivered.
  std::function<void(const Outcome& outcome)> on_done = {};
};

/// @brief Sends a request to endpoints of its service until one answers or the rules end it.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
 public:
  EndpointCall(Context& context, CallPlan plan, CallCallbacks callbacks);
  void Start();
  /// @brief Ends the call at the endpoint; no event follows.
  void Cancel();
  /// @brief Endpoint of the current or last attempt; empty before the first.
  const EndpointId& endpoint() const { return endpoint_; }

 private:
  void Attempt();
  net::HttpClientRequest MakeRequest(const RegisteredEndpoint& endpoint) const;
  void OnHead(int status, const net::Headers& headers);
  void OnData(std::string_view data);
  void OnDone(const net::HttpResult& result);
  void OnResponseComplete();
  void OnRejected();
  void OnInterrupted(bool timed_out);
  void OnDeadline();
  void OnAttemptTimeout();
  /// @brief Starts another attempt, or ends with `outcome` if none is left.
  void RetryOrFinish(const Outcome& outcome);
  void EndAttempt(AttemptResult result);
  void LogAttempt(AttemptResult result) const;
  void StartDelivery();
  void Finish(const Outcome& outcome);
  bool IsStream() const;
  bool MayRunAgain() const;

  Context& context_;
  CallPlan plan_;
  CallCallbacks callbacks_;
  EndpointId endpoint_;
  std::vector<EndpointId> tried_endpoints_;
  std::shared_ptr<net::HttpCall> http_call_;
  net::Timer deadline_timer_;
  net::Timer attempt_timer_;
  /// Attempts that may have run, and all of them.
  std::uint32_t possible_runs_ = 0;
  std::uint32_t attempts_ = 0;
  bool in_flight_ = false;
  int status_ = 0;
  net::Headers response_headers_;
  /// The endpoint says that it did not run the request.
  bool rejected_ = false;
  /// Body of an answer that is held until it is whole.
  std::string buffered_body_;
  bool delivering_ = false;
  bool done_ = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_
