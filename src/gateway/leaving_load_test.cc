#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr std::int64_t kStartWallMs = 1'700'000'000'000;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr int kStepsPerSecond = 100;
constexpr int kCallsPerStep = 4;
const ServiceId kService("engines");

/// @brief A daemon, and endpoints that leave and start again, while its registry is read late, from
/// an old state or not at all.
class Simulation {
 public:
  Simulation(std::size_t endpoints, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < endpoints; ++i) {
      processes_[EndpointId("e" + std::to_string(i))] = {.started_at_ms = WallMs()};
    }
    Read();
  }

  void Run(int seconds, bool disturbed) {
    for (int step = 0; step < seconds * kStepsPerSecond; ++step) {
      now_ += kStep;
      if (disturbed) {
        Disturb();
      }
      EndProcesses();
      if (step % (kStepsPerSecond / 2) == 0) {
        history_.push_back(Registry());
        if (history_.size() > kHistory) {
          history_.pop_front();
        }
        if (!disturbed || !Chance(1, 4)) {
          Read();
        }
      }
      for (int call = 0; call < kCallsPerStep; ++call) {
        Call();
      }
    }
  }

  /// @brief Calls to a start that had told this daemon that it leaves.
  std::size_t late_calls() const { return late_calls_; }
  std::size_t words() const { return words_; }
  std::size_t starts() const { return starts_; }
  std::size_t unserved() const { return unserved_; }
  /// @brief Endpoints that run and have not been called since the last call of this.
  std::size_t TakeUnused() {
    const auto unused = processes_.size() - called_.size();
    called_.clear();
    return unused;
  }

 private:
  struct Process {
    std::int64_t started_at_ms = 0;
    std::optional<MonotonicTime> ends_at = {};
    /// Its entry says that it drains.
    bool registered = false;
    bool told = false;
  };
  static constexpr std::size_t kHistory = 16;

  bool Chance(int part, int of) {
    return std::uniform_int_distribution<int>(1, of)(random_) <= part;
  }
  std::int64_t WallMs() const {
    return kStartWallMs +
           std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart).count();
  }
  std::vector<RegisteredEndpoint> Registry() const {
    std::vector<RegisteredEndpoint> entries;
    for (const auto& [id, process] : processes_) {
      entries.push_back(
          {.id = id,
           .service = kService,
           .address = {.ip = "10.0.0.1", .port = 80},
           .slots = 10,
           .state = process.registered ? EndpointState::kDraining : EndpointState::kReady,
           .started_at_ms = process.started_at_ms});
    }
    return entries;
  }
  void Read() {
    // One read in five returns what the registry held up to eight seconds ago.
    const bool stale = !history_.empty() && Chance(1, 5);
    table_.SetEndpoints(
        stale
            ? history_[std::uniform_int_distribution<std::size_t>(0, history_.size() - 1)(random_)]
            : Registry(),
        now_);
  }
  void Disturb() {
    for (auto& [id, process] : processes_) {
      if (!process.ends_at && Chance(1, 20 * kStepsPerSecond)) {
        process.ends_at = now_ + std::chrono::milliseconds(
                                     std::uniform_int_distribution<int>(2000, 9000)(random_));
        process.registered = Chance(1, 2);
      }
    }
  }
  void EndProcesses() {
    for (auto& [id, process] : processes_) {
      if (process.ends_at && *process.ends_at <= now_) {
        process = {.started_at_ms = WallMs()};
        ++starts_;
      }
    }
  }
  void Call() {
    const RegisteredEndpoint* chosen = table_.Choose({.service = kService}, now_, random_);
    if (chosen == nullptr) {
      ++unserved_;
      return;
    }
    called_.insert(chosen->id);
    Process& process = processes_.at(chosen->id);
    late_calls_ += process.told ? 1 : 0;
    if (process.ends_at) {
      process.told = true;
      words_ += table_.OnLeaving({.endpoint = chosen->id,
                                  .started_at_ms = chosen->started_at_ms,
                                  .at = now_,
                                  .wall_ms = WallMs()})
                        .has_value()
                    ? 1
                    : 0;
    }
  }

  std::mt19937_64 random_;
  MonotonicTime now_ = kStart;
  std::map<EndpointId, Process> processes_;
  std::deque<std::vector<RegisteredEndpoint>> history_;
  EndpointTable table_{AvailabilityZone("z")};
  std::set<EndpointId> called_;
  std::size_t late_calls_ = 0;
  std::size_t words_ = 0;
  std::size_t starts_ = 0;
  std::size_t unserved_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_load)

// Guards against calls to endpoints that have said that they leave, and against endpoints that are
// left out for good, when hundreds leave and start again under an outdated registry.
BOOST_AUTO_TEST_CASE(hundreds_of_endpoints_leave_and_come_back) {
  constexpr std::size_t kEndpoints = 300;
  for (const std::uint64_t seed : {1, 2, 3}) {
    Simulation simulation(kEndpoints, seed);
    simulation.Run(/*seconds=*/60, /*disturbed=*/true);
    BOOST_TEST(simulation.late_calls() == 0U);
    BOOST_TEST(simulation.unserved() == 0U);
    BOOST_TEST(simulation.words() > kEndpoints);
    BOOST_TEST(simulation.starts() > kEndpoints);
    // The longest time for which a start in doubt is left out.
    simulation.Run(/*seconds=*/70, /*disturbed=*/false);
    simulation.TakeUnused();
    simulation.Run(/*seconds=*/40, /*disturbed=*/false);
    BOOST_TEST(simulation.TakeUnused() == 0U);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << simulation.words() << " words, "
                               << simulation.starts() << " starts");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
