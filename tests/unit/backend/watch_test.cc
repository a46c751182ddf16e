// State of a node's backend server, derived from heartbeats, health checks and
// request outcomes.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "core/backend/backend_watch.h"

namespace dogwoodrail::core::backend {
namespace {

using base::BackendServerState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kAddress = "10.0.0.1:8080";

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(since_start);
}

BackendWatch MakeWatch() {
  return BackendWatch(BackendWatchSettings(), base::ServiceName("lots"),
                      kAddress);
}

Heartbeat MakeHeartbeat(const std::string& id, std::uint64_t sequence,
                        std::optional<std::int64_t> born = std::nullopt) {
  Heartbeat heartbeat;
  heartbeat.instance = InstanceId(id);
  heartbeat.service = base::ServiceName("lots");
  heartbeat.address = kAddress;
  heartbeat.slots = 15;
  heartbeat.sequence = sequence;
  heartbeat.born_ms = born;
  return heartbeat;
}

BackendWatch MakeWatchOfTwoServices() {
  BackendWatch watch = MakeWatch();
  watch.SetServiceCheck([](const base::ServiceName& service) {
    return service.value() == "lots" || service.value() == "wages";
  });
  return watch;
}

Heartbeat MakeHeartbeatOfWages(
    const std::string& id, std::uint64_t sequence,
    std::optional<std::int64_t> born = std::nullopt) {
  Heartbeat heartbeat = MakeHeartbeat(id, sequence, born);
  heartbeat.service = base::ServiceName("wages");
  return heartbeat;
}

HealthReport MakeHealthy(const std::string& id) {
  HealthReport report;
  report.answered = true;
  report.healthy = true;
  report.instance = InstanceId(id);
  report.load.slots = 15;
  return report;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backend_watch)

BOOST_AUTO_TEST_CASE(ready_after_heartbeat) {
  BackendWatch watch = MakeWatch();
  BOOST_TEST(watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1))));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().slots == 15U);
}

BOOST_AUTO_TEST_CASE(ready_after_health_check_at_startup) {
  BackendWatch watch = MakeWatch();
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(1))));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(!watch.StartProbeIfDue(At(seconds(9))));
}

BOOST_AUTO_TEST_CASE(draining_lasts_until_process_restarts) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 100), At(seconds(1)));
  Heartbeat heartbeat = MakeHeartbeat("i-1", 2, 100);
  heartbeat.draining = true;
  watch.OnHeartbeat(heartbeat, At(seconds(2)));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 3, 100), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 200), At(seconds(4)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

BOOST_AUTO_TEST_CASE(leave_message_starts_draining) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1)));
  watch.OnLeave({InstanceId("i-2"), std::nullopt}, At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnLeave({InstanceId("i-1"), std::nullopt}, At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

// A node that restarts while its backend server drains must not route to it
// again, even if a health check reports it as healthy.
BOOST_AUTO_TEST_CASE(stored_drain_mark_applies_after_node_restart) {
  BackendWatch watch = MakeWatch();
  watch.StartProbeIfDue(At(seconds(1)));
  watch.OnDrainMark(DrainMark{InstanceId("i-1"), 100});
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  BOOST_TEST((watch.status().state != BackendServerState::kReady));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 9, 100), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

BOOST_AUTO_TEST_CASE(late_drain_mark_ends_readiness) {
  BackendWatch watch = MakeWatch();
  watch.StartProbeIfDue(At(seconds(1)));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  watch.OnDrainMark(DrainMark{InstanceId("i-1"), std::nullopt});
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

BOOST_AUTO_TEST_CASE(outdated_and_foreign_heartbeats_are_ignored) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-2", 5, 200), At(seconds(1)));
  BOOST_TEST(!watch.OnHeartbeat(MakeHeartbeat("i-1", 9, 100), At(seconds(2))));
  BOOST_TEST(!watch.OnHeartbeat(MakeHeartbeat("i-2", 5, 200), At(seconds(2))));
  Heartbeat other_address = MakeHeartbeat("i-3", 1, 300);
  other_address.address = "10.0.0.2:8080";
  BOOST_TEST(!watch.OnHeartbeat(other_address, At(seconds(2))));
  Heartbeat other_service = MakeHeartbeat("i-3", 1, 300);
  other_service.service = base::ServiceName("wages");
  BOOST_TEST(!watch.OnHeartbeat(other_service, At(seconds(2))));
  BOOST_TEST(watch.status().instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(gone_after_refused_connection_until_healthy) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  BOOST_TEST(!watch.StartProbeIfDue(At(seconds(2))));
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(2) + milliseconds(250))));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().instance.value() == "i-1");
}

// A health check names no service: the address may have gone to another one,
// whose instance then ran requests of the old service.
BOOST_AUTO_TEST_CASE(unknown_id_of_a_health_check_is_not_used) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  BOOST_TEST(watch.status().instance.value() == "i-1");
  BOOST_TEST(watch.OnHeartbeat(MakeHeartbeat("i-2", 1), At(seconds(4))));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().instance.value() == "i-2");
}

// The same after the start of the node, when its first health check finds the
// address vacant.
BOOST_AUTO_TEST_CASE(settings_do_not_hold_for_a_later_process) {
  BackendWatch watch = MakeWatch();
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(1))));
  watch.OnHealth(HealthReport(), At(seconds(1)));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(2)));
  BOOST_TEST((watch.status().state != BackendServerState::kReady));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

BOOST_AUTO_TEST_CASE(other_service_is_taken_once_its_process_is_found) {
  BackendWatch watch = MakeWatchOfTwoServices();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 100), At(seconds(1)));
  watch.OnOtherInstance(At(seconds(5)));
  BOOST_TEST(
      watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 1, 200), At(seconds(5))));
  BOOST_TEST(watch.status().service.value() == "lots");
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  BOOST_TEST(watch.probed_service().value() == "wages");
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(5))));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(5)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().service.value() == "wages");
  BOOST_TEST(watch.status().instance.value() == "i-2");
  BOOST_TEST(watch.own_service().value() == "wages");
  BOOST_TEST(watch.TakeReplaced());
}

// Heartbeats of the old and the new process arrive late and crossed.
BOOST_AUTO_TEST_CASE(late_heartbeat_of_the_former_service_changes_nothing) {
  BackendWatch watch = MakeWatchOfTwoServices();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 100), At(seconds(1)));
  watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 1, 200), At(seconds(5)));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(5)));
  BOOST_TEST(!watch.OnHeartbeat(MakeHeartbeat("i-1", 2, 100), At(seconds(6))));
  BOOST_TEST(watch.status().service.value() == "wages");
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

// The former process still serves, or a heartbeat names an address that its
// sender has lost.
BOOST_AUTO_TEST_CASE(claim_that_no_health_check_confirms_is_dropped) {
  BackendWatch watch = MakeWatchOfTwoServices();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1)));
  watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 1), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().service.value() == "lots");
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(2)));
  BOOST_TEST(watch.probed_service().value() == "lots");
  BOOST_TEST(watch.own_service().value() == "lots");
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

// After a restart of the node, the settings and the health check found the
// process before its first heartbeat named another service.
BOOST_AUTO_TEST_CASE(process_that_names_another_service_is_used_no_more) {
  BackendWatch watch = MakeWatchOfTwoServices();
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(1))));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(1)));
  watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 4, 200), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().service.value() == "wages");
}

// The time of day has stepped back between the starts of the two processes.
BOOST_AUTO_TEST_CASE(earlier_start_time_is_believed_if_its_process_is_found) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 300), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  BOOST_TEST(watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(4))));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(4)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().instance.value() == "i-2");
}

// An acknowledged shutdown of a process of another service, whose heartbeats
// are still under way.
BOOST_AUTO_TEST_CASE(left_process_of_another_service_does_not_become_ready) {
  BackendWatch watch = MakeWatchOfTwoServices();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 100), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  watch.OnLeave({InstanceId("i-2"), std::nullopt}, At(seconds(6)));
  watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 1, 200), At(seconds(7)));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(7)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeHeartbeatOfWages("i-2", 2, 200), At(seconds(8)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

// Requests reached an instance after its shutdown had been acknowledged: it had
// started again under its id, a health check had found it, and the heartbeat
// with its start time came after its `leave`.
BOOST_AUTO_TEST_CASE(left_process_stays_draining_when_its_heartbeat_is_late) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 7, 100), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnLeave({InstanceId("i-1"), 200}, At(seconds(4)));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 200), At(seconds(6)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  BOOST_TEST(watch.TakeReplaced());
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 201), At(seconds(7)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

// A node that had started since did not know the start times either.
BOOST_AUTO_TEST_CASE(left_process_stays_draining_after_node_restart) {
  BackendWatch watch = MakeWatch();
  watch.OnDrainMark({InstanceId("i-1"), 200});
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 200), At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

// A successor got no request any more, because the shutdown of the process
// before it was announced late.
BOOST_AUTO_TEST_CASE(late_leave_of_an_earlier_process_changes_nothing) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(2)));
  watch.OnLeave({InstanceId("i-1"), 100}, At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnHeartbeat(MakeHeartbeat("i-2", 2, 200), At(seconds(4)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

// Under the same id, a health check decides at once; so does a heartbeat.
BOOST_AUTO_TEST_CASE(successor_under_the_same_id_is_soon_used_again) {
  for (const bool draining_heartbeat : {false, true}) {
    for (const bool by_health : {false, true}) {
      BackendWatch watch = MakeWatch();
      watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(2)));
      if (draining_heartbeat) {
        Heartbeat late = MakeHeartbeat("i-2", 9, 100);
        late.draining = true;
        watch.OnHeartbeat(late, At(seconds(3)));
      } else {
        watch.OnLeave({InstanceId("i-2"), 100}, At(seconds(3)));
      }
      BOOST_TEST(watch.StartProbeIfDue(At(seconds(3))));
      if (by_health) {
        watch.OnHealth(MakeHealthy("i-2"), At(seconds(3)));
      } else {
        watch.OnHeartbeat(MakeHeartbeat("i-2", 2, 200), At(seconds(4)));
      }
      BOOST_TEST((watch.status().state == BackendServerState::kReady));
      watch.OnUnreachable(At(seconds(5)));
      watch.OnHealth(MakeHealthy("i-2"), At(seconds(6)));
      BOOST_TEST((watch.status().state == BackendServerState::kReady));
    }
  }
}

// Requests reached an instance after its acknowledged draining: it had started
// again under its id after the time of day had stepped back, so that its start
// time was earlier than the one known.
BOOST_AUTO_TEST_CASE(
    leaving_process_is_not_used_though_its_clock_stepped_back) {
  for (const bool draining_heartbeat : {false, true}) {
    BackendWatch watch = MakeWatch();
    watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 300), At(seconds(1)));
    watch.OnUnreachable(At(seconds(2)));
    watch.OnHealth(MakeHealthy("i-1"), At(seconds(3)));
    BOOST_TEST((watch.status().state == BackendServerState::kReady));
    Heartbeat draining = MakeHeartbeat("i-1", 4, 200);
    draining.draining = true;
    if (draining_heartbeat) {
      BOOST_TEST(watch.OnHeartbeat(draining, At(seconds(4))));
    } else {
      watch.OnLeave({InstanceId("i-1"), 200}, At(seconds(4)));
    }
    BOOST_TEST((watch.status().state != BackendServerState::kReady));
    BOOST_TEST(watch.StartProbeIfDue(At(seconds(4))));
    HealthReport refused = MakeHealthy("i-1");
    refused.healthy = false;
    watch.OnHealth(refused, At(seconds(4)));
    watch.OnHeartbeat(MakeHeartbeat("i-1", 3, 200), At(seconds(5)));
    watch.OnHealth(refused, At(seconds(5)));
    BOOST_TEST((watch.status().state != BackendServerState::kReady));
  }
}

BOOST_AUTO_TEST_CASE(late_draining_heartbeat_of_an_earlier_process_is_kept) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(2)));
  Heartbeat late = MakeHeartbeat("i-1", 9, 100);
  late.draining = true;
  BOOST_TEST(!watch.OnHeartbeat(late, At(seconds(3))));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.drain_mark()->instance.value() == "i-1");
}

// Its acknowledged shutdown was forgotten while the node took the process
// before it for the present one.
BOOST_AUTO_TEST_CASE(leave_of_an_unknown_process_holds_for_its_late_heartbeat) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 5, 100), At(seconds(1)));
  watch.OnLeave({InstanceId("i-2"), 200}, At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

// The mark of the present process is kept when others are added.
BOOST_AUTO_TEST_CASE(leave_of_another_process_lifts_no_mark) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-2", 1, 200), At(seconds(1)));
  watch.OnLeave({InstanceId("i-2"), 200}, At(seconds(2)));
  watch.OnLeave({InstanceId("i-1"), 100}, At(seconds(2)));
  watch.OnHeartbeat(MakeHeartbeat("i-2", 2, 200), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

BOOST_AUTO_TEST_CASE(starts_a_millisecond_apart_are_told_apart) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 3, 100), At(seconds(1)));
  watch.OnLeave({InstanceId("i-1"), 100}, At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 101), At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnLeave({InstanceId("i-1"), 100}, At(seconds(1)));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

BOOST_AUTO_TEST_CASE(leave_without_a_start_time_is_of_the_known_process) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 3, 100), At(seconds(1)));
  watch.OnLeave({InstanceId("i-1"), std::nullopt}, At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 4, 100), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 200), At(seconds(4)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

BOOST_AUTO_TEST_CASE(number_of_drain_marks_is_bounded) {
  DrainMarks marks;
  for (int n = 0; n < 6; ++n) {
    BOOST_TEST(marks.Add({InstanceId("i-" + std::to_string(n)), 100}));
  }
  BOOST_TEST(!marks.Covers(InstanceId("i-1"), 100));
  BOOST_TEST(marks.Covers(InstanceId("i-2"), 100));
  BOOST_TEST(!marks.Add({InstanceId("i-5"), 90}));
  BOOST_TEST(marks.latest()->instance.value() == "i-5");
}

BOOST_AUTO_TEST_CASE(draining_of_another_service_needs_no_health_check) {
  BackendWatch watch = MakeWatchOfTwoServices();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1, 100), At(seconds(1)));
  Heartbeat heartbeat = MakeHeartbeatOfWages("i-2", 3, 200);
  heartbeat.draining = true;
  watch.OnHeartbeat(heartbeat, At(seconds(5)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  BOOST_TEST(watch.drain_mark()->instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(service_of_the_settings_changes) {
  BackendWatch watch = MakeWatch();
  watch.OnAssigned(base::ServiceName("wages"));
  BOOST_TEST(watch.own_service().value() == "wages");
  BOOST_TEST(watch.probed_service().value() == "wages");
  BOOST_TEST(!watch.IsForeign(MakeHeartbeatOfWages("i-2", 1)));
}

BOOST_AUTO_TEST_CASE(service_that_does_not_exist_is_foreign) {
  BackendWatch watch = MakeWatchOfTwoServices();
  BOOST_TEST(!watch.IsForeign(MakeHeartbeatOfWages("i-2", 1)));
  Heartbeat heartbeat = MakeHeartbeat("i-2", 1);
  heartbeat.service = base::ServiceName("odd");
  BOOST_TEST(watch.IsForeign(heartbeat));
  BOOST_TEST(!watch.OnHeartbeat(heartbeat, At(seconds(1))));
}

BOOST_AUTO_TEST_CASE(gone_after_silence_unless_requests_are_answered) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeHeartbeat("i-1", 1), At(seconds(1)));
  watch.OnAnswered(At(seconds(5)));
  watch.Tick(At(seconds(8)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.Tick(At(seconds(12)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::backend
