// The loop from answers over load and measured delay to corrections, in virtual time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

#include "src/gateway/capacity_correction.h"
#include "src/routing/entry_test_support.h"

namespace acaciaspring::gateway {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kStatusPeriod = std::chrono::milliseconds(450);

/// @brief Callers of four zones, and daemons whose event loops are delayed by their load.
class Balance {
 public:
  /// @brief `utilisation` is the mean of all daemons at their nominal capacity.
  Balance(std::vector<EntryPointCandidate> daemons, double utilisation)
      : daemons_(std::move(daemons)),
        corrections_(daemons_.size()),
        speed_(daemons_.size(), 1),
        load_(daemons_.size(), 0),
        backlog_(daemons_.size(), 0),
        timers_(daemons_.size(), now_) {
    double capacity = 0;
    for (const EntryPointCandidate& daemon : daemons_) {
      capacity += LoadCapacity(daemon.capacity);
    }
    load_per_caller_ = capacity * utilisation / kCallers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers_.push_back({.zone = Zone(i % 4)});
    }
  }

  void Slow(std::size_t daemon, double factor) { speed_[daemon] = 1 / factor; }

  void Run(
      Duration duration,
      const std::function<void()>& on_step = [] {}) {
    for (const MonotonicTime end = now_ + duration; now_ < end; now_ += kStep) {
      Step();
      on_step();
    }
  }

  double correction(std::size_t daemon) const { return corrections_[daemon].value(); }
  /// @brief Load relative to the actual capacity.
  double Utilisation(std::size_t daemon) const {
    return load_[daemon] / (LoadCapacity(daemons_[daemon].capacity) * speed_[daemon]);
  }
  std::size_t size() const { return daemons_.size(); }

 private:
  static constexpr std::size_t kCallers = 6000;
  struct Caller {
    AvailabilityZone zone;
    std::vector<std::size_t> answer = {};
    MonotonicTime expiry = {};
  };

  void Step() {
    if (now_ >= next_status_) {
      next_status_ = now_ + kStatusPeriod;
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        daemons_[i].correction = corrections_[i].value();
      }
    }
    for (Caller& caller : callers_) {
      if (now_ < caller.expiry) {
        continue;
      }
      AddLoad(caller.answer, -load_per_caller_);
      caller.answer = SelectEntryPoints(caller.zone, daemons_, random_());
      AddLoad(caller.answer, load_per_caller_);
      // One caller in five keeps an answer for three times as long as it should.
      const Duration ttl = std::chrono::milliseconds(1'800 + random_() % 400);
      caller.expiry = now_ + (random_() % 5 == 0 ? 3 * ttl : ttl);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Measure(i);
    }
  }

  /// @brief Callers choose one of the addresses at random for each request.
  void AddLoad(const std::vector<std::size_t>& answer, double load) {
    for (const std::size_t daemon : answer) {
      load_[daemon] += load / static_cast<double>(answer.size());
    }
  }

  void Measure(std::size_t daemon) {
    const double step = std::chrono::duration<double>(kStep).count();
    const double utilisation = Utilisation(daemon);
    // Work that waits for the daemon, in seconds; requests give up after a second.
    backlog_[daemon] = std::clamp(backlog_[daemon] + (utilisation - 1) * step, 0.0, 1.0);
    // The queue of a server with random arrivals and 2 ms of work each.
    const double queue = 0.002 * utilisation / std::max(0.02, 1 - utilisation);
    while (timers_[daemon] <= now_) {
      const double delay = (backlog_[daemon] + queue) * wait_(random_);
      timers_[daemon] +=
          kStep + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay));
      corrections_[daemon].OnTimer(timers_[daemon]);
    }
  }

  std::vector<EntryPointCandidate> daemons_;
  std::vector<CapacityCorrection> corrections_;
  std::vector<double> speed_;
  std::vector<double> load_;
  std::vector<double> backlog_;
  MonotonicTime now_{std::chrono::seconds(1)};
  std::vector<MonotonicTime> timers_;
  MonotonicTime next_status_ = {};
  std::vector<Caller> callers_;
  double load_per_caller_ = 0;
  std::mt19937_64 random_{5};
  std::exponential_distribution<double> wait_{1};
};

struct Range {
  double min = 1e9;
  double max = 0;
  double sum = 0;
  int count = 0;
  void Add(double value) {
    min = std::min(min, value);
    max = std::max(max, value);
    sum += value;
    ++count;
  }
  double mean() const { return sum / count; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_balance)

// Guards against corrections of daemons that have capacity left.
BOOST_AUTO_TEST_CASE(steady_load_needs_no_correction) {
  Balance balance(MakeDaemons(18, 17, 47, 4), 0.6);
  balance.Run(std::chrono::seconds(60));
  for (std::size_t i = 0; i < balance.size(); ++i) {
    BOOST_TEST(balance.correction(i) == 1);
    BOOST_TEST(balance.Utilisation(i) < 0.9);
  }
}

// Guards against a slow daemon that keeps its callers, and against callers that move back and
// forth between it and the others.
BOOST_AUTO_TEST_CASE(slowed_daemon_settles) {
  Balance balance(MakeDaemons(18, 17, 47, 4), 0.6);
  balance.Run(std::chrono::seconds(20));
  balance.Slow(0, 5);
  // The first fall overshoots; the correction has recovered from that by the end of this time.
  balance.Run(std::chrono::seconds(120));
  Range correction;
  Range utilisation;
  double least_other = 1;
  balance.Run(std::chrono::seconds(120), [&] {
    correction.Add(balance.correction(0));
    utilisation.Add(balance.Utilisation(0));
    for (std::size_t i = 1; i < balance.size(); ++i) {
      least_other = std::min(least_other, balance.correction(i));
    }
  });
  BOOST_TEST_MESSAGE("correction " << correction.min << " to " << correction.max << ", utilisation "
                                   << utilisation.mean());
  BOOST_TEST(correction.max < 1.25 * correction.min);
  BOOST_TEST(utilisation.mean() < 1.05);
  BOOST_TEST(utilisation.mean() > 0.6);
  BOOST_TEST(least_other == 1);
  balance.Slow(0, 1);
  balance.Run(std::chrono::seconds(450));
  BOOST_TEST(balance.correction(0) == 1);
}

// Guards against corrections that amplify an overload of all daemons.
BOOST_AUTO_TEST_CASE(overload_of_all_daemons_keeps_the_distribution) {
  Balance balance(MakeDaemons(18, 17, 47, 4), 1.3);
  balance.Run(std::chrono::seconds(120));
  Range utilisation;
  for (std::size_t i = 0; i < balance.size(); ++i) {
    utilisation.Add(balance.Utilisation(i));
  }
  BOOST_TEST_MESSAGE("utilisation " << utilisation.min << " to " << utilisation.max);
  BOOST_TEST(utilisation.max < 1.3 * 1.3);
}

// Guards against oscillation near the full load, where delays depend most on the load.
BOOST_AUTO_TEST_CASE(nearly_full_daemons_do_not_oscillate) {
  Balance balance(MakeDaemons(18, 17, 47, 4), 0.9);
  balance.Run(std::chrono::seconds(120));
  std::vector<Range> corrections(balance.size());
  std::vector<Range> utilisations(balance.size());
  balance.Run(std::chrono::seconds(60), [&] {
    for (std::size_t i = 0; i < balance.size(); ++i) {
      corrections[i].Add(balance.correction(i));
      utilisations[i].Add(balance.Utilisation(i));
    }
  });
  double widest = 1;
  double highest = 0;
  for (std::size_t i = 0; i < balance.size(); ++i) {
    widest = std::max(widest, corrections[i].max / corrections[i].min);
    highest = std::max(highest, utilisations[i].mean());
  }
  BOOST_TEST_MESSAGE("largest change of a correction in a minute: factor "
                     << widest << ", highest mean utilisation " << highest);
  BOOST_TEST(widest < 1.5);
  // Without corrections, it is 0.97 to 0.99: the callers are divided equally among unequal zones.
  BOOST_TEST(highest < 1.05);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
