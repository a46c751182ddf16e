#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/unit/once/once_simulation.h"

namespace dogwoodrail::core::once {
namespace {

constexpr int kKeys = 120;
constexpr std::uint64_t kSeeds = 60;
constexpr std::uint64_t kSeedsPerBug = 150;

// Sums over one or more runs.
struct Totals {
  int keys = 0;
  int executed = 0;
  int executed_twice = 0;
  int false_not_run = 0;
  int wrong_replays = 0;
};

Totals Sum(const std::vector<KeyLog>& logs) {
  Totals totals;
  for (const KeyLog& log : logs) {
    ++totals.keys;
    totals.executed += log.executions > 0 ? 1 : 0;
    totals.executed_twice += log.executions > 1 ? 1 : 0;
    totals.false_not_run += log.false_not_run;
    totals.wrong_replays += log.wrong_replays;
  }
  return totals;
}

Totals RunSimulation(std::uint64_t seed, const SimulationFaults& faults,
                     const InjectedBug& bug) {
  OnceSimulation simulation(seed, faults, bug);
  return Sum(simulation.Run(kKeys));
}

// Returns the combination of faults that the seed selects.
SimulationFaults FaultsFor(std::uint64_t seed) {
  SimulationFaults faults;
  faults.loss = seed % 3 == 0 ? 0.0 : 0.1 * static_cast<double>(seed % 3);
  faults.duplicate = seed % 2 == 0 ? 0.1 : 0.0;
  faults.slow = seed % 5 == 0 ? 0.0 : 0.03;
  faults.kill_nodes = seed % 4 != 1;
  faults.pause_nodes = seed % 4 != 2;
  return faults;
}

// Counts violations over all seeds with one safety rule disabled.
int Violations(const InjectedBug& bug) {
  int count = 0;
  for (std::uint64_t seed = 1; seed <= kSeedsPerBug; ++seed) {
    const Totals totals = RunSimulation(seed, FaultsFor(seed), bug);
    count += totals.executed_twice + totals.false_not_run;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(without_faults_each_request_runs_once) {
  const Totals totals = RunSimulation(1, SimulationFaults{}, InjectedBug{});
  BOOST_TEST(totals.executed == totals.keys);
  BOOST_TEST(totals.executed_twice == 0);
  BOOST_TEST(totals.false_not_run == 0);
  BOOST_TEST(totals.wrong_replays == 0);
}

BOOST_AUTO_TEST_CASE(no_request_runs_twice_under_faults) {
  int executed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const Totals totals = RunSimulation(seed, FaultsFor(seed), InjectedBug{});
      BOOST_TEST(totals.executed_twice == 0);
      BOOST_TEST(totals.false_not_run == 0);
      BOOST_TEST(totals.wrong_replays == 0);
      executed += totals.executed;
    }
  }
  BOOST_TEST_MESSAGE("seeds 1.." << kSeeds << ", executed " << executed
                                 << " of " << kSeeds * kKeys);
  BOOST_TEST(executed > static_cast<int>(kSeeds * kKeys / 2));
}

struct BugCase {
  const char* name;
  InjectedBug bug;
};

std::ostream& operator<<(std::ostream& out, const BugCase& c) {
  return out << c.name;
}

constexpr BugCase kBugs[] = {
    {"second owner without fencing", {true, false, false, false, false}},
    {"copy not awaited", {false, true, false, false, false}},
    {"partial copy taken as complete", {false, false, true, false, false}},
    {"gap not copied", {false, false, false, true, false}},
    {"released after it may have run", {false, false, false, false, true}},
};

BOOST_DATA_TEST_CASE(injected_bug_is_detected,
                     boost::unit_test::data::make(kBugs), c) {
  const int violations = Violations(c.bug);
  BOOST_TEST_MESSAGE(c.name << ": " << violations << " violations");
  BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::once
