#include "src/organisations/permit_pool.h"

#include <boost/test/unit_test.hpp>

#include "src/organisations/permit_grantor.h"

namespace acaciaspring::organisations {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const OrganisationId kOrganisation("org");
constexpr BootTime kStart{seconds(100)};

/// @brief A pool that has been filled for a minute.
PermitPool FullPool(RequestLimit limit, double fraction) {
  PermitPool pool(limit, {}, kStart - seconds(60));
  pool.SetFraction(fraction, kStart - seconds(60));
  pool.Refill(kStart);
  return pool;
}

PermitRequest LeaseOf(std::uint32_t daemons) {
  return {.has_leases = true,
          .daemons = daemons,
          .lease_us = Duration(seconds(60)).count(),
          .leases = {kOrganisation}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(permit_pool)

// Guards against a burst that comes with a new or restarted grantor.
BOOST_AUTO_TEST_CASE(new_pool_has_few_permits_and_no_burst) {
  PermitPool pool({.per_second = 100, .burst = 200}, {}, kStart);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 0);
  pool.SetFraction(0.5, kStart);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) <= 2);
  pool.Refill(kStart + seconds(1));
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) <= 52);
}

// Guards against permits that a lease brings each time that it ends and returns.
BOOST_AUTO_TEST_CASE(returning_leases_bring_no_permits) {
  PermitPool pool({.per_second = 0.001, .burst = 200}, {}, kStart);
  for (int i = 0; i < 20; ++i) {
    pool.SetFraction(i % 2 == 0 ? 1 : 0.9, kStart + milliseconds(200) * i);
  }
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) <= 4.1);
}

// Guards against levels that outlast a lowered limit or a lost lease.
BOOST_AUTO_TEST_CASE(level_is_cut_to_the_burst) {
  PermitPool pool = FullPool({.per_second = 100, .burst = 200}, 1);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 200);
  pool.SetLimit({.per_second = 10, .burst = 20}, kStart);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 20);
  pool.SetFraction(0.5, kStart);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 10);
  pool.Return(100);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 10);
  pool.SetFraction(0, kStart);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 0);
  pool.Return(100);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 0);
}

// Guards against new programs that take the permits that started ones are about to need.
BOOST_AUTO_TEST_CASE(permits_are_kept_for_started_programs) {
  PermitPool pool = FullPool({.per_second = 10, .burst = 20}, 1);
  BOOST_TEST(pool.Available(PermitUse::kOther) == 20);
  pool.Take(PermitUse::kStartedProgram, 10);
  BOOST_TEST(pool.Available(PermitUse::kStartedProgram) == 10);
  BOOST_TEST(pool.Available(PermitUse::kOther) == 7);
  BOOST_TEST((pool.TimeUntil(PermitUse::kOther, 9, kStart) == milliseconds(200)));
  pool.Refill(kStart + seconds(20));
  BOOST_TEST(pool.Available(PermitUse::kOther) == 20);
}

// Guards against shares that exceed the whole limit while daemons count each other differently.
BOOST_AUTO_TEST_CASE(shares_are_parts_of_the_largest_count) {
  for (const auto& [first, second] : {std::pair(4U, 2U), std::pair(2U, 4U)}) {
    PermitGrantor grantor{LimitTolerance{}};
    grantor.SetLimits({{kOrganisation, {.per_second = 100, .burst = 100}}}, kStart);
    grantor.SetLeases(DaemonId("a"), LeaseOf(first), kStart);
    grantor.SetLeases(DaemonId("b"), LeaseOf(second), kStart);
    std::vector<PermitGrantor::Answer> answers;
    grantor.OnWant(DaemonId("a"), 0, {.organisation = kOrganisation, .other = 1'000},
                   kStart + seconds(30), answers);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().answer.permits == 50U);
  }
}

// Guards against permits that are granted again while they are on their way, and against permits
// that are never granted because a grant was lost.
BOOST_AUTO_TEST_CASE(repeated_wants_are_granted_once) {
  PermitGrantor grantor{LimitTolerance{}};
  grantor.SetLimits({{kOrganisation, {.per_second = 10, .burst = 100}}}, kStart);
  grantor.SetLeases(DaemonId("a"), LeaseOf(1), kStart);
  BootTime now = kStart + seconds(30);
  const auto permits = [&](std::uint64_t received) {
    std::vector<PermitGrantor::Answer> answers;
    grantor.OnWant(DaemonId("a"), 0,
                   {.organisation = kOrganisation, .other = 3, .received = received}, now, answers);
    return answers.at(0).answer.permits;
  };
  BOOST_TEST(permits(0) == 3U);
  BOOST_TEST(permits(0) == 0U);
  BOOST_TEST(permits(3) == 3U);
  now += seconds(2);
  BOOST_TEST(permits(3) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::organisations
