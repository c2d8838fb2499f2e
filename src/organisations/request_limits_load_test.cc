#include <boost/test/unit_test.hpp>

#include "src/organisations/share_lessor.h"
#include "src/organisations/test_limit_cluster.h"

namespace acaciaspring::organisations {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const OrganisationId kHot("hot");
const OrganisationId kCalm("calm");

Organisation Limited(const OrganisationId& id, double per_second, double burst) {
  return {.id = id, .limit = RequestLimit{.per_second = per_second, .burst = burst}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_limits_load)

// Guards against an organisation that takes the permits of others, against limits that are not
// used up under overload, and against programs that are interrupted for new ones.
BOOST_AUTO_TEST_CASE(hot_organisation_at_7_5_times_its_rate) {
  TestLimitCluster cluster({Limited(kHot, 40, 80), Limited(kCalm, 40, 80)});
  cluster.StartAll(31);
  cluster.loads = {{.organisation = kHot, .per_second = 20, .daemons = cluster.AllDaemons()},
                   {.organisation = kCalm, .per_second = 36, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(10));
  cluster.loads[0].per_second = 300;
  cluster.loads[0].started_part = 0.05;
  cluster.Run(seconds(5));
  const BootTime overload = cluster.now;
  cluster.counts.clear();
  const std::uint64_t sent = cluster.messages_sent;
  cluster.Run(seconds(20));
  cluster.CheckBounds();
  BOOST_TEST(cluster.UsedSince(kHot, overload) >= 760U);
  BOOST_TEST(cluster.counts[kCalm].denied + cluster.counts[kCalm].unanswered == 0U);
  BOOST_TEST(cluster.counts[kHot].unanswered == 0U);
  const auto& hot = cluster.counts[kHot];
  BOOST_TEST(static_cast<double>(hot.granted_started) >=
             0.98 * static_cast<double>(hot.asked_started));
  BOOST_TEST((hot.longest_retry > seconds(1)));
  BOOST_TEST_MESSAGE("messages per second and daemon: " << (cluster.messages_sent - sent) / 20 /
                                                               31);
}

// Guards against refusals inside the limits where most organisations send only now and then.
BOOST_AUTO_TEST_CASE(many_small_organisations_beside_a_few_large_ones) {
  std::vector<Organisation> organisations;
  for (int i = 0; i < 74; ++i) {
    const double rate = i < 4 ? 50 : 3;
    organisations.push_back(Limited(OrganisationId("o" + std::to_string(i)), rate, 2 * rate));
  }
  TestLimitCluster cluster(organisations);
  cluster.StartAll(31);
  cluster.Run(seconds(3));
  for (const Organisation& organisation : organisations) {
    cluster.loads.push_back({.organisation = organisation.id,
                             .per_second = organisation.limit->per_second * 0.8,
                             .daemons = cluster.AllDaemons()});
  }
  cluster.Run(seconds(15));
  cluster.CheckBounds();
  for (const auto& [organisation, count] : cluster.counts) {
    BOOST_TEST(count.denied + count.unanswered == 0U, organisation);
    BOOST_TEST(count.asked > 30U);
  }
}

// Guards against callers that get only the share of their daemon.
BOOST_AUTO_TEST_CASE(all_callers_at_one_of_31_daemons_get_the_full_rate_within_a_second) {
  TestLimitCluster cluster({Limited(kHot, 50, 25)});
  cluster.StartAll(31);
  cluster.Run(seconds(5));
  const BootTime start = cluster.now;
  cluster.loads = {{.organisation = kHot, .per_second = 48, .daemons = {3}}};
  cluster.Run(seconds(1));
  BOOST_TEST(cluster.UsedSince(kHot, start) >= 46U);
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.counts[kHot].denied + cluster.counts[kHot].unanswered == 0U);
  // With demand above the limit, the callers get the whole rate and no more.
  cluster.loads[0].per_second = 100;
  cluster.Run(seconds(5));
  const BootTime above = cluster.now;
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.UsedSince(kHot, above) >= 480U);
  cluster.CheckBounds();
}

// Guards against two groups of daemons that each use the whole limit.
BOOST_AUTO_TEST_CASE(two_halves_that_do_not_hear_each_other) {
  TestLimitCluster cluster({Limited(kHot, 60, 60)});
  cluster.StartAll(10);
  cluster.Run(seconds(3));
  cluster.loads = {{.organisation = kHot, .per_second = 200, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(10));
  for (std::size_t index = 0; index < 5; ++index) {
    cluster.SetGroup(index, 1);
  }
  cluster.Run(seconds(5));
  const BootTime apart = cluster.now;
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.UsedSince(kHot, apart) >= 1100U);
  for (std::size_t index = 0; index < 5; ++index) {
    cluster.SetGroup(index, 0);
  }
  cluster.Run(seconds(15));
  cluster.CheckBounds();
}

// Guards against restarted daemons that bring permits with them, and against refusals in the time
// in which a share moves.
BOOST_AUTO_TEST_CASE(rolling_restart) {
  TestLimitCluster cluster({Limited(kHot, 50, 100), Limited(kCalm, 50, 100)});
  cluster.StartAll(8);
  cluster.Run(seconds(3));
  cluster.loads = {{.organisation = kHot, .per_second = 150, .daemons = cluster.AllDaemons()},
                   {.organisation = kCalm, .per_second = 30, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(5));
  cluster.counts.clear();
  for (std::size_t index = 0; index < 8; ++index) {
    cluster.Kill(index);
    cluster.Run(milliseconds(700));
    cluster.Start(index);
    cluster.Run(milliseconds(1300));
  }
  cluster.CheckBounds();
  const auto& calm = cluster.counts[kCalm];
  BOOST_TEST_MESSAGE("refused inside the limit: " << calm.denied + calm.unanswered << " of "
                                                  << calm.asked);
  BOOST_TEST((calm.denied + calm.unanswered) * 20 <= calm.asked);
  cluster.counts.clear();
  cluster.Run(seconds(5));
  BOOST_TEST(cluster.counts[kCalm].denied + cluster.counts[kCalm].unanswered == 0U);
}

// Guards against a new burst, and against a cluster that stays without permits, after all daemons
// were lost.
BOOST_AUTO_TEST_CASE(all_killed_at_once) {
  TestLimitCluster cluster({Limited(kHot, 50, 200), Limited(kCalm, 50, 200)});
  cluster.StartAll(12);
  cluster.Run(seconds(6));
  cluster.loads = {{.organisation = kHot, .per_second = 400, .daemons = cluster.AllDaemons()},
                   {.organisation = kCalm, .per_second = 20, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(2));
  for (std::size_t index = 0; index < 12; ++index) {
    cluster.Kill(index);
  }
  cluster.Run(milliseconds(300));
  cluster.StartAll(12);
  cluster.Run(seconds(2));
  cluster.counts.clear();
  const BootTime restarted = cluster.now;
  cluster.Run(seconds(10));
  cluster.CheckBounds();
  BOOST_TEST(cluster.UsedSince(kHot, restarted) >= 470U);
  BOOST_TEST(cluster.counts[kCalm].denied + cluster.counts[kCalm].unanswered == 0U);
}

// Guards against the shares of new daemons that come on top of the former shares.
BOOST_AUTO_TEST_CASE(daemons_are_added) {
  TestLimitCluster cluster({Limited(kHot, 50, 50), Limited(kCalm, 50, 50)});
  cluster.StartAll(10);
  cluster.Run(seconds(3));
  cluster.loads = {{.organisation = kHot, .per_second = 200, .daemons = cluster.AllDaemons()},
                   {.organisation = kCalm, .per_second = 30, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(5));
  cluster.counts.clear();
  for (std::size_t index = 10; index < 40; ++index) {
    cluster.Start(index);
  }
  cluster.Run(seconds(5));
  for (auto& load : cluster.loads) {
    load.daemons = cluster.AllDaemons();
  }
  const BootTime added = cluster.now;
  cluster.Run(seconds(10));
  cluster.CheckBounds();
  BOOST_TEST(cluster.UsedSince(kHot, added) >= 470U);
  const auto& calm = cluster.counts[kCalm];
  BOOST_TEST(calm.denied + calm.unanswered <= 5U);
}

// Guards against a burst of the former size after the limit has been lowered.
BOOST_AUTO_TEST_CASE(limit_is_lowered) {
  TestLimitCluster cluster({Limited(kHot, 100, 500)});
  cluster.StartAll(8);
  cluster.Run(seconds(8));
  cluster.SetOrganisations({Limited(kHot, 10, 20)});
  const BootTime lowered = cluster.now;
  cluster.loads = {{.organisation = kHot, .per_second = 100, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(15));
  cluster.CheckBounds(lowered);
  BOOST_TEST(cluster.UsedSince(kHot, lowered + seconds(5)) >= 95U);
}

// Guards against shares that are lost because a lessor learns of an organisation before its
// grantor.
BOOST_AUTO_TEST_CASE(organisation_is_added) {
  TestLimitCluster cluster({Limited(kCalm, 50, 50)});
  cluster.StartAll(8);
  cluster.Run(seconds(3));
  std::vector<DaemonId> ids;
  for (const std::size_t index : cluster.AllDaemons()) {
    ids.push_back(TestLimitCluster::Id(index));
  }
  const std::size_t grantor = std::stoul(ChooseGrantor(kHot, ids).value().substr(1));
  for (std::size_t i = 1; i <= 8; ++i) {
    cluster.daemons[(grantor + i) % 8].limits->SetOrganisations(
        {Limited(kCalm, 50, 50), Limited(kHot, 50, 50)}, cluster.now);
    cluster.Run(milliseconds(100));
  }
  cluster.organisations.push_back(Limited(kHot, 50, 50));
  cluster.loads = {{.organisation = kHot, .per_second = 200, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(5));
  const BootTime added = cluster.now;
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.UsedSince(kHot, added) >= 480U);
  cluster.CheckBounds();
}

// Guards against a grantor that continues to grant from shares that others have leased elsewhere in
// the meantime, also where the messages of the meantime are waiting for it.
BOOST_AUTO_TEST_CASE(frozen_grantor_awakes) {
  TestLimitCluster cluster({Limited(kHot, 50, 50)});
  cluster.StartAll(8);
  cluster.Run(seconds(3));
  std::vector<DaemonId> ids;
  for (const std::size_t index : cluster.AllDaemons()) {
    ids.push_back(TestLimitCluster::Id(index));
  }
  const std::size_t grantor = std::stoul(ChooseGrantor(kHot, ids).value().substr(1));
  cluster.loads = {{.organisation = kHot, .per_second = 200, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(5));
  for (const int frozen_ms : {300, 900, 1500, 3000, 7000}) {
    cluster.daemons[grantor].frozen = true;
    cluster.Run(milliseconds(frozen_ms));
    cluster.daemons[grantor].frozen = false;
    cluster.Run(seconds(5));
    const BootTime awake = cluster.now;
    cluster.Run(seconds(5));
    BOOST_TEST(cluster.UsedSince(kHot, awake) >= 235U, frozen_ms);
  }
  cluster.CheckBounds();
}

// Guards against lost permits where connections break and are opened again.
BOOST_AUTO_TEST_CASE(grantor_ends_under_load) {
  TestLimitCluster cluster({Limited(kCalm, 50, 100)});
  cluster.StartAll(8);
  cluster.Run(seconds(3));
  cluster.loads = {{.organisation = kCalm, .per_second = 30, .daemons = cluster.AllDaemons()}};
  cluster.Run(seconds(5));
  cluster.counts.clear();
  std::vector<DaemonId> ids;
  for (const std::size_t index : cluster.AllDaemons()) {
    ids.push_back(TestLimitCluster::Id(index));
  }
  cluster.Kill(std::stoul(ChooseGrantor(kCalm, ids).value().substr(1)));
  cluster.Run(seconds(5));
  cluster.CheckBounds();
  BOOST_TEST(cluster.counts[kCalm].denied + cluster.counts[kCalm].unanswered == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::organisations
