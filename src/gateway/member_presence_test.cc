#include "src/gateway/member_presence.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};

struct Fixture {
  Fixture() {
    std::vector<Member> members;
    for (const char* id : {"self", "a", "b", "c", "d"}) {
      members.push_back({.id = DaemonId(id), .zone = AvailabilityZone("z")});
    }
    presence.SetMembers(members, kStart);
  }

  /// @brief Hears the daemons once a second from `from` until `to`.
  void Hear(const std::vector<std::string>& daemons, int from, int to) {
    for (int second = from; second <= to; ++second) {
      for (const std::string& daemon : daemons) {
        presence.OnHeard(DaemonId(daemon), At(second));
      }
    }
  }

  static MonotonicTime At(int second) { return kStart + std::chrono::seconds(second); }

  std::string Present(int second) const {
    std::string names;
    for (const ShareCandidate& daemon : presence.Present(At(second)).others) {
      names += daemon.id.value();
    }
    return names;
  }

  MemberPresence presence{DaemonId("self")};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(member_presence, Fixture)

// Guards against a daemon that starts and takes the whole limit before it has heard of the others.
BOOST_AUTO_TEST_CASE(registered_daemons_count_at_once) {
  BOOST_TEST(Present(0) == "abcd");
}

// Guards against shares that are kept for daemons that have ended.
BOOST_AUTO_TEST_CASE(silent_daemons_are_absent_after_some_seconds) {
  Hear({"a", "b", "c", "d"}, 1, 10);
  Hear({"a", "b", "c"}, 11, 20);
  BOOST_TEST(Present(14) == "abcd");
  BOOST_TEST(Present(20) == "abc");
}

// Guards against shares for registered daemons that ended before this one started.
BOOST_AUTO_TEST_CASE(daemons_that_were_never_heard_are_absent) {
  Hear({"a"}, 1, 20);
  BOOST_TEST(Present(20) == "a");
}

// Guards against a daemon that is cut off from its peers and uses the limits that they divide among
// themselves.
BOOST_AUTO_TEST_CASE(isolated_daemon_counts_the_others_for_longer) {
  Hear({"a", "b", "c", "d"}, 1, 10);
  Hear({"a"}, 11, 69);
  BOOST_TEST(Present(30) == "abcd");
  BOOST_TEST(Present(69) == "abcd");
  BOOST_TEST(!presence.Present(At(10)).isolated);
  BOOST_TEST(presence.Present(At(30)).isolated);
  Hear({"a"}, 70, 80);
  BOOST_TEST(Present(80) == "a");
  BOOST_TEST(!presence.Present(At(80)).isolated);
}

// Guards against daemons that stay in the division after the operator has removed them.
BOOST_AUTO_TEST_CASE(unregistered_daemons_are_absent) {
  presence.SetMembers({{.id = DaemonId("a")}}, At(1));
  BOOST_TEST(Present(1) == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
