// The life of the backend server beside a node, from what arrives of it.
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

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

BackendWatch MakeWatch() {
  return BackendWatch(BackendWatchSettings(), base::ServiceName("lots"),
                      kAddress);
}

Heartbeat MakeBeat(const std::string& id, std::uint64_t sequence,
                   std::optional<std::int64_t> born = std::nullopt) {
  Heartbeat beat;
  beat.instance = InstanceId(id);
  beat.service = base::ServiceName("lots");
  beat.address = kAddress;
  beat.slots = 15;
  beat.sequence = sequence;
  beat.born_ms = born;
  return beat;
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

BOOST_AUTO_TEST_CASE(a_heartbeat_makes_it_ready) {
  BackendWatch watch = MakeWatch();
  BOOST_TEST(watch.OnHeartbeat(MakeBeat("i-1", 1), At(seconds(1))));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().slots == 15U);
}

BOOST_AUTO_TEST_CASE(a_health_check_makes_it_ready_after_a_start) {
  BackendWatch watch = MakeWatch();
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(1))));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(!watch.StartProbeIfDue(At(seconds(9))));
}

BOOST_AUTO_TEST_CASE(leaving_is_final_for_a_life) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeBeat("i-1", 1, 100), At(seconds(1)));
  Heartbeat beat = MakeBeat("i-1", 2, 100);
  beat.draining = true;
  watch.OnHeartbeat(beat, At(seconds(2)));
  watch.OnHeartbeat(MakeBeat("i-1", 3, 100), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
  watch.OnHeartbeat(MakeBeat("i-1", 1, 200), At(seconds(4)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
}

BOOST_AUTO_TEST_CASE(a_leave_without_draining_counts_too) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeBeat("i-1", 1), At(seconds(1)));
  watch.OnLeave(InstanceId("i-2"), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.OnLeave(InstanceId("i-1"), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

// The mark of an earlier life of the node binds this one, whatever a health
// check says.
BOOST_AUTO_TEST_CASE(a_kept_mark_binds_a_restarted_node) {
  BackendWatch watch = MakeWatch();
  watch.StartProbeIfDue(At(seconds(1)));
  watch.OnDrainMark(DrainMark{InstanceId("i-1"), 100});
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  BOOST_TEST((watch.status().state != BackendServerState::kReady));
  watch.OnHeartbeat(MakeBeat("i-1", 9, 100), At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

BOOST_AUTO_TEST_CASE(a_mark_that_comes_late_withdraws_it) {
  BackendWatch watch = MakeWatch();
  watch.StartProbeIfDue(At(seconds(1)));
  watch.OnHealth(MakeHealthy("i-1"), At(seconds(1)));
  watch.OnDrainMark(DrainMark{InstanceId("i-1"), std::nullopt});
  BOOST_TEST((watch.status().state == BackendServerState::kDraining));
}

BOOST_AUTO_TEST_CASE(outdated_and_foreign_heartbeats_change_nothing) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeBeat("i-2", 5, 200), At(seconds(1)));
  BOOST_TEST(!watch.OnHeartbeat(MakeBeat("i-1", 9, 100), At(seconds(2))));
  BOOST_TEST(!watch.OnHeartbeat(MakeBeat("i-2", 5, 200), At(seconds(2))));
  Heartbeat elsewhere = MakeBeat("i-3", 1, 300);
  elsewhere.address = "10.0.0.2:8080";
  BOOST_TEST(!watch.OnHeartbeat(elsewhere, At(seconds(2))));
  Heartbeat other = MakeBeat("i-3", 1, 300);
  other.service = base::ServiceName("wages");
  BOOST_TEST(!watch.OnHeartbeat(other, At(seconds(2))));
  BOOST_TEST(watch.status().instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(refused_connections_make_it_gone_until_it_answers) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeBeat("i-1", 1), At(seconds(1)));
  watch.OnUnreachable(At(seconds(2)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
  BOOST_TEST(!watch.StartProbeIfDue(At(seconds(2))));
  BOOST_TEST(watch.StartProbeIfDue(At(seconds(2) + milliseconds(250))));
  watch.OnHealth(MakeHealthy("i-2"), At(seconds(3)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  BOOST_TEST(watch.status().instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(silence_makes_it_gone_unless_it_answers_requests) {
  BackendWatch watch = MakeWatch();
  watch.OnHeartbeat(MakeBeat("i-1", 1), At(seconds(1)));
  watch.OnAnswered(At(seconds(5)));
  watch.Tick(At(seconds(8)));
  BOOST_TEST((watch.status().state == BackendServerState::kReady));
  watch.Tick(At(seconds(12)));
  BOOST_TEST((watch.status().state == BackendServerState::kGone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::backend
