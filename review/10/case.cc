// Turns run on while their partitions move by planned stops, two machines at a time.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include "review/support-2/harness.h"

namespace acaciaspring::review {
namespace {

constexpr std::uint32_t kPrograms = 70;
constexpr std::uint32_t kMostEvents = 16;
constexpr std::uint64_t kMost = kMostEvents * kStride;
constexpr std::uint64_t kBudget = 3 * kMost;
constexpr Duration kEventInterval = std::chrono::milliseconds(60);
constexpr Duration kLength = std::chrono::seconds(95);
constexpr Duration kBetweenStops = std::chrono::milliseconds(6500);
constexpr Duration kToSecondStop = std::chrono::milliseconds(500);
constexpr Duration kBetweenReloads = std::chrono::seconds(1);
// bounds.config_apply_ms of the settings, and grace_s + 1 s.
constexpr Duration kReloadWindow = std::chrono::seconds(2);
constexpr Duration kStopWindow = std::chrono::seconds(9);
// A turn that has used more than this of its 4 s may have reached its deadline.
constexpr Duration kLongest = std::chrono::milliseconds(3500);

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}
  int Run();

 private:
  struct Signals {
    std::vector<MonotonicTime> stops;
    std::vector<MonotonicTime> reloads;
  };
  std::uint64_t Below(std::uint64_t below) { return random_() % below; }
  void Later(Duration delay, std::function<void()> callback) {
    timers_.push_back(site_.loop().After(delay, std::move(callback)));
  }
  void Stop(std::size_t index);
  void StopTwo();
  void Reload();
  /// @brief A program: turns one after another, and sub-agents of two turns each, until the 402.
  void Begin();
  void Continue(const std::string& program,
                const std::string& previous,
                int turns,
                bool main_line,
                int tries);
  void Check(const Turn& turn, std::size_t index, MonotonicTime sent_at, const TurnResult& result);

  Site& site_;
  std::mt19937_64 random_{7};
  std::vector<net::Timer> timers_;
  std::map<std::size_t, Signals> signals_;
  std::size_t next_stop_ = 0;
  std::size_t next_reload_ = 0;
  bool on_ = true;
  std::uint64_t whole_ = 0;
  std::uint64_t cut_ = 0;
  std::uint64_t broken_ = 0;
};

void Case::Stop(std::size_t index) {
  Daemon& daemon = site_.daemon(index % site_.daemons().size());
  site_.journal().Write("plan     SIGTERM to " + daemon.name());
  signals_[daemon.index()].stops.push_back(site_.loop().Now());
  daemon.Signal(SIGTERM);
}

void Case::StopTwo() {
  if (!on_) {
    return;
  }
  const std::size_t first = next_stop_;
  next_stop_ += 2;
  Stop(first);
  Later(kToSecondStop, [this, first] { Stop(first + 1); });
  Later(kBetweenStops, [this] { StopTwo(); });
}

void Case::Reload() {
  if (!on_) {
    return;
  }
  // Three of four machines, not within a second of a start or a stop of theirs.
  const std::size_t spared = next_reload_++ % site_.daemons().size();
  for (const auto& daemon : site_.daemons()) {
    const auto& stops = signals_[daemon->index()].stops;
    const bool stopping = !stops.empty() && site_.loop().Now() - stops.back() < kBetweenStops;
    if (daemon->index() != spared && daemon->running() && !stopping) {
      site_.journal().Write("plan     SIGHUP to " + daemon->name());
      signals_[daemon->index()].reloads.push_back(site_.loop().Now());
      daemon->Signal(SIGHUP);
    }
  }
  Later(kBetweenReloads, [this] { Reload(); });
}

void Case::Begin() {
  if (on_) {
    Continue(site_.NextId() + "p", "", 1000, true, 2);
  }
}

void Case::Check(const Turn& turn,
                 std::size_t index,
                 MonotonicTime sent_at,
                 const TurnResult& result) {
  whole_ += result.whole ? 1 : 0;
  const MonotonicTime now = site_.loop().Now();
  if (!result.cut || result.status != 200 || now - sent_at > kLongest) {
    return;
  }
  ++cut_;
  bool planned = false;
  for (const MonotonicTime at : signals_[index].stops) {
    planned = planned || (at <= now && now - at <= kStopWindow);
  }
  for (const MonotonicTime at : signals_[index].reloads) {
    planned = planned || (at <= now && sent_at - at <= kReloadWindow);
  }
  broken_ += planned ? 1 : 0;
  site_.journal().Write("cut      " + turn.id + " of program " + turn.program + " after " +
                        std::to_string(result.events) + " of " + std::to_string(turn.events) +
                        " events, by " + site_.daemon(index).name() +
                        (planned ? ", around a SIGTERM or SIGHUP of that machine: BROKEN" : ""));
}

void Case::Continue(const std::string& program,
                    const std::string& previous,
                    int turns,
                    bool main_line,
                    int tries) {
  const Turn turn{.id = site_.NextId(),
                  .program = program,
                  .session = program + (main_line ? "m" : "s"),
                  .previous = previous,
                  .budget = kBudget,
                  .max_tokens = kMost,
                  .events = static_cast<std::uint32_t>(1 + Below(kMostEvents)),
                  .text = "turn"};
  const std::size_t index = Below(site_.daemons().size());
  site_.Send(site_.daemon(index), turn,
             [this, turn, index, turns, main_line, tries,
              sent_at = site_.loop().Now()](const TurnResult& result) {
               Check(turn, index, sent_at, result);
               const bool spent = result.status == 402;
               if (!result.whole && !spent && tries > 0) {
                 Later(std::chrono::milliseconds(100 + Below(300)), [=, this] {
                   Continue(turn.program, turn.previous, turns, main_line, tries - 1);
                 });
                 return;
               }
               if (!result.whole || turns <= 1) {
                 if (main_line) {
                   Later(std::chrono::milliseconds(50), [this] { Begin(); });
                 }
                 return;
               }
               if (main_line && Below(3) == 0) {
                 for (std::uint64_t i = 1 + Below(4); i > 0; --i) {
                   Continue(turn.program, turn.id, 2, false, 2);
                 }
               }
               Later(std::chrono::milliseconds(1 + Below(150)),
                     [=, this] { Continue(turn.program, turn.id, turns - 1, main_line, 2); });
             });
}

int Case::Run() {
  for (const auto& daemon : site_.daemons()) {
    daemon->SetRestartDelay(std::chrono::milliseconds(300));
  }
  for (const auto& engine : site_.engines()) {
    engine->SetEventInterval(kEventInterval);
  }
  if (!site_.StartAll()) {
    std::cout << "the daemons do not become ready\n";
    return 2;
  }
  for (std::uint32_t i = 0; i < kPrograms; ++i) {
    Begin();
  }
  if (Trouble()) {
    StopTwo();
    Reload();
  }
  site_.RunFor(kLength);
  on_ = false;
  site_.RunFor(std::chrono::seconds(5));
  std::cout << whole_ << " turns answered whole, " << cut_ << " cut off, " << broken_
            << " of them around planned work on their machine\n";
  return broken_ > 0 ? 1 : 0;
}

}  // namespace
}  // namespace acaciaspring::review

int main(int, char** argv) {
  acaciaspring::review::Site site(argv[1], {.daemons = 4, .engines = 3});
  return acaciaspring::review::Case(site).Run();
}
