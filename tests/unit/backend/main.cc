#define BOOST_TEST_MODULE backend
#include <boost/test/unit_test.hpp>
