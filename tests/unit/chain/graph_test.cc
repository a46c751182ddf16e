// Tests how the call graph is inferred from deadlines.
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/base/random_type.h"
#include "core/chain/call_graph.h"

namespace dogwoodrail::core::chain {
namespace {

using base::Importance;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::RouteName list_route("list");
const base::RouteName release_route("release");
const base::RouteName ledger_route("ledger");

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

}  // namespace

BOOST_AUTO_TEST_SUITE(call_graph)

BOOST_AUTO_TEST_CASE(call_with_the_deadline_of_an_execution_is_its_child) {
  CallGraph graph;
  for (std::uint64_t n = 0; n < 10; ++n) {
    const base::TimePoint deadline = At(seconds(1) + milliseconds(20 * n));
    graph.OnStarted(n, list_route, {Importance::kTracking, 0.5}, deadline);
    graph.OnStarted(100 + n, release_route, {Importance::kMoney, 1.0},
                    deadline + milliseconds(7));
    const auto origin =
        graph.OnCall(ledger_route, deadline + microseconds(600));
    BOOST_REQUIRE(origin.has_value());
    BOOST_TEST((origin->importance == Importance::kTracking));
    BOOST_TEST(origin->entry_share == 0.5);
  }
  BOOST_TEST(graph.Calls(list_route, ledger_route));
  BOOST_TEST(!graph.Calls(release_route, ledger_route));
}

BOOST_AUTO_TEST_CASE(
    call_with_its_own_deadline_gets_the_origin_of_a_known_caller) {
  CallGraph graph;
  graph.OnStarted(1, list_route, {Importance::kTracking, 0.5}, At(seconds(9)));
  BOOST_TEST(!graph.OnCall(ledger_route, At(seconds(3))).has_value());
  for (int it = 0; it < 5; ++it) graph.OnCall(ledger_route, At(seconds(9)));
  const auto origin = graph.OnCall(ledger_route, At(seconds(3)));
  BOOST_REQUIRE(origin.has_value());
  BOOST_TEST((origin->importance == Importance::kTracking));
}

// The list route makes calls with shorter deadlines than its own. The release
// route makes none, but its deadlines coincide with those of the calls.
BOOST_AUTO_TEST_CASE(chance_matches_do_not_hide_the_caller) {
  CallGraph graph;
  base::Random random(1);
  const auto within = [&random](std::uint64_t ms) {
    return microseconds(base::RandomBelow(random, 1'000 * ms));
  };
  std::uint64_t n = 0;
  for (int step = 0; step < 400; ++step) {
    const base::TimePoint now = At(milliseconds(20) * step);
    graph.OnStarted(n, list_route, {Importance::kMoney, 0.5},
                    now + milliseconds(2400) + within(100));
    graph.OnStarted(n + 1, release_route, {Importance::kTracking, 1.0},
                    now + milliseconds(700) + within(300));
    n += 2;
    if (n > 100) graph.OnEnded(n - 100);
    if (n > 100) graph.OnEnded(n - 99);
    for (int call = 0; call < 5; ++call) {
      graph.OnCall(ledger_route, now + milliseconds(700));
    }
  }
  BOOST_TEST(graph.Calls(list_route, ledger_route));
}

// As above, but the calls inherit the deadline of their request.
BOOST_AUTO_TEST_CASE(chance_matches_do_not_make_a_route_a_caller) {
  CallGraph graph;
  base::Random random(2);
  for (std::uint64_t n = 0; n < 400; ++n) {
    const base::TimePoint now = At(milliseconds(2) * n);
    const base::TimePoint deadline =
        now + milliseconds(900) +
        microseconds(base::RandomBelow(random, 200'000));
    graph.OnStarted(2 * n, list_route, {}, deadline);
    graph.OnStarted(2 * n + 1, release_route, {},
                    now + milliseconds(900) +
                        microseconds(base::RandomBelow(random, 200'000)));
    graph.OnCall(ledger_route, deadline + microseconds(300));
  }
  BOOST_TEST(graph.Calls(list_route, ledger_route));
  BOOST_TEST(!graph.Calls(release_route, ledger_route));
}

BOOST_AUTO_TEST_CASE(ended_execution_is_no_parent) {
  CallGraph graph;
  graph.OnStarted(1, list_route, {}, At(seconds(9)));
  graph.OnEnded(1);
  BOOST_TEST(!graph.OnCall(ledger_route, At(seconds(9))).has_value());
}

BOOST_AUTO_TEST_CASE(old_evidence_decays) {
  CallGraph graph;
  graph.OnStarted(1, list_route, {}, At(seconds(9)));
  for (int it = 0; it < 5; ++it) graph.OnCall(ledger_route, At(seconds(9)));
  BOOST_TEST(graph.Calls(list_route, ledger_route));
  for (int it = 0; it < 60; ++it) graph.DecayEvidence();
  BOOST_TEST(!graph.Calls(list_route, ledger_route));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::chain
