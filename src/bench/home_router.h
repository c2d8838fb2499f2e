#ifndef ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_
#define ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_

#include <optional>
#include <random>
#include <vector>

#include "src/bench/simulation.h"

namespace acaciaspring::bench {

EndpointId EngineName(std::size_t engine);
std::size_t EngineNumber(const EndpointId& endpoint);
MonotonicTime At(double seconds);

/// @brief What a home sends to a router.
struct CallDescription {
  std::uint64_t call = 0;
  PrefixId program;
  PrefixId shared;
  std::uint32_t shared_tokens = 0;
  std::uint32_t prompt = 0;
  std::uint32_t rank = 0;
  double expected_output = 0;
};

struct Placement {
  std::size_t engine = 0;
  std::uint32_t expected_cached = 0;
};

/// @brief The view of one home: its own calls exactly, everything else by lagging reports.
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
  void OnLoad(std::size_t engine, const LoadReport& report, std::uint32_t own_at_sample);
  void OnCacheEvent(std::size_t engine, const CacheEvent& event, double now);
  void OnEngineLost(std::size_t engine);
  std::uint32_t own(std::size_t engine) const { return views_[engine].own; }

 private:
  struct View {
    bool live = true;
    std::uint32_t own = 0;
    std::uint32_t own_at_sample = 0;
    std::uint32_t reported = 0;
    double load() const {
      return reported - std::min(reported, own_at_sample) + static_cast<double>(own);
    }
  };

  std::size_t RoundRobin();
  std::size_t LeastLoaded();
  Placement PrefixAffine(const CallDescription& call, double now);
  RoutingRequest Request(const CallDescription& call) const;

  const Strategy& strategy_;
  std::mt19937_64 random_;
  AvailabilityZone zone_;
  EndpointChooser chooser_;
  std::vector<View> views_;
  std::size_t next_;
  EndpointChoice choice_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_HOME_ROUTER_H_
