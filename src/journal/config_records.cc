#include <algorithm>

#include "src/journal/state_data.h"

namespace acaciaspring::journal {

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ConfigChanged& record) {
  ConfigEntry& config = data.config;
  config.last_reference = context.offset;
  if (!config.known) {
    return Rejected{RejectReason::kUndecided};
  }
  if (record.base != config.revision) {
    return Rejected{RejectReason::kBaseRevisionConflict};
  }
  config.revision = Revision(context.offset.value());
  config.document = record.document;
  return Accepted{};
}

Verdict ApplyRecord(StateData& data, const RecordContext& context, const ConfigCheckpoint& record) {
  ConfigEntry& config = data.config;
  if (context.observed < config.last_reference) {
    return Rejected{RejectReason::kOutdated};
  }
  if (!config.known) {
    config.known = true;
    config.revision = record.revision;
    config.document = record.document;
  }
  if (config.revision != record.revision) {
    return Rejected{RejectReason::kOutdated};
  }
  config.replay_start = std::max(config.replay_start, context.observed + Offset(1));
  return Accepted{};
}

}  // namespace acaciaspring::journal
