#ifndef ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_
#define ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/context.h"
#include "src/gateway/request_fingerprint.h"

namespace acaciaspring::gateway {

/// @brief A request and the rules for sending it to endpoints.
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
  /// Bytes at the start of the body that were added to the caller's.
  std::size_t added_bytes = 0;
  MonotonicTime deadline = {};
  /// Endpoint that probably has the prompt's prefix cached; may be empty.
  EndpointId preferred = {};
  Prompt prompt = {};
  /// Absent if the request needs no key.
  std::optional<organisations::Credential> credential = {};
  /// The request continues a program that has used permits of its organisation.
  bool program_started = false;
};

/// @brief Callbacks of a call. The head and the data come from a single endpoint.
struct CallCallbacks {
  std::function<void(int status, const net::Headers& headers)> on_head = {};
  std::function<void(std::string_view data)> on_data = {};
  /// Called once unless the call is cancelled. Completed means that the whole response was
  /// delivered.
  std::function<void(const Outcome& outcome)> on_done = {};
};

/// @brief Sends a request to endpoints of its service until one responds or no further attempt is
/// allowed.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
 public:
  EndpointCall(Context& context, CallPlan plan, CallCallbacks callbacks);
  void Start();
  /// @brief Cancels the call at the endpoint; no callback follows.
  void Cancel();
  /// @brief Endpoint of the current or last attempt; empty before the first one.
  const EndpointId& endpoint() const { return endpoint_; }

 private:
  /// @brief Starts an attempt, waits for a permit, or ends the call.
  void Attempt();
  /// @brief Ends the call if its request has crashed several endpoints.
  bool RefuseIfQuarantined();
  /// @brief Ends the call if the caller's key may have been withdrawn since the request arrived.
  bool RefuseIfKeyInvalid();
  /// @brief Takes a permit of the caller's organisation for the next attempt. Returns false if the
  /// call waits for it or ends without it.
  bool HasOrganisationPermit();
  void OnPermitDecision(const organisations::PermitDecision& decision);
  /// @brief Makes the attempt wait again if the organisation's permit is no longer valid.
  bool RestartIfPermitExpired();
  /// @brief Keeps the permit of an attempt that was not executed for the next one.
  void KeepPermit();
  /// @brief Ends the wait for a permit and returns the one that was not used.
  void ReleasePermit();
  /// @brief Tells the crash monitor that the connection of the attempt broke off.
  void ReportInterruption();
  /// @brief Clears the request of suspicion.
  void ReportCompletion();
  /// @brief Starts an attempt if there is an endpoint for it.
  bool TryAttempt();
  EndpointQuery MakeQuery() const;
  void Wait(const WaitForPermit& wait, const PermitForecast& forecast);
  void StopWaiting();
  void FinishRateLimited(Duration retry_after);
  void FinishWithoutEndpoint();
  /// @brief Ends the call without an attempt, after the current callback.
  void FinishLater(const NotRun& not_run);
  void LogRateLimited(const std::string& decision, Duration expected) const;
  net::HttpClientRequest MakeRequest(const RegisteredEndpoint& endpoint) const;
  void OnHead(int status, const net::Headers& headers);
  /// @brief Tells the endpoint table how long the endpoint took to begin its response.
  void ReportFirstEvent(MonotonicTime now);
  void ReadRateLimit(const net::Headers& headers);
  /// @brief Reads and removes the endpoint's word that it leaves.
  void ReadLeaving();
  /// @brief Closes the connections to an endpoint that leaves.
  void CloseIdleIfLeaving();
  void CountPassedOver() const;
  /// @brief Ends a waiting call if no endpoint is left that could give it a permit.
  bool RefuseIfAllLeave();
  void OnData(std::string_view data);
  void OnDone(const net::HttpResult& result);
  void OnResponseComplete();
  /// @brief Ends an attempt whose response says that nothing was executed.
  void OnRejected();
  /// @brief Ends the attempt without waiting for the end of the rejection's body.
  void AbandonRejection();
  void OnInterrupted(const net::HttpInterrupted& interrupted);
  void OnResponseTooLarge();
  void OnDeadline();
  void OnAttemptTimeout();
  /// @brief Starts another attempt if one is allowed, otherwise ends the call with `outcome`.
  void RetryOrFinish(const Outcome& outcome);
  void EndAttempt(AttemptResult result);
  void LogAttempt(AttemptResult result) const;
  void LogUnidentifiedResponse(int status) const;
  void LogInvalidResponse() const;
  RequestContent Content() const;
  RequestFingerprints Fingerprints(const ShorterSizes& shorter_sizes = {}) const;
  void StartDelivery();
  void MeasureStream(std::string_view data);
  void Finish(const Outcome& outcome);
  bool IsStream() const;
  /// @brief True if the body of the response is a stream of events, not an error.
  bool HasEvents() const;
  bool MayRunAgain() const;

  Context& context_;
  CallPlan plan_;
  /// The plan's body, its copy for the attempt and the buffered part of the response.
  HeldBytes held_;
  CallCallbacks callbacks_;
  EndpointId endpoint_;
  /// Run of the endpoint at the start of the attempt.
  std::int64_t endpoint_started_at_ms_ = 0;
  net::Address endpoint_address_;
  std::vector<EndpointId> tried_endpoints_;
  std::shared_ptr<net::HttpCall> http_call_;
  net::Timer deadline_timer_;
  net::Timer attempt_timer_;
  /// Set while the call waits for a permit.
  std::optional<PermitQueue::Ticket> ticket_;
  /// Set while the call waits for a permit of its organisation.
  std::optional<organisations::PermitTicket> permit_ticket_;
  /// Permit for the next attempt, and that of the current or last one.
  std::optional<organisations::Permit> permit_;
  std::optional<organisations::Permit> attempt_permit_;
  /// Attempts that an endpoint may have executed.
  std::uint32_t possible_runs_ = 0;
  /// All attempts, executed or not.
  std::uint32_t attempts_ = 0;
  bool in_flight_ = false;
  MonotonicTime attempt_started_;
  net::SseBoundary stream_boundary_;
  /// Events of the stream, and the times of the first and the last one.
  std::uint32_t events_ = 0;
  MonotonicTime first_event_at_;
  MonotonicTime last_event_at_;
  int status_ = 0;
  net::Headers response_headers_;
  /// The endpoint reported that it did not execute the request.
  bool rejected_ = false;
  /// Bytes of the response body of the current attempt.
  std::size_t received_bytes_ = 0;
  /// Body of a response that is buffered until it is complete.
  std::string buffered_body_;
  bool delivering_ = false;
  bool done_ = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENDPOINT_CALL_H_
