#ifndef ACACIASPRING_SRC_ORGANISATIONS_PERMIT_POOL_H_
#define ACACIASPRING_SRC_ORGANISATIONS_PERMIT_POOL_H_

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

/// @brief Token bucket of one organisation at its grantor, for the leased part of the limit.
class PermitPool {
 public:
  PermitPool(RequestLimit limit, const LimitTolerance& tolerance, BootTime now)
      : limit_(limit), tolerance_(tolerance), updated_(now), start_window_(now) {}

  void SetLimit(RequestLimit limit, BootTime now);
  /// @brief Sets the leased part of the limit, 0 to 1.
  void SetFraction(double fraction, BootTime now);
  void Refill(BootTime now);
  /// @brief Permits available now for a use; whole permits can be taken.
  double Available(PermitUse use) const;
  /// @brief Permits available for holders' stocks.
  double Spare() const;
  void Take(PermitUse use, std::uint32_t permits);
  void TakeSpare(std::uint32_t permits) { level_ -= permits; }
  void Return(std::uint32_t permits);
  /// @brief Time until `wanted` permits are available for the use.
  Duration TimeUntil(PermitUse use, double wanted, BootTime now) const;
  double fraction() const { return fraction_; }

 private:
  double Capacity() const;
  double Reserve() const;
  /// @brief Starting one more program would take permits from those that have started.
  bool IsCommitted() const;
  double MaxUncommitted() const;
  /// @brief Requests of a program, its first one included, by recent grants.
  double RequestsPerStart() const;

  RequestLimit limit_;
  LimitTolerance tolerance_;
  double fraction_ = 0;
  double level_ = 0;
  BootTime updated_;
  /// Decaying number of permits for started programs; about those of the last second.
  double recent_started_ = 0;
  /// Decaying numbers of permits by use, for the size of programs.
  double measured_started_ = 0;
  double measured_other_ = 0;
  /// Permits that accrue and that no started program is expected to need.
  double uncommitted_ = 0;
  /// Permits granted on start in the window that began at `start_window_`.
  double start_permits_ = 0;
  BootTime start_window_;
  BootTime fraction_changed_;
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_PERMIT_POOL_H_
