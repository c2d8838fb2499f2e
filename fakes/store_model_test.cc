#include "fakes/store_model.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::fakes {

namespace {

StoreAppend ProducerAppend(std::uint64_t epoch,
                           std::uint64_t sequence,
                           std::vector<std::string> records) {
  return {.at = {},
          .producer = StoreAppend::Producer{.name = "p", .epoch = epoch, .sequence = sequence},
          .records = std::move(records)};
}

constexpr MonotonicTime kNow{std::chrono::seconds(10)};
constexpr Duration kTtl = std::chrono::seconds(1);
const std::vector<StorePartitionId> kPartitions = {{"t", 0}, {"t", 1}, {"t", 2}, {"t", 3}};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_model)

BOOST_AUTO_TEST_CASE(higher_epoch_fences_lower_ones) {
  StorePartition partition;
  BOOST_TEST(std::holds_alternative<StoreAppended>(partition.Append(ProducerAppend(1, 0, {"a"}))));
  BOOST_TEST(std::holds_alternative<StoreAppended>(partition.Append(ProducerAppend(2, 0, {}))));
  BOOST_TEST(std::holds_alternative<StoreFenced>(partition.Append(ProducerAppend(1, 1, {"b"}))));
  BOOST_TEST(std::holds_alternative<StoreAppended>(partition.Append(ProducerAppend(2, 0, {"c"}))));
  BOOST_TEST(partition.end() == 2U);
}

BOOST_AUTO_TEST_CASE(repeated_append_gets_the_first_result_and_a_gap_the_expected_sequence) {
  StorePartition partition;
  partition.Append(ProducerAppend(1, 0, {"a"}));
  const auto repeat = partition.Append(ProducerAppend(1, 0, {"a"}));
  BOOST_TEST(std::get<StoreAppended>(repeat).end == 1U);
  BOOST_TEST(partition.end() == 1U);
  const auto gap = partition.Append(ProducerAppend(1, 5, {"b"}));
  BOOST_TEST(std::get<StoreSequenceGap>(gap).expected == 1U);
}

BOOST_AUTO_TEST_CASE(conditional_append_requires_the_expected_end) {
  StorePartition partition;
  const StoreAppend first{.at = 0, .producer = {}, .records = {"a"}};
  BOOST_TEST(std::holds_alternative<StoreAppended>(partition.Append(first)));
  BOOST_TEST(std::get<StoreNotAtEnd>(partition.Append(first)).end == 1U);
}

// Guards against two members that own a partition at the same time.
BOOST_AUTO_TEST_CASE(partition_moves_after_its_owner_has_joined_the_new_generation) {
  StoreGroup group;
  auto first = group.Join("a", 0, kTtl, kPartitions, kNow);
  BOOST_TEST(first.partitions.size() == 4U);
  const auto second = group.Join("b", 0, kTtl, kPartitions, kNow);
  BOOST_TEST(second.partitions.empty());
  first = group.Join("a", first.generation, kTtl, kPartitions, kNow);
  BOOST_TEST(first.partitions.size() == 2U);
  BOOST_TEST(group.Join("b", second.generation, kTtl, kPartitions, kNow).partitions.empty());
  group.Join("a", first.generation, kTtl, kPartitions, kNow);
  BOOST_TEST(group.Join("b", second.generation, kTtl, kPartitions, kNow).partitions.size() == 2U);
}

BOOST_AUTO_TEST_CASE(partitions_of_expired_and_leaving_members_move) {
  StoreGroup group;
  group.Join("a", 0, kTtl, kPartitions, kNow);
  auto share = group.Join("b", 0, kTtl, kPartitions, kNow + kTtl * 2);
  BOOST_TEST(share.partitions.size() == 4U);
  group.Join("c", 0, kTtl, kPartitions, kNow + kTtl * 2);
  group.Leave("b");
  BOOST_TEST(group.Join("c", 0, kTtl, kPartitions, kNow + kTtl * 2).partitions.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::fakes
