#include "acaciaspring/base.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring {

// A hash that differs between builds would send a program to different shards on different VMs.
BOOST_AUTO_TEST_CASE(hashes_are_stable) {
  BOOST_TEST(Hash64("acaciaspring") == Hash64("acaciaspring"));
  BOOST_TEST(HashHex("").size() == 32U);
  BOOST_TEST(HashHex("") == "99aa06d3014798d86001c324468d497f");
}

// Without a separator two organisations could create the same program id.
BOOST_AUTO_TEST_CASE(program_ids_keep_organisation_and_key_apart) {
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
