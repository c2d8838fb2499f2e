#ifndef ACACIASPRING_SRC_GATEWAY_CRASH_MONITOR_H_
#define ACACIASPRING_SRC_GATEWAY_CRASH_MONITOR_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/gateway.h"
#include "acaciaspring/net.h"
#include "acaciaspring/telemetry.h"
#include "src/gateway/crash_evidence.h"
#include "src/gateway/lost_bodies.h"

namespace acaciaspring::gateway {

/// @brief Sent to all daemons when an endpoint has crashed, or when a suspect request completes.
struct PeerCrashReports {
  std::vector<CrashReport> crashes = {};
  std::vector<RequestFingerprint> cleared = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes, cleared);
  }
};

/// @brief A request whose connection broke off.
struct InterruptedRequest {
  RequestFingerprints fingerprints = {};
  Shortener shorten = {};
  /// No byte of a response body had arrived.
  bool unanswered = false;
  MonotonicTime started_at = {};
};

/// @brief Finds out which endpoints have crashed under which requests, and keeps the daemons'
/// evidence in step.
class CrashMonitor {
 public:
  CrashMonitor(net::Loop& loop, telemetry::EventLog& events, telemetry::Registry& metrics)
      : loop_(loop), events_(events), metrics_(metrics) {}

  /// @brief Sets how reports are sent to all other daemons.
  void SetSend(std::function<void(PeerCrashReports)> send) { send_ = std::move(send); }

  /// @brief Records that the connection of a request broke off. It counts as evidence only if the
  /// endpoint refuses connections afterwards, so that its process has ended.
  void OnInterrupted(const RegisteredEndpoint& endpoint, const InterruptedRequest& request);
  /// @brief Records that an endpoint has responded to the request and is still running.
  void OnCompleted(const RequestFingerprints& request);
  void OnReports(const DaemonId& daemon, const PeerCrashReports& reports);
  void Expire();

  const CrashEvidence& evidence() const { return evidence_; }

 private:
  using RunKey = std::pair<EndpointId, std::int64_t>;
  struct Check {
    std::unique_ptr<net::ConnectCheck> connect;
    std::vector<LostRequest> requests;
    std::vector<LostBody> bodies;
    /// When the first connection broke off.
    MonotonicTime at;
  };
  /// @brief Remembers the bodies and reports the crash.
  void OnCrash(const RunKey& run,
               std::vector<LostRequest> requests,
               std::vector<LostBody> bodies,
               MonotonicTime at);
  /// @brief Reports the crashes in which this daemon has lost longer forms of the requests.
  void ReportLongerForms(const CrashReport& report);
  /// @brief The request and those of its shorter forms that were lost before.
  std::vector<LostRequest> MakeLosses(const InterruptedRequest& request) const;
  void OnChecked(const RunKey& run, net::ConnectResult result);
  /// @brief Adds a crash that this daemon has found, and tells the others.
  void Report(const RunKey& run, std::vector<LostRequest> requests, MonotonicTime at);
  void AddReport(const CrashReport& report, const std::string& source);
  /// @brief Logs which requests are now quarantined or released.
  void LogChanges(const std::string& source);

  net::Loop& loop_;
  telemetry::EventLog& events_;
  telemetry::Registry& metrics_;
  std::function<void(PeerCrashReports)> send_;
  CrashEvidence evidence_;
  LostBodies lost_bodies_;
  /// Quarantined requests as last logged.
  std::set<RequestFingerprint> logged_;
  std::map<RunKey, Check> checks_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CRASH_MONITOR_H_
