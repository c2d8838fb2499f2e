#include "fakes/cache_event_log.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::fakes {

namespace {

constexpr std::size_t kMaxRetainedEvents = 20000;
constexpr int kMaxEventsPerRead = 2000;

Json::Value ToJson(const CacheEvent& event) {
  Json::Value value;
  value["sequence"] = static_cast<Json::UInt64>(event.sequence);
  value["kind"] = event.kind;
  value["prefix"] = event.prefix;
  value["tokens"] = static_cast<Json::UInt64>(event.tokens);
  value["program"] = event.program;
  return value;
}

}  // namespace

void CacheEventLog::Add(CacheEvent event, bool lost) {
  event.sequence = next_++;
  if (lost) {
    return;
  }
  events_.push_back(std::move(event));
  if (events_.size() > kMaxRetainedEvents) {
    events_.pop_front();
  }
}

Json::Value CacheEventLog::Read(std::uint64_t from, MonotonicTime now, Duration lag) const {
  Json::Value value;
  value["first"] = static_cast<Json::UInt64>(events_.empty() ? next_ : events_.front().sequence);
  value["events"] = Json::Value(Json::arrayValue);
  std::uint64_t next = std::max<std::uint64_t>(from, 1);
  auto event = std::lower_bound(
      events_.begin(), events_.end(), from,
      [](const CacheEvent& left, std::uint64_t right) { return left.sequence < right; });
  for (int count = 0;
       event != events_.end() && now - event->time >= lag && count < kMaxEventsPerRead; ++event) {
    value["events"].append(ToJson(*event));
    next = event->sequence + 1;
    ++count;
  }
  value["next"] = static_cast<Json::UInt64>(next);
  return value;
}

}  // namespace acaciaspring::fakes
