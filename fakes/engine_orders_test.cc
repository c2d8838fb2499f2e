#include "fakes/engine_orders.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::fakes {

namespace {

EngineOrder Order(std::uint64_t fence, const std::string& model) {
  EngineOrder order;
  order.fence = fence;
  order.model = model;
  return order;
}

}  // namespace

// Guards against orders of a former owner that take effect although fencing is checked. Without the
// check they must take effect, so that tests can verify that the scheduler corrects them.
BOOST_AUTO_TEST_CASE(orders_with_old_fences_are_refused_only_when_checked) {
  EngineOrders orders(Order(0, "a,b"));
  BOOST_TEST(orders.Serves("a"));
  BOOST_TEST(orders.Serves("b"));
  BOOST_TEST(orders.Apply(Order(9, "c"), true));
  BOOST_TEST(orders.Apply(Order(9, "c"), true));
  BOOST_TEST(!orders.Serves("a"));
  BOOST_TEST(!orders.Apply(Order(8, "d"), true));
  BOOST_TEST(orders.current().model == "c");
  BOOST_TEST(orders.Apply(Order(8, "d"), false));
  BOOST_TEST(orders.current().fence == 8U);
  BOOST_TEST(orders.Serves("d"));
}

}  // namespace acaciaspring::fakes
