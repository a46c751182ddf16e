// Instances that start again under their id, and messages of theirs that come
// late.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// RULES.md: time after which an acknowledged shutdown binds all nodes.
constexpr milliseconds kDrainTime{2000};
// Heartbeats of a process that the test sends itself, or not at all.
constexpr seconds kNeverSent{60};
constexpr seconds kTimeout{8};
constexpr std::size_t kProbes = 60;
constexpr int kOk = 200;

// Three instances of a service; the first keeps its id.
class LeaveFixture {
 public:
  explicit LeaveFixture(const std::string& name)
      : fleet(name, {"lots", "lots", "lots"}) {
    instance().KeepId();
    first = instance().identity();
  }

  PlatformInstance& instance() { return fleet.instance(0); }

  // Ends the instance and waits until its next process serves. Its heartbeats
  // begin after a delay.
  InstanceIdentity StartAgain(milliseconds heartbeat_delay) {
    instance().SetHeartbeatDelay(heartbeat_delay);
    const std::size_t crashes = instance().crashes();
    instance().Crash();
    BOOST_TEST(WaitUntil(kTimeout, [&] {
      return instance().crashes() > crashes && instance().IsUp();
    }));
    BOOST_TEST(WaitUntil(kTimeout, [&] { return IsUsed("/read/again"); }));
    return instance().identity();
  }

  // Sends requests to all nodes until the instance has run one; returns whether
  // it has.
  bool IsUsed(const std::string& path) {
    for (std::size_t n = 0; n < kProbes; ++n) {
      fleet.Send(n % fleet.size(), "GET", path);
      if (instance().CountRuns(path) > 0) return true;
    }
    return false;
  }

  int Post(const InstanceIdentity& sender, const std::string& call,
           const std::string& body) {
    const std::string path = "/dogwoodrail/instances/" + sender.id + call;
    return fleet.PostControl(0, path, body).status;
  }

  int PostLeave(const InstanceIdentity& sender) {
    return Post(sender, "/leave",
                R"({"born":)" + std::to_string(sender.born_ms) + "}");
  }

  int PostHeartbeat(const InstanceIdentity& sender, const std::string& state,
                    int sequence) {
    return Post(sender, "/heartbeat",
                R"({"service":"lots","addr":"127.0.0.1:)" +
                    std::to_string(fleet.instance_port(0)) + R"(","state":")" +
                    state + R"(","capacity":20,"sequence":)" +
                    std::to_string(sequence) + R"(,"born":)" +
                    std::to_string(sender.born_ms) + "}");
  }

  PlatformFleet fleet;
  InstanceIdentity first;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(leave)

// Requests reached an instance after its acknowledged shutdown: it had started
// again under its id, and its first heartbeat came after its `leave`.
BOOST_AUTO_TEST_CASE(late_heartbeat_does_not_bring_a_left_instance_back) {
  LeaveFixture it("leave_late_heartbeat");
  const InstanceIdentity second = it.StartAgain(kNeverSent);
  BOOST_TEST(second.id == it.first.id);
  it.instance().Drain();
  BOOST_TEST(it.PostLeave(second) == kOk);
  std::this_thread::sleep_for(kDrainTime);
  BOOST_TEST(it.PostHeartbeat(second, "ready", 1) == kOk);
  BOOST_TEST(!it.IsUsed("/read/after"));
  const std::string line =
      it.fleet.WaitLogLine(0, " 508 ", "@" + std::to_string(second.born_ms));
  BOOST_TEST(line.find("draining=1") != std::string::npos);
  // The node knows its mark after a restart, too.
  it.fleet.node(0).Kill();
  it.fleet.StartNode(0);
  BOOST_TEST(it.fleet.WaitServing(kTimeout));
  BOOST_TEST(it.PostHeartbeat(second, "ready", 2) == kOk);
  BOOST_TEST(!it.IsUsed("/read/restarted"));
}

// An instance that had started again got no request any more, because the
// `leave` of the process before it came late.
BOOST_AUTO_TEST_CASE(late_leave_leaves_the_successor_in_use) {
  LeaveFixture it("leave_late_leave");
  it.StartAgain(milliseconds(0));
  BOOST_TEST(!it.fleet.WaitLogLine(0, " 504 ", it.first.id).empty());
  std::this_thread::sleep_for(seconds(1));  // its own heartbeat has come
  BOOST_TEST(it.PostLeave(it.first) == kOk);
  BOOST_TEST(it.IsUsed("/read/after"));
  std::this_thread::sleep_for(kDrainTime);
  BOOST_TEST(it.IsUsed("/read/later"));
  const std::string sender = "@" + std::to_string(it.first.born_ms) + " ";
  BOOST_TEST(!it.fleet.WaitLogLine(0, " 508 ", sender).empty());
}

// The same for a late heartbeat that reports `draining`.
BOOST_AUTO_TEST_CASE(late_draining_heartbeat_leaves_the_successor_in_use) {
  LeaveFixture it("leave_late_draining");
  it.StartAgain(milliseconds(0));
  std::this_thread::sleep_for(seconds(1));
  BOOST_TEST(it.PostHeartbeat(it.first, "draining", 1000) == kOk);
  BOOST_TEST(it.IsUsed("/read/after"));
}

BOOST_AUTO_TEST_CASE(leave_with_an_odd_start_time_is_not_acknowledged) {
  LeaveFixture it("leave_odd");
  BOOST_TEST(it.Post(it.first, "/leave", R"({"born":"1700"})") == 400);
  BOOST_TEST(it.IsUsed("/read/after"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
