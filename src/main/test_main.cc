#define BOOST_TEST_MODULE acaciaspring
#include <boost/test/unit_test.hpp>
