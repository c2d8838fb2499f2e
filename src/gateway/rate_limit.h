#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_

#include <optional>
#include <string>
#include <string_view>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Parses the limit that an endpoint names, in requests per second. Empty if the text is not
/// a finite decimal number of at least 0.
std::optional<double> ParseRateLimit(std::string_view text);
/// @brief The limit for a log line; "none" if it is empty.
std::string FormatRateLimit(const std::optional<double>& per_second);

struct RateLimitOptions {
  /// Lower limits count as this one, so that some requests show when a limit ends. Requests per
  /// second.
  double min_per_second = 0.05;
  /// After an endpoint no longer names a limit, the rate doubles in this time.
  Duration recovery_doubling = std::chrono::milliseconds(500);
  /// Time from the end of a limit until the rate is unlimited.
  Duration recovery = std::chrono::seconds(3);
};

/// @brief Permits of this daemon to send requests to one endpoint that names a rate limit.
class RateLimit {
 public:
  /// @brief `permits` are available at once.
  RateLimit(double per_second, double permits, MonotonicTime now, RateLimitOptions options = {});

  /// @brief Sets the named limit in requests per second. Without a limit, the rate rises from the
  /// former one until recovered().
  void SetLimit(std::optional<double> per_second, MonotonicTime now);
  /// @brief Sets the fraction of the limit that this daemon may use, from 0 to 1, and the number of
  /// permits, at least 1, that accumulate while it sends no request.
  void SetShare(double share, double burst, MonotonicTime now);

  const std::optional<double>& limit() const { return limit_; }
  /// @brief The last named limit, at least the minimum of the options.
  double base_per_second() const { return base_; }
  double share() const { return share_; }
  bool HasPermit(MonotonicTime now) const;
  /// @brief All permits that can accumulate are available, so the limit is not fully used.
  bool HasSpare(MonotonicTime now) const;
  void Take(MonotonicTime now);
  /// @brief The time from which a permit is available, if none is taken; max() without a share.
  MonotonicTime NextPermit(MonotonicTime now) const;
  bool Recovered(MonotonicTime now) const;

 private:
  /// @brief Permits that accrue between two times.
  double Accrued(MonotonicTime from, MonotonicTime to) const;
  double PermitsAt(MonotonicTime now) const;
  void Update(MonotonicTime now);

  RateLimitOptions options_;
  std::optional<double> limit_;
  double base_ = 0;
  double share_ = 1;
  double burst_ = 1;
  double permits_ = 0;
  MonotonicTime updated_;
  MonotonicTime lifted_at_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_
