#include "src/gateway/endpoint_call.h"

namespace acaciaspring::gateway {

bool EndpointCall::RefuseIfQuarantined() {
  const CrashEvidence& evidence = context_.crashes.evidence();
  if (!evidence.HasQuarantine()) {
    return false;
  }
  const RequestFingerprints fingerprints =
      Fingerprints([&](RequestFingerprint start) { return evidence.RepeatedSizes(start); });
  const auto quarantine = evidence.Find(fingerprints, context_.loop.Now());
  if (!quarantine) {
    return false;
  }
  const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(quarantine->remaining).count();
  context_.events.Write("request_refused",
                        {{"id", plan_.id.value()},
                         {"fingerprint", ToString(fingerprints.whole)},
                         {"start_fingerprint", ToString(fingerprints.start)},
                         {"crashes", static_cast<std::int64_t>(quarantine->crashes)},
                         {"runs", static_cast<std::int64_t>(possible_runs_)},
                         {"remaining_ms", remaining}});
  FinishLater(NotRun{.reason = NotRunReason::kCrashesEndpoints,
                     .retry_after_ms = static_cast<std::uint32_t>(remaining)});
  return true;
}

void EndpointCall::ReportInterruption() {
  // An endpoint that is leaving ends by plan.
  const RegisteredEndpoint* endpoint = context_.endpoints.Find(endpoint_);
  if (endpoint != nullptr && endpoint->started_at_ms == endpoint_started_at_ms_ &&
      endpoint->state == EndpointState::kReady &&
      !context_.endpoints.IsLeaving(endpoint_, endpoint_started_at_ms_)) {
    context_.crashes.OnInterrupted(*endpoint,
                                   {.fingerprints = Fingerprints([this](RequestFingerprint start) {
                                      return context_.crashes.evidence().LostSizes(start);
                                    }),
                                    .shorten = MakeShortener(context_.fingerprint_key, Content()),
                                    .unanswered = received_bytes_ == 0,
                                    .started_at = attempt_started_});
  }
}

void EndpointCall::ReportCompletion() {
  const CrashEvidence& evidence = context_.crashes.evidence();
  if (!evidence.empty()) {
    context_.crashes.OnCompleted(
        Fingerprints([&](RequestFingerprint start) { return evidence.RepeatedSizes(start); }));
  }
}

RequestContent EndpointCall::Content() const {
  return {.credentials = net::FindHeader(plan_.headers, "authorization"),
          .method = plan_.method,
          .host = net::FindHeader(plan_.headers, "host"),
          .target = plan_.target,
          .body = std::string_view(plan_.body).substr(plan_.added_bytes)};
}

RequestFingerprints EndpointCall::Fingerprints(const ShorterSizes& shorter_sizes) const {
  return MakeFingerprints(context_.fingerprint_key, Content(), shorter_sizes);
}

}  // namespace acaciaspring::gateway
