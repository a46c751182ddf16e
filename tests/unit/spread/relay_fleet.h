#ifndef DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_FLEET_H_
#define DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_FLEET_H_

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "tests/unit/spread/relay_simulation.h"

namespace dogwoodrail::tests::spread {

constexpr std::uint64_t kRelaySeeds[] = {1, 2, 3};
constexpr std::size_t kZones = 5;
constexpr std::size_t kNodes = 95;
// Bounds that the users state: a change is in force, a withdrawn key is gone.
constexpr base::Duration kApplyBound = std::chrono::seconds(2);
constexpr base::Duration kRevokeBound = std::chrono::seconds(5);

// Fleet in which each node has the first configuration and its place.
struct RelayFleet : RelaySimulation {
  explicit RelayFleet(std::uint64_t seed, std::size_t nodes = kNodes,
                      std::size_t zones = kZones)
      : RelaySimulation(seed, zones, nodes) {
    BOOST_TEST_MESSAGE("seed " << seed << " nodes " << nodes);
    Publish();
    Run(std::chrono::seconds(4));
    BOOST_TEST(AllHave(1));
    ResetCounters();
  }
  ~RelayFleet() { BOOST_TEST(!AnyReverted()); }

  // Runs for a time during which every running node has to stay fresh.
  void RunFresh(base::Duration time) {
    const base::TimePoint end = now() + time;
    std::size_t stale_steps = 0;
    while (now() < end) {
      Run(kStep);
      if (!AllFresh()) ++stale_steps;
    }
    BOOST_TEST(stale_steps == 0U);
  }
  // Runs until some time after a change; no node may admit by the older
  // configuration past the bound of withdrawn keys.
  void RunRevoked(base::Duration time) {
    const base::TimePoint end = now() + time;
    std::size_t late_steps = 0;
    while (now() < end) {
      Run(kStep);
      if (AnyAdmitsWithdrawnKey(kRevokeBound)) ++late_steps;
    }
    BOOST_TEST(late_steps == 0U);
  }
  // Returns true if every node that the store serves has the number.
  bool AllServedHave(std::uint64_t number) {
    for (std::size_t n = 0; n < size(); ++n) {
      const bool served =
          !(store_cut && store_cut(n)) && !(store_silent && store_silent(n));
      const bool has = (*this)[n].relay->in_force().value() == number;
      if (served && !has) return false;
    }
    return true;
  }
  void Kill(const std::vector<std::size_t>& nodes) {
    for (const std::size_t n : nodes) RelaySimulation::Kill(n);
  }
};

}  // namespace dogwoodrail::tests::spread

#endif  // DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_FLEET_H_
