#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "src/gateway/endpoint_table.h"
#include "src/gateway/member_presence.h"
#include "src/gateway/peer_messages.h"

namespace acaciaspring::gateway {

namespace {

// The stated target: from `kAdjustmentTime` after an endpoint names a limit, it gets at most one
// and a half times the limit plus five requests in any `kWindow`.
constexpr Duration kAdjustmentTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr double kMaxOvershoot = 1.5;
constexpr double kSlack = 5;

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kHeartbeat = std::chrono::milliseconds(200);
constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr std::size_t kZones = 3;
const ServiceId kService("engines");

/// @brief The largest number of requests in any window from `begin` to `end`.
std::size_t MaxInWindow(const std::deque<MonotonicTime>& sent,
                        MonotonicTime begin,
                        MonotonicTime end) {
  std::size_t most = 0;
  std::size_t last = 0;
  for (std::size_t first = 0; first < sent.size(); ++first) {
    while (last < sent.size() && sent[last] < std::min(sent[first] + kWindow, end)) {
      ++last;
    }
    if (sent[first] >= begin && sent[first] < end) {
      most = std::max(most, last - first);
    }
  }
  return most;
}

struct SimulationOptions {
  std::size_t daemons = 7;
  std::size_t endpoints = 12;
  std::size_t limited_endpoints = 8;
  double limit = 3;
  double calls_per_second = 120;
  Duration call_duration = std::chrono::milliseconds(200);
  /// Part of the calls that prefer the endpoint of an earlier one.
  double session_share = 0.7;
  bool engines = true;
};

/// @brief Daemons that call endpoints with rate limits and report them to each other.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options) : options_(options) {
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      endpoints_.push_back({.id = EndpointId("e" + std::to_string(i)),
                            .service = kService,
                            .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(i)},
                            .zone = AvailabilityZone("z" + std::to_string(i % kZones)),
                            .slots = 24});
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
      members_.push_back({.id = DaemonId("d" + std::to_string(i)),
                          .zone = AvailabilityZone("z" + std::to_string(i % kZones))});
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
      Start(i);
    }
  }

  /// @brief Starts or restarts a daemon, which knows nothing but the members.
  void Start(std::size_t index) {
    daemons_[index] = std::make_unique<Daemon>(members_[index], endpoints_, options_.engines);
    daemons_[index]->presence.SetMembers(members_, now_);
    for (const auto& [other, daemon] : daemons_) {
      if (greets_ && other != index) {
        Deliver(other, index, {.reports = daemon->table.rate_limits().OwnReports(now_)});
      }
    }
  }
  void Stop(std::size_t index) { daemons_.erase(index); }
  /// @brief Cuts the daemons below `count` off from the others.
  void CutOff(std::size_t count) { cut_off_ = count; }
  void SetGreets(bool greets) { greets_ = greets; }
  void SetLimit(std::optional<double> per_second) {
    limit_ = per_second;
    named_at_ = now_;
  }

  void Run(Duration period) {
    for (const MonotonicTime end = now_ + period; now_ < end; now_ += kStep) {
      const double calls = options_.calls_per_second * std::chrono::duration<double>(kStep).count();
      std::poisson_distribution<int> arrivals(calls);
      for (int arrived = arrivals(random_); arrived > 0; --arrived) {
        Call();
      }
      while (!running_.empty() && running_.begin()->first <= now_) {
        const auto [daemon, endpoint] = running_.begin()->second;
        running_.erase(running_.begin());
        if (daemons_.contains(daemon)) {
          daemons_[daemon]->table.OnFinished(endpoint, AttemptResult::kSucceeded, now_);
        }
      }
      for (auto& [index, daemon] : daemons_) {
        const auto phase = kStep * static_cast<std::int64_t>(index * 7);
        if ((now_ - kStart + phase) % kHeartbeat == Duration(0)) {
          Heartbeat(index, *daemon);
        }
      }
    }
  }

  /// @brief Largest ratio of the requests in a window to those that the target allows, from
  /// `adjustment` after the limit was set until now.
  double WorstUse(Duration adjustment = kAdjustmentTime) const {
    const double allowed =
        kMaxOvershoot * *limit_ * std::chrono::duration<double>(kWindow).count() + kSlack;
    double worst = 0;
    for (std::size_t i = 0; i < options_.limited_endpoints; ++i) {
      if (const auto sent = sent_.find(endpoints_[i].id); sent != sent_.end()) {
        worst = std::max(
            worst,
            static_cast<double>(MaxInWindow(sent->second, named_at_ + adjustment, now_)) / allowed);
      }
    }
    return worst;
  }
  /// @brief Requests to limited endpoints in the last `period`, relative to their limits.
  double Use(Duration period) const {
    double count = 0;
    for (std::size_t i = 0; i < options_.limited_endpoints; ++i) {
      if (const auto sent = sent_.find(endpoints_[i].id); sent != sent_.end()) {
        count += static_cast<double>(
            std::count_if(sent->second.begin(), sent->second.end(),
                          [&](MonotonicTime at) { return at >= now_ - period; }));
      }
    }
    return count / (*limit_ * static_cast<double>(options_.limited_endpoints) *
                    std::chrono::duration<double>(period).count());
  }

 private:
  struct Daemon {
    Daemon(const Member& member, const std::vector<RegisteredEndpoint>& endpoints, bool engines)
        : table(member.zone, {.self = member.id}), presence(member.id) {
      table.SetEndpoints(endpoints);
      table.SetEngineMemory(kService, TokenCount(engines ? 1000 : 0));
    }
    EndpointTable table;
    MemberPresence presence;
    EndpointId last_endpoint;
  };

  bool Reaches(std::size_t from, std::size_t to) const {
    return (from < cut_off_) == (to < cut_off_);
  }

  void Deliver(std::size_t from, std::size_t to, const PeerRateLimits& limits) {
    if (Reaches(from, to)) {
      for (const RateLimitReport& report : limits.reports) {
        daemons_.at(to)->table.OnRateLimitReport(report, now_);
      }
    }
  }

  void Heartbeat(std::size_t index, Daemon& daemon) {
    RateLimits& limits = daemon.table.rate_limits();
    limits.SetDaemons(daemon.presence.Present(now_), now_);
    limits.Expire(now_);
    const PeerRateLimits reports{.reports = limits.TakeReports(now_)};
    for (auto& [other, receiver] : daemons_) {
      if (other != index && Reaches(index, other)) {
        receiver->presence.OnHeard(members_[index].id, now_);
        receiver->table.SetRemoteCounts(members_[index].id, daemon.table.OwnCounts());
        Deliver(index, other, reports);
      }
    }
  }

  void Call() {
    auto chosen_daemon = daemons_.begin();
    std::advance(chosen_daemon, random_() % daemons_.size());
    Daemon& daemon = *chosen_daemon->second;
    const bool has_session = std::bernoulli_distribution(options_.session_share)(random_);
    const RegisteredEndpoint* chosen = daemon.table.Choose(
        {.service = kService, .preferred = has_session ? daemon.last_endpoint : EndpointId()}, now_,
        random_);
    if (chosen == nullptr) {
      return;
    }
    daemon.last_endpoint = chosen->id;
    sent_[chosen->id].push_back(now_);
    daemon.table.OnStarted(chosen->id, now_);
    const bool is_limited =
        std::stoul(chosen->id.value().substr(1)) < options_.limited_endpoints && limit_;
    daemon.table.OnRateLimit(chosen->id, is_limited ? limit_ : std::nullopt, now_);
    running_.emplace(now_ + options_.call_duration,
                     std::make_pair(chosen_daemon->first, chosen->id));
  }

  SimulationOptions options_;
  std::vector<RegisteredEndpoint> endpoints_;
  std::vector<Member> members_;
  std::map<std::size_t, std::unique_ptr<Daemon>> daemons_;
  std::map<EndpointId, std::deque<MonotonicTime>> sent_;
  std::multimap<MonotonicTime, std::pair<std::size_t, EndpointId>> running_;
  std::optional<double> limit_;
  MonotonicTime named_at_;
  MonotonicTime now_ = kStart;
  std::size_t cut_off_ = 0;
  bool greets_ = true;
  std::mt19937_64 random_{20261204};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_load)

// Guards against an endpoint that gets more requests than the rate limit that it names, although
// another endpoint could take them.
BOOST_AUTO_TEST_CASE(limited_endpoint_gets_no_more_than_its_limit) {
  for (const double limit : {0.2, 1.0, 3.0, 8.0, 20.0}) {
    for (const bool engines : {false, true}) {
      Simulation simulation({.limit = limit, .calls_per_second = 400, .engines = engines});
      simulation.Run(std::chrono::seconds(6));
      simulation.SetLimit(limit);
      simulation.Run(std::chrono::seconds(20));
      BOOST_TEST_MESSAGE("limit " << limit << ": worst window " << simulation.WorstUse()
                                  << " of the allowed requests, use "
                                  << simulation.Use(std::chrono::seconds(10)));
      BOOST_TEST(simulation.WorstUse() <= 1.0);
      // The limit is not left unused either.
      BOOST_TEST((limit < 1 || simulation.Use(std::chrono::seconds(10)) > 0.8));
    }
  }
}

// Guards against daemons that have just started, know no limit and are told by nobody.
BOOST_AUTO_TEST_CASE(restarted_daemons_keep_to_the_limit) {
  Simulation simulation({});
  simulation.SetGreets(false);
  simulation.SetLimit(3);
  simulation.Run(std::chrono::seconds(5));
  for (std::size_t i = 0; i < 7; ++i) {
    simulation.Stop(i);
    simulation.Run(std::chrono::seconds(1));
    simulation.Start(i);
    simulation.Run(std::chrono::seconds(1));
  }
  BOOST_TEST(simulation.WorstUse() <= 1.0);
}

// Guards against daemons that lose contact with some or most of the others, and then use the limit
// that these divide among themselves.
BOOST_AUTO_TEST_CASE(daemons_that_are_cut_off_keep_to_their_share) {
  for (const std::size_t cut_off : {1U, 3U}) {
    Simulation simulation({});
    simulation.SetLimit(3);
    simulation.Run(std::chrono::seconds(5));
    simulation.CutOff(cut_off);
    simulation.Run(std::chrono::seconds(20));
    simulation.CutOff(0);
    simulation.Run(std::chrono::seconds(10));
    BOOST_TEST(simulation.WorstUse() <= 1.0);
  }
}

// Guards against the former rate after a limit falls.
BOOST_AUTO_TEST_CASE(lower_limit_holds_within_the_adjustment_time) {
  Simulation simulation({.calls_per_second = 400});
  simulation.SetLimit(12);
  simulation.Run(std::chrono::seconds(10));
  simulation.SetLimit(2);
  simulation.Run(std::chrono::seconds(15));
  BOOST_TEST(simulation.WorstUse() <= 1.0);
}

// Guards against many daemons that each send one request to an endpoint with a low limit.
BOOST_AUTO_TEST_CASE(many_daemons_share_a_low_limit) {
  Simulation simulation(
      {.daemons = 140, .endpoints = 6, .limited_endpoints = 4, .calls_per_second = 1000});
  simulation.Run(std::chrono::seconds(2));
  simulation.SetLimit(0.5);
  simulation.Run(std::chrono::seconds(20));
  BOOST_TEST(simulation.WorstUse() <= 1.0);
}

// Guards against limits that hold only while other endpoints are free.
BOOST_AUTO_TEST_CASE(limits_hold_while_all_endpoints_are_limited) {
  Simulation simulation({.limited_endpoints = 12});
  simulation.SetLimit(3);
  simulation.Run(std::chrono::seconds(20));
  BOOST_TEST(simulation.WorstUse() <= 1.0);
  BOOST_TEST(simulation.Use(std::chrono::seconds(10)) > 0.8);
}

// Guards against control traffic that grows with the number of daemons and limits: at the design
// size, with a tenth of the endpoints limited and limits that never stay the same.
BOOST_AUTO_TEST_CASE(reports_stay_within_the_control_traffic) {
  constexpr std::size_t kDaemons = 420;
  constexpr std::size_t kLimited = 61;
  constexpr int kSeconds = 60;
  constexpr double kMaxBytesPerSecond = 4000;
  std::vector<ShareCandidate> candidates;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    candidates.push_back({.id = DaemonId("daemon-" + std::to_string(i)),
                          .zone = AvailabilityZone("z" + std::to_string(i % 5))});
  }
  std::vector<RateLimits> daemons;
  for (const ShareCandidate& self : candidates) {
    daemons.emplace_back(self);
  }
  double bytes = 0;
  for (int second = 0; second < kSeconds; ++second) {
    const MonotonicTime now = kStart + std::chrono::seconds(second);
    for (std::size_t i = 0; i < kLimited; ++i) {
      const RegisteredEndpoint endpoint{.id = EndpointId("i-00000000" + std::to_string(i)),
                                        .service = kService,
                                        .zone = AvailabilityZone("z" + std::to_string(i % 5))};
      // Each endpoint is called by a few daemons.
      for (std::size_t user = 0; user < 4; ++user) {
        daemons[(i * 7 + user) % kDaemons].OnResponse(endpoint, 4.0, now);
      }
      for (std::size_t user = 0; user < 4; ++user) {
        const PeerRateLimits message{.reports =
                                         daemons[(i * 7 + user) % kDaemons].TakeReports(now)};
        if (message.reports.empty()) {
          continue;
        }
        bytes += static_cast<double>(EncodePeerMessage(message).size() * (kDaemons - 1));
        for (RateLimits& receiver : daemons) {
          for (const RateLimitReport& report : message.reports) {
            receiver.OnReport(endpoint, report, now);
          }
        }
      }
    }
  }
  const double per_daemon = bytes / kDaemons / kSeconds;
  BOOST_TEST_MESSAGE("reports of limits: " << per_daemon << " bytes/s sent by a daemon");
  BOOST_TEST(per_daemon < kMaxBytesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
