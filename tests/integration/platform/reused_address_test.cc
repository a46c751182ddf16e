// The address of an instance that has ended goes to an instance of another
// service.
#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kReuseDelay{2500};
constexpr int kCallsAfterReuse = 40;

// Two nodes of `lots`; the configuration also has the service `wages` and its
// route /wages/.
struct ReuseFixture {
  explicit ReuseFixture(const std::string& name)
      : fleet(name, {"lots", "lots"}) {
    std::string config = fleet.ConfigText(2);
    boost::algorithm::replace_first(
        config, R"("clusters":[)",
        R"("clusters":[{"name":"wages","health_path":"/healthz"},)");
    boost::algorithm::replace_first(
        config, R"("rules":[)",
        R"("rules":[{"name":"pay","kind":"non_idempotent","priority":0,)"
        R"("target_latency_ms":1500,"matcher":{"prefix":"/wages/"},)"
        R"("action":{"service":"wages","timeout_ms":4000,"attempts":2}},)");
    fleet.store().Put("config", "main", config);
    for (std::size_t it = 0; it < fleet.size(); ++it) {
      BOOST_TEST(WaitUntil(seconds(4), [&] {
        return fleet.Metric(it, "dogwoodrail_configuration_number") == 2;
      }));
    }
  }

  // Ends the first instance. Its address goes to one of `wages`.
  void Reuse() {
    fleet.instance(0).SetDownTime(kReuseDelay);
    fleet.instance(0).SetNextService("wages");
    fleet.instance(0).Crash();
    std::this_thread::sleep_for(kReuseDelay);
    BOOST_TEST(
        WaitUntil(seconds(2), [this] { return fleet.instance(0).IsUp(); }));
  }

  // Sends requests of the old service; returns how many were answered 200.
  int SendToOldService() {
    int answered = 0;
    for (int it = 0; it < kCallsAfterReuse; ++it) {
      const std::string path = "/write/" + std::to_string(it);
      answered += fleet.Send(1, "POST", path).status == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return answered;
  }

  // Number of requests of the old service that the first instance has run since
  // its address went to the other one.
  std::size_t CountMisrouted() {
    std::size_t count = 0;
    for (const auto& [target, runs] : fleet.instance(0).RunsByTarget()) {
      if (boost::algorithm::starts_with(target, "/write/")) count += runs;
    }
    return count;
  }

  PlatformFleet fleet;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(reused_address)

// An instance of another service ran the requests of the one that had its
// address before.
BOOST_AUTO_TEST_CASE(instance_of_another_service_runs_no_request_of_the_old) {
  ReuseFixture it("reused_address");
  it.Reuse();
  it.fleet.Reassign(0, "wages");
  BOOST_TEST(it.SendToOldService() == kCallsAfterReuse);
  BOOST_TEST(it.CountMisrouted() == 0U);
}

// The same while its heartbeats are late and the settings name the old service.
BOOST_AUTO_TEST_CASE(late_heartbeats_of_another_service_misroute_nothing) {
  ReuseFixture it("reused_address_late");
  it.fleet.instance(0).SetHeartbeatDelay(seconds(3));
  it.Reuse();
  BOOST_TEST(it.SendToOldService() == kCallsAfterReuse);
  BOOST_TEST(it.CountMisrouted() == 0U);
}

// The node beside it serves the other service without a restart, and says from
// which service its callers' requests come.
BOOST_AUTO_TEST_CASE(node_serves_the_service_that_its_address_went_to) {
  ReuseFixture it("reused_address_served");
  std::mutex mutex;
  std::string caller;
  it.fleet.instance(1).SetScript([&](const InstanceRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    caller = request.caller_service;
    return InstanceAnswer{
        true, {{milliseconds(5), PlatformInstance::SuccessText(request)}}};
  });
  it.Reuse();
  BOOST_TEST(WaitUntil(seconds(5), [&] {
    return it.fleet.Send(1, "POST", "/wages/pay").status == 200;
  }));
  BOOST_TEST(it.fleet.instance(0).CountRuns("/wages/pay") > 0U);
  BOOST_TEST(it.fleet.Send(0, "GET", "/read/from-wages").status == 200);
  const std::lock_guard<std::mutex> lock(mutex);
  BOOST_TEST(caller == "wages");
}

// Heartbeats of a service that does not exist and for another address were
// acknowledged and ignored.
BOOST_AUTO_TEST_CASE(heartbeat_that_cannot_be_used_is_not_acknowledged) {
  PlatformFleet fleet("foreign_heartbeats", {"lots", "lots"});
  const auto post = [&fleet](const std::string& service, std::size_t address) {
    const std::string body =
        R"({"service":")" + service + R"(","addr":"127.0.0.1:)" +
        std::to_string(fleet.instance_port(address)) +
        R"(","zone":"a","version":"v1","capacity":20,"state":"draining",)"
        R"("born":1,"cold_left_ms":0,"sequence":1})";
    return fleet
        .PostControl(0, "/dogwoodrail/instances/i-other/heartbeat", body)
        .status;
  };
  BOOST_TEST(post("nobody", 0) == 409);
  BOOST_TEST(post("lots", 1) == 409);
  BOOST_TEST(post("lots", 0) == 200);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(fleet.Send(it, "GET", "/read/after").status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
