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
      fleet.SetEndpoint(Engine(i));
    }
  }

  EndpointChoice Choose(const RoutingRequest& request, std::int64_t ms = 0) {
    const auto choice = fleet.Choose(request, At(ms), engine);
    BOOST_REQUIRE(choice.has_value());
    return *choice;
  }

  EndpointChooser fleet;
  std::mt19937_64 engine{1};
};

BOOST_FIXTURE_TEST_SUITE(endpoint_chooser, Fixture)

// Guards against recomputed prompts while the holder has room, and against a queue that forms at
// the holder while other endpoints are free.
BOOST_AUTO_TEST_CASE(prefers_the_holder_until_its_queue_costs_more) {
  fleet.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(19'000), At(0));
  const EndpointChoice choice = Choose(Request());
  BOOST_TEST((choice.endpoint == Name(3)));
  BOOST_TEST((choice.expected_cached == TokenCount(19'000)));
  // 100 ms of prefill, as much delay of others, and 100 tokens at 20 ms.
  BOOST_TEST((choice.expected_finish == std::chrono::milliseconds(2200)));
  fleet.OnLoad(Name(3), {.running = 4, .waiting = 40, .sampled_at = At(1)});
  BOOST_TEST((Choose(Request()).endpoint != Name(3)));
}

// Guards against a burst that goes to one endpoint because its report lags.
BOOST_AUTO_TEST_CASE(own_calls_since_the_report_count) {
  for (int i = 0; i < 12; ++i) {
    fleet.OnLoad(Name(i), {.running = 0, .sampled_at = At(10)});
  }
  std::map<EndpointId, int> placed;
  for (std::uint64_t i = 0; i < 48; ++i) {
    RoutingRequest request = Request();
    request.program_prefix = PrefixId(1000 + i);
    const EndpointChoice choice = Choose(request, 20);
    fleet.OnStarted(InFlightId(i), request, choice, At(20));
    ++placed[choice.endpoint];
  }
  for (const auto& [endpoint, count] : placed) {
    BOOST_TEST(count <= 8);
  }
  BOOST_TEST(placed.size() >= 10U);
}

// Guards against counting own calls twice: once in the report and once as in flight.
BOOST_AUTO_TEST_CASE(a_report_replaces_the_own_calls_that_it_includes) {
  fleet.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(20'000), At(0));
  for (std::uint64_t i = 0; i < 3; ++i) {
    EndpointChoice choice = Choose(Request());
    choice.endpoint = Name(3);
    fleet.OnStarted(InFlightId(i), Request(), choice, At(10));
  }
  fleet.OnLoad(Name(3), {.running = 3, .sampled_at = At(20)});
  BOOST_TEST(Choose(Request()).expected_wait.count() == 0);
  // The report was sampled before the last start, so that call comes on top.
  fleet.OnStarted(InFlightId(9), Request(), Choose(Request()), At(30));
  // With it all 4 slots are taken: one of them frees after a quarter of the assumed second.
  BOOST_TEST((Choose(Request()).expected_wait == std::chrono::milliseconds(250)));
  fleet.OnLoad(Name(3), {.running = 3, .sampled_at = At(25)});
  fleet.OnFinished(InFlightId(0), TokenCount(20'000), At(40));
  BOOST_TEST((Choose(Request()).endpoint == Name(3)));
  BOOST_TEST(Choose(Request()).expected_wait.count() == 0);
}

// Guards against urgent calls that avoid an endpoint because of work that they overtake.
BOOST_AUTO_TEST_CASE(less_urgent_calls_do_not_count_as_ahead) {
  fleet.cache().OnCompletion(Name(3), PrefixId(7), TokenCount(20'000), At(0));
  LoadReport report{.running = 4, .waiting = 20, .sampled_at = At(1)};
  report.yielding_by_rank = {0, 0, 20};
  fleet.OnLoad(Name(3), report);
  const EndpointChoice urgent = Choose(Request());
  BOOST_TEST((urgent.endpoint == Name(3)));
  // The next free slot of 4 after a quarter of the assumed second.
  BOOST_TEST((urgent.expected_wait == std::chrono::milliseconds(250)));
  RoutingRequest batch = Request();
  batch.rank = 2;
  BOOST_TEST((Choose(batch).endpoint != Name(3)));
}

// Guards against calls across zones without need.
BOOST_AUTO_TEST_CASE(prefers_the_own_zone) {
  EndpointChooser two({.random_candidates = 16});
  two.SetEndpoint(Engine(1, "other"));
  two.SetEndpoint(Engine(2, "z"));
  const auto choice = two.Choose(Request(), At(0), engine);
  BOOST_TEST((choice->endpoint == Name(2)));
}

// Guards against plain services that all calls reach on one endpoint.
BOOST_AUTO_TEST_CASE(balances_plain_services) {
  EndpointChooser tools;
  const ServiceId parts("parts");
  for (int i = 0; i < 4; ++i) {
    tools.SetEndpoint(
        {.id = Name(i), .zone = {}, .services = {parts}, .speed = {.concurrency = 1}});
  }
  std::map<EndpointId, int> placed;
  const RoutingRequest request{.service = parts, .expected_duration = std::chrono::seconds(1)};
  for (std::uint64_t i = 0; i < 40; ++i) {
    const auto choice = tools.Choose(request, At(0), engine);
    BOOST_REQUIRE(choice.has_value());
    tools.OnStarted(InFlightId(i), request, *choice, At(0));
    ++placed[choice->endpoint];
  }
  for (const auto& [endpoint, count] : placed) {
    BOOST_TEST(count <= 14);
  }
}

// Guards against calls to endpoints that left, are leaving, failed the call or lack the model.
BOOST_AUTO_TEST_CASE(chooses_only_endpoints_that_may_serve) {
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
