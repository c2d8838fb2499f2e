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

/// @brief A request that was lost because its endpoint crashed, or a shorter form of one.
struct LostRequest {
  RequestFingerprint request = {};
  RequestFingerprint start = {};
  std::uint64_t body_bytes = 0;
  /// The request itself was lost, not a longer form of it.
  bool whole = true;
  /// No byte of a response body had arrived.
  bool unanswered = false;
  /// Time from the start of the attempt to the crash.
  std::int64_t running_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, start, body_bytes, whole, unanswered, running_us);
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
  /// Crashes, one after another, after which a request is quarantined.
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
  /// Shorter forms that are looked for in one request.
  std::size_t max_shorter_forms = 32;
};

struct Quarantine {
  std::size_t crashes = 0;
  /// Time until the request may be sent again.
  Duration remaining{};
};

/// @brief Finds the requests that crash the endpoints that run them.
///
/// All requests on a crashed endpoint are suspects. A request is quarantined after it was lost in
/// several crashes one after another, unless quarantined requests explain these, and it is cleared
/// once it completes. A request whose body continues that of another one counts as both, because a
/// conversation comes again with a longer history. Requests whose bodies only start alike have
/// nothing to do with each other: all requests of an agent begin with its instruction.
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
  bool HasLoss(RequestFingerprint request) const { return losses_.contains(request); }
  /// @brief True if the crash is known and the request is not among its losses.
  bool LacksLoss(const EndpointId& endpoint,
                 std::int64_t started_at_ms,
                 RequestFingerprint request) const;
  /// @brief Body sizes of the lost requests with this start that may have longer forms.
  std::vector<std::uint64_t> LostSizes(RequestFingerprint start) const;
  /// @brief The same for requests that were lost more than once.
  std::vector<std::uint64_t> RepeatedSizes(RequestFingerprint start) const;
  bool HasQuarantine() const { return !quarantined_.empty(); }
  std::set<RequestFingerprint> Quarantined() const;
  std::optional<Quarantine> Find(const RequestFingerprints& request, MonotonicTime now) const;
  /// @brief Reports, for a daemon that has just started, of all requests with several crashes.
  std::vector<CrashReport> MakeReports(MonotonicTime now) const;

 private:
  using RunKey = std::pair<EndpointId, std::int64_t>;
  struct Loss {
    LostRequest lost;
    /// Start of the latest attempt that was lost in the crash.
    MonotonicTime started_at;
  };
  struct Crash {
    MonotonicTime at;
    std::map<RequestFingerprint, Loss> requests;
  };
  /// @brief Unexplained crashes in which a request was lost.
  struct Count {
    std::size_t crashes = 0;
    /// Those among them of attempts that started after the one before had crashed its endpoint.
    /// Attempts that ran at the same time may have been lost by one common cause, such as the
    /// failure of a zone.
    std::size_t in_turn = 0;
    MonotonicTime first;
    MonotonicTime last;
    MonotonicTime last_in_turn;
  };
  struct Suspect {
    std::size_t crashes = 0;
    std::size_t unanswered = 0;
    /// Crashes in which the request itself was lost, not a longer form.
    std::size_t whole = 0;
    MonotonicTime last_crash_at;
  };
  std::optional<Quarantine> Find(RequestFingerprint fingerprint, MonotonicTime now) const;
  void Update();
  bool IsConclusive(const Count& count, const std::vector<const Crash*>& unexplained) const;
  /// @brief Requests that were lost in enough crashes to be quarantined.
  std::map<RequestFingerprint, Suspect> FindSuspects() const;
  void AddLoss(const LostRequest& lost);
  void RemoveLoss(const LostRequest& lost);
  void RemoveCrash(std::map<RunKey, Crash>::iterator crash);

  CrashEvidenceOptions options_;
  std::map<RunKey, Crash> crashes_;
  /// Number of crashes in which each request was lost.
  std::unordered_map<RequestFingerprint, std::size_t> losses_;
  /// Body sizes by start, for the requests that were lost more than once.
  std::unordered_map<RequestFingerprint, std::map<RequestFingerprint, std::uint64_t>> repeated_;
  /// Number of requests that were lost in enough crashes to be quarantined.
  std::size_t suspects_ = 0;
  std::map<RequestFingerprint, Suspect> quarantined_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CRASH_EVIDENCE_H_
