// Calls of instances in the planned stop of the node beside them.
#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxHeld = 60;
constexpr seconds kStopTimeout{12};
constexpr seconds kAnswerTimeout{12};

// Three nodes whose routes allow requests to last for 9 s. The path of a
// request ends with its work in milliseconds.
struct StopFixture {
  explicit StopFixture(const std::string& name)
      : fleet(name, {"lots", "lots", "lots"}) {
    std::string config = fleet.ConfigText(2);
    boost::algorithm::replace_all(config, R"("timeout_ms":4000)",
                                  R"("timeout_ms":9000)");
    fleet.store().Put("config", "main", config);
    for (std::size_t it = 0; it < fleet.size(); ++it) {
      fleet.instance(it).SetScript(&Work);
      BOOST_TEST(WaitUntil(seconds(4), [&] {
        return fleet.Metric(it, "dogwoodrail_configuration_number") == 2;
      }));
    }
  }
  ~StopFixture() {
    for (std::thread& it : callers) it.join();
  }

  static InstanceAnswer Work(const InstanceRequest& request) {
    const std::size_t mark = request.target.rfind('-');
    const int ms = mark == std::string::npos
                       ? 20
                       : std::stoi(request.target.substr(mark + 1));
    return {true, {{milliseconds(ms), PlatformInstance::SuccessText(request)}}};
  }

  // Sends requests through the second node until one is at work beside the
  // first.
  void Hold(milliseconds work) {
    const std::string tail = "-" + std::to_string(work.count());
    std::string path;
    for (int it = 0; it < kMaxHeld; ++it) {
      path = "/read/held" + std::to_string(it) + tail;
      callers.emplace_back([this, path] {
        RawRequest request = fleet.MakeRequest("GET", path);
        request.headers.back().value = "8500";
        const auto response =
            SendRequest(fleet.caller_port(1), request, kAnswerTimeout);
        if (response.status == 200) ++served;
      });
      const bool is_there = WaitUntil(milliseconds(100), [&] {
        return fleet.instance(0).CountRuns(path) > 0;
      });
      if (is_there) return;
    }
    BOOST_FAIL("no request at the first instance");
  }

  // Sends a request without a key to the first node, as its instance does.
  RawResponse Call(const std::string& path, milliseconds left) {
    RawRequest request = fleet.MakeRequest("POST", path, "b");
    request.headers.erase(request.headers.begin());
    request.headers.back().value = std::to_string(left.count());
    return SendRequest(fleet.caller_port(0), request, kAnswerTimeout);
  }

  PlatformFleet fleet;
  std::atomic<std::size_t> served{0};
  std::vector<std::thread> callers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

// Such a call was passed on late in the stop and broken off at its end, while
// an instance of another node was at work on it.
BOOST_AUTO_TEST_CASE(call_that_may_outlast_the_stop_is_refused_unrun) {
  StopFixture it("late_call");
  it.Hold(milliseconds(4600));
  std::this_thread::sleep_for(milliseconds(300));
  it.fleet.node(0).SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3300));
  // The instance has 4.9 s left for its own request.
  const RawResponse late = it.Call("/open/late-2200", milliseconds(4500));
  BOOST_TEST(late.status == 503);
  BOOST_TEST(it.fleet.CountRuns("/open/late-2200") == 0U);
  // What expires before the end of the stop can be waited for.
  const RawResponse soon = it.Call("/open/soon-300", milliseconds(900));
  BOOST_TEST(soon.status == 200);
  for (std::thread& caller : it.callers) caller.join();
  BOOST_TEST(it.served == it.callers.size());
  it.callers.clear();
  BOOST_TEST(it.fleet.node(0).WaitExit(kStopTimeout).value_or(-1) == 0);
}

// The process ended its requests by a time of its own, long before it would
// have been killed.
BOOST_AUTO_TEST_CASE(stop_uses_the_time_until_the_kill) {
  StopFixture it("long_stop");
  it.fleet.node(0).Kill();
  it.fleet.StartNode(0, {"--kill_after_s=10"});
  BOOST_TEST(it.fleet.WaitServing(seconds(15)));
  it.Hold(milliseconds(3000));
  it.fleet.node(0).SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2300));
  const RawResponse response = it.Call("/open/call-4000", milliseconds(5500));
  BOOST_TEST(response.status == 200);
  BOOST_TEST(it.fleet.node(0).WaitExit(kStopTimeout).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
