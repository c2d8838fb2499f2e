#ifndef FAKES_CACHE_EVENT_LOG_H_
#define FAKES_CACHE_EVENT_LOG_H_

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
  /// Program whose request changed the cache.
  std::string program;
};

/// @brief Bounded log of cache events. Sequence numbers start at 1; a missing number means that an
/// event was lost.
class CacheEventLog {
 public:
  /// @brief Assigns the next sequence number to the event. A lost event consumes a number but is
  /// not stored.
  void Add(CacheEvent event, bool lost);
  /// @brief Returns the events with sequence numbers from `from` that are at least `lag` old, as
  /// {"first","next","events":[{"sequence","kind","prefix","tokens","program"}]}. "first" is the
  /// oldest stored number, or the next one to be assigned if there is none; "next" is the number at
  /// which the next read continues.
  Json::Value Read(std::uint64_t from, MonotonicTime now, Duration lag) const;

 private:
  std::uint64_t next_ = 1;
  std::deque<CacheEvent> events_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_CACHE_EVENT_LOG_H_
