#define BOOST_TEST_MODULE chain
#include <boost/test/unit_test.hpp>
