#ifndef ACACIASPRING_SRC_GATEWAY_LOST_BODIES_H_
#define ACACIASPRING_SRC_GATEWAY_LOST_BODIES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "src/gateway/crash_evidence.h"

namespace acaciaspring::gateway {

/// @brief A request that this daemon has lost in a crash.
struct LostBody {
  EndpointId endpoint = {};
  std::int64_t started_at_ms = 0;
  MonotonicTime crashed_at = {};
  LostRequest lost = {};
  Shortener shorten = {};
};

/// @brief Remembers the latest requests that this daemon has lost, so that a shorter form of one
/// that is lost later is recognised.
class LostBodies {
 public:
  void Add(LostBody body);
  /// @brief The remembered requests of which `shorter` is a shorter form.
  std::vector<LostBody> LongerForms(const LostRequest& shorter) const;

 private:
  std::deque<LostBody> bodies_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_LOST_BODIES_H_
