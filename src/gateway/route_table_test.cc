#include "src/gateway/route_table.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace acaciaspring::gateway {

namespace {

Route MakeRoute(const std::string& name, const std::string& host, const std::string& prefix) {
  return {.name = name,
          .host = host,
          .path_prefix = prefix,
          .services = {{.service = ServiceId("s"), .weight = 1}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// Guards against requests for a more specific route that still take the more general one.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  const RouteTable table({MakeRoute("wide", "a", "/x/"), MakeRoute("split", "a", "/x/y/"),
                          MakeRoute("other", "b", "/x/")});
  BOOST_TEST(table.Find("a", "/x/1")->name == "wide");
  BOOST_TEST(table.Find("a", "/x/y/1")->name == "split");
  BOOST_TEST(table.Find("b:80", "/x/y/1")->name == "other");
  BOOST_TEST(table.Find("a", "/xy") == nullptr);
  BOOST_TEST(table.Find("c", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_weight_and_are_stable_per_key) {
  Route route = MakeRoute("r", "a", "/");
  route.services = {{.service = ServiceId("most"), .weight = 90},
                    {.service = ServiceId("few"), .weight = 10},
                    {.service = ServiceId("none"), .weight = 0}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    ++counts[ChooseService(route, "session-" + std::to_string(i)).value()];
  }
  BOOST_TEST(counts["few"] > 800);
  BOOST_TEST(counts["few"] < 1200);
  BOOST_TEST(counts["none"] == 0);
  BOOST_TEST(ChooseService(route, "k") == ChooseService(route, "k"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
