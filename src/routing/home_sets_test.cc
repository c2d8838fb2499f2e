#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

constexpr std::size_t kEndpoints = 60;
constexpr std::size_t kZones = 3;

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(std::chrono::milliseconds(ms));
}

std::vector<HomeSetMember> MakeMembers(std::size_t count) {
  std::vector<HomeSetMember> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({.endpoint = EndpointId("e" + std::to_string(i)),
                       .zone = AvailabilityZone("z" + std::to_string(i % kZones))});
  }
  return members;
}

SharedPrefix MakePrefix(std::uint64_t id, std::uint64_t tokens = 10'000) {
  return {.id = PrefixId(id), .tokens = TokenCount(tokens)};
}

std::vector<bool> Find(HomeSets& sets, std::uint64_t prefix, std::int64_t ms = 0) {
  std::vector<bool> is_member;
  sets.FindMembers(PrefixId(prefix), At(ms), is_member);
  return is_member;
}

std::size_t Size(HomeSets& sets, std::uint64_t prefix, std::int64_t ms = 0) {
  const std::vector<bool> is_member = Find(sets, prefix, ms);
  return static_cast<std::size_t>(std::count(is_member.begin(), is_member.end(), true));
}

struct Fixture {
  HomeSets sets{HomeSetOptions{.headroom = 3}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(home_sets, Fixture)

// Guards against a prefix that is read by the engines of the whole fleet as soon as it appears.
BOOST_AUTO_TEST_CASE(set_of_a_new_prefix_is_small) {
  sets.SetMembers(MakeMembers(kEndpoints));
  BOOST_TEST(Size(sets, 1) == 2 * kZones);
}

// Guards against programs of a popular prefix that wait for few engines.
BOOST_AUTO_TEST_CASE(size_follows_the_share_of_the_demand) {
  sets.SetMembers(MakeMembers(kEndpoints));
  for (int i = 0; i < 1000; ++i) {
    sets.OnRequest(MakePrefix(1 + (i % 10 == 0 ? 1 : 0)), At(i));
  }
  BOOST_TEST(Size(sets, 1, 1000) == kEndpoints);
  BOOST_TEST(Size(sets, 2, 1000) == 6 * kZones);
  // The demand ends.
  sets.OnRequest(MakePrefix(3), At(1'000'000));
  BOOST_TEST(Size(sets, 1, 1'000'000) == 2 * kZones);
}

// Guards against daemons that choose different engines for a prefix, so that all of them read it.
BOOST_AUTO_TEST_CASE(daemons_with_different_demand_have_nested_sets) {
  HomeSets other{HomeSetOptions{.headroom = 3}};
  sets.SetMembers(MakeMembers(kEndpoints));
  other.SetMembers(MakeMembers(kEndpoints));
  for (int i = 0; i < 100; ++i) {
    sets.OnRequest(MakePrefix(i % 4), At(i));
    other.OnRequest(MakePrefix(i % 8), At(i));
  }
  const std::vector<bool> larger = Find(sets, 1, 100);
  const std::vector<bool> smaller = Find(other, 1, 100);
  BOOST_TEST(std::count(larger.begin(), larger.end(), true) >
             std::count(smaller.begin(), smaller.end(), true));
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    BOOST_TEST((!smaller[i] || larger[i]));
  }
}

// Guards against a fleet that reads all prefixes again when one engine leaves.
BOOST_AUTO_TEST_CASE(change_of_one_endpoint_keeps_the_others) {
  sets.SetMembers(MakeMembers(kEndpoints));
  const std::vector<bool> before = Find(sets, 1);
  sets.SetMembers(MakeMembers(kEndpoints - 1));
  const std::vector<bool> after = Find(sets, 1);
  for (std::size_t i = 0; i + 1 < kEndpoints; ++i) {
    BOOST_TEST((!before[i] || after[i]));
  }
}

// Guards against engines that evict prefixes of their own sets, because the sets together exceed
// the memory.
BOOST_AUTO_TEST_CASE(sets_fit_into_the_memory) {
  sets.SetMembers(MakeMembers(kEndpoints));
  constexpr std::uint64_t kPrefixes = 6;
  for (int i = 0; i < 600; ++i) {
    sets.OnRequest(MakePrefix(static_cast<std::uint64_t>(i) % kPrefixes), At(i));
  }
  const std::size_t unlimited = Size(sets, 1, 600);
  sets.SetMemory(TokenCount(30'000));
  const std::size_t limited = Size(sets, 1, 600);
  BOOST_TEST(limited < unlimited);
  // Half of the memory holds 1.5 prefixes; the sizes are rounded up in each zone.
  BOOST_TEST(kPrefixes * limited <= kEndpoints * 3 / 2 + kPrefixes * kZones);
}

// Guards against programs that are confined to a few engines although every engine can cache all
// prefixes.
BOOST_AUTO_TEST_CASE(prefixes_fit_while_they_need_half_of_the_memory) {
  sets.SetMembers(MakeMembers(kEndpoints));
  sets.OnRequest(MakePrefix(1), At(0));
  sets.OnRequest(MakePrefix(2), At(0));
  BOOST_TEST(sets.AllPrefixesFit(At(0)));
  sets.SetMemory(TokenCount(40'000));
  BOOST_TEST(sets.AllPrefixesFit(At(0)));
  sets.OnRequest(MakePrefix(3), At(0));
  BOOST_TEST(!sets.AllPrefixesFit(At(0)));
  // The demand for all but one prefix has ended.
  sets.OnRequest(MakePrefix(3), At(300'000));
  BOOST_TEST(sets.AllPrefixesFit(At(300'000)));
}

// Guards against unbounded memory when callers send prefixes that never repeat.
BOOST_AUTO_TEST_CASE(recorded_prefixes_are_bounded) {
  HomeSets bounded{HomeSetOptions{.max_prefixes = 10}};
  bounded.SetMembers(MakeMembers(6));
  for (std::uint64_t i = 0; i < 1000; ++i) {
    bounded.OnRequest(MakePrefix(7), At(static_cast<std::int64_t>(i)));
    bounded.OnRequest(MakePrefix(100 + i), At(static_cast<std::int64_t>(i)));
  }
  // The prefix with steady demand is still known, one without demand is not.
  BOOST_TEST(Size(bounded, 7, 1000) >= Size(bounded, 100, 1000));
}

// Guards against sub-agents that are placed apart from their program, because their prompt begins
// with the prompt of the program.
BOOST_AUTO_TEST_CASE(sub_agent_has_the_prefix_of_its_program) {
  const PromptPart manual{.id = PrefixId(1), .tokens = TokenCount(12'000)};
  const PromptPart parent{.id = PrefixId(2), .tokens = TokenCount(1'500)};
  const PromptPart own{.id = PrefixId(3), .tokens = TokenCount(800)};
  const auto program = FindSharedPrefix(std::vector{manual, parent});
  const auto sub_agent = FindSharedPrefix(std::vector{manual, parent, own});
  BOOST_REQUIRE(program.has_value());
  BOOST_REQUIRE(sub_agent.has_value());
  BOOST_TEST(program->id == sub_agent->id);
  BOOST_TEST(program->tokens == manual.tokens);
  BOOST_TEST(!FindSharedPrefix(std::vector{own}).has_value());
}

// Guards against programs with different manuals that count as one, because a short system prompt
// comes first.
BOOST_AUTO_TEST_CASE(short_first_part_does_not_decide) {
  const PromptPart system{.id = PrefixId(1), .tokens = TokenCount(200)};
  const PromptPart manual_a{.id = PrefixId(2), .tokens = TokenCount(12'000)};
  const PromptPart manual_b{.id = PrefixId(3), .tokens = TokenCount(12'000)};
  const PromptPart own{.id = PrefixId(4), .tokens = TokenCount(800)};
  const auto a = FindSharedPrefix(std::vector{system, manual_a, own});
  const auto b = FindSharedPrefix(std::vector{system, manual_b, own});
  BOOST_REQUIRE(a.has_value());
  BOOST_REQUIRE(b.has_value());
  BOOST_TEST(a->id != b->id);
  BOOST_TEST(a->tokens == TokenCount(12'200));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring
