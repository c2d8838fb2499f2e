#include "acaciaspring/base.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring {

// If the hash differed between builds, VMs would assign the same program to different shards.
BOOST_AUTO_TEST_CASE(hashes_are_stable) {
  BOOST_TEST(Hash64("acaciaspring") == Hash64("acaciaspring"));
  BOOST_TEST(HashHex("").size() == 32U);
  BOOST_TEST(HashHex("") == "99aa06d3014798d86001c324468d497f");
}

// Without a separator between organisation and key, two organisations could get the same program
// ID.
BOOST_AUTO_TEST_CASE(program_ids_separate_organisation_and_key) {
  const ProgramId first = MakeProgramId(OrganisationId("ab"), IdempotencyKey("c"));
  const ProgramId second = MakeProgramId(OrganisationId("a"), IdempotencyKey("bc"));
  BOOST_TEST(first != second);
  BOOST_TEST(ShardOf(first).value() < kShardCount);
}

BOOST_AUTO_TEST_CASE(outcomes_have_names) {
  const Outcome outcome = NotRun{NotRunReason::kOverloaded, 5};
  BOOST_TEST(KindName(outcome) == "not_run");
  BOOST_TEST(ReasonName(outcome) == "overloaded");
  BOOST_TEST(ReasonName(Completed{}).empty());
}

}  // namespace acaciaspring
