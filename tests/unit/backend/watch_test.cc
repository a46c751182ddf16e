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
  watch.OnLeave(InstanceId("i-2"), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnLeave(InstanceId("i-1"), At(seconds(2)));
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
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().instance.value() == "i-2");
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
