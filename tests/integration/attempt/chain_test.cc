// The attempt limit of a request holds over a chain of three services, as
// counted at the backend servers.
#include <boost/test/unit_test.hpp>

#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

constexpr std::uint32_t kRate = 10000;
constexpr std::uint32_t kRouteMaxAttempts = 32;
constexpr int kHops = 3;

// batches calls lots, and lots calls menu.
FleetSpec ChainFleet(const std::string& name) {
  FleetSpec spec;
  spec.name = name;
  AddAccount(spec.ticket, "stitchers", kRate, kRate);
  const char* const services[] = {"batches", "lots", "menu"};
  const char* const next_paths[] = {"/lots/x", "/menu/x", ""};
  for (int it = 0; it < kHops; ++it) {
    VmSpec vm;
    vm.service = services[it];
    vm.next = next_paths[it];
    spec.vms.push_back(vm);
  }
  for (int it = 0; it < kHops; ++it) {
    AddRoute(spec.ticket, services[it], services[it],
             core::base::Importance::kLookup, true)
        .max_attempts = kRouteMaxAttempts;
  }
  return spec;
}

// Number of executions of one request on all backend servers.
int CountExecutionsOfRequest(const Fleet& fleet,
                             const std::string& request_id) {
  int executions = 0;
  for (const ExecutionRecord& it : fleet.Executions()) {
    if (it.request_id == request_id) ++executions;
  }
  return executions;
}

BOOST_AUTO_TEST_SUITE(chain)

BOOST_AUTO_TEST_CASE(executions_stay_within_the_callers_bound) {
  Fleet fleet(ChainFleet("attempt_bound"));
  for (int bound = 1; bound <= 5; ++bound) {
    RawRequest request = MakeRequest("GET", "/batches/x", "stitchers");
    request.AddHeader("Dogwood-Max-Attempts", std::to_string(bound));
    const RawResponse response =
        SendRequest(fleet.vm(2).caller_port(), request);
    const int executions =
        CountExecutionsOfRequest(fleet, response.Header("Dogwood-Request-Id"));
    BOOST_TEST_MESSAGE("bound " << bound << " executions " << executions);
    BOOST_TEST(executions >= 1);
    BOOST_TEST(executions <= bound);
    if (bound >= kHops) BOOST_TEST(executions == kHops);
  }
}

BOOST_AUTO_TEST_CASE(executions_stay_within_the_bound_while_the_last_fails) {
  Fleet fleet(ChainFleet("attempt_failing"));
  fleet.vm(2).ControlBackend(R"({"refuse":true})");
  for (int it = 0; it < 20; ++it) {
    constexpr int kBound = 6;
    RawRequest request = MakeRequest("GET", "/batches/x", "stitchers");
    request.AddHeader("Dogwood-Max-Attempts", std::to_string(kBound));
    const RawResponse response =
        SendRequest(fleet.vm(2).caller_port(), request);
    const int executions =
        CountExecutionsOfRequest(fleet, response.Header("Dogwood-Request-Id"));
    BOOST_TEST(executions <= kBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
