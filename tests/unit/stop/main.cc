#define BOOST_TEST_MODULE stop
#include <boost/test/unit_test.hpp>
