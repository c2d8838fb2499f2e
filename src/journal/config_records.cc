#include <algorithm>

#include "src/journal/state_data.h"

namespace acaciaspring::journal {

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ConfigChanged& record) {
  ConfigEntry& config = data.config;
  config.touched = place.offset;
  if (!config.known) {
    return Rejected{RejectReason::kUndecided};
  }
  if (record.base != config.revision) {
    return Rejected{RejectReason::kBaseRevisionConflict};
  }
  config.revision = Revision(place.offset.value());
  config.document = record.document;
  return Accepted{};
}

Verdict ApplyRecord(StateData& data, const RecordPlace& place, const ConfigCheckpoint& record) {
  ConfigEntry& config = data.config;
  if (place.observed < config.touched) {
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
  config.needed = std::max(config.needed, place.observed + Offset(1));
  return Accepted{};
}

}  // namespace acaciaspring::journal
