#include "src/bench/home_router.h"

#include <algorithm>
#include <string>

namespace acaciaspring::bench {
namespace {

const ServiceId kService("model");
constexpr int kZones = 3;

AvailabilityZone Zone(std::size_t number) {
  return AvailabilityZone("zone" + std::to_string(number % kZones));
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

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

EndpointId EngineName(std::size_t engine) {
  return EndpointId(std::to_string(engine));
}

std::size_t EngineNumber(const EndpointId& endpoint) {
  return std::stoul(endpoint.value());
}

MonotonicTime At(double seconds) {
  return MonotonicTime(Seconds(seconds));
}

HomeRouter::HomeRouter(const Strategy& strategy,
                       std::size_t home,
                       std::size_t engines,
                       const EngineOptions& engine,
                       std::uint64_t seed)
    : strategy_(strategy),
      random_(Hash64("home" + std::to_string(home), seed)),
      zone_(Zone(home)),
      chooser_(ChooserOptions(strategy)),
      views_(engines),
      next_(home) {
  for (std::size_t i = 0; i < engines; ++i) {
    chooser_.SetEndpoint({.id = EngineName(i),
                          .zone = Zone(i),
                          .services = {kService},
                          .speed = {.prefill_tokens_per_second = engine.prefill_tokens_per_second,
                                    .token_interval = Seconds(engine.step_s),
                                    .token_interval_per_stream = Seconds(engine.step_per_stream_s),
                                    .concurrency = engine.slots}});
  }
}

RoutingRequest HomeRouter::Request(const CallDescription& call) const {
  RoutingRequest request{
      .service = kService,
      .zone = zone_,
      .program_prefix = call.program,
      .prompt = TokenCount(call.prompt),
      .expected_output = TokenCount(static_cast<std::uint64_t>(call.expected_output))};
  return request;
}

std::size_t HomeRouter::RoundRobin() {
  do {
    next_ = (next_ + 1) % views_.size();
  } while (!views_[next_].live);
  return next_;
}

std::size_t HomeRouter::LeastLoaded() {
  std::size_t best = views_.size();
  const std::size_t start =
      std::uniform_int_distribution<std::size_t>(0, views_.size() - 1)(random_);
  for (std::size_t i = 0; i < views_.size(); ++i) {
    const std::size_t engine = (start + i) % views_.size();
    if (views_[engine].live &&
        (best == views_.size() || views_[engine].load() < views_[best].load())) {
      best = engine;
    }
  }
  return best;
}

// The holder of the longest cached prefix of the prompt, unless it has a batch more than the least
// loaded engine.
Placement HomeRouter::PrefixAffine(const CallDescription& call, double now) {
  constexpr double kTolerance = 8;
  const std::size_t least = LeastLoaded();
  Placement best{.engine = least, .expected_cached = 0};
  for (const PrefixId prefix : {call.program, call.shared}) {
    std::vector<CacheHolder> holders;
    chooser_.cache().FindHolders(prefix, At(now), holders);
    for (const CacheHolder& holder : holders) {
      const std::size_t engine = EngineNumber(holder.endpoint);
      const auto tokens = static_cast<std::uint32_t>(holder.tokens.value());
      if (views_[engine].live && tokens > best.expected_cached &&
          views_[engine].load() <= views_[least].load() + kTolerance) {
        best = {.engine = engine, .expected_cached = tokens};
      }
    }
  }
  return best;
}

std::optional<Placement> HomeRouter::Choose(const CallDescription& call, double now) {
  switch (strategy_.router) {
    case Router::kRoundRobin:
      return Placement{.engine = RoundRobin()};
    case Router::kLeastLoaded:
      return Placement{.engine = LeastLoaded()};
    case Router::kPrefixAffine:
      return PrefixAffine(call, now);
    case Router::kPolicy:
      break;
  }
  const auto choice = chooser_.Choose(Request(call), At(now), random_);
  if (!choice) {
    return std::nullopt;
  }
  choice_ = *choice;
  return Placement{.engine = EngineNumber(choice->endpoint),
                   .expected_cached = static_cast<std::uint32_t>(choice->expected_cached.value())};
}

void HomeRouter::OnStarted(const CallDescription& call, const Placement& placement, double now) {
  ++views_[placement.engine].own;
  if (strategy_.router == Router::kPolicy) {
    chooser_.OnStarted(InFlightId(call.call), Request(call), choice_, At(now));
  }
}

void HomeRouter::OnFirstToken(std::uint64_t call, double now) {
  chooser_.OnFirstToken(InFlightId(call), At(now));
}

void HomeRouter::OnFinished(const CallDescription& call,
                            std::size_t engine,
                            std::uint32_t cached,
                            double now) {
  --views_[engine].own;
  if (strategy_.router == Router::kPolicy) {
    chooser_.OnFinished(InFlightId(call.call), TokenCount(cached), At(now));
  } else if (strategy_.router == Router::kPrefixAffine && cached > 0) {
    chooser_.cache().OnCompletion(EngineName(engine), call.program, TokenCount(cached), At(now));
    chooser_.cache().OnCompletion(EngineName(engine), call.shared, TokenCount(call.shared_tokens),
                                  At(now));
  }
}

void HomeRouter::OnLoad(std::size_t engine, const LoadReport& report, std::uint32_t own_at_sample) {
  views_[engine].reported = report.running + report.waiting;
  views_[engine].own_at_sample = own_at_sample;
  chooser_.OnLoad(EngineName(engine), report);
}

void HomeRouter::OnCacheEvent(std::size_t engine, const CacheEvent& event, double now) {
  chooser_.cache().OnEvent(EngineName(engine), event, At(now));
}

void HomeRouter::OnEngineLost(std::size_t engine) {
  views_[engine].live = false;
  chooser_.RemoveEndpoint(EngineName(engine));
}

}  // namespace acaciaspring::bench
