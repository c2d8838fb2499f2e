#ifndef ACACIASPRING_SRC_MEMBERSHIP_REPLAY_WINDOW_H_
#define ACACIASPRING_SRC_MEMBERSHIP_REPLAY_WINDOW_H_

#include <cstdint>

namespace acaciaspring::membership {

/// @brief Accepts each datagram counter once. A counter that is 64 or more below the highest one
/// accepted is rejected.
class ReplayWindow {
 public:
  bool Accept(std::uint64_t counter) {
    if (counter > highest_) {
      const std::uint64_t advance = counter - highest_;
      seen_ = advance >= 64 ? 0 : seen_ << advance;
      seen_ |= 1;
      highest_ = counter;
      return true;
    }
    const std::uint64_t age = highest_ - counter;
    if (age >= 64 || ((seen_ >> age) & 1) != 0) {
      return false;
    }
    seen_ |= std::uint64_t{1} << age;
    return true;
  }

 private:
  std::uint64_t highest_ = 0;
  /// Bit i is set if the counter highest_ - i has been accepted.
  std::uint64_t seen_ = 1;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_REPLAY_WINDOW_H_
