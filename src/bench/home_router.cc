#include "src/bench/home_router.h"

#include <algorithm>
#include <string>

namespace acaciaspring::bench {
namespace {

const ServiceId kService("model");
constexpr int kZones = 3;

AvailabilityZone ZoneOf(std::size_t index) {
  return AvailabilityZone("zone" + std::to_string(index % kZones));
}

EndpointChooserOptions ChooserOptions(const Strategy& strategy) {
  EndpointChooserOptions options;
  options.use_cache_index = strategy.cache_index;
  options.correct_reports = strategy.correct_reports;
  options.use_ranks = strategy.class_aware_placement && strategy.order_by_class;
  if (!strategy.prefill_interference) {
    options.prefill_interference = 0;
  }
  if (!strategy.random_candidates) {
    options.random_candidates = 0;
  }
  return options;
}

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

EndpointId EndpointIdOf(std::size_t engine) {
  return EndpointId(std::to_string(engine));
}

std::size_t EngineIndex(const EndpointId& endpoint) {
  return std::stoul(endpoint.value());
}

MonotonicTime ToMonotonicTime(double seconds) {
  return MonotonicTime(ToDuration(seconds));
}

HomeRouter::HomeRouter(const Strategy& strategy,
                       std::size_t home,
                       std::size_t engines,
                       const EngineOptions& engine,
                       std::uint64_t seed)
    : strategy_(strategy),
      random_(Hash64("home" + std::to_string(home), seed)),
      zone_(ZoneOf(home)),
      chooser_(ChooserOptions(strategy)),
      engines_(engines),
      last_engine_(home) {
  for (std::size_t i = 0; i < engines; ++i) {
    chooser_.SetEndpoint(
        {.id = EndpointIdOf(i),
         .zone = ZoneOf(i),
         .services = {kService},
         .speed = {.prefill_tokens_per_second = engine.prefill_tokens_per_second,
                   .token_interval = ToDuration(engine.step_s),
                   .token_interval_per_stream = ToDuration(engine.step_per_stream_s),
                   .concurrency = engine.slots}});
  }
}

RoutingRequest HomeRouter::MakeRequest(const CallDescription& call) const {
  RoutingRequest request{
      .service = kService,
      .zone = zone_,
      .program_prefix = call.program_prefix,
      .prompt = TokenCount(call.prompt),
      .expected_output = TokenCount(static_cast<std::uint64_t>(call.expected_output))};
  return request;
}

std::size_t HomeRouter::ChooseRoundRobin() {
  do {
    last_engine_ = (last_engine_ + 1) % engines_.size();
  } while (!engines_[last_engine_].live);
  return last_engine_;
}

std::size_t HomeRouter::ChooseLeastLoaded() {
  std::size_t best = engines_.size();
  const std::size_t start =
      std::uniform_int_distribution<std::size_t>(0, engines_.size() - 1)(random_);
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const std::size_t engine = (start + i) % engines_.size();
    if (engines_[engine].live &&
        (best == engines_.size() || engines_[engine].load() < engines_[best].load())) {
      best = engine;
    }
  }
  return best;
}

// Chooses the engine with the longest cached prefix of the prompt, unless its load exceeds that of
// the least loaded engine by more than kLoadTolerance calls.
Placement HomeRouter::ChoosePrefixAffine(const CallDescription& call, double now) {
  constexpr double kLoadTolerance = 8;
  const std::size_t least_loaded = ChooseLeastLoaded();
  Placement best{.engine = least_loaded, .expected_cached = 0};
  for (const PrefixId prefix : {call.program_prefix, call.shared_prefix}) {
    std::vector<CacheHolder> holders;
    chooser_.cache().FindHolders(prefix, ToMonotonicTime(now), holders);
    for (const CacheHolder& holder : holders) {
      const std::size_t engine = EngineIndex(holder.endpoint);
      const auto tokens = static_cast<std::uint32_t>(holder.tokens.value());
      if (engines_[engine].live && tokens > best.expected_cached &&
          engines_[engine].load() <= engines_[least_loaded].load() + kLoadTolerance) {
        best = {.engine = engine, .expected_cached = tokens};
      }
    }
  }
  return best;
}

std::optional<Placement> HomeRouter::Choose(const CallDescription& call, double now) {
  switch (strategy_.router) {
    case Router::kRoundRobin:
      return Placement{.engine = ChooseRoundRobin()};
    case Router::kLeastLoaded:
      return Placement{.engine = ChooseLeastLoaded()};
    case Router::kPrefixAffine:
      return ChoosePrefixAffine(call, now);
    case Router::kPolicy:
      break;
  }
  const auto choice = chooser_.Choose(MakeRequest(call), ToMonotonicTime(now), random_);
  if (!choice) {
    return std::nullopt;
  }
  last_choice_ = *choice;
  return Placement{.engine = EngineIndex(choice->endpoint),
                   .expected_cached = static_cast<std::uint32_t>(choice->expected_cached.value())};
}

void HomeRouter::OnStarted(const CallDescription& call, const Placement& placement, double now) {
  ++engines_[placement.engine].in_flight;
  if (strategy_.router == Router::kPolicy) {
    chooser_.OnStarted(InFlightId(call.call), MakeRequest(call), last_choice_,
                       ToMonotonicTime(now));
  }
}

void HomeRouter::OnFirstToken(std::uint64_t call, double now) {
  chooser_.OnFirstToken(InFlightId(call), ToMonotonicTime(now));
}

void HomeRouter::OnFinished(const CallDescription& call,
                            std::size_t engine,
                            std::uint32_t cached,
                            double now) {
  --engines_[engine].in_flight;
  if (strategy_.router == Router::kPolicy) {
    chooser_.OnFinished(InFlightId(call.call), TokenCount(cached), ToMonotonicTime(now));
  } else if (strategy_.router == Router::kPrefixAffine && cached > 0) {
    chooser_.cache().OnCompletion(EndpointIdOf(engine), call.program_prefix, TokenCount(cached),
                                  ToMonotonicTime(now));
    chooser_.cache().OnCompletion(EndpointIdOf(engine), call.shared_prefix,
                                  TokenCount(call.shared_tokens), ToMonotonicTime(now));
  }
}

void HomeRouter::OnLoad(std::size_t engine,
                        const LoadReport& report,
                        std::uint32_t in_flight_at_sample) {
  engines_[engine].reported_load = report.running + report.waiting;
  engines_[engine].in_flight_at_sample = in_flight_at_sample;
  chooser_.OnLoad(EndpointIdOf(engine), report);
}

void HomeRouter::OnCacheEvent(std::size_t engine, const CacheEvent& event, double now) {
  chooser_.cache().OnEvent(EndpointIdOf(engine), event, ToMonotonicTime(now));
}

void HomeRouter::OnEngineFailed(std::size_t engine) {
  engines_[engine].live = false;
  chooser_.RemoveEndpoint(EndpointIdOf(engine));
}

}  // namespace acaciaspring::bench
