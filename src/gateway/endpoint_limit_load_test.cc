#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <queue>
#include <random>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kExchangePeriod = std::chrono::milliseconds(200);
constexpr Duration kCallDuration = std::chrono::milliseconds(400);
constexpr Duration kFirstEvent = std::chrono::milliseconds(100);
constexpr std::uint32_t kSlots = 12;
constexpr std::size_t kQueue = 36;
constexpr std::size_t kDaemons = 5;
// Concurrent calls of an endpoint that has just started; each completed call adds one.
constexpr std::uint32_t kColdSlots = 2;
const ServiceId kService("engines");

struct Call {
  std::size_t daemon = 0;
  MonotonicTime arrived;
  std::vector<EndpointId> tried = {};
};

/// @brief Runs calls in its slots and keeps others in its queue.
struct Endpoint {
  std::int64_t started_at_ms = 1;
  double slowness = 1;
  std::uint32_t warm_slots = kSlots;
  bool down = false;
  std::deque<Call> queue = {};
  /// By the time of the end.
  std::multimap<MonotonicTime, Call> running = {};
  /// By the time of the first event.
  std::multimap<MonotonicTime, Call> waiting_for_event = {};
  /// Calls that found no slot, and that found no room in the queue.
  std::size_t queued = 0;
  std::size_t rejected = 0;
};

/// @brief Several daemons that call the endpoints of one service and report to each other.
class ServiceModel {
 public:
  ServiceModel(std::size_t endpoints, bool limit_concurrency) {
    for (std::size_t i = 0; i < endpoints; ++i) {
      Add();
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      tables_.emplace_back(
          AvailabilityZone("z"),
          EndpointTableOptions{.self = Daemon(i), .limit_concurrency = limit_concurrency});
    }
    ReadRegistry();
    for (EndpointTable& table : tables_) {
      table.SetEngineMemory(kService, TokenCount(1));
    }
  }

  /// @brief Starts an endpoint that the daemons do not know.
  std::size_t Add() {
    endpoints_.emplace_back();
    return endpoints_.size() - 1;
  }
  /// @brief Starts the endpoint anew; it is cold.
  void Restart(std::size_t index) {
    Endpoint& endpoint = endpoints_[index];
    endpoint.started_at_ms += 1;
    endpoint.warm_slots = kColdSlots;
  }
  void ReadRegistry() {
    std::vector<RegisteredEndpoint> listed;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      listed.push_back({.id = Id(i),
                        .service = kService,
                        .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(80 + i)},
                        .zone = AvailabilityZone("z"),
                        .slots = kSlots,
                        .started_at_ms = endpoints_[i].started_at_ms});
    }
    for (EndpointTable& table : tables_) {
      table.SetEndpoints(listed, now_);
    }
  }
  Endpoint& endpoint(std::size_t index) { return endpoints_[index]; }
  /// @brief Ends all calls at the endpoint, and refuses others until Restore().
  void TakeDown(std::size_t index) {
    Endpoint& endpoint = endpoints_[index];
    endpoint.down = true;
    for (const auto& [end, call] : endpoint.running) {
      Finish(index, call, AttemptResult::kFailed);
    }
    for (const Call& call : endpoint.queue) {
      Finish(index, call, AttemptResult::kFailed);
    }
    endpoint.running.clear();
    endpoint.waiting_for_event.clear();
    endpoint.queue.clear();
  }
  /// @brief The same process responds again; its caches are lost.
  void Restore(std::size_t index) {
    endpoints_[index].down = false;
    endpoints_[index].warm_slots = kColdSlots;
  }

  /// @brief `load` is relative to the slots of `endpoints` endpoints of normal speed.
  void Run(std::chrono::milliseconds time, double load, std::size_t endpoints) {
    const double per_step = load * static_cast<double>(endpoints * kSlots) *
                            static_cast<double>(kStep.count()) /
                            static_cast<double>(kCallDuration.count());
    const MonotonicTime end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        Advance(i);
      }
      for (int calls = std::poisson_distribution<int>(per_step)(random_); calls > 0; --calls) {
        Place({.daemon = std::uniform_int_distribution<std::size_t>(0, kDaemons - 1)(random_),
               .arrived = now_});
      }
      if ((now_ - kStart) % kExchangePeriod < kStep) {
        Exchange();
      }
    }
  }

  void ResetCounts() {
    for (Endpoint& endpoint : endpoints_) {
      endpoint.queued = 0;
      endpoint.rejected = 0;
    }
    completed_ = 0;
    unserved_ = 0;
  }
  std::size_t completed() const { return completed_; }
  /// @brief Calls that no endpoint took.
  std::size_t unserved() const { return unserved_; }
  std::size_t limits_in_force() const {
    std::size_t limits = 0;
    for (const EndpointTable& table : tables_) {
      limits += table.concurrency_limits().size();
    }
    return limits;
  }
  std::optional<std::uint32_t> Limit(std::size_t daemon, std::size_t endpoint) const {
    return tables_[daemon].concurrency_limits().Find(Id(endpoint));
  }
  std::uint64_t moved_calls() const {
    std::uint64_t moved = 0;
    for (const EndpointTable& table : tables_) {
      moved += table.moved_calls();
    }
    return moved;
  }

 private:
  static EndpointId Id(std::size_t index) { return EndpointId("e" + std::to_string(index)); }
  static DaemonId Daemon(std::size_t index) { return DaemonId("d" + std::to_string(index)); }

  void Finish(std::size_t index, const Call& call, AttemptResult result) {
    tables_[call.daemon].OnFinished(Id(index), result, now_,
                                    std::chrono::duration_cast<Duration>(now_ - call.arrived));
  }
  void Place(Call call) {
    for (;;) {
      EndpointTable& table = tables_[call.daemon];
      const RegisteredEndpoint* chosen =
          table.Choose({.service = kService, .excluded = call.tried}, now_, random_);
      if (chosen == nullptr || call.tried.size() == 3) {
        ++unserved_;
        return;
      }
      const auto index = static_cast<std::size_t>(std::stoi(chosen->id.value().substr(1)));
      Endpoint& endpoint = endpoints_[index];
      table.OnStarted(chosen->id, now_);
      call.tried.push_back(chosen->id);
      if (endpoint.down) {
        Finish(index, call, AttemptResult::kFailed);
      } else if (endpoint.running.size() < endpoint.warm_slots) {
        Start(endpoint, call);
        return;
      } else if (endpoint.queue.size() < kQueue) {
        ++endpoint.queued;
        endpoint.queue.push_back(call);
        return;
      } else {
        ++endpoint.rejected;
        Finish(index, call, AttemptResult::kRejected);
      }
    }
  }
  void Start(Endpoint& endpoint, const Call& call) {
    const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    const auto scaled = [&](Duration time) {
      return std::chrono::duration_cast<Duration>(time * (spread * endpoint.slowness));
    };
    endpoint.running.emplace(now_ + scaled(kCallDuration), call);
    endpoint.waiting_for_event.emplace(now_ + scaled(kFirstEvent), call);
  }
  void Advance(std::size_t index) {
    Endpoint& endpoint = endpoints_[index];
    while (!endpoint.waiting_for_event.empty() &&
           endpoint.waiting_for_event.begin()->first <= now_) {
      const Call& call = endpoint.waiting_for_event.begin()->second;
      tables_[call.daemon].OnFirstEvent(
          Id(index), std::chrono::duration_cast<Duration>(now_ - call.arrived), now_);
      endpoint.waiting_for_event.erase(endpoint.waiting_for_event.begin());
    }
    while (!endpoint.running.empty() && endpoint.running.begin()->first <= now_) {
      Finish(index, endpoint.running.begin()->second, AttemptResult::kSucceeded);
      endpoint.running.erase(endpoint.running.begin());
      ++completed_;
      endpoint.warm_slots = std::min(endpoint.warm_slots + 1, kSlots);
    }
    while (!endpoint.queue.empty() && endpoint.running.size() < endpoint.warm_slots) {
      Start(endpoint, endpoint.queue.front());
      endpoint.queue.pop_front();
    }
  }
  void Exchange() {
    for (std::size_t from = 0; from < kDaemons; ++from) {
      tables_[from].UpdateConcurrencyLimits(now_);
      const InFlightCounts counts = tables_[from].OwnCounts();
      const auto reports = tables_[from].concurrency_limits().MakeReports(now_);
      for (std::size_t to = 0; to < kDaemons; ++to) {
        if (to != from) {
          tables_[to].SetRemoteCounts(Daemon(from), counts);
          tables_[to].OnConcurrencyReports(reports, now_);
        }
      }
    }
  }

  std::mt19937_64 random_{7};
  MonotonicTime now_ = kStart;
  std::vector<Endpoint> endpoints_;
  std::deque<EndpointTable> tables_;
  std::size_t completed_ = 0;
  std::size_t unserved_ = 0;
};

/// @brief Calls that waited in the queues of new endpoints, or were rejected there.
std::size_t ColdStart(bool limit_concurrency, std::uint64_t* moved = nullptr) {
  ServiceModel service(10, limit_concurrency);
  service.Run(std::chrono::seconds(5), 0.9, 10);
  BOOST_TEST(service.limits_in_force() == 0U);
  service.ResetCounts();
  const std::size_t first = service.Add();
  const std::size_t second = service.Add();
  for (const std::size_t index : {first, second}) {
    service.Restart(index);
  }
  service.ReadRegistry();
  service.Run(std::chrono::seconds(10), 0.9, 10);
  BOOST_TEST(service.limits_in_force() == 0U);
  BOOST_TEST(service.unserved() == 0U);
  if (moved != nullptr) {
    *moved = service.moved_calls();
  }
  return service.endpoint(first).queued + service.endpoint(second).queued +
         service.endpoint(first).rejected + service.endpoint(second).rejected;
}

std::size_t Recovery(bool limit_concurrency) {
  ServiceModel service(10, limit_concurrency);
  service.Run(std::chrono::seconds(5), 0.8, 10);
  service.TakeDown(0);
  service.Run(std::chrono::seconds(4), 0.8, 10);
  service.ResetCounts();
  service.Restore(0);
  service.Run(std::chrono::seconds(12), 0.8, 10);
  BOOST_TEST(service.limits_in_force() == 0U);
  BOOST_TEST(service.unserved() == 0U);
  return service.endpoint(0).queued + service.endpoint(0).rejected;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limit_load)

// Guards against new endpoints that all daemons choose at once because they are empty.
BOOST_AUTO_TEST_CASE(cold_start_at_full_load) {
  std::uint64_t moved = 0;
  const std::size_t unlimited = ColdStart(false);
  const std::size_t limited = ColdStart(true, &moved);
  BOOST_TEST_MESSAGE("queued or rejected: " << unlimited << " without, " << limited
                                            << " with limits; moved: " << moved);
  BOOST_TEST(unlimited >= 20U);
  BOOST_TEST(limited * 3 <= unlimited);
  BOOST_TEST(moved > 0U);
}

// Guards against a rush of calls to an endpoint that responds again.
BOOST_AUTO_TEST_CASE(recovery_after_an_outage) {
  const std::size_t unlimited = Recovery(false);
  const std::size_t limited = Recovery(true);
  BOOST_TEST_MESSAGE("queued or rejected: " << unlimited << " without, " << limited
                                            << " with limits");
  BOOST_TEST(unlimited >= 5U);
  BOOST_TEST(limited * 3 <= unlimited);
}

// Guards against a slow endpoint that is filled up, and against slightly slower ones that stay
// limited.
BOOST_AUTO_TEST_CASE(third_slower_by_1_3_and_one_by_5) {
  const auto run = [](bool limit_concurrency) {
    ServiceModel service(9, limit_concurrency);
    for (std::size_t i = 0; i < 3; ++i) {
      service.endpoint(i).slowness = 1.3;
    }
    service.endpoint(3).slowness = 5;
    service.Run(std::chrono::seconds(3), 0.6, 9);
    for (std::size_t i = 0; i < 9; ++i) {
      service.Restart(i);
    }
    service.ReadRegistry();
    service.Run(std::chrono::seconds(10), 0.6, 9);
    service.ResetCounts();
    service.Run(std::chrono::seconds(10), 0.7, 9);
    if (limit_concurrency) {
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        for (std::size_t i = 0; i < 9; ++i) {
          BOOST_TEST(service.Limit(daemon, i).has_value() == (i == 3));
        }
      }
    }
    BOOST_TEST(service.unserved() == 0U);
    BOOST_TEST_MESSAGE("queued at the slow one: " << service.endpoint(3).queued << ", running "
                                                  << service.endpoint(3).running.size());
    return service.endpoint(3).running.size() + service.endpoint(3).queue.size();
  };
  const std::size_t unlimited = run(false);
  const std::size_t limited = run(true);
  BOOST_TEST(unlimited >= 6U);
  BOOST_TEST(limited * 2 <= unlimited);
}

// Guards against limits that make a service unavailable, or slower than its endpoints, because all
// of them are at their limits.
BOOST_AUTO_TEST_CASE(service_at_capacity_on_all_endpoints) {
  const auto run = [](bool limit_concurrency, std::size_t& queued) {
    ServiceModel service(6, limit_concurrency);
    service.Run(std::chrono::seconds(3), 0.9, 6);
    for (std::size_t i = 0; i < 6; ++i) {
      service.Restart(i);
    }
    service.ReadRegistry();
    service.ResetCounts();
    service.Run(std::chrono::seconds(10), 1.0, 6);
    queued = 0;
    for (std::size_t i = 0; i < 6; ++i) {
      queued += service.endpoint(i).queued;
    }
    BOOST_TEST(service.unserved() == 0U);
    return service.completed();
  };
  std::size_t queued_without = 0;
  std::size_t queued_with = 0;
  const std::size_t unlimited = run(false, queued_without);
  const std::size_t limited = run(true, queued_with);
  BOOST_TEST_MESSAGE("completed: " << unlimited << " without, " << limited
                                   << " with limits; queued " << queued_without << ", "
                                   << queued_with);
  BOOST_TEST(queued_without > 0U);
  BOOST_TEST(static_cast<double>(limited) >= 0.97 * static_cast<double>(unlimited));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
