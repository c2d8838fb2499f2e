#ifndef ACACIASPRING_SRC_GATEWAY_CRASH_EVIDENCE_H_
#define ACACIASPRING_SRC_GATEWAY_CRASH_EVIDENCE_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/gateway/request_fingerprint.h"

namespace acaciaspring::gateway {

/// @brief One fingerprint of a request that was lost because its endpoint crashed.
struct LostRequest {
  RequestFingerprint request = {};
  /// The fingerprint is that of the whole request.
  bool whole = true;
  /// No byte of a response body had arrived.
  bool unanswered = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, whole, unanswered);
  }
};

/// @brief Requests that were lost because an endpoint crashed.
struct CrashReport {
  EndpointId endpoint = {};
  /// The run of the endpoint that ended.
  std::int64_t started_at_ms = 0;
  std::vector<LostRequest> requests = {};
  /// Time since the crash.
  std::int64_t age_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, started_at_ms, requests, age_us);
  }
};

struct CrashEvidenceOptions {
  /// Crashes after which a request is quarantined.
  std::size_t crashes_to_quarantine = 3;
  /// Part of all unexplained crashes between its first and its last one in which a request must
  /// have been lost.
  double min_share_of_crashes = 0.4;
  /// Crashes after which a request is quarantined whatever their share.
  std::size_t crashes_without_doubt = 5;
  /// How long a crash counts, and a request stays quarantined after its last crash.
  Duration validity = std::chrono::minutes(5);
  /// The oldest crash is forgotten first.
  std::size_t max_crashes = 256;
  /// Fingerprints kept of one crash.
  std::size_t max_requests_per_crash = 256;
};

struct Quarantine {
  std::size_t crashes = 0;
  /// Time until the request may be sent again.
  Duration remaining{};
};

/// @brief Finds the requests that crash the endpoints that run them.
///
/// All requests on a crashed endpoint are suspects. A request is quarantined after it was lost in
/// several crashes, unless quarantined requests explain these, and it is cleared once it completes.
/// Requests whose bodies only start alike are one suspect as well, if none of them completes.
class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options = {}) : options_(options) {}

  /// @brief Adds a report of this or another daemon.
  void Add(const CrashReport& report, MonotonicTime now);
  /// @brief Clears a request that has completed. Returns false if there was no evidence against it.
  bool Clear(RequestFingerprint request);
  void Expire(MonotonicTime now);

  bool empty() const { return crashes_.empty(); }
  bool HasCrash(const EndpointId& endpoint, std::int64_t started_at_ms) const;
  bool HasQuarantine() const { return !quarantined_.empty(); }
  std::set<RequestFingerprint> Quarantined() const;
  std::optional<Quarantine> Find(const RequestFingerprints& request, MonotonicTime now) const;
  /// @brief Reports, for a daemon that has just started, of all requests with several crashes.
  std::vector<CrashReport> MakeReports(MonotonicTime now) const;

 private:
  using RunKey = std::pair<EndpointId, std::int64_t>;
  struct Crash {
    MonotonicTime at;
    std::map<RequestFingerprint, LostRequest> requests;
  };
  /// @brief Unexplained crashes in which a request was lost.
  struct Count {
    std::size_t crashes = 0;
    MonotonicTime first;
    MonotonicTime last;
  };
  struct Suspect {
    std::size_t crashes = 0;
    std::size_t unanswered = 0;
    /// The fingerprint is that of a whole request.
    bool whole = false;
    MonotonicTime last_crash_at;
  };
  std::optional<Quarantine> Find(RequestFingerprint fingerprint, MonotonicTime now) const;
  void Update();
  bool IsConclusive(const Count& count, const std::vector<const Crash*>& unexplained) const;
  /// @brief Requests that were lost in enough crashes to be quarantined.
  std::map<RequestFingerprint, Suspect> FindSuspects() const;
  void AddLoss(RequestFingerprint request);
  void RemoveLoss(RequestFingerprint request);
  void RemoveCrash(std::map<RunKey, Crash>::iterator crash);

  CrashEvidenceOptions options_;
  std::map<RunKey, Crash> crashes_;
  /// Number of crashes in which each request was lost.
  std::unordered_map<RequestFingerprint, std::size_t> losses_;
  /// Number of requests that were lost in enough crashes to be quarantined.
  std::size_t suspects_ = 0;
  std::map<RequestFingerprint, Suspect> quarantined_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CRASH_EVIDENCE_H_
