#include "src/gateway/recorder_choice.h"

#include <algorithm>

namespace acaciaspring::gateway {

namespace {

// A local partition may be unavailable without this being known yet, so peers are asked soon.
constexpr std::uint32_t kLocalAttempts = 2;

}  // namespace

RecorderChoice ChooseRecorder(const RecorderQuery& query) {
  const std::uint64_t start = Hash64(query.program.value());
  const auto local_attempts =
      static_cast<std::uint32_t>(std::min<std::size_t>(query.local_partitions, kLocalAttempts));
  const bool use_local =
      query.attempt < local_attempts || (query.peers == 0 && query.local_partitions > 0);
  if (use_local) {
    return LocalRecorder{.index = (start + query.attempt) % query.local_partitions};
  }
  if (query.peers > 0) {
    return PeerRecorder{.index = (start + query.attempt - local_attempts) % query.peers};
  }
  return NoRecorder{};
}

}  // namespace acaciaspring::gateway
