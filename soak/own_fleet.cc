#include <csignal>
#include <memory>

#include "soak/soak_fleet.h"
#include "tests/integration/common/path_fixture.h"

namespace dogwoodrail::soak {
namespace {

using integration::Fleet;
using integration::RawRequest;
using integration::RawResponse;

constexpr int kServiceTimeMs = 40;
constexpr int kTickets = 4;
constexpr std::uint32_t kRate = 10000;
constexpr const char* kCrashTarget = "/lots/crash-marker";

integration::FleetSpec MakeSpec(const std::string& name, std::size_t size) {
  integration::FleetSpec spec;
  spec.name = name;
  spec.ticket = integration::PathTicket();
  for (std::size_t it = 0; it < size; ++it) {
    auto vm = integration::PathVm(it % 2 == 0 ? "lots" : "wages",
                                  it % 4 < 2 ? "a" : "b");
    vm.service_time_ms = kServiceTimeMs;
    spec.vms.push_back(vm);
  }
  return spec;
}

// Each ticket changes the rate of the accounts, by little and far above what
// the callers send.
void SubmitTickets(const Fleet& fleet, const Fault& fault) {
  for (int it = 0; it < kTickets; ++it) {
    core::config::Ticket ticket;
    const auto rate = kRate + static_cast<std::uint32_t>(fault.gap.count());
    integration::AddAccount(ticket, "stitchers", rate + 2 * it, rate);
    integration::AddAccount(ticket, "traders", rate + 2 * it + 1, rate);
    fleet.SubmitTicket(std::move(ticket));
  }
}

}  // namespace

SoakFleet MakeOwnFleet(const std::string& name, std::size_t size) {
  const auto fleet = std::make_shared<Fleet>(MakeSpec(name, size));
  SoakFleet soak;
  soak.size = size;
  soak.directory = fleet->directory();
  soak.faults = FaultsBefore(FaultKind::kOddEntry);
  soak.caller_port = [fleet](std::size_t vm) {
    return fleet->vm(vm).caller_port();
  };
  soak.node = [fleet](std::size_t vm) -> integration::Process& {
    return fleet->vm(vm).node();
  };
  soak.node_log = [fleet](std::size_t vm) { return fleet->vm(vm).node_log(); };
  soak.restart_node = [fleet](std::size_t vm) { fleet->RestartNode(vm); };
  soak.end_backend = [fleet](std::size_t vm) {
    fleet->vm(vm).backend().SendSignal(SIGTERM);
  };
  soak.ensure_backend = [fleet](std::size_t vm) {
    if (!fleet->vm(vm).backend().IsRunning()) fleet->vm(vm).StartBackend();
  };
  soak.change_config = [fleet](const Fault& fault) {
    SubmitTickets(*fleet, fault);
  };
  soak.follows_config = [](std::size_t) { return true; };
  soak.make_request = [](bool idempotent, const std::string& request) {
    return idempotent ? integration::MakeRequest("GET", "/lots/" + request,
                                                 "stitchers")
                      : integration::MakeRequest("POST", "/wages/" + request,
                                                 "traders", request);
  };
  soak.make_crash_request = [] {
    return integration::MakeRequest("GET", kCrashTarget, "stitchers");
  };
  soak.judge = [](const RawResponse& response, const RawRequest& request) {
    return ResponseFacts{response.Header("Dogwood-Ran") == "not run",
                         integration::IsExpectedResponse(response, request)};
  };
  soak.count_runs = [fleet] {
    RunCounts runs;
    runs.crash_target = kCrashTarget;
    for (const auto& it : fleet->Executions()) ++runs.by_target[it.target];
    return runs;
  };
  return soak;
}

}  // namespace dogwoodrail::soak
