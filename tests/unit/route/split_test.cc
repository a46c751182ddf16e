#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "core/route/split_picker.h"

namespace dogwoodrail::core::route {
namespace {

config::Route MakeRoute(std::uint32_t first, std::uint32_t second) {
  config::Route route;
  route.name = base::RouteName("r");
  route.service = base::ServiceName("a");
  route.split = {{base::ServiceName("a"), first},
                 {base::ServiceName("b"), second}};
  return route;
}

int CountSecond(SplitPicker& picker, const config::Route& route, int n) {
  int count = 0;
  for (int it = 0; it < n; ++it) {
    count += picker.Pick(route).value() == "b" ? 1 : 0;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(split)

BOOST_AUTO_TEST_CASE(short_spans_show_the_weights) {
  SplitPicker picker(1);
  const config::Route route = MakeRoute(90, 10);
  for (int span = 0; span < 20; ++span) {
    const int n = CountSecond(picker, route, 20);
    BOOST_TEST(n >= 1);
    BOOST_TEST(n <= 3);
  }
}

BOOST_AUTO_TEST_CASE(new_weights_hold_at_once) {
  SplitPicker picker(1);
  CountSecond(picker, MakeRoute(90, 10), 100);
  const int n = CountSecond(picker, MakeRoute(10, 90), 100);
  BOOST_TEST(n >= 88);
  BOOST_TEST(n <= 92);
}

BOOST_AUTO_TEST_CASE(a_route_without_a_split_has_one_service) {
  SplitPicker picker(1);
  config::Route route;
  route.service = base::ServiceName("a");
  BOOST_TEST(picker.Pick(route).value() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::route
