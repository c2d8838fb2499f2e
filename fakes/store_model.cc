#include "fakes/store_model.h"

#include <algorithm>

namespace acaciaspring::fakes {

namespace {

// Repetitions of older appends are refused as a sequence gap.
constexpr std::size_t kMaxRecentResults = 5;

}  // namespace

StoreAppendResult StorePartition::Append(const StoreAppend& append) {
  if (append.at && *append.at != end()) {
    return StoreNotAtEnd{.end = end()};
  }
  ProducerState* state = nullptr;
  if (append.producer) {
    const StoreAppend::Producer& producer = *append.producer;
    state = &producers_[producer.name];
    if (producer.epoch < state->epoch) {
      return StoreFenced{};
    }
    if (producer.epoch > state->epoch) {
      *state = {.epoch = producer.epoch, .next_sequence = producer.sequence, .recent_results = {}};
    }
    if (append.records.empty()) {
      return StoreAppended{.offset = end(), .end = end()};
    }
    if (const auto repeat = state->recent_results.find(producer.sequence);
        repeat != state->recent_results.end()) {
      return repeat->second;
    }
    if (producer.sequence != state->next_sequence) {
      return StoreSequenceGap{.expected = state->next_sequence};
    }
  }
  const std::uint64_t offset = end();
  records_.insert(records_.end(), append.records.begin(), append.records.end());
  const StoreAppended appended{.offset = offset, .end = end()};
  if (state != nullptr) {
    state->recent_results[state->next_sequence++] = appended;
    if (state->recent_results.size() > kMaxRecentResults) {
      state->recent_results.erase(state->recent_results.begin());
    }
  }
  return appended;
}

void StorePartition::TrimBefore(std::uint64_t offset) {
  while (first_ < offset && !records_.empty()) {
    records_.pop_front();
    ++first_;
  }
}

StoreGroup::JoinResult StoreGroup::Join(const std::string& member,
                                        std::uint64_t generation,
                                        Duration ttl,
                                        const std::vector<StorePartitionId>& partitions,
                                        MonotonicTime now) {
  Expire(now);
  bool changed = !members_.contains(member);
  for (const StorePartitionId& name : partitions) {
    changed = assignments_.try_emplace(name).second || changed;
  }
  members_[member] = {.expires_at = now + ttl, .generation = generation};
  if (changed) {
    Rebalance();
  }
  MoveReleasedPartitions();
  JoinResult result{.generation = generation_, .partitions = {}};
  for (const auto& [name, assignment] : assignments_) {
    if (assignment.owner == member && assignment.target == member) {
      result.partitions.push_back(name);
    }
  }
  return result;
}

void StoreGroup::Leave(const std::string& member) {
  if (members_.erase(member) > 0) {
    Rebalance();
    MoveReleasedPartitions();
  }
}

void StoreGroup::Expire(MonotonicTime now) {
  if (std::erase_if(members_, [now](const auto& entry) { return entry.second.expires_at < now; }) >
      0) {
    Rebalance();
    MoveReleasedPartitions();
  }
}

void StoreGroup::ReassignPartitions() {
  ++rotation_;
  Rebalance();
}

void StoreGroup::Rebalance() {
  ++generation_;
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    names.push_back(name);
  }
  std::uint64_t index = rotation_;
  for (auto& [name, assignment] : assignments_) {
    assignment.target = names.empty() ? std::string() : names[index++ % names.size()];
  }
}

void StoreGroup::MoveReleasedPartitions() {
  for (auto& [name, assignment] : assignments_) {
    const auto owner = members_.find(assignment.owner);
    const bool released = owner == members_.end() || owner->second.generation >= generation_;
    if (assignment.owner != assignment.target && released) {
      assignment.owner = assignment.target;
    }
  }
}

}  // namespace acaciaspring::fakes
