#include "src/gateway/crash_monitor.h"

#include <utility>

namespace acaciaspring::gateway {

namespace {

// A process that has ended refuses connections within a round trip; a host that is cut off does not
// answer at all.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(300);

}  // namespace

void CrashMonitor::OnInterrupted(const RegisteredEndpoint& endpoint,
                                 const InterruptedRequest& request) {
  const RunKey run{endpoint.id, endpoint.started_at_ms};
  const std::vector<LostRequest> lost = MakeLosses(request);
  const LostBody body{.endpoint = endpoint.id,
                      .started_at_ms = endpoint.started_at_ms,
                      .crashed_at = loop_.Now(),
                      .lost = lost.front(),
                      .shorten = request.shorten};
  if (evidence_.HasCrash(run.first, run.second)) {
    OnCrash(run, lost, {body}, loop_.Now());
    return;
  }
  Check& check = checks_[run];
  if (check.requests.empty()) {
    check.at = loop_.Now();
  }
  check.requests.insert(check.requests.end(), lost.begin(), lost.end());
  check.bodies.push_back(body);
  if (check.connect == nullptr) {
    check.connect = std::make_unique<net::ConnectCheck>(
        loop_, endpoint.address, kCheckTimeout,
        [this, run](net::ConnectResult result) { OnChecked(run, result); });
  }
}

std::vector<LostRequest> CrashMonitor::MakeLosses(const InterruptedRequest& request) const {
  const RequestFingerprints& fingerprints = request.fingerprints;
  LostRequest lost{
      .request = fingerprints.whole,
      .start = fingerprints.start,
      .body_bytes = fingerprints.body_bytes,
      .whole = true,
      .unanswered = request.unanswered,
      .running_us = std::chrono::duration_cast<Duration>(loop_.Now() - request.started_at).count()};
  std::vector<LostRequest> losses{lost};
  lost.whole = false;
  for (const ShorterForm& shorter : fingerprints.shorter) {
    if (evidence_.HasLoss(shorter.request)) {
      lost.request = shorter.request;
      lost.body_bytes = shorter.body_bytes;
      losses.push_back(lost);
    }
  }
  return losses;
}

void CrashMonitor::OnChecked(const RunKey& run, net::ConnectResult result) {
  auto checked = checks_.extract(run);
  if (result == net::ConnectResult::kRefused) {
    Check& check = checked.mapped();
    OnCrash(run, std::move(check.requests), std::move(check.bodies), check.at);
  }
}

void CrashMonitor::OnCrash(const RunKey& run,
                           std::vector<LostRequest> requests,
                           std::vector<LostBody> bodies,
                           MonotonicTime at) {
  Report(run, std::move(requests), at);
  for (LostBody& body : bodies) {
    lost_bodies_.Add(std::move(body));
  }
}

void CrashMonitor::ReportLongerForms(const CrashReport& report) {
  for (const LostRequest& lost : report.requests) {
    if (!lost.whole) {
      continue;
    }
    for (const LostBody& longer : lost_bodies_.LongerForms(lost)) {
      if (evidence_.LacksLoss(longer.endpoint, longer.started_at_ms, lost.request)) {
        LostRequest shorter = lost;
        shorter.whole = false;
        shorter.unanswered = longer.lost.unanswered;
        shorter.running_us = longer.lost.running_us;
        Report({longer.endpoint, longer.started_at_ms}, {shorter}, longer.crashed_at);
      }
    }
  }
}

void CrashMonitor::Report(const RunKey& run, std::vector<LostRequest> requests, MonotonicTime at) {
  CrashReport report{.endpoint = run.first,
                     .started_at_ms = run.second,
                     .requests = std::move(requests),
                     .age_us = std::chrono::duration_cast<Duration>(loop_.Now() - at).count()};
  AddReport(report, "self");
  if (send_) {
    send_({.crashes = {std::move(report)}});
  }
}

void CrashMonitor::AddReport(const CrashReport& report, const std::string& source) {
  evidence_.Add(report, loop_.Now());
  events_.Write("endpoint_crashed",
                {{"endpoint", report.endpoint.value()},
                 {"started_at_ms", report.started_at_ms},
                 {"requests", static_cast<std::int64_t>(report.requests.size())},
                 {"source", source},
                 {"age_ms", report.age_us / 1000}});
  LogChanges(source);
  ReportLongerForms(report);
}

void CrashMonitor::OnCompleted(const RequestFingerprints& request) {
  PeerCrashReports reports;
  const auto clear = [&](RequestFingerprint fingerprint) {
    if (evidence_.Clear(fingerprint)) {
      reports.cleared.push_back(fingerprint);
    }
  };
  clear(request.whole);
  for (const ShorterForm& shorter : request.shorter) {
    clear(shorter.request);
  }
  if (!reports.cleared.empty()) {
    LogChanges("self");
    if (send_) {
      send_(std::move(reports));
    }
  }
}

void CrashMonitor::OnReports(const DaemonId& daemon, const PeerCrashReports& reports) {
  for (const CrashReport& report : reports.crashes) {
    AddReport(report, daemon.value());
  }
  for (const RequestFingerprint request : reports.cleared) {
    evidence_.Clear(request);
  }
  LogChanges(daemon.value());
}

void CrashMonitor::Expire() {
  evidence_.Expire(loop_.Now());
  LogChanges("expired");
}

void CrashMonitor::LogChanges(const std::string& source) {
  const std::set<RequestFingerprint> former = std::exchange(logged_, evidence_.Quarantined());
  const auto log = [&](const char* event, RequestFingerprint request) {
    const auto quarantine = evidence_.Find({.whole = request}, loop_.Now());
    events_.Write(event,
                  {{"fingerprint", ToString(request)},
                   {"crashes", static_cast<std::int64_t>(quarantine ? quarantine->crashes : 0)},
                   {"source", source}});
  };
  for (const RequestFingerprint request : logged_) {
    if (!former.contains(request)) {
      log("request_quarantined", request);
    }
  }
  for (const RequestFingerprint request : former) {
    if (!logged_.contains(request)) {
      log("request_released", request);
    }
  }
  metrics_
      .GetGauge("acaciaspring_quarantined_requests",
                "Requests that are refused because they crash endpoints")
      .Set(static_cast<double>(logged_.size()));
}

}  // namespace acaciaspring::gateway
