#ifndef ACACIASPRING_SRC_SCHEDULING_CONCURRENCY_LIMIT_H_
#define ACACIASPRING_SRC_SCHEDULING_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "acaciaspring/base.h"

namespace acaciaspring {

struct ConcurrencyLimitOptions {
  /// First limit, as a fraction of the slots.
  double initial_share = 1.0 / 6;
  /// Factor that a rejection or a failure applies to the limit.
  double failure_factor = 0.5;
  /// Minimum time between two such reductions; endpoints reject calls within a millisecond.
  Duration failure_interval = std::chrono::milliseconds(100);
  /// Factor that slow first events apply.
  double slow_factor = 0.7;
  /// A first event counts as slow after this multiple of the best time plus the slack. Tool calls
  /// of one service differ by a factor of 3 without any load.
  double slow_multiple = 3;
  Duration slow_slack = std::chrono::milliseconds(50);
  /// Consecutive slow first events that reduce the limit; a single one may have a long prompt.
  std::uint32_t slow_before_reduction = 2;
};

/// @brief Limit on the concurrent calls of one endpoint that starts or recovers. Never below 1.
class ConcurrencyLimit {
 public:
  /// @brief Begins at the initial share of the slots.
  ConcurrencyLimit(std::uint32_t slots, MonotonicTime now, ConcurrencyLimitOptions options = {});

  /// @brief A call succeeded. The limit doubles in the time of one call.
  void OnCompleted(Duration call_duration, MonotonicTime now);
  /// @brief A call was rejected or failed. Calls that were under way at the last such reduction
  /// don't reduce the limit again.
  void OnFailed(Duration call_duration, MonotonicTime now);
  /// @brief The first event, or the response, of a call arrived after `time`.
  void OnFirstEvent(Duration time, Duration best, MonotonicTime now);
  /// @brief Sets the limit to one that was observed elsewhere.
  void Set(double limit, MonotonicTime observed_at);
  /// @brief Doubles a limit that nothing has confirmed for a while.
  void Raise(MonotonicTime now);

  double value() const { return value_; }
  std::uint32_t calls() const { return static_cast<std::uint32_t>(value_); }
  /// @brief The limit has grown up to the slots and can be removed.
  bool reached_slots() const { return value_ >= slots_; }

 private:
  bool IsSlow(Duration time, Duration best) const;
  void Reduce(double factor, MonotonicTime now);

  ConcurrencyLimitOptions options_;
  double slots_;
  double value_;
  /// When the limit last grew or was set.
  MonotonicTime grown_at_;
  MonotonicTime reduced_at_;
  std::uint32_t consecutive_slow_ = 0;
};

/// @brief Shortest time of the last one to two periods, so that a former best is forgotten.
class BestTime {
 public:
  explicit BestTime(Duration period = std::chrono::seconds(30)) : period_(period) {}
  void Record(Duration time, MonotonicTime now);
  /// @brief Empty before the first time.
  std::optional<Duration> value() const;

 private:
  Duration period_;
  MonotonicTime period_start_;
  std::optional<Duration> current_;
  std::optional<Duration> former_;
};

}  // namespace acaciaspring

#endif  // ACACIASPRING_SRC_SCHEDULING_CONCURRENCY_LIMIT_H_
