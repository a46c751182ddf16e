// Network faults between nodes, and between a node and its backend server,
// while traffic runs.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <thread>

#include "tests/integration/common/path_fixture.h"
#include "tests/integration/common/traffic.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWarmUp{300};
constexpr milliseconds kFaultDuration{1200};
constexpr milliseconds kRecoveryTimeout{4000};  // "within seconds"
constexpr std::size_t kRequestsAfterRecovery = 100;
constexpr int kRecoveryCalls = 10;
constexpr int kCallers = 4;
constexpr std::size_t kEntryVm = 4;

// A fault and the control requests that start and end it.
struct LinkFault {
  const char* name;
  const char* begin;
  const char* end;
};

std::ostream& operator<<(std::ostream& out, const LinkFault& fault) {
  return out << fault.name;
}

const std::vector<LinkFault>& LinkFaults() {
  static const std::vector<LinkFault> faults = {
      {"delay", R"({"delay_ms":30})", R"({"delay_ms":0})"},
      {"cut", R"({"cut":true})", "{}"},
      {"refuse and cut", R"({"refuse":true,"cut":true})",
       R"({"refuse":false})"},
      {"responses dropped", R"({"drop_answers":10})", R"({"drop_answers":0})"},
      {"responses truncated", R"({"truncate":10})", R"({"truncate":0})"},
      {"silent connections", R"({"freeze":true})", "{}"},
      {"silent towards the target", R"({"silence_to_target":true})",
       R"({"silence_to_target":false})"},
      {"silent towards the caller", R"({"silence_to_caller":true})",
       R"({"silence_to_caller":false})"},
  };
  return faults;
}

// Two VMs of each service behind proxies, and an entry node without a proxy.
FleetSpec ProxiedFleet(const std::string& name, bool peer, bool backend) {
  FleetSpec spec;
  spec.name = name;
  spec.ticket = PathTicket();
  spec.vms = {PathVm("lots", "a"), PathVm("lots", "b"), PathVm("wages", "a"),
              PathVm("wages", "b"), PathVm("entry", "c")};
  for (VmSpec& it : spec.vms) {
    it.proxy_peer = peer && it.service != "entry";
    it.proxy_backend = backend && it.service != "entry";
  }
  return spec;
}

using FaultControl = std::function<void(const std::string&)>;

TrafficSpec MakeTrafficSpec(const Fleet& fleet, const std::string& method,
                            const std::string& prefix) {
  TrafficSpec spec;
  spec.ports = {fleet.vm(kEntryVm).caller_port()};
  spec.callers = kCallers;
  spec.method = method;
  spec.prefix = prefix;
  return spec;
}

// Waits until kRecoveryCalls GET and POST requests in a row get the expected
// response.
bool WaitRecovered(const Fleet& fleet) {
  return WaitUntil(kRecoveryTimeout, [&fleet] {
    for (int it = 0; it < kRecoveryCalls; ++it) {
      const RawRequest get = MakeRequest("GET", "/lots/probe", "traders");
      const RawRequest post = MakeRequest("POST", "/wages/probe", "traders");
      const std::uint16_t port = fleet.vm(kEntryVm).caller_port();
      if (!IsExpectedResponse(SendRequest(port, get), get)) return false;
      if (!IsExpectedResponse(SendRequest(port, post), post)) return false;
    }
    return true;
  });
}

void CheckRecords(const Fleet& fleet, const std::vector<TrafficRecord>& records,
                  milliseconds recovered_at) {
  for (const std::string& it : FindViolations(fleet, records)) {
    BOOST_ERROR(it);
  }
  BOOST_TEST(CountSent(records, recovered_at) > 0U);
  BOOST_TEST(CountExpectedResponses(records, recovered_at) ==
             CountSent(records, recovered_at));
  BOOST_TEST_MESSAGE(CountExpectedResponses(records, milliseconds(0))
                     << " expected responses of " << records.size());
}

// Runs traffic through the entry node while `control` starts and ends the
// fault. The guarantees of FindViolations hold throughout, and all requests
// succeed after the recovery.
void CheckFault(const Fleet& fleet, const LinkFault& fault,
                const FaultControl& control) {
  Traffic gets(MakeTrafficSpec(fleet, "GET", "/lots"));
  Traffic posts(MakeTrafficSpec(fleet, "POST", "/wages"));
  std::this_thread::sleep_for(kWarmUp);
  control(fault.begin);
  std::this_thread::sleep_for(kFaultDuration);
  control(fault.end);
  BOOST_TEST(WaitRecovered(fleet));
  const milliseconds recovered_at = gets.Now();
  // A caller whose request hit a silent connection continues after its timeout.
  BOOST_TEST(gets.WaitForRequests(kRequestsAfterRecovery, recovered_at,
                                  kRequestTimeout));
  BOOST_TEST(posts.WaitForRequests(kRequestsAfterRecovery, recovered_at,
                                   kRequestTimeout));
  CheckRecords(fleet, gets.Stop(), recovered_at);
  CheckRecords(fleet, posts.Stop(), recovered_at);
}

BOOST_AUTO_TEST_SUITE(links)

BOOST_DATA_TEST_CASE(node_to_node, LinkFaults(), fault) {
  Fleet fleet(ProxiedFleet("node_to_node", true, false));
  const auto control = [&fleet](const std::string& json) {
    for (std::size_t it = 0; it < kEntryVm; ++it) {
      fleet.vm(it).peer_proxy()->SetFaults(json);
    }
  };
  CheckFault(fleet, fault, control);
}

BOOST_DATA_TEST_CASE(node_to_backend, LinkFaults(), fault) {
  Fleet fleet(ProxiedFleet("node_to_backend", false, true));
  const auto control = [&fleet](const std::string& json) {
    for (std::size_t it = 0; it < kEntryVm; ++it) {
      fleet.vm(it).backend_proxy()->SetFaults(json);
    }
  };
  CheckFault(fleet, fault, control);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
