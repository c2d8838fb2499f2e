#ifndef ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_
#define ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Who can record a turn while its own partition is away.
struct RecorderQuery {
  ProgramId program = {};
  /// Recorders that have been asked for this turn.
  std::uint32_t attempt = 0;
  /// Partitions of this daemon, and other daemons, that take records now.
  std::size_t local = 0;
  std::size_t peers = 0;
};

/// @brief Index among the partitions of this daemon that take records.
struct LocalRecorder {
  std::size_t index = 0;
};
/// @brief Index among the other daemons that take records.
struct PeerRecorder {
  std::size_t index = 0;
};
struct NoRecorder {};
using RecorderChoice = std::variant<LocalRecorder, PeerRecorder, NoRecorder>;

/// @brief Prefers this daemon, then goes from peer to peer. The turns of a program go to the same
/// recorder while it takes records, which then knows the earlier ones.
RecorderChoice ChooseRecorder(const RecorderQuery& query);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_
