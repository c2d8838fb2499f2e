#include <boost/test/unit_test.hpp>

#include "src/organisations/share_lessor.h"
#include "src/organisations/test_limit_cluster.h"

namespace acaciaspring::organisations {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const OrganisationId kHot("hot");
const OrganisationId kCalm("calm");
constexpr std::size_t kDaemons = 8;

Organisation Limited(const OrganisationId& id, double per_second, double burst) {
  return {.id = id, .limit = RequestLimit{.per_second = per_second, .burst = burst}};
}

/// @brief A running cluster in which one organisation stays inside its limit and one does not.
struct Fixture {
  Fixture() : cluster({Limited(kHot, 40, 40), Limited(kCalm, 40, 80)}) {
    cluster.StartAll(kDaemons);
    cluster.Run(seconds(3));
    cluster.loads = {{.organisation = kHot, .per_second = 160, .daemons = cluster.AllDaemons()},
                     {.organisation = kCalm, .per_second = 24, .daemons = cluster.AllDaemons()}};
    cluster.Run(seconds(5));
    cluster.counts.clear();
  }
  std::size_t GrantorOf(const OrganisationId& organisation) const {
    std::vector<DaemonId> ids;
    for (const std::size_t index : cluster.AllDaemons()) {
      ids.push_back(TestLimitCluster::Id(index));
    }
    return std::stoul(ChooseGrantor(organisation, ids).value().substr(1));
  }
  std::size_t RandomDaemon() { return random() % kDaemons; }
  Duration RandomTime(int longest_ms) { return milliseconds(50 + random() % longest_ms); }

  TestLimitCluster cluster;
  std::mt19937_64 random{11};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_limits_failure, Fixture)

// Guards against callers that are told that their limit is used up where nobody can know that, and
// against shares that stay with a grantor that does not answer.
BOOST_AUTO_TEST_CASE(requests_inside_the_limit_are_not_denied_while_the_grantor_is_frozen) {
  cluster.daemons[GrantorOf(kCalm)].frozen = true;
  cluster.Run(seconds(3));
  const auto frozen = cluster.counts[kCalm];
  BOOST_TEST_MESSAGE("unanswered: " << frozen.unanswered << ", denied: " << frozen.denied << " of "
                                    << frozen.asked);
  BOOST_TEST(frozen.unanswered > 0U);
  BOOST_TEST(frozen.denied <= 2U);
  cluster.counts.clear();
  cluster.Run(seconds(5));
  BOOST_TEST(cluster.counts[kCalm].unanswered + cluster.counts[kCalm].denied == 0U);
}

// Guards against a suspended grantor that believes the heartbeats that waited in its sockets, and
// grants from shares that are leased to another one in the meantime.
BOOST_AUTO_TEST_CASE(suspended_grantor_grants_nothing_from_its_former_leases) {
  const std::size_t grantor = GrantorOf(kCalm);
  cluster.loads.clear();
  cluster.Run(seconds(5));
  cluster.daemons[grantor].frozen = true;
  cluster.Run(seconds(3));
  RequestLimits& limits = *cluster.daemons[grantor].limits;
  for (const std::size_t index : cluster.AllDaemons()) {
    limits.OnHeard(TestLimitCluster::Id(index), cluster.now);
  }
  std::size_t permits = 0;
  for (int i = 0; i < 100; ++i) {
    permits += std::holds_alternative<Permit>(
                   limits.Acquire(kCalm, PermitUse::kOther, cluster.now + seconds(2), cluster.now))
                   ? 1
                   : 0;
  }
  BOOST_TEST(permits == 0U);
}

// Guards against shares that are used twice while daemons end, start and stop to run in any order.
BOOST_AUTO_TEST_CASE(bound_holds_while_daemons_end_start_and_freeze) {
  for (int event = 0; event < 120; ++event) {
    const std::size_t index = event % 3 == 0 ? GrantorOf(kHot) : RandomDaemon();
    auto& daemon = cluster.daemons[index];
    if (daemon.limits == nullptr) {
      cluster.Start(index);
    } else if (daemon.frozen) {
      daemon.frozen = false;
    } else if (random() % 2 == 0) {
      cluster.Kill(index);
    } else {
      daemon.frozen = true;
    }
    cluster.Run(RandomTime(1500));
  }
  cluster.CheckBounds();
  for (const std::size_t index : cluster.AllDaemons()) {
    cluster.daemons[index].frozen = false;
    if (cluster.daemons[index].limits == nullptr) {
      cluster.Start(index);
    }
  }
  cluster.Run(seconds(5));
  const BootTime restored = cluster.now;
  cluster.counts.clear();
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.UsedSince(kHot, restored) >= 380U);
  BOOST_TEST(cluster.counts[kCalm].unanswered + cluster.counts[kCalm].denied == 0U);
}

// Guards against shares that are used twice while the groups of daemons that hear each other
// change.
BOOST_AUTO_TEST_CASE(bound_holds_while_groups_change_and_daemons_freeze) {
  for (int event = 0; event < 120; ++event) {
    const std::size_t index = RandomDaemon();
    if (event % 3 == 0) {
      cluster.daemons[index].frozen = !cluster.daemons[index].frozen;
    } else {
      cluster.SetGroup(index, static_cast<int>(random() % 3));
    }
    cluster.Run(RandomTime(1200));
  }
  cluster.CheckBounds();
  for (const std::size_t index : cluster.AllDaemons()) {
    cluster.daemons[index].frozen = false;
    cluster.SetGroup(index, 0);
  }
  cluster.Run(seconds(5));
  const BootTime restored = cluster.now;
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.UsedSince(kHot, restored) >= 380U);
}

// Guards against daemons that share the limits alone because they know no others yet.
BOOST_AUTO_TEST_CASE(nothing_is_granted_before_the_members_are_known) {
  RequestLimits limits({.self = DaemonId("alone")});
  BootTime now{seconds(100)};
  limits.SetOrganisations({Limited(kHot, 40, 40)}, now);
  const auto decision = limits.Acquire(kHot, PermitUse::kOther, now + seconds(2), now);
  BOOST_TEST(std::holds_alternative<PermitWaits>(decision));
  std::size_t unanswered = 0;
  for (int step = 0; step < 200; ++step, now += milliseconds(5)) {
    for (const auto& [ticket, decided] : limits.Step(now).decisions) {
      unanswered += std::holds_alternative<PermitUnanswered>(decided) ? 1 : 0;
    }
  }
  BOOST_TEST(unanswered == 1U);
}

// Guards against state for organisations that the configuration does not list.
BOOST_AUTO_TEST_CASE(unknown_organisations_need_no_permit_and_no_state) {
  const OrganisationId unknown("unknown");
  RequestLimits& limits = *cluster.daemons[0].limits;
  BOOST_TEST(!limits.HasLimit(unknown));
  const auto decision =
      limits.Acquire(unknown, PermitUse::kOther, cluster.now + seconds(2), cluster.now);
  BOOST_TEST(std::holds_alternative<Permit>(decision));
  limits.Return(std::get<Permit>(decision));
  limits.OnRequest(TestLimitCluster::Id(1),
                   {.session = 1'000,
                    .to_session = 1,
                    .has_leases = true,
                    .lease_sequence = 1'000,
                    .daemons = 1,
                    .lease_us = 600'000,
                    .leases = {unknown},
                    .wants = {{.organisation = unknown, .other = 5}}},
                   cluster.now);
  for (const auto& [daemon, grant] : limits.Step(cluster.now).grants) {
    BOOST_TEST(grant.answers.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::organisations
