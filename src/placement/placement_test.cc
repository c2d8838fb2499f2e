#include "acaciaspring/placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <string>

namespace acaciaspring::placement {

using membership::Member;
using membership::MemberState;
using membership::Region;

namespace {

Member MakeMember(std::size_t index, const std::string& zone = "a1") {
  Member member;
  member.id = DaemonId("daemon-" + std::to_string(index));
  member.incarnation = Incarnation(1);
  member.zone = AvailabilityZone(zone);
  member.region = Region(zone.substr(0, 1));
  member.ready = true;
  return member;
}

std::vector<Member> MakeMembers(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t index = 0; index < count; ++index) {
    members.push_back(MakeMember(index, std::vector<std::string>{"a1", "a2", "b1"}[index % 3]));
  }
  return members;
}

std::vector<DaemonId> Owners(const Placement& placement) {
  std::vector<DaemonId> owners;
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    owners.push_back(placement.PreferredOwner(ShardId(shard)).value());
  }
  return owners;
}

}  // namespace

BOOST_AUTO_TEST_CASE(no_owner_without_eligible_members) {
  Placement placement;
  BOOST_TEST(!placement.PreferredOwner(ShardId(0)).has_value());
  std::vector<Member> members = MakeMembers(3);
  members[0].state = MemberState::kDead;
  members[1].state = MemberState::kLeaving;
  members[2].ready = false;
  placement.Update(members);
  BOOST_TEST(!placement.PreferredOwner(ShardId(0)).has_value());
  BOOST_TEST(!placement.Limiter(OrganisationId("o")).has_value());
  members[0].state = MemberState::kSuspect;
  placement.Update(members);
  BOOST_TEST(placement.PreferredOwner(ShardId(0)).value() == members[0].id);
}

// Daemons with the same member list must choose the same owners, regardless of the sequence of
// updates that led to the list.
BOOST_AUTO_TEST_CASE(incremental_updates_match_a_full_rebuild) {
  Placement incremental;
  std::vector<Member> members = MakeMembers(40);
  incremental.Update(members);
  members[7].state = MemberState::kDead;
  incremental.Update(members);
  members[7].state = MemberState::kAlive;
  members[3].ready = false;
  incremental.Update(members);
  members.push_back(MakeMember(100, "b1"));
  incremental.Update(members);
  std::reverse(members.begin(), members.end());
  Placement rebuilt;
  rebuilt.Update(members);
  BOOST_TEST((Owners(rebuilt) == Owners(incremental)));
}

BOOST_AUTO_TEST_CASE(version_changes_only_with_the_eligible_members) {
  Placement placement;
  std::vector<Member> members = MakeMembers(5);
  placement.Update(members);
  const std::uint64_t version = placement.version();
  members[0].state = MemberState::kSuspect;
  members[0].revision = Revision(4);
  placement.Update(members);
  BOOST_TEST(placement.version() == version);
  members[0].state = MemberState::kLeaving;
  placement.Update(members);
  BOOST_TEST(placement.version() > version);
}

// A join must move only about 1/n of the shards, all of them to the new member.
BOOST_AUTO_TEST_CASE(join_moves_only_the_share_of_the_new_member) {
  for (const std::size_t count : {7U, 60U, 420U}) {
    Placement placement;
    std::vector<Member> members = MakeMembers(count - 1);
    placement.Update(members);
    const std::vector<DaemonId> before = Owners(placement);
    members.push_back(MakeMember(count - 1));
    placement.Update(members);
    const std::vector<DaemonId> after = Owners(placement);
    std::size_t moved = 0;
    for (std::size_t shard = 0; shard < kShardCount; ++shard) {
      if (before[shard] != after[shard]) {
        ++moved;
        BOOST_TEST(after[shard] == members.back().id);
      }
    }
    // Five standard deviations of a binomial distribution with mean kShardCount / count.
    const double mean = static_cast<double>(kShardCount) / static_cast<double>(count);
    BOOST_TEST(std::abs(static_cast<double>(moved) - mean) <= 5 * std::sqrt(mean));
    BOOST_TEST_MESSAGE(count << " members: a join moves " << moved << " shards, 1/n is " << mean);
  }
}

BOOST_AUTO_TEST_CASE(shards_are_distributed_evenly) {
  Placement placement;
  placement.Update(MakeMembers(7));
  std::map<DaemonId, int> load;
  for (const DaemonId& owner : Owners(placement)) {
    ++load[owner];
  }
  BOOST_TEST(load.size() == 7U);
  for (const auto& [id, count] : load) {
    BOOST_TEST(std::abs(count - kShardCount / 7.0) <= 5 * std::sqrt(kShardCount / 7.0));
  }
}

BOOST_AUTO_TEST_CASE(dispatcher_is_in_the_zone_or_region_of_the_endpoint) {
  Placement placement;
  std::vector<Member> members = MakeMembers(30);
  placement.Update(members);
  const auto zone_of = [&](const std::optional<DaemonId>& id) {
    for (const Member& member : members) {
      if (member.id == id) {
        return member.zone.value();
      }
    }
    return std::string();
  };
  for (int index = 0; index < 50; ++index) {
    const EndpointId endpoint("e" + std::to_string(index));
    BOOST_TEST(zone_of(placement.Dispatcher({endpoint, AvailabilityZone("a2"), Region("a")})) ==
               "a2");
    // No daemon is in the zone, so one of the region is chosen. The location of a cached endpoint
    // changes here.
    BOOST_TEST(zone_of(placement.Dispatcher({endpoint, AvailabilityZone("a9"), Region("a")}))
                   .substr(0, 1) == "a");
    BOOST_TEST(!placement.Dispatcher({endpoint, AvailabilityZone("c1"), Region("c")}).has_value());
  }
  // A cached dispatcher must not be returned after the daemon has died.
  const EndpointLocation location{EndpointId("e0"), AvailabilityZone("b1"), Region("b")};
  const DaemonId dispatcher = placement.Dispatcher(location).value();
  for (Member& member : members) {
    if (member.id == dispatcher) {
      member.state = MemberState::kDead;
    }
  }
  placement.Update(members);
  BOOST_TEST(placement.Dispatcher(location).value() != dispatcher);
}

}  // namespace acaciaspring::placement
