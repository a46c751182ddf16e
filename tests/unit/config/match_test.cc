// Tests route matching by host and by prefixes with a trailing slash.
#include <boost/test/unit_test.hpp>
#include <string>

#include "core/config/config_base.h"

namespace dogwoodrail::core::config {
namespace {

Route MakeRoute(const std::string& name, const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = base::RouteName(name);
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

std::string Match(const ConfigState& state, const std::string& target,
                  const std::string& host) {
  const Route* route = state.MatchRoute(target, host);
  return route == nullptr ? "" : route->name.value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(match)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  ConfigState state;
  state.PutRoute(MakeRoute("short", "a.example", "/x/"));
  state.PutRoute(MakeRoute("long", "a.example", "/x/y/"));
  state.PutRoute(MakeRoute("other", "b.example", "/x/"));
  BOOST_TEST(Match(state, "/x/y/1?q=/z/", "a.example") == "long");
  BOOST_TEST(Match(state, "/x/z", "a.example") == "short");
  BOOST_TEST(Match(state, "/x/y", "a.example") == "short");
  BOOST_TEST(Match(state, "/x/1", "b.example") == "other");
  BOOST_TEST(Match(state, "/x/1", "c.example") == "");
  BOOST_TEST(Match(state, "/x", "a.example") == "");
}

BOOST_AUTO_TEST_CASE(routes_of_the_host_take_precedence_over_any_host) {
  ConfigState state;
  state.PutRoute(MakeRoute("any", "", "/x"));
  state.PutRoute(MakeRoute("own", "a.example", "/x/y/"));
  BOOST_TEST(Match(state, "/x/y/1", "a.example") == "own");
  BOOST_TEST(Match(state, "/x/1", "a.example") == "any");
  BOOST_TEST(Match(state, "/x", "b.example") == "any");
}

BOOST_AUTO_TEST_CASE(moved_route_is_removed_from_its_old_host) {
  ConfigState state;
  state.PutRoute(MakeRoute("r", "a.example", "/x/"));
  state.PutRoute(MakeRoute("r", "b.example", "/x/"));
  BOOST_TEST(Match(state, "/x/1", "a.example") == "");
  BOOST_TEST(Match(state, "/x/1", "b.example") == "r");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::config
