#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <list>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

// Homes and limiters on a network that delays and loses messages, with limiters that are lost and
// doubled. Every admitted call is recorded.
struct World {
  struct Running {
    std::size_t holder;
    std::int64_t end;
    MonotonicTime grant_deadline;
  };
  struct Answer {
    std::size_t holder;
    std::int64_t arrival;
    LimitGrant grant;
  };

  explicit World(OrganisationLimit organisation_limit, std::size_t holder_count)
      : limit(organisation_limit), holders(holder_count), deadlines(holder_count) {
    StartGrantor();
  }

  void StartGrantor() {
    grantors.emplace_back(limit, At(now), options);
    ++starts;
  }

  void Step(std::size_t h) {
    for (auto answer = answers.begin(); answer != answers.end();) {
      if (answer->arrival <= now) {
        Accept(*answer);
        answer = answers.erase(answer);
      } else {
        ++answer;
      }
    }
    std::erase_if(running, [&](const Running& call) {
      if (call.end <= now) {
        holders[call.holder].End();
      }
      return call.end <= now;
    });
    if (!holders[h].TryStart(At(now))) {
      admitted.push_back(now);
      running.push_back({h, now + *rc::gen::inRange(1, 4000), deadlines[h]});
    }
    if (const auto request = holders[h].NextRequest(At(now))) {
      pending_deadline[{h, request->sequence}] = At(now) + options.valid_for;
      const bool lost = *rc::gen::inRange(0, 8) == 0;
      if (!lost) {
        LimitGrantor& grantor = grantors[*rc::gen::inRange<std::size_t>(0, grantors.size())];
        const DaemonId id("d" + std::to_string(h));
        answers.push_back(
            {h, now + *rc::gen::inRange(0, 400), grantor.Grant(id, *request, At(now))});
      }
    }
  }

  void Accept(const Answer& answer) {
    const std::uint64_t before = holders[answer.holder].running();
    holders[answer.holder].OnGrant(answer.grant, At(now));
    const auto deadline = pending_deadline[{answer.holder, answer.grant.sequence}];
    // Superseded answers are ignored by the holder; the latest request is the one that counts.
    const auto latest = pending_deadline.upper_bound({answer.holder, answer.grant.sequence});
    if (latest == pending_deadline.end() || latest->first.first != answer.holder) {
      deadlines[answer.holder] = deadline;
    }
    RC_ASSERT(holders[answer.holder].running() == before);
  }

  std::size_t RunningUnderGrants() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        running, [&](const Running& call) { return call.grant_deadline > At(now); }));
  }

  OrganisationLimit limit;
  LimitGrantorOptions options;
  std::int64_t now = 0;
  int starts = 0;
  std::vector<LimitHolder> holders;
  std::vector<MonotonicTime> deadlines;
  std::map<std::pair<std::size_t, std::uint64_t>, MonotonicTime> pending_deadline;
  std::vector<LimitGrantor> grantors;
  std::list<Answer> answers;
  std::list<Running> running;
  std::vector<std::int64_t> admitted;
};

OrganisationLimit AnyLimit() {
  return {.calls_per_second = static_cast<double>(*rc::gen::inRange(1, 50)),
          .burst = static_cast<double>(*rc::gen::inRange(1, 100)),
          .concurrency = *rc::gen::inRange(1U, 40U)};
}

BOOST_AUTO_TEST_SUITE(organisation_limits)

// Guards against more admitted calls than the stated bound, in every window, with a grantor that is
// lost once and replaced after a time with two grantors.
BOOST_AUTO_TEST_CASE(rate_excess_is_bounded) {
  const bool holds = rc::check("rate bound", [] {
    World world(AnyLimit(), *rc::gen::inRange<std::size_t>(1, 5));
    std::int64_t doubled_at = 0;
    std::int64_t overlap = 0;
    const int change = *rc::gen::inRange(0, 400);
    const int settle = change + *rc::gen::inRange(0, 100);
    for (int i = 0; i < 500; ++i) {
      world.now += *rc::gen::inRange(0, 60);
      if (i == change) {
        world.StartGrantor();
        doubled_at = world.now;
      }
      if (i == settle) {
        world.grantors.erase(world.grantors.begin());
        overlap = world.now - doubled_at;
      }
      world.Step(*rc::gen::inRange<std::size_t>(0, world.holders.size()));
    }
    const auto seconds = [](std::int64_t ms) { return 1e-3 * static_cast<double>(ms); };
    const double rate = world.limit.calls_per_second;
    const double fixed =
        world.limit.burst + world.starts * rate * 0.5 + rate * 2 + rate * seconds(overlap);
    for (std::size_t i = 0; i < world.admitted.size(); ++i) {
      for (std::size_t j = i; j < world.admitted.size(); ++j) {
        const double window = seconds(world.admitted[j] - world.admitted[i]);
        RC_ASSERT(static_cast<double>(j - i + 1) <= fixed + rate * window + 1e-6);
      }
    }
  });
  BOOST_TEST(holds);
}

// Guards against more running calls than the limit per grantor whose grants are valid.
BOOST_AUTO_TEST_CASE(concurrency_excess_is_bounded) {
  const bool holds = rc::check("concurrency bound", [] {
    World world(AnyLimit(), *rc::gen::inRange<std::size_t>(1, 5));
    const int change = *rc::gen::inRange(0, 400);
    for (int i = 0; i < 500; ++i) {
      world.now += *rc::gen::inRange(0, 60);
      if (i == change) {
        world.StartGrantor();
        world.grantors.erase(world.grantors.begin());
      }
      world.Step(*rc::gen::inRange<std::size_t>(0, world.holders.size()));
      const std::size_t grantors = i < change ? 1 : 2;
      RC_ASSERT(world.RunningUnderGrants() <= grantors * world.limit.concurrency);
    }
  });
  BOOST_TEST(holds);
}

// Guards against a holder that keeps admitting calls after its grantor has vanished.
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
  // The deadline counts from the request at 1000 ms.
  BOOST_TEST((holder.TryStart(At(3000))->reason == NotRunReason::kRateLimited));
}

// Guards against one home that keeps every slot from the others.
BOOST_AUTO_TEST_CASE(homes_share_the_limit_by_demand) {
  LimitGrantor grantor({.calls_per_second = 100, .burst = 100, .concurrency = 30}, At(0));
  const auto ask = [&](const std::string& home, std::uint32_t wanted, std::int64_t ms) {
    static std::uint64_t sequence = 0;
    return grantor.Grant(DaemonId(home), {++sequence, wanted, wanted, 0}, At(ms));
  };
  BOOST_TEST(ask("a", 100, 2000).concurrency == 30U);
  BOOST_TEST(ask("b", 100, 2000).concurrency == 0U);
  BOOST_TEST(ask("c", 4, 2000).concurrency == 0U);
  BOOST_TEST(ask("a", 100, 3500).concurrency == 13U);
  // The first grant of a is still valid, so its slots are not given out a second time.
  BOOST_TEST(ask("b", 100, 3500).concurrency == 0U);
  BOOST_TEST(ask("b", 100, 4500).concurrency == 15U);
}

// Guards against calls that are taken for granted by an answer to an older request.
BOOST_AUTO_TEST_CASE(superseded_answers_are_ignored) {
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
