// Entry point shared by all test programs.
#define BOOST_TEST_MODULE covewing
#include <boost/test/unit_test.hpp>
