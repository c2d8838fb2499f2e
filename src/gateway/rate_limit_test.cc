#include "src/gateway/rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

BOOST_AUTO_TEST_SUITE(rate_limit)

// Guards against a limit that is misread because an endpoint writes it in another form.
BOOST_AUTO_TEST_CASE(only_plain_decimal_numbers_are_limits) {
  BOOST_TEST((ParseRateLimit("4.3") == 4.3));
  BOOST_TEST((ParseRateLimit("12") == 12.0));
  BOOST_TEST((ParseRateLimit("0") == 0.0));
  for (const char* text : {"", "-1", "+1", "1e3", "nan", "inf", "4.3/s", " 4", "4,3", "0x4"}) {
    BOOST_TEST(!ParseRateLimit(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
