#ifndef FAKES_CACHE_EVENTS_H_
#define FAKES_CACHE_EVENTS_H_

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <string>

#include "acaciaspring/base.h"

namespace acaciaspring::fakes {

struct CacheEvent {
  std::uint64_t sequence = 0;
  MonotonicTime time;
  /// "stored" or "evicted".
  std::string kind;
  std::string prefix;
  std::uint64_t tokens = 0;
  /// Program whose request caused the change.
  std::string program;
};

/// @brief Bounded list of cache events. Sequence numbers start at 1; a missing number is a gap.
class CacheEvents {
 public:
  /// @brief Gives the event the next sequence number. A lost event uses a number and is not kept.
  void Add(CacheEvent event, bool lost);
  /// @brief {"first","next","events":[{"sequence","kind","prefix","tokens","program"}]}: events
  /// from `from` on that are at least `lag` old. "next" is where the next read continues.
  Json::Value Read(std::uint64_t from, MonotonicTime now, Duration lag) const;

 private:
  std::uint64_t next_ = 1;
  std::deque<CacheEvent> events_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_CACHE_EVENTS_H_
