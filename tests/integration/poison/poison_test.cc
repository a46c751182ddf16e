// A request that crashes every backend server that executes it is blocked after
// at most 3 executions, even if it is resent with new idempotency keys.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRate = 10000;
constexpr int kSends = 8;
constexpr std::size_t kVms = 3;

FleetSpec PoisonFleet(const std::string& name, bool idempotent) {
  FleetSpec spec;
  spec.name = name;
  AddAccount(spec.ticket, "stitchers", kRate, kRate);
  AddAccount(spec.ticket, "traders", kRate, kRate);
  AddRoute(spec.ticket, "batches", "batches",
           core::base::Importance::kOperation, idempotent);
  const char* const zones[] = {"a", "b", "c"};
  for (std::size_t it = 0; it < kVms; ++it) {
    VmSpec vm;
    vm.service = "batches";
    vm.zone = zones[it];
    spec.vms.push_back(vm);
  }
  return spec;
}

std::size_t CountExecutionsOfTarget(const Fleet& fleet,
                                    const std::string& target) {
  std::size_t executions = 0;
  for (const ExecutionRecord& it : fleet.Executions()) {
    if (it.target == target) ++executions;
  }
  return executions;
}

// Restarts crashed backend servers, as a process supervisor would.
void RestartCrashedBackends(Fleet& fleet) {
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    if (!fleet.vm(it).backend().IsRunning()) fleet.vm(it).StartBackend();
  }
}

void CheckRequestIsBlocked(bool idempotent, const std::string& name) {
  Fleet fleet(PoisonFleet(name, idempotent));
  const std::string target = "/batches/crash-marker";
  RawResponse last;
  for (int it = 0; it < kSends; ++it) {
    last =
        SendRequest(fleet.vm(it % kVms).caller_port(),
                    MakeRequest("POST", target, "stitchers", "crash-marker"));
    // Rumours and announcements take about a second to reach all nodes.
    std::this_thread::sleep_for(milliseconds(200));
    RestartCrashedBackends(fleet);
    std::this_thread::sleep_for(milliseconds(1500));
  }
  const std::size_t executions = CountExecutionsOfTarget(fleet, target);
  BOOST_TEST_MESSAGE("crashes: " << executions);
  BOOST_TEST(executions >= 1U);
  BOOST_TEST(executions <= 3U);
  BOOST_TEST(last.JsonMember("reason") == "poison_request");
  BOOST_TEST(last.JsonMember("ran") == "not run");
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    BOOST_TEST(WaitUntil(seconds(5), [&] {
      return SendRequest(fleet.vm(vm).caller_port(),
                         MakeRequest("POST", "/batches/ok", "traders", "ok"))
                 .status == 200;
    }));
  }
}

BOOST_AUTO_TEST_SUITE(poison)

BOOST_AUTO_TEST_CASE(non_idempotent_request_is_stopped) {
  CheckRequestIsBlocked(false, "poison_non_idempotent");
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_stopped) {
  CheckRequestIsBlocked(true, "poison_idempotent");
}

// Guards against false positives: harmless requests run throughout, also while
// the backend servers crash.
BOOST_AUTO_TEST_CASE(harmless_requests_are_not_refused) {
  Fleet fleet(PoisonFleet("poison_innocents", true));
  std::atomic<bool> stop{false};
  std::atomic<int> refused{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  for (std::size_t n = 0; n < 4; ++n) {
    callers.emplace_back([&, n] {
      const std::string target = "/batches/ok-" + std::to_string(n);
      while (!stop) {
        const RawResponse response =
            SendRequest(fleet.vm(n % kVms).caller_port(),
                        MakeRequest("POST", target, "traders", "ok"));
        if (response.JsonMember("reason") == "poison_request") ++refused;
        if (response.status == 200) ++answered;
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  }
  for (int it = 0; it < kSends / 2; ++it) {
    SendRequest(
        fleet.vm(it % kVms).caller_port(),
        MakeRequest("POST", "/batches/bad", "stitchers", "crash-marker"));
    std::this_thread::sleep_for(milliseconds(200));
    RestartCrashedBackends(fleet);
    std::this_thread::sleep_for(milliseconds(1500));
  }
  stop = true;
  for (std::thread& it : callers) it.join();
  BOOST_TEST_MESSAGE("harmless answered: " << answered);
  BOOST_TEST(refused == 0);
  BOOST_TEST(answered > 100);
  BOOST_TEST(CountExecutionsOfTarget(fleet, "/batches/bad") <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
