#ifndef DOGWOODRAIL_TESTS_INTEGRATION_ONCE_ONCE_FIXTURE_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_ONCE_ONCE_FIXTURE_H_

#include <map>
#include <string>
#include <vector>

#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {

constexpr std::uint32_t kOnceRate = 10000;

// A fleet in which every VM serves the non-idempotent route "wages".
inline FleetSpec OnceFleet(const std::string& name, std::size_t vms,
                           int service_time_ms) {
  FleetSpec spec;
  spec.name = name;
  AddAccount(spec.ticket, "stitchers", kOnceRate, kOnceRate);
  AddRoute(spec.ticket, "wages", "wages", core::base::Importance::kMoney,
           false);
  const char* const zones[] = {"a", "b", "c"};
  for (std::size_t it = 0; it < vms; ++it) {
    VmSpec vm;
    vm.service = "wages";
    vm.zone = zones[it % 3];
    vm.service_time_ms = service_time_ms;
    spec.vms.push_back(vm);
  }
  return spec;
}

// Returns a wage request with a new Idempotency-Key. Resend the same object to
// reuse the key.
inline RawRequest MakeWageRequest(const std::string& name) {
  return MakeRequest("POST", "/wages/" + name, "stitchers", name);
}

// Number of executions by target; each wage request has a unique target.
inline std::map<std::string, int> ExecutionsByTarget(const Fleet& fleet) {
  std::map<std::string, int> executions;
  for (const ExecutionRecord& it : fleet.Executions()) ++executions[it.target];
  return executions;
}

// Number of executions of a request.
inline int CountExecutionsOf(const Fleet& fleet, const RawRequest& request) {
  return ExecutionsByTarget(fleet)[request.target];
}

// True if the response tells the final outcome of the request: success, or
// outcome unknown.
inline bool IsFinalResponse(const RawResponse& response) {
  return response.complete &&
         (response.status == 200 ||
          response.JsonMember("reason") == "duplicate_outcome_unknown");
}

// Resends the request to the node until the response is final.
inline RawResponse SendUntilFinal(Fleet& fleet, std::size_t vm,
                                  const RawRequest& request,
                                  std::chrono::milliseconds timeout) {
  RawResponse response;
  WaitUntil(timeout, [&] {
    response = SendRequest(fleet.vm(vm).caller_port(), request);
    return IsFinalResponse(response);
  });
  return response;
}

// Waits until each node can get claims for keys of many shards.
inline bool WaitClaimsGranted(Fleet& fleet) {
  constexpr int kKeys = 40;
  for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
    for (int it = 0; it < kKeys; ++it) {
      const std::string name =
          "warm-" + std::to_string(vm) + "-" + std::to_string(it);
      const bool ran = WaitUntil(std::chrono::seconds(10), [&] {
        return SendRequest(fleet.vm(vm).caller_port(), MakeWageRequest(name))
                   .status == 200;
      });
      if (!ran) return false;
    }
  }
  return true;
}

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_ONCE_ONCE_FIXTURE_H_
