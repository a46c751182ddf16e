// Steps of a graceful shutdown, in simulated time.
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

// Runs a complete shutdown and returns the time of each step.
StepTimes Run(const StopSettings& settings,
              const std::function<RemainingWork(base::Duration)>& work_at) {
  StepTimes times;
  StopControl control(settings, base::TimePoint());
  for (base::Duration elapsed{0}; elapsed <= 2 * settings.deadline;
       elapsed += kTick) {
    while (const auto step =
               control.Next(work_at(elapsed), base::TimePoint(elapsed))) {
      const bool is_new = times.emplace(*step, elapsed).second;
      BOOST_TEST(is_new);
    }
  }
  return times;
}

StopSettings MakeRollingRestartSettings() {
  StopSettings settings;
  settings.leave_after = seconds(2);
  settings.serve_grace = milliseconds(500);
  settings.idle_grace = milliseconds(2200);
  settings.deadline = milliseconds(5500);
  return settings;
}

RemainingWork Idle(base::Duration) { return {}; }

BOOST_AUTO_TEST_SUITE(stop_control)

// During a rolling restart of a fleet near its capacity, a backend server must
// stay in service until the other nodes are notified.
BOOST_AUTO_TEST_CASE(backend_server_keeps_serving_while_callers_leave) {
  const StepTimes times = Run(MakeRollingRestartSettings(), Idle);
  BOOST_CHECK(times.at(StopStep::kLeave) == seconds(2));
  BOOST_CHECK(times.at(StopStep::kStopServing) == milliseconds(2500));
  BOOST_CHECK(times.at(StopStep::kStopAccepting) >= milliseconds(2500));
  BOOST_CHECK(times.at(StopStep::kEnd) <= milliseconds(3500));
}

// The backend server may have to make calls through this node to finish the
// calls that it runs.
BOOST_AUTO_TEST_CASE(connections_are_accepted_while_calls_run) {
  const auto busy_until = [](base::Duration elapsed) {
    RemainingWork work;
    work.executions = elapsed < seconds(4) ? 1 : 0;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), busy_until);
  BOOST_CHECK(times.at(StopStep::kStopAccepting) == seconds(4));
  BOOST_CHECK(times.at(StopStep::kCloseIdle) > seconds(4));
}

// A request that is sent later than 3 s after the signal may last until the
// deadline.
BOOST_AUTO_TEST_CASE(late_callers_are_refused_while_work_remains) {
  const auto busy_until = [](base::Duration elapsed) {
    RemainingWork work;
    work.executions = elapsed < seconds(4) ? 1 : 0;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), busy_until);
  BOOST_CHECK(times.at(StopStep::kRefuseCallers) == milliseconds(2750));
  const auto receiving_until = [](base::Duration elapsed) {
    RemainingWork work;
    work.connections = elapsed < seconds(4) ? 1 : 0;
    return work;
  };
  const StepTimes receiving =
      Run(MakeRollingRestartSettings(), receiving_until);
  BOOST_CHECK(receiving.at(StopStep::kRefuseCallers) == milliseconds(2750));
}

// A longer shutdown gives no more time to callers, whose requests may last as
// long as the shutdown.
BOOST_AUTO_TEST_CASE(late_callers_are_refused_as_early_in_a_long_shutdown) {
  StopSettings settings = MakeRollingRestartSettings();
  settings.deadline = milliseconds(9500);
  const auto busy = [](base::Duration elapsed) {
    RemainingWork work;
    work.executions = elapsed <= milliseconds(9250) ? 1 : 0;
    return work;
  };
  const StepTimes times = Run(settings, busy);
  BOOST_CHECK(times.at(StopStep::kRefuseCallers) == milliseconds(2750));
  BOOST_CHECK(times.at(StopStep::kEndRequests) == milliseconds(9250));
  const StopControl control(settings, base::TimePoint(seconds(1)));
  BOOST_CHECK(control.RequestsEndAt() == base::TimePoint(milliseconds(10250)));
}

BOOST_AUTO_TEST_CASE(shutdown_completes_at_the_deadline) {
  const auto never_idle = [](base::Duration) {
    RemainingWork work;
    work.entry_calls = 1;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), never_idle);
  BOOST_CHECK(times.at(StopStep::kEnd) == milliseconds(5500));
}

BOOST_AUTO_TEST_CASE(requests_are_ended_shortly_before_the_deadline) {
  const auto ended_at_last = [](base::Duration elapsed) {
    RemainingWork work;
    work.executions = elapsed <= milliseconds(5250) ? 1 : 0;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), ended_at_last);
  BOOST_CHECK(times.at(StopStep::kEndRequests) == milliseconds(5250));
  BOOST_CHECK(times.at(StopStep::kEnd) <= milliseconds(5500));
}

// The loop may stall for longer than the time that is left for final answers.
BOOST_AUTO_TEST_CASE(a_stall_before_the_deadline_leaves_no_request_unanswered) {
  const StopSettings settings = MakeRollingRestartSettings();
  StopControl control(settings, base::TimePoint());
  RemainingWork work;
  work.executions = 1;
  work.entry_calls = 1;
  const base::TimePoint before(settings.deadline - milliseconds(400));
  while (control.Next(work, before)) {
  }
  const base::TimePoint after(settings.deadline + milliseconds(1));
  const auto step = control.Next(work, after);
  BOOST_REQUIRE(step.has_value());
  BOOST_CHECK(*step == StopStep::kEndRequests);
}

// The answers are written by the loop, so the end must not come with them.
BOOST_AUTO_TEST_CASE(late_answers_are_written_before_the_end) {
  const StopSettings settings = MakeRollingRestartSettings();
  for (const milliseconds stall : {milliseconds(0), milliseconds(300)}) {
    StopControl control(settings, base::TimePoint());
    RemainingWork work;
    work.entry_calls = 1;
    while (control.Next(work, base::TimePoint(seconds(5)))) {
    }
    base::TimePoint now(settings.deadline + stall);
    const base::TimePoint resumed = now;
    BOOST_REQUIRE(control.Next(work, now) == StopStep::kEndRequests);
    while (control.Next(work, now) != StopStep::kEnd) now += kTick;
    BOOST_CHECK(now - resumed >= milliseconds(50));
    BOOST_CHECK(now - resumed <= milliseconds(150));
    BOOST_CHECK(!control.Next(work, now + seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(no_request_is_ended_if_all_finish_in_time) {
  const StepTimes times = Run(MakeRollingRestartSettings(), Idle);
  BOOST_TEST(times.count(StopStep::kEndRequests) == 0U);
}

// With default settings a node notifies the others and refuses their calls
// right at the signal.
BOOST_AUTO_TEST_CASE(leaves_immediately_by_default) {
  const StepTimes times = Run(StopSettings(), Idle);
  BOOST_CHECK(times.at(StopStep::kLeave) == base::Duration(0));
  BOOST_CHECK(times.at(StopStep::kStopServing) == base::Duration(0));
  BOOST_CHECK(times.at(StopStep::kCloseIdle) == milliseconds(750));
}

BOOST_AUTO_TEST_CASE(waits_for_state_handover) {
  const auto handed_over_late = [](base::Duration elapsed) {
    RemainingWork work;
    work.is_handed_over = elapsed >= seconds(3);
    return work;
  };
  const StepTimes times = Run(StopSettings(), handed_over_late);
  BOOST_CHECK(times.at(StopStep::kEnd) == seconds(3));
}

// The last answers may still be queued on the links when their executions have
// ended.
BOOST_AUTO_TEST_CASE(waits_for_answers_to_other_nodes) {
  const auto written_late = [](base::Duration elapsed) {
    RemainingWork work;
    work.unwritten_links = elapsed < seconds(3) ? 1 : 0;
    work.links = elapsed < milliseconds(3050) ? 2 : 0;
    return work;
  };
  const StepTimes times = Run(StopSettings(), written_late);
  BOOST_CHECK(times.at(StopStep::kCloseLinks) == seconds(3));
  BOOST_CHECK(times.at(StopStep::kEnd) == milliseconds(3050));
}

// A response to a caller does not need the links.
BOOST_AUTO_TEST_CASE(links_do_not_wait_for_responses_to_callers) {
  const auto written_late = [](base::Duration elapsed) {
    RemainingWork work;
    work.connections = elapsed < seconds(5) ? 1 : 0;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), written_late);
  BOOST_CHECK(times.at(StopStep::kCloseLinks) <= milliseconds(3500));
  BOOST_CHECK(times.at(StopStep::kEnd) == seconds(5));
}

// What stays until the deadline must not make the node cut its links.
BOOST_AUTO_TEST_CASE(links_are_closed_before_the_deadline) {
  RemainingWork half_request;
  half_request.connections = 1;
  half_request.reading = 1;
  RemainingWork silent_peer;
  silent_peer.unwritten_links = 1;
  RemainingWork handover;
  handover.is_handed_over = false;
  for (RemainingWork work : {half_request, silent_peer, handover}) {
    work.links = 1;
    const StepTimes times = Run(MakeRollingRestartSettings(),
                                [&work](base::Duration) { return work; });
    BOOST_REQUIRE(times.count(StopStep::kCloseLinks) == 1U);
    BOOST_CHECK(times.at(StopStep::kCloseLinks) == milliseconds(5300));
    BOOST_CHECK(times.at(StopStep::kEnd) == milliseconds(5500));
  }
}

BOOST_AUTO_TEST_CASE(links_stay_for_a_request_that_is_partly_received) {
  const auto received_late = [](base::Duration elapsed) {
    RemainingWork work;
    work.connections = elapsed < milliseconds(4200) ? 1 : 0;
    work.reading = elapsed < seconds(4) ? 1 : 0;
    work.entry_calls = work.connections - work.reading;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), received_late);
  BOOST_CHECK(times.at(StopStep::kCloseLinks) == milliseconds(4200));
}

// Answers that end requests are written before the links are closed.
BOOST_AUTO_TEST_CASE(links_are_closed_after_requests_were_ended) {
  const auto ended_at_last = [](base::Duration elapsed) {
    RemainingWork work;
    work.executions = elapsed <= milliseconds(5250) ? 1 : 0;
    work.links = 1;
    return work;
  };
  const StepTimes times = Run(MakeRollingRestartSettings(), ended_at_last);
  BOOST_REQUIRE(times.count(StopStep::kCloseLinks) == 1U);
  BOOST_CHECK(times.at(StopStep::kCloseLinks) == milliseconds(5300));
  BOOST_CHECK(times.at(StopStep::kEnd) == milliseconds(5500));
}

BOOST_AUTO_TEST_CASE(does_not_wait_long_for_links_that_stay_open) {
  const auto never_closed = [](base::Duration) {
    RemainingWork work;
    work.links = 1;
    return work;
  };
  const StepTimes times = Run(StopSettings(), never_closed);
  const base::Duration closing =
      times.at(StopStep::kEnd) - times.at(StopStep::kCloseLinks);
  BOOST_CHECK(closing == milliseconds(200));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::stop
