#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/gateway/test_endpoint_model.h"

namespace acaciaspring::gateway {

namespace {

struct ColdStartResult {
  /// Calls that waited in the queues of the new endpoints, or were rejected there.
  std::size_t overload = 0;
  std::size_t longest_queue = 0;
  std::uint64_t moved = 0;
  void Add(const ColdStartResult& other) {
    overload += other.overload;
    longest_queue = std::max(longest_queue, other.longest_queue);
    moved += other.moved;
  }
};

ColdStartResult ColdStart(bool limit_concurrency, double load, std::uint64_t seed) {
  EndpointServiceModel service(10, limit_concurrency, seed);
  service.Run(std::chrono::seconds(5), load, 10);
  BOOST_TEST(service.limits_in_force() == 0U);
  service.ResetCounts();
  const std::size_t first = service.Add();
  const std::size_t second = service.Add();
  for (const std::size_t index : {first, second}) {
    service.Restart(index);
  }
  service.ReadRegistry();
  service.Run(std::chrono::seconds(10), load, 10);
  BOOST_TEST(service.limits_in_force() == 0U);
  BOOST_TEST(service.unserved() == 0U);
  ColdStartResult result{.moved = service.moved_calls()};
  for (const std::size_t index : {first, second}) {
    const EndpointModel& endpoint = service.endpoint(index);
    result.overload += endpoint.queued + endpoint.rejected;
    result.longest_queue = std::max(result.longest_queue, endpoint.longest_queue);
  }
  return result;
}

struct RecoveryResult {
  /// Calls that waited in the queue of the recovered endpoint, or were rejected there.
  std::size_t overload = 0;
  /// Calls that it completed in the first seconds.
  std::size_t completed = 0;
  /// Calls that waited at any endpoint.
  std::size_t queued = 0;
};

RecoveryResult Recovery(bool limit_concurrency, double load) {
  EndpointServiceModel service(10, limit_concurrency);
  service.Run(std::chrono::seconds(5), load, 10);
  service.TakeDown(0);
  service.Run(std::chrono::seconds(4), load, 10);
  service.ResetCounts();
  service.Restore(0);
  service.Run(std::chrono::seconds(8), load, 10);
  BOOST_TEST(service.unserved() == 0U);
  RecoveryResult result{.overload = service.endpoint(0).queued + service.endpoint(0).rejected,
                        .completed = service.endpoint(0).completed};
  for (std::size_t i = 0; i < 10; ++i) {
    result.queued += service.endpoint(i).queued;
  }
  BOOST_TEST_MESSAGE("load " << load << (limit_concurrency ? " with limits" : " without")
                             << ": overload " << result.overload << ", completed "
                             << result.completed << ", queued " << result.queued << ", limits "
                             << service.limits_in_force());
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limit_load)

// Guards against new endpoints that all daemons choose at once because they are empty.
BOOST_AUTO_TEST_CASE(cold_start_at_full_load) {
  ColdStartResult unlimited;
  ColdStartResult limited;
  for (const double load : {0.8, 0.9}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      unlimited.Add(ColdStart(false, load, seed));
      limited.Add(ColdStart(true, load, seed));
    }
  }
  BOOST_TEST_MESSAGE("queued or rejected: " << unlimited.overload << " without, "
                                            << limited.overload << " with limits; longest queue "
                                            << unlimited.longest_queue << ", "
                                            << limited.longest_queue);
  BOOST_TEST(unlimited.overload >= 200U);
  BOOST_TEST(limited.overload * 3 <= unlimited.overload * 2);
  BOOST_TEST(limited.longest_queue * 3 <= unlimited.longest_queue * 2);
  BOOST_TEST(unlimited.moved == 0U);
  BOOST_TEST(limited.moved > 0U);
}

// Guards against an endpoint that stays idle after its outage while calls wait at the others, and
// against a rush of calls to it.
BOOST_AUTO_TEST_CASE(recovery_after_an_outage) {
  for (const double load : {0.7, 0.8, 0.9}) {
    const RecoveryResult unlimited = Recovery(false, load);
    const RecoveryResult limited = Recovery(true, load);
    BOOST_TEST(unlimited.queued >= 100U);
    BOOST_TEST(limited.queued * 4 <= unlimited.queued * 3);
    BOOST_TEST(limited.completed >= 50U);
    BOOST_TEST(limited.completed > unlimited.completed);
    BOOST_TEST(limited.overload * 4 <= limited.completed);
  }
}

// Guards against a slow endpoint that is filled up, and against slightly slower ones that stay
// limited.
BOOST_AUTO_TEST_CASE(third_slower_by_1_3_and_one_by_5) {
  const auto run = [](bool limit_concurrency) {
    EndpointServiceModel service(9, limit_concurrency);
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
      for (std::size_t daemon = 0; daemon < EndpointServiceModel::kDaemons; ++daemon) {
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
    EndpointServiceModel service(6, limit_concurrency);
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
