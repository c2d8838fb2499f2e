#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

const ServiceId kModel("model");

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

EndpointId Name(int number) {
  return EndpointId("e" + std::to_string(number));
}

EndpointDescription Engine(int number, const std::string& zone = "z") {
  return {.id = Name(number),
          .zone = AvailabilityZone(zone),
          .services = {kModel},
          .speed = {.prefill_tokens_per_second = 10'000,
                    .token_interval = std::chrono::milliseconds(20),
                    .token_interval_per_stream = std::chrono::milliseconds(1),
                    .concurrency = 4}};
}

RoutingRequest Request(std::uint64_t prompt = 20'000) {
  return {.service = kModel,
          .zone = AvailabilityZone("z"),
          .program_prefix = PrefixId(7),
          .prompt = TokenCount(prompt),
          .expected_output = TokenCount(100)};
}

struct Fixture {
  Fixture() {
    for (int i = 0; i < 12; ++i) {
      engine_chooser.SetEndpoint(Engine(i));
    }
  }

  EndpointChoice Choose(const RoutingRequest& request, std::int64_t ms = 0) {
    const auto choice = engine_chooser.Choose(request, At(ms), rng);
    BOOST_REQUIRE(choice.has_value());
    return *choice;
  }

  EndpointChooser engine_chooser;
  std::mt19937_64 rng{1};
};

BOOST_FIXTURE_TEST_SUITE(endpoint_chooser, Fixture)

// Guards against recomputing a prompt while the holder of its prefix has a free slot, and against
// queueing at the holder while other endpoints are free.
BOOST_AUTO_TEST_CASE(prefers_the_holder_until_its_queue_costs_more) {
  engine_chooser.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(19'000), At(0));
  const EndpointChoice choice = Choose(Request());
  BOOST_TEST((choice.endpoint == Name(3)));
  BOOST_TEST((choice.expected_cached == TokenCount(19'000)));
  // 100 ms of prefill, 100 ms of delay for running calls, and 100 tokens at 20 ms each.
  BOOST_TEST((choice.expected_finish == std::chrono::milliseconds(2200)));
  engine_chooser.OnLoad(Name(3), {.running = 4, .waiting = 40, .sampled_at = At(1)});
  BOOST_TEST((Choose(Request()).endpoint != Name(3)));
}

// Guards against sending a whole burst to one endpoint because its load report is out of date.
BOOST_AUTO_TEST_CASE(counts_calls_started_after_the_report) {
  for (int i = 0; i < 12; ++i) {
    engine_chooser.OnLoad(Name(i), {.running = 0, .sampled_at = At(10)});
  }
  std::map<EndpointId, int> placed;
  for (std::uint64_t i = 0; i < 48; ++i) {
    RoutingRequest request = Request();
    request.program_prefix = PrefixId(1000 + i);
    const EndpointChoice choice = Choose(request, 20);
    engine_chooser.OnStarted(InFlightId(i), request, choice, At(20));
    ++placed[choice.endpoint];
  }
  for (const auto& [endpoint, count] : placed) {
    BOOST_TEST(count <= 8);
  }
  BOOST_TEST(placed.size() >= 10U);
}

// Guards against counting a call twice: once in the load report and once as a call in flight.
BOOST_AUTO_TEST_CASE(does_not_count_reported_calls_twice) {
  engine_chooser.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(20'000), At(0));
  for (std::uint64_t i = 0; i < 3; ++i) {
    EndpointChoice choice = Choose(Request());
    choice.endpoint = Name(3);
    engine_chooser.OnStarted(InFlightId(i), Request(), choice, At(10));
  }
  engine_chooser.OnLoad(Name(3), {.running = 3, .sampled_at = At(20)});
  BOOST_TEST(Choose(Request()).expected_wait.count() == 0);
  // The report was sampled before this call starts, so the call is added to the reported load.
  engine_chooser.OnStarted(InFlightId(9), Request(), Choose(Request()), At(30));
  // All 4 slots are then in use. With the initial service time of 1 s, one becomes free after 250
  // ms.
  BOOST_TEST((Choose(Request()).expected_wait == std::chrono::milliseconds(250)));
  engine_chooser.OnLoad(Name(3), {.running = 3, .sampled_at = At(25)});
  engine_chooser.OnFinished(InFlightId(0), TokenCount(20'000), At(40));
  BOOST_TEST((Choose(Request()).endpoint == Name(3)));
  BOOST_TEST(Choose(Request()).expected_wait.count() == 0);
}

// Guards against urgent calls that avoid an endpoint because of queued calls that they would
// overtake.
BOOST_AUTO_TEST_CASE(yielding_calls_do_not_add_to_the_wait) {
  engine_chooser.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(20'000), At(0));
  LoadReport report{.running = 4, .waiting = 20, .sampled_at = At(1)};
  report.yielding_by_rank = {0, 0, 20};
  engine_chooser.OnLoad(Name(3), report);
  const EndpointChoice urgent = Choose(Request());
  BOOST_TEST((urgent.endpoint == Name(3)));
  // With 4 slots and the initial service time of 1 s, the next slot becomes free after 250 ms.
  BOOST_TEST((urgent.expected_wait == std::chrono::milliseconds(250)));
  RoutingRequest batch = Request();
  batch.rank = 2;
  BOOST_TEST((Choose(batch).endpoint != Name(3)));
}

// Guards against calls to another zone while an equal endpoint in the same zone is available.
BOOST_AUTO_TEST_CASE(prefers_endpoints_in_the_same_zone) {
  EndpointChooser two_zones({.random_candidates = 16});
  two_zones.SetEndpoint(Engine(1, "other"));
  two_zones.SetEndpoint(Engine(2, "z"));
  const auto choice = two_zones.Choose(Request(), At(0), rng);
  BOOST_TEST((choice->endpoint == Name(2)));
}

// Guards against sending all calls to a plain service to one of its endpoints.
BOOST_AUTO_TEST_CASE(balances_plain_services) {
  EndpointChooser tool_chooser;
  const ServiceId parts("parts");
  for (int i = 0; i < 4; ++i) {
    tool_chooser.SetEndpoint(
        {.id = Name(i), .zone = {}, .services = {parts}, .speed = {.concurrency = 1}});
  }
  std::map<EndpointId, int> placed;
  const RoutingRequest request{.service = parts, .expected_duration = std::chrono::seconds(1)};
  for (std::uint64_t i = 0; i < 40; ++i) {
    const auto choice = tool_chooser.Choose(request, At(0), rng);
    BOOST_REQUIRE(choice.has_value());
    tool_chooser.OnStarted(InFlightId(i), request, *choice, At(0));
    ++placed[choice->endpoint];
  }
  for (const auto& [endpoint, count] : placed) {
    BOOST_TEST(count <= 14);
  }
}

// Guards against calls to endpoints that have left, are leaving, have already failed the call or do
// not serve the model.
BOOST_AUTO_TEST_CASE(chooses_only_eligible_endpoints) {
  const bool holds = rc::check("membership", [] {
    EndpointChooser chooser;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::set<int> present;
    std::set<int> leaving;
    std::map<InFlightId, EndpointId> running;
    std::uint64_t id = 0;
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      const int n = *rc::gen::inRange(0, 6);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          chooser.SetEndpoint(Engine(n));
          present.insert(n);
          break;
        case 1:
          chooser.RemoveEndpoint(Name(n));
          present.erase(n);
          leaving.erase(n);
          break;
        case 2: {
          const bool leaves = *rc::gen::arbitrary<bool>();
          chooser.SetLeaving(Name(n), leaves);
          if (leaves && present.contains(n)) {
            leaving.insert(n);
          } else {
            leaving.erase(n);
          }
          break;
        }
        case 3:
          if (!running.empty()) {
            chooser.OnFinished(running.begin()->first, TokenCount(5), At(i));
            running.erase(running.begin());
          }
          break;
        default: {
          RoutingRequest request = Request();
          request.excluded = {Name(n)};
          std::set<EndpointId> allowed;
          for (const int p : present) {
            if (p != n && !leaving.contains(p)) {
              allowed.insert(Name(p));
            }
          }
          const auto choice = chooser.Choose(request, At(0), random);
          RC_ASSERT(choice.has_value() == !allowed.empty());
          if (choice) {
            RC_ASSERT(allowed.contains(choice->endpoint));
            chooser.OnStarted(InFlightId(++id), request, *choice, At(0));
            running[InFlightId(id)] = choice->endpoint;
          }
          request.service = ServiceId("unknown");
          RC_ASSERT(!chooser.Choose(request, At(0), random));
        }
      }
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
