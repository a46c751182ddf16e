// The steps of a planned stop, in virtual time.
#include "core/stop/stop_control.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>

namespace dogwoodrail::core::stop {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kTick = milliseconds(5);

using StepTimes = std::map<StopStep, base::Duration>;

// Runs a stop to its end and returns when each step was due.
StepTimes Run(const StopSettings& settings,
              const std::function<RemainingWork(base::Duration)>& sample_at) {
  StepTimes times;
  StopControl control(settings, base::TimePoint());
  for (base::Duration passed{0}; passed <= 2 * settings.deadline;
       passed += kTick) {
    while (const auto step =
               control.Next(sample_at(passed), base::TimePoint(passed))) {
      const bool is_new = times.emplace(*step, passed).second;
      BOOST_TEST(is_new);
    }
  }
  return times;
}

StopSettings MakeRolling() {
  StopSettings settings;
  settings.leave_after = seconds(2);
  settings.serve_grace = milliseconds(500);
  settings.idle_grace = milliseconds(2200);
  settings.deadline = milliseconds(5500);
  return settings;
}

RemainingWork Idle(base::Duration) { return {}; }

BOOST_AUTO_TEST_SUITE(stop_control)

// Nodes are restarted one after the other while the fleet is nearly full: a
// backend server is missing only from when the other nodes are told.
BOOST_AUTO_TEST_CASE(backend_server_works_while_callers_leave) {
  const StepTimes times = Run(MakeRolling(), Idle);
  BOOST_CHECK(times.at(StopStep::kLeave) == seconds(2));
  BOOST_CHECK(times.at(StopStep::kStopServing) == milliseconds(2500));
  BOOST_CHECK(times.at(StopStep::kStopAccepting) >= milliseconds(2500));
  BOOST_CHECK(times.at(StopStep::kEnd) <= milliseconds(3500));
}

// The backend server may need calls of its own to finish what it began.
BOOST_AUTO_TEST_CASE(callers_are_accepted_while_calls_run) {
  const auto busy_until = [](base::Duration passed) {
    RemainingWork sample;
    sample.executions = passed < seconds(4) ? 1 : 0;
    return sample;
  };
  const StepTimes times = Run(MakeRolling(), busy_until);
  BOOST_CHECK(times.at(StopStep::kStopAccepting) == seconds(4));
  BOOST_CHECK(times.at(StopStep::kCloseIdle) > seconds(4));
}

BOOST_AUTO_TEST_CASE(all_ends_at_the_deadline) {
  const auto never_idle = [](base::Duration) {
    RemainingWork sample;
    sample.entry_calls = 1;
    return sample;
  };
  const StepTimes times = Run(MakeRolling(), never_idle);
  BOOST_CHECK(times.at(StopStep::kEnd) == milliseconds(5500));
}

// Without times of its own a node leaves and refuses calls at the signal.
BOOST_AUTO_TEST_CASE(leaves_at_once_by_default) {
  const StepTimes times = Run(StopSettings(), Idle);
  BOOST_CHECK(times.at(StopStep::kLeave) == base::Duration(0));
  BOOST_CHECK(times.at(StopStep::kStopServing) == base::Duration(0));
  BOOST_CHECK(times.at(StopStep::kCloseIdle) == milliseconds(750));
}

BOOST_AUTO_TEST_CASE(waits_until_state_is_handed_over) {
  const auto handed_over_late = [](base::Duration passed) {
    RemainingWork sample;
    sample.is_handed_over = passed >= seconds(3);
    return sample;
  };
  const StepTimes times = Run(StopSettings(), handed_over_late);
  BOOST_CHECK(times.at(StopStep::kEnd) == seconds(3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::stop
