#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PATH_FIXTURE_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PATH_FIXTURE_H_

#include <string>
#include <vector>

#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {

constexpr std::uint32_t kHighRate = 10000;

// Routes and accounts of the path tests: lots (GET, idempotent), wages (POST,
// not idempotent, money), notices (open to all).
inline core::config::Ticket PathTicket() {
  core::config::Ticket ticket;
  for (const char* it : {"stitchers", "traders"}) {
    AddAccount(ticket, it, kHighRate, kHighRate);
  }
  AddRoute(ticket, "lots", "lots", core::base::Importance::kLookup, true);
  AddRoute(ticket, "wages", "wages", core::base::Importance::kMoney, false);
  AddRoute(ticket, "notices", "lots", core::base::Importance::kLookup, true)
      .open_to_all = true;
  return ticket;
}

// A VM with a backend server of the service.
inline VmSpec PathVm(const std::string& service, const std::string& zone) {
  VmSpec vm;
  vm.service = service;
  vm.zone = zone;
  return vm;
}

// Two VMs of lots and one of wages, so that VM 2 forwards lots requests to
// other nodes.
inline FleetSpec PathFleet(const std::string& name) {
  FleetSpec spec;
  spec.name = name;
  spec.ticket = PathTicket();
  spec.vms = {PathVm("lots", "a"), PathVm("lots", "b"), PathVm("wages", "c")};
  return spec;
}

// Number of executions of requests whose target contains the text.
inline std::size_t CountExecutions(const Fleet& fleet,
                                   const std::string& target) {
  std::size_t n = 0;
  for (const ExecutionRecord& it : fleet.Executions()) {
    if (it.target.find(target) != std::string::npos) ++n;
  }
  return n;
}

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PATH_FIXTURE_H_
