// Promises of docs/PROOF.md under the settings of deploy/node.ini.
#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kApplyTime{4};  // for a change of the configuration
constexpr seconds kStopTimeout{10};
constexpr int kSends = 40;

// Sends requests to a node until it is stopped, on new connections.
class Caller {
 public:
  Caller(PlatformFleet& fleet, std::size_t node, const std::string& name)
      : thread_([this, &fleet, node, name] {
          for (std::size_t it = 0; !stopping_; ++it) {
            const std::string path =
                "/write/" + name + "-" + std::to_string(it);
            const RawResponse response = fleet.Send(node, "POST", path, "b");
            ++sent_;
            if (response.status == 200 && response.body == path) ++served_;
          }
        }) {}
  ~Caller() { Stop(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(deployed_settings)

BOOST_AUTO_TEST_CASE(a_withdrawn_key_stops_and_no_instance_sees_a_key) {
  PlatformFleet fleet("withdrawn_key", {"lots", "lots"});
  std::atomic<int> wrong{0};
  const auto script = [&wrong](const InstanceRequest& request) {
    if (request.has_key || request.tenant != "stitchers") ++wrong;
    return InstanceAnswer{
        true, {{milliseconds(0), PlatformInstance::SuccessText(request)}}};
  };
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript(script);
  }
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    RawRequest forged = fleet.MakeRequest("GET", "/read/forged");
    forged.AddHeader("Tenant", "another");
    BOOST_TEST(SendRequest(fleet.caller_port(it), forged).status == 200);
  }
  BOOST_TEST(wrong == 0);
  std::string config = fleet.ConfigText(2);
  boost::algorithm::replace_all(config, "test-key-1", "test-key-2");
  fleet.store().Put("config", "main", config);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(WaitUntil(kApplyTime, [&] {
      return fleet.Send(it, "GET", "/read/withdrawn").status == 401;
    }));
    const std::size_t runs = fleet.CountRuns("/read/withdrawn");
    BOOST_TEST(fleet.Send(it, "GET", "/read/withdrawn").status == 401);
    BOOST_TEST(fleet.CountRuns("/read/withdrawn") == runs);
  }
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_gets_no_new_work) {
  PlatformFleet fleet("leaving_instance", {"lots", "lots", "lots"});
  fleet.instance(1).Drain();
  std::this_thread::sleep_for(seconds(2));
  const auto count = [&fleet] {
    std::size_t runs = 0;
    for (const auto& [target, n] : fleet.instance(1).RunsByTarget()) runs += n;
    return runs;
  };
  const std::size_t runs = count();
  for (int it = 0; it < kSends; ++it) {
    const std::string path = "/write/leaving-" + std::to_string(it);
    BOOST_TEST(fleet.Send(it % fleet.size(), "POST", path, "b").status == 200);
  }
  BOOST_TEST(count() == runs);
}

BOOST_AUTO_TEST_CASE(planned_stop_of_a_serving_node_cuts_no_request) {
  PlatformFleet fleet("planned_stop", {"lots", "lots", "lots"});
  Caller caller(fleet, 0, "stop");
  std::this_thread::sleep_for(milliseconds(500));
  fleet.node(1).SendSignal(SIGTERM);
  BOOST_TEST(fleet.node(1).WaitExit(kStopTimeout).value_or(-1) == 0);
  std::this_thread::sleep_for(milliseconds(500));
  caller.Stop();
  BOOST_TEST(caller.sent() > kSends);
  BOOST_TEST(caller.served() == caller.sent());
}

// A request without a key looks like a call that the instance makes for a
// request under way. It was taken late in the grace time, passed on, and ended
// before the instance that ran it was done.
BOOST_AUTO_TEST_CASE(late_request_without_a_key_is_refused_in_a_planned_stop) {
  PlatformFleet fleet("late_request", {"lots", "lots", "lots"});
  const auto script = [](const InstanceRequest& request) {
    milliseconds time(20);
    if (request.target.rfind("/read/busy", 0) == 0) time = milliseconds(3700);
    if (request.target == "/open/late") time = milliseconds(3500);
    return InstanceAnswer{true,
                          {{time, PlatformInstance::SuccessText(request)}}};
  };
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript(script);
  }
  // The nodes choose the instance: requests are sent until one runs beside the
  // node that is stopped.
  constexpr std::size_t kMaxCallers = 60;
  std::atomic<std::size_t> served{0};
  std::vector<std::thread> callers;
  bool is_placed = false;
  while (!is_placed && callers.size() < kMaxCallers) {
    const std::string path = "/read/busy-" + std::to_string(callers.size());
    callers.emplace_back([&fleet, &served, path] {
      if (fleet.Send(1, "GET", path).status == 200) ++served;
    });
    is_placed = WaitUntil(milliseconds(50), [&fleet, &path] {
      return fleet.instance(0).CountRuns(path) > 0;
    });
  }
  BOOST_TEST(is_placed);
  std::this_thread::sleep_for(milliseconds(300));
  fleet.node(0).SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3000));
  const auto send_open = [&fleet](const char* path, const char* deadline_ms) {
    RawRequest request = fleet.MakeRequest("POST", path, "b");
    request.headers.erase(
        std::remove_if(request.headers.begin(), request.headers.end(),
                       [](const RawHeader& it) {
                         return it.name == "X-Api-Key" ||
                                it.name == "Deadline-Ms";
                       }),
        request.headers.end());
    request.AddHeader("Deadline-Ms", deadline_ms);
    return SendRequest(fleet.caller_port(0), request).status;
  };
  // A call of an execution has no more time than that one.
  BOOST_TEST(send_open("/open/call", "600") == 200);
  BOOST_TEST(send_open("/open/late", "4000") == 503);
  BOOST_TEST(fleet.CountRuns("/open/late") == 0U);
  for (std::thread& it : callers) it.join();
  BOOST_TEST(served == callers.size());
  BOOST_TEST(fleet.node(0).WaitExit(kStopTimeout).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(lost_power_of_all_nodes_keeps_the_configuration) {
  PlatformFleet fleet("lost_power", {"lots", "lots"});
  fleet.store().Put("config", "main", fleet.ConfigText(7));
  fleet.store().SetAvailable(false);
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.node(it).Kill();
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.StartNode(it);
  BOOST_TEST(WaitUntil(seconds(5), [&fleet] {
    return fleet.Send(0, "GET", "/read/early").status == 503 &&
           fleet.Send(1, "GET", "/read/early").status == 503;
  }));
  BOOST_TEST(fleet.CountRuns("/read/early") == 0U);
  fleet.store().SetAvailable(true);
  BOOST_TEST(fleet.WaitServing(seconds(10)));
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(fleet.Metric(it, "dogwoodrail_configuration_number") == 7);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
