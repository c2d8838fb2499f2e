#include "src/journal/state_data.h"

namespace acaciaspring::journal {

namespace {

constexpr std::int64_t kTimeSampleIntervalMs = 10'000;
constexpr std::size_t kMaxTimeSamples = 8192;
/// A writer without a record for this long has ended; no copy of its appends can still be in
/// transit.
constexpr std::int64_t kWriterRetentionMs = std::int64_t{24} * 3600 * 1000;

}  // namespace

bool IsDecidable(const StateData& data, const RecordContext& context) {
  return context.observed + Offset(1) >= data.first;
}

ShardEntry& StateData::Shard(ShardId id) {
  const auto [entry, added] = shards.try_emplace(id);
  if (added) {
    entry->second.replay_start = first;
    entry->second.last_reference = first - Offset(1);
  }
  return entry->second;
}

ProgramEntry* StateData::Find(const ProgramId& id) {
  const auto entry = programs.find(id);
  return entry == programs.end() ? nullptr : &entry->second;
}

ProgramEntry& StateData::Insert(ProgramEntry entry) {
  const ProgramId id = entry.program.id;
  shard_index[ShardOf(id)].insert(id);
  for (const ProgramId& child : entry.program.children) {
    parent_index[child] = id;
  }
  if (entry.program.ended) {
    tombstones.emplace(entry.program.last_activity_ms, id);
  } else {
    ++live_programs;
  }
  if (const auto offsets = unknown_programs.find(id); offsets != unknown_programs.end()) {
    unknown_by_offset.erase({offsets->second.last(), id});
    unknown_programs.erase(offsets);
  }
  return programs[id] = std::move(entry);
}

void StateData::Erase(const ProgramId& id) {
  const auto entry = programs.find(id);
  if (entry == programs.end()) {
    return;
  }
  const Program& program = entry->second.program;
  const auto index = shard_index.find(ShardOf(id));
  index->second.erase(id);
  if (index->second.empty()) {
    shard_index.erase(index);
  }
  for (const ProgramId& child : program.children) {
    parent_index.erase(child);
  }
  if (program.ended) {
    tombstones.erase({program.last_activity_ms, id});
  } else {
    --live_programs;
  }
  programs.erase(entry);
}

void StateData::RebuildIndexes() {
  shard_index.clear();
  parent_index.clear();
  tombstones.clear();
  unknown_by_offset.clear();
  live_programs = 0;
  for (const auto& [id, entry] : programs) {
    shard_index[ShardOf(id)].insert(id);
    for (const ProgramId& child : entry.program.children) {
      parent_index[child] = id;
    }
    if (entry.program.ended) {
      tombstones.emplace(entry.program.last_activity_ms, id);
    } else {
      ++live_programs;
    }
  }
  for (const auto& [id, offsets] : unknown_programs) {
    unknown_by_offset.emplace(offsets.last(), id);
  }
}

void StateData::SetUnknownOffset(const ProgramId& id,
                                 Offset UnknownProgramOffsets::*member,
                                 Offset offset) {
  UnknownProgramOffsets& offsets = unknown_programs[id];
  unknown_by_offset.erase({offsets.last(), id});
  offsets.*member = offset;
  unknown_by_offset.emplace(offsets.last(), id);
}

UnknownProgramOffsets StateData::UnknownOffsetsOf(const ProgramId& id) const {
  const auto offsets = unknown_programs.find(id);
  return offsets == unknown_programs.end() ? UnknownProgramOffsets() : offsets->second;
}

void StateData::Expire(std::int64_t now_ms) {
  while (!tombstones.empty() && tombstones.begin()->first + tombstone_retention_ms <= now_ms) {
    const ProgramId id = tombstones.begin()->second;
    const Offset last_reference = programs.at(id).last_reference;
    Erase(id);
    // A delayed checkpoint of the parent may still list this child.
    SetUnknownOffset(id, &UnknownProgramOffsets::last_end, last_reference);
  }
  while (!unknown_by_offset.empty() &&
         unknown_by_offset.begin()->first.value() + kMaxObservedLag < applied.value()) {
    unknown_programs.erase(unknown_by_offset.begin()->second);
    unknown_by_offset.erase(unknown_by_offset.begin());
  }
}

void StateData::SampleTime(Offset offset, std::int64_t now_ms) {
  if (!times.empty() && now_ms < times.rbegin()->second + kTimeSampleIntervalMs) {
    return;
  }
  times[offset] = now_ms;
  std::erase_if(writers, [now_ms](const auto& writer) {
    return writer.second.last_ms + kWriterRetentionMs < now_ms;
  });
  if (times.size() <= kMaxTimeSamples) {
    return;
  }
  // Dropping every second sample covers the whole retention period in bounded memory.
  for (auto sample = std::next(times.begin()); sample != times.end();) {
    sample = times.erase(sample);
    if (sample != times.end()) {
      ++sample;
    }
  }
}

}  // namespace acaciaspring::journal
