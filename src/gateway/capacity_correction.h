#ifndef ACACIASPRING_SRC_GATEWAY_CAPACITY_CORRECTION_H_
#define ACACIASPRING_SRC_GATEWAY_CAPACITY_CORRECTION_H_

#include <optional>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

struct CapacityCorrectionOptions {
  /// Expected time between two measurements.
  Duration period = std::chrono::milliseconds(50);
  /// Time constant of the smoothed delay.
  Duration smoothing = std::chrono::seconds(2);
  /// A longer delay, such as that of a suspended process, counts as this one, so that the smoothed
  /// delay falls soon after the load.
  Duration max_delay = std::chrono::milliseconds(250);
  /// The correction rises while the smoothed delay is below this, ...
  Duration low_delay = std::chrono::milliseconds(20);
  /// ... falls while it is above this, and is kept in between.
  Duration high_delay = std::chrono::milliseconds(40);
  /// Delay at which the correction falls fastest.
  Duration overload_delay = std::chrono::milliseconds(200);
  /// Relative changes per second.
  double slowest_fall = 0.02;
  double fastest_fall = 0.1;
  double rise = 0.01;
  /// The changes become slower by half whenever the direction changes, down to this factor.
  double min_pace = 1.0 / 8;
  /// Times in which the pace doubles during a rise or a fall.
  Duration rise_acceleration = std::chrono::seconds(60);
  Duration fall_acceleration = std::chrono::seconds(8);
  double min = 0.1;
};

/// @brief Derives from the delay of the event loop by which factor a daemon's capacity is below the
/// one in its settings.
///
/// Callers keep an answer of the directory for up to 6 s, so the load follows the correction with
/// that delay. The correction therefore changes slowly, is kept in a range of delays, and
/// approaches it at a slower pace after each overshoot; a function of the delay alone would make
/// the load oscillate.
class CapacityCorrection {
 public:
  explicit CapacityCorrection(CapacityCorrectionOptions options = {});
  /// @brief To be called once per period; a later call shows that the event loop was delayed.
  void OnTimer(MonotonicTime now);
  /// @brief From the minimum to 1.
  double value() const { return value_; }
  Duration delay() const;

 private:
  enum class Direction : std::uint8_t { kNone, kRise, kFall };

  void SetDirection(Direction direction);
  void Rise(double elapsed_seconds);
  void Fall(double elapsed_seconds);

  CapacityCorrectionOptions options_;
  std::optional<MonotonicTime> last_;
  double delay_seconds_ = 0;
  double value_ = 1;
  /// Factor of the rates of change.
  double pace_ = 1;
  Direction direction_ = Direction::kNone;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CAPACITY_CORRECTION_H_
