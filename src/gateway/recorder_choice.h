#ifndef ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_
#define ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "acaciaspring/base.h"

namespace acaciaspring::gateway {

/// @brief Candidates for recording a turn while its own partition is unavailable.
struct RecorderQuery {
  ProgramId program = {};
  /// Recorders already asked for this turn.
  std::uint32_t attempt = 0;
  /// Writable partitions of this daemon.
  std::size_t local_partitions = 0;
  /// Other daemons that have a writable partition.
  std::size_t peers = 0;
};

/// @brief Index into the writable partitions of this daemon.
struct LocalRecorder {
  std::size_t index = 0;
};
/// @brief Index into the other daemons that have a writable partition.
struct PeerRecorder {
  std::size_t index = 0;
};
/// @brief Nothing can be recorded at present.
struct NoRecorder {};
using RecorderChoice = std::variant<LocalRecorder, PeerRecorder, NoRecorder>;

/// @brief Prefers local partitions, then tries one peer after another. All turns of a program go to
/// the same recorder while it accepts records, so it already has the earlier turns.
RecorderChoice ChooseRecorder(const RecorderQuery& query);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RECORDER_CHOICE_H_
