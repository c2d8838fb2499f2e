#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <list>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

// Simulates holders and grantors on a network that delays and loses messages. A grantor may be
// lost, and two may run at a time. Records every admitted call.
struct LimitSimulation {
  struct AdmittedCall {
    std::size_t holder;
    std::int64_t end;
    MonotonicTime grant_expiry;
  };
  struct Response {
    std::size_t holder;
    std::int64_t arrival;
    LimitGrant grant;
  };

  explicit LimitSimulation(OrganisationLimit organisation_limit, std::size_t holder_count)
      : limit(organisation_limit), holders(holder_count), grant_expiries(holder_count) {
    StartGrantor();
  }

  void StartGrantor() {
    grantors.emplace_back(limit, At(now), options);
    ++grantor_starts;
  }

  void Step(std::size_t holder_index) {
    for (auto response = responses.begin(); response != responses.end();) {
      if (response->arrival <= now) {
        Deliver(*response);
        response = responses.erase(response);
      } else {
        ++response;
      }
    }
    std::erase_if(running, [&](const AdmittedCall& call) {
      if (call.end <= now) {
        holders[call.holder].End();
      }
      return call.end <= now;
    });
    if (!holders[holder_index].TryStart(At(now))) {
      admitted.push_back(now);
      running.push_back(
          {holder_index, now + *rc::gen::inRange(1, 4000), grant_expiries[holder_index]});
    }
    if (const auto request = holders[holder_index].NextRequest(At(now))) {
      requested_expiry[{holder_index, request->sequence}] = At(now) + options.valid_for;
      const bool lost = *rc::gen::inRange(0, 8) == 0;
      if (!lost) {
        LimitGrantor& grantor = grantors[*rc::gen::inRange<std::size_t>(0, grantors.size())];
        const DaemonId id("d" + std::to_string(holder_index));
        responses.push_back(
            {holder_index, now + *rc::gen::inRange(0, 400), grantor.Grant(id, *request, At(now))});
      }
    }
  }

  void Deliver(const Response& response) {
    const std::uint64_t before = holders[response.holder].running();
    holders[response.holder].OnGrant(response.grant, At(now));
    const auto expiry = requested_expiry[{response.holder, response.grant.sequence}];
    // The holder ignores responses to superseded requests and applies the one to its latest
    // request.
    const auto latest = requested_expiry.upper_bound({response.holder, response.grant.sequence});
    if (latest == requested_expiry.end() || latest->first.first != response.holder) {
      grant_expiries[response.holder] = expiry;
    }
    RC_ASSERT(holders[response.holder].running() == before);
  }

  std::size_t RunningUnderValidGrants() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        running, [&](const AdmittedCall& call) { return call.grant_expiry > At(now); }));
  }

  OrganisationLimit limit;
  LimitGrantorOptions options;
  std::int64_t now = 0;
  int grantor_starts = 0;
  std::vector<LimitHolder> holders;
  std::vector<MonotonicTime> grant_expiries;
  std::map<std::pair<std::size_t, std::uint64_t>, MonotonicTime> requested_expiry;
  std::vector<LimitGrantor> grantors;
  std::list<Response> responses;
  std::list<AdmittedCall> running;
  std::vector<std::int64_t> admitted;
};

OrganisationLimit AnyLimit() {
  return {.calls_per_second = static_cast<double>(*rc::gen::inRange(1, 50)),
          .burst = static_cast<double>(*rc::gen::inRange(1, 100)),
          .concurrency = *rc::gen::inRange(1U, 40U)};
}

BOOST_AUTO_TEST_SUITE(organisation_limits)

// Guards against admitting more calls than the bound stated at LimitGrantor, in any time window. A
// second grantor starts and runs in parallel with the first until the first is removed.
BOOST_AUTO_TEST_CASE(rate_excess_is_bounded) {
  const bool holds = rc::check("rate bound", [] {
    LimitSimulation simulation(AnyLimit(), *rc::gen::inRange<std::size_t>(1, 5));
    std::int64_t overlap_started = 0;
    std::int64_t overlap = 0;
    const int replacement_step = *rc::gen::inRange(0, 400);
    const int removal_step = replacement_step + *rc::gen::inRange(0, 100);
    for (int i = 0; i < 500; ++i) {
      simulation.now += *rc::gen::inRange(0, 60);
      if (i == replacement_step) {
        simulation.StartGrantor();
        overlap_started = simulation.now;
      }
      if (i == removal_step) {
        simulation.grantors.erase(simulation.grantors.begin());
        overlap = simulation.now - overlap_started;
      }
      simulation.Step(*rc::gen::inRange<std::size_t>(0, simulation.holders.size()));
    }
    const auto seconds = [](std::int64_t ms) { return 1e-3 * static_cast<double>(ms); };
    const double rate = simulation.limit.calls_per_second;
    const double allowance = simulation.limit.burst + simulation.grantor_starts * rate * 0.5 +
                             rate * 2 + rate * seconds(overlap);
    for (std::size_t i = 0; i < simulation.admitted.size(); ++i) {
      for (std::size_t j = i; j < simulation.admitted.size(); ++j) {
        const double window = seconds(simulation.admitted[j] - simulation.admitted[i]);
        RC_ASSERT(static_cast<double>(j - i + 1) <= allowance + rate * window + 1e-6);
      }
    }
  });
  BOOST_TEST(holds);
}

// Guards against more calls running under valid grants than the limit allows per grantor.
BOOST_AUTO_TEST_CASE(concurrency_excess_is_bounded) {
  const bool holds = rc::check("concurrency bound", [] {
    LimitSimulation simulation(AnyLimit(), *rc::gen::inRange<std::size_t>(1, 5));
    const int replacement_step = *rc::gen::inRange(0, 400);
    for (int i = 0; i < 500; ++i) {
      simulation.now += *rc::gen::inRange(0, 60);
      if (i == replacement_step) {
        simulation.StartGrantor();
        simulation.grantors.erase(simulation.grantors.begin());
      }
      simulation.Step(*rc::gen::inRange<std::size_t>(0, simulation.holders.size()));
      const std::size_t grantors = i < replacement_step ? 1 : 2;
      RC_ASSERT(simulation.RunningUnderValidGrants() <= grantors * simulation.limit.concurrency);
    }
  });
  BOOST_TEST(holds);
}

// Guards against a holder that keeps admitting calls after its grantor is lost.
BOOST_AUTO_TEST_CASE(a_grant_expires_without_its_grantor) {
  LimitGrantor grantor({.calls_per_second = 100, .burst = 100, .concurrency = 10}, At(0));
  LimitHolder holder;
  BOOST_TEST((holder.TryStart(At(1000))->reason == NotRunReason::kRateLimited));
  const auto request = holder.NextRequest(At(1000));
  BOOST_REQUIRE(request.has_value());
  holder.OnGrant(grantor.Grant(DaemonId("d"), *request, At(1100)), At(1200));
  BOOST_TEST(!holder.TryStart(At(1200)));
  holder.End();
  BOOST_TEST(!holder.TryStart(At(2999)));
  holder.End();
  // The validity of 2 s starts with the request at 1000 ms.
  BOOST_TEST((holder.TryStart(At(3000))->reason == NotRunReason::kRateLimited));
}

// Guards against one holder that keeps all slots and leaves none to the others.
BOOST_AUTO_TEST_CASE(holders_share_the_limit_by_demand) {
  LimitGrantor grantor({.calls_per_second = 100, .burst = 100, .concurrency = 30}, At(0));
  const auto request = [&](const std::string& holder, std::uint32_t wanted, std::int64_t ms) {
    static std::uint64_t sequence = 0;
    return grantor.Grant(DaemonId(holder), {++sequence, wanted, wanted, 0}, At(ms));
  };
  BOOST_TEST(request("a", 100, 2000).concurrency == 30U);
  BOOST_TEST(request("b", 100, 2000).concurrency == 0U);
  BOOST_TEST(request("c", 4, 2000).concurrency == 0U);
  BOOST_TEST(request("a", 100, 3500).concurrency == 13U);
  // The first grant to a is still valid, so its slots are not granted again.
  BOOST_TEST(request("b", 100, 3500).concurrency == 0U);
  BOOST_TEST(request("b", 100, 4500).concurrency == 15U);
}

// Guards against applying a grant that responds to an older request than the latest one.
BOOST_AUTO_TEST_CASE(responses_to_superseded_requests_are_ignored) {
  LimitHolder holder;
  holder.TryStart(At(0));
  const auto first = holder.NextRequest(At(0));
  BOOST_TEST(!holder.NextRequest(At(100)).has_value());
  holder.TryStart(At(600));
  const auto second = holder.NextRequest(At(600));
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  const auto grant = [](std::uint64_t sequence) {
    return LimitGrant{.sequence = sequence,
                      .calls = 5,
                      .concurrency = 5,
                      .valid_for = std::chrono::seconds(2),
                      .retry_after = {}};
  };
  holder.OnGrant(grant(first->sequence), At(700));
  BOOST_TEST(holder.TryStart(At(700)).has_value());
  holder.OnGrant(grant(second->sequence), At(700));
  BOOST_TEST(!holder.TryStart(At(700)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
