#include "src/gateway/entry_directory.h"

#include <unordered_set>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Bounds the log while daemons start and stop in quick succession.
constexpr Duration kWeightingPeriod = std::chrono::seconds(1);

}  // namespace

EntryDirectory::EntryDirectory(Context& context, EntryDirectoryHandlers handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      correction_gauge_(
          context.metrics.GetGauge("acaciaspring_capacity_correction",
                                   "Factor from 0.1 to 1 derived from the event loop's delay")),
      delay_gauge_(context.metrics.GetGauge("acaciaspring_event_loop_delay_seconds",
                                            "Smoothed delay of the event loop")) {
  context.metrics
      .GetGauge("acaciaspring_capacity_cores",
                "Load that this daemon can take by its settings; 0 if unknown")
      .Set(LoadCapacity(context.options.self.capacity));
  correction_gauge_.Set(correction_.value());
}

void EntryDirectory::Start() {
  weighting_timer_ = context_.loop.Every(kWeightingPeriod, [this] { UpdateWeighting(); });
}

void EntryDirectory::Measure() {
  correction_.OnTimer(context_.loop.Now());
  correction_gauge_.Set(correction_.value());
  delay_gauge_.Set(std::chrono::duration<double>(correction_.delay()).count());
}

EntryDirectory::Candidates EntryDirectory::MakeCandidates() const {
  Candidates candidates;
  std::unordered_set<DaemonId> ready;
  const auto add = [&](const Member& member, bool is_ready, double correction, Duration age) {
    candidates.daemons.push_back({.zone = member.zone,
                                  .ready = is_ready,
                                  .capacity = member.capacity,
                                  .correction = correction,
                                  .correction_age = age});
    candidates.addresses.push_back(member.caller_address);
    if (is_ready) {
      ready.insert(member.id);
    }
  };
  for (const ReadyPeer& peer : handlers_.ready_peers()) {
    add(peer.member, true, peer.capacity_correction, peer.correction_age);
  }
  if (handlers_.self_is_ready()) {
    add(context_.options.self, true, correction_.value(), Duration::zero());
  }
  // Registered daemons that are not ready show what a zone has lost.
  for (const Member& member : handlers_.members()) {
    if (!ready.contains(member.id)) {
      add(member, false, 1, Duration::zero());
    }
  }
  return candidates;
}

EntryPoints EntryDirectory::Find(const AvailabilityZone& caller_zone) {
  const Candidates candidates = MakeCandidates();
  // Different on all daemons, also if they start together.
  const std::uint64_t seed = Hash64(context_.options.self.id.value(),
                                    context_.options.self.incarnation.value() + ++answers_);
  EntryPoints entry_points{.ttl = context_.options.directory_ttl};
  for (const std::size_t chosen : SelectEntryPoints(caller_zone, candidates.daemons, seed)) {
    entry_points.addresses.push_back(candidates.addresses[chosen]);
  }
  return entry_points;
}

void EntryDirectory::UpdateWeighting() {
  const Candidates candidates = MakeCandidates();
  const bool weighted = UnequalProcessors(candidates.daemons);
  if (std::exchange(weighted_, weighted) == weighted) {
    return;
  }
  correction_ = CapacityCorrection();
  measure_timer_ = {};
  // The weakest daemons see too few responses to tell by themselves how an endpoint fares.
  context_.endpoints.EnableConcurrencyLimits(weighted || context_.options.limit_concurrency,
                                             context_.loop.Now());
  if (weighted) {
    measure_timer_ = context_.loop.Every(CapacityCorrectionOptions().period, [this] { Measure(); });
  }
  std::int64_t ready = 0;
  for (const EntryPointCandidate& candidate : candidates.daemons) {
    ready += candidate.ready ? 1 : 0;
  }
  context_.events.Write("entry_points",
                        {{"weighted", std::int64_t{weighted ? 1 : 0}},
                         {"ready", ready},
                         {"known", static_cast<std::int64_t>(candidates.daemons.size())}});
}

}  // namespace acaciaspring::gateway
