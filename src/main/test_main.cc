#define BOOST_TEST_MODULE acaciaspring
#include <boost/test/included/unit_test.hpp>
