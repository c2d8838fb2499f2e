#ifndef ACACIASPRING_SRC_GATEWAY_LEAVING_ENDPOINTS_H_
#define ACACIASPRING_SRC_GATEWAY_LEAVING_ENDPOINTS_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief An endpoint's own word that it leaves.
struct LeavingWord {
  EndpointId endpoint = {};
  /// Start of the endpoint that was listed when the request was sent.
  std::int64_t started_at_ms = 0;
  /// When the response arrived, on both clocks.
  MonotonicTime at = {};
  std::int64_t wall_ms = 0;
};

/// @brief The first word of an endpoint's start.
struct LeavingNotice {
  /// Time since the registry's entries were applied.
  Duration registry_age{};
};

/// @brief An endpoint that is used again because it has been started anew.
struct ReturnedEndpoint {
  EndpointId endpoint = {};
  std::int64_t started_at_ms = 0;
  std::int64_t left_started_at_ms = 0;
  Duration out{};
};

/// @brief The starts of endpoints that have said that they leave. Unlike the entries of the
/// registry, such a word cannot be outdated, so only another start of the endpoint ends it.
class LeavingEndpoints {
 public:
  /// @brief Sets the complete list of endpoints. Returns those that are used again.
  std::vector<ReturnedEndpoint> OnListed(const std::vector<RegisteredEndpoint>& listed,
                                         MonotonicTime now);
  /// @brief Ignores the word of a start that has been replaced. Returns a notice for the first word
  /// of a start.
  std::optional<LeavingNotice> OnLeaving(const LeavingWord& word);
  bool Contains(const EndpointId& endpoint, std::int64_t started_at_ms) const;

  /// @brief At most twice the number of listed endpoints, or a small constant if it is larger.
  std::size_t size() const { return marks_.size(); }

 private:
  struct Mark {
    std::int64_t started_at_ms = 0;
    MonotonicTime first_at = {};
    MonotonicTime last_at = {};
    std::int64_t last_wall_ms = 0;
    /// A later start that may have been the one that spoke.
    std::optional<std::int64_t> doubtful_start = {};
  };

  void ForgetOldestUnlisted();

  std::unordered_map<EndpointId, Mark> marks_;
  /// Starts of the listed endpoints.
  std::unordered_map<EndpointId, std::int64_t> listed_;
  MonotonicTime listed_at_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_LEAVING_ENDPOINTS_H_
