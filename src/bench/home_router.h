#ifndef ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_
#define ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_

#include <optional>
#include <random>
#include <vector>

#include "src/bench/simulation.h"

namespace acaciaspring::bench {

EndpointId EndpointIdOf(std::size_t engine);
std::size_t EngineIndex(const EndpointId& endpoint);
MonotonicTime ToMonotonicTime(double seconds);

/// @brief What the home of a program knows about a call when it chooses an engine.
struct CallDescription {
  std::uint64_t call = 0;
  PrefixId program_prefix;
  PrefixId shared_prefix;
  std::uint32_t shared_tokens = 0;
  std::uint32_t prompt = 0;
  std::uint32_t rank = 0;
  double expected_output = 0;
};

struct Placement {
  std::size_t engine = 0;
  std::uint32_t expected_cached = 0;
};

/// @brief Chooses engines for the calls of one home, that is, a daemon that runs programs. It knows
/// its own calls exactly, but the calls of other homes and the contents of the caches only from
/// delayed reports.
class HomeRouter {
 public:
  HomeRouter(const Strategy& strategy,
             std::size_t home,
             std::size_t engines,
             const EngineOptions& engine,
             std::uint64_t seed);

  std::optional<Placement> Choose(const CallDescription& call, double now);
  void OnStarted(const CallDescription& call, const Placement& placement, double now);
  void OnFirstToken(std::uint64_t call, double now);
  void OnFinished(const CallDescription& call,
                  std::size_t engine,
                  std::uint32_t cached,
                  double now);
  void OnLoad(std::size_t engine, const LoadReport& report, std::uint32_t in_flight_at_sample);
  void OnCacheEvent(std::size_t engine, const CacheEvent& event, double now);
  void OnEngineFailed(std::size_t engine);
  /// @brief Number of calls of this home in flight on the engine.
  std::uint32_t in_flight(std::size_t engine) const { return engines_[engine].in_flight; }

 private:
  struct EngineView {
    bool live = true;
    std::uint32_t in_flight = 0;
    std::uint32_t in_flight_at_sample = 0;
    std::uint32_t reported_load = 0;
    /// Reported load, corrected for the calls of this home that started or ended since the sample.
    double load() const {
      return reported_load - std::min(reported_load, in_flight_at_sample) +
             static_cast<double>(in_flight);
    }
  };

  std::size_t ChooseRoundRobin();
  std::size_t ChooseLeastLoaded();
  Placement ChoosePrefixAffine(const CallDescription& call, double now);
  RoutingRequest MakeRequest(const CallDescription& call) const;

  const Strategy& strategy_;
  std::mt19937_64 random_;
  AvailabilityZone zone_;
  EndpointChooser chooser_;
  std::vector<EngineView> engines_;
  /// Engine of the last call placed by round robin.
  std::size_t last_engine_;
  /// Result of the last Choose() with the policy router, for OnStarted().
  EndpointChoice last_choice_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_
