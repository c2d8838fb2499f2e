#include <algorithm>
#include <bit>
#include <cmath>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::size_t BucketOf(Duration pause, std::size_t buckets) {
  const auto ms = static_cast<std::uint64_t>(std::max<Duration::rep>(pause.count(), 0)) / 1000;
  return std::min<std::size_t>(std::bit_width(ms), buckets - 1);
}

}  // namespace

PausePolicy::PausePolicy(PausePolicyOptions options) : options_(options) {
  const std::size_t bucket = BucketOf(options_.initial_pause, kBuckets);
  initial_.count[bucket] = 1;
  initial_.seconds[bucket] = Seconds(options_.initial_pause);
}

const PausePolicy::History& PausePolicy::HistoryOf(const ServiceId& tool) const {
  const auto found = services_.find(tool);
  return found == services_.end() ? initial_ : found->second;
}

void PausePolicy::OnPauseEnded(const ServiceId& tool, Duration pause) {
  if (!services_.contains(tool) && services_.size() >= options_.max_services) {
    return;
  }
  History& history = services_[tool];
  for (std::size_t i = 0; i < kBuckets; ++i) {
    history.count[i] *= options_.sample_decay;
    history.seconds[i] *= options_.sample_decay;
  }
  const std::size_t bucket = BucketOf(pause, kBuckets);
  history.count[bucket] += 1;
  history.seconds[bucket] += std::max(0.0, Seconds(pause));
}

Duration PausePolicy::ExpectedPause(const ServiceId& tool) const {
  const History& history = HistoryOf(tool);
  double count = 0;
  double seconds = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    count += history.count[i];
    seconds += history.seconds[i];
  }
  return Duration(static_cast<Duration::rep>(1e6 * seconds / count));
}

// All costs are in seconds of engine time. Keeping the cache with a release after T costs the
// memory until the pause ends or T has passed, plus a new prefill if the pause lasts longer than T.
// T is the bucket boundary with the lowest expected cost.
PauseDecision PausePolicy::Decide(const PauseContext& context) const {
  const auto cached = static_cast<double>(context.cached.value());
  const double capacity = std::max(1.0, static_cast<double>(context.kv_capacity.value()));
  const double utilisation = static_cast<double>(context.kv_used.value()) / capacity;
  const double pressure = std::clamp(
      (utilisation - options_.free_utilisation) / (1 - options_.free_utilisation), 0.0, 1.0);
  const double hold_cost_per_second = options_.full_memory_cost * pressure * cached / capacity;
  const double drop_cost = cached / std::max(1.0, context.prefill_tokens_per_second);

  const History& history = HistoryOf(context.tool);
  double total = 0;
  for (const double count : history.count) {
    total += count;
  }
  double best_cost = drop_cost;
  PauseDecision best{.action = PauseAction::kDrop, .release_after = Duration::zero()};
  if (context.export_tokens_per_second > 0 && context.import_tokens_per_second > 0) {
    const double export_cost =
        cached / context.export_tokens_per_second + cached / context.import_tokens_per_second;
    if (export_cost < best_cost) {
      best_cost = export_cost;
      best.action = PauseAction::kExport;
    }
  }
  double ended_share = 0;
  double ended_seconds = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    ended_share += history.count[i] / total;
    ended_seconds += history.seconds[i] / total;
    // Upper boundary of the bucket: a pause in bucket i lasts less than 2^i ms.
    const double release_seconds = std::ldexp(1e-3, static_cast<int>(i));
    const double outlasting_share = std::max(0.0, 1 - ended_share);
    const double cost =
        hold_cost_per_second * (ended_seconds + outlasting_share * release_seconds) +
        outlasting_share * drop_cost;
    if (cost < best_cost - 1e-12) {
      best_cost = cost;
      best = {.action = PauseAction::kKeep,
              .release_after = Duration(static_cast<Duration::rep>(1e6 * release_seconds))};
    }
  }
  return best;
}

}  // namespace acaciaspring
