// Membership and distribution of the configuration between node processes.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "standins/common/json_func.h"
#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr std::uint32_t kHighRate = 10000;
// Upper bounds of "within seconds" for a drain and for a configuration change.
constexpr std::chrono::seconds kDrainTimeout{4};
constexpr std::chrono::seconds kActivationTimeout{12};

FleetSpec LotsFleet(const std::string& name) {
  FleetSpec spec;
  spec.name = "member-" + name;
  AddAccount(spec.ticket, "stitchers", kHighRate, kHighRate);
  AddAccount(spec.ticket, "traders", kHighRate, kHighRate);
  AddRoute(spec.ticket, "lots", "lots", core::base::Importance::kLookup, true);
  for (const char* zone : {"a", "b", "c"}) {
    VmSpec vm;
    vm.service = "lots";
    vm.zone = zone;
    spec.vms.push_back(vm);
  }
  return spec;
}

// Returns a ticket that withdraws the keys of an account.
core::config::Ticket KeyWithdrawalTicket(const FleetSpec& spec,
                                         const std::string& account) {
  core::config::Ticket ticket;
  for (core::config::KeyEntry it : spec.ticket.keys) {
    if (it.account.value() != account) continue;
    it.state = core::config::KeyState::kWithdrawn;
    ticket.keys.push_back(it);
  }
  return ticket;
}

int ResponseStatus(Vm& vm, const std::string& account) {
  return SendRequest(vm.caller_port(), MakeRequest("GET", "/lots/1", account))
      .status;
}

std::uint64_t ConfigurationNumberAt(Vm& vm) {
  RawRequest request;
  request.target = "/v1/status";
  const auto tree =
      standin::ParseJson(SendRequest(vm.operator_port(), request, 2s).body);
  return tree ? tree->get<std::uint64_t>("configuration", 0) : 0;
}

bool AllHaveConfiguration(Fleet& fleet, std::uint64_t number) {
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    if (!fleet.vm(it).node().IsRunning()) continue;
    if (ConfigurationNumberAt(fleet.vm(it)) != number) return false;
  }
  return true;
}

std::size_t ExecutionsAt(Fleet& fleet, std::size_t vm) {
  std::size_t n = 0;
  for (const ExecutionRecord& it : fleet.Executions()) {
    n += it.server_file == fleet.vm(vm).execution_file();
  }
  return n;
}

// Submits a ticket, waits until one node has it, then makes the platform refuse
// connections.
void SubmitThenStopPlatform(Fleet& fleet, core::config::Ticket ticket,
                            std::uint64_t number) {
  fleet.SubmitTicket(std::move(ticket));
  BOOST_REQUIRE(WaitUntil(5s, [&] {
    for (std::size_t it = 0; it < fleet.size(); ++it) {
      if (ConfigurationNumberAt(fleet.vm(it)) == number) return true;
    }
    return false;
  }));
  fleet.SetPlatformFault(R"({"away":"refuse"})");
}

// Returns a ticket that changes nothing that the tests look at.
core::config::Ticket HarmlessTicket(const FleetSpec& spec) {
  core::config::Ticket ticket;
  ticket.accounts.push_back(spec.ticket.accounts.front());
  return ticket;
}

// Puts the ticket in force as number 2 on all nodes, then brings the platform
// back from a copy that holds number 1. The versions given out for `other`
// further objects are lost too.
void LoseSecondTicket(Fleet& fleet, const core::config::Ticket& ticket,
                      std::size_t other) {
  fleet.SetPlatformFault(R"({"copy":"take"})");
  fleet.WriteOtherObject(other);
  fleet.SubmitTicket(ticket);
  BOOST_REQUIRE(WaitUntil(kActivationTimeout,
                          [&] { return AllHaveConfiguration(fleet, 2); }));
  fleet.SetPlatformFault(R"({"away":"refuse"})");
  std::this_thread::sleep_for(1s);
  fleet.SetPlatformFault(R"({"copy":"restore","away":"none"})");
  BOOST_REQUIRE(WaitUntil(5s, [&] { return fleet.IsPlatformReachable(); }));
}

}  // namespace dogwoodrail::integration

using namespace dogwoodrail::integration;  // NOLINT

BOOST_AUTO_TEST_SUITE(member)

BOOST_AUTO_TEST_CASE(a_draining_backend_server_gets_no_new_work) {
  Fleet fleet(LotsFleet("drain"));
  fleet.vm(1).ControlBackend(R"({"drain":true})");
  BOOST_TEST(fleet.WaitEndpoints(2, kDrainTimeout));
  const std::size_t before = ExecutionsAt(fleet, 1);
  for (int it = 0; it < 30; ++it) {
    BOOST_TEST(ResponseStatus(fleet.vm(it % 3), "stitchers") == 200);
  }
  BOOST_TEST(ExecutionsAt(fleet, 1) == before);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_is_known_within_seconds) {
  Fleet fleet(LotsFleet("stop"));
  fleet.vm(2).node().SendSignal(SIGTERM);
  BOOST_TEST(fleet.WaitEndpoints(2, kDrainTimeout));
  BOOST_TEST(ResponseStatus(fleet.vm(0), "stitchers") == 200);
}

BOOST_AUTO_TEST_CASE(killed_vm_is_removed_and_rejoins) {
  Fleet fleet(LotsFleet("vanish"));
  fleet.vm(2).node().Kill();
  BOOST_TEST(fleet.WaitEndpoints(2, 20s));
  fleet.RestartNode(2);
  BOOST_TEST(fleet.WaitEndpoints(3, 10s));
}

BOOST_AUTO_TEST_CASE(accepted_right_before_the_platform_goes_away) {
  const FleetSpec spec = LotsFleet("accepted");
  Fleet fleet(spec);
  BOOST_REQUIRE(AllHaveConfiguration(fleet, 1));
  RawConnection open(fleet.vm(1).caller_port());
  const RawRequest request = MakeRequest("GET", "/lots/1", "traders");
  open.Send(request.Serialize());
  BOOST_REQUIRE(open.ReadResponse(kRequestTimeout).status == 200);
  SubmitThenStopPlatform(fleet, KeyWithdrawalTicket(spec, "traders"), 2);
  BOOST_TEST(WaitUntil(kActivationTimeout,
                       [&] { return AllHaveConfiguration(fleet, 2); }));
  // The withdrawn key is refused on a connection opened before the change too.
  open.Send(request.Serialize());
  BOOST_TEST(open.ReadResponse(kRequestTimeout).status == 401);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(ResponseStatus(fleet.vm(it), "traders") == 401);
    BOOST_TEST(ResponseStatus(fleet.vm(it), "stitchers") == 200);
  }
  // A node that starts during the outage gets the configuration from its peers.
  fleet.vm(2).node().Kill();
  fleet.RestartNode(2);
  BOOST_TEST(WaitUntil(
      10s, [&] { return ResponseStatus(fleet.vm(2), "stitchers") == 200; }));
  BOOST_TEST(ConfigurationNumberAt(fleet.vm(2)) == 2u);
  BOOST_TEST(ResponseStatus(fleet.vm(2), "traders") == 401);
}

BOOST_AUTO_TEST_CASE(a_paused_node_serves_no_withdrawn_key) {
  const FleetSpec spec = LotsFleet("pause");
  Fleet fleet(spec);
  BOOST_REQUIRE(ResponseStatus(fleet.vm(1), "traders") == 200);
  fleet.vm(1).node().SendSignal(SIGSTOP);
  SubmitThenStopPlatform(fleet, KeyWithdrawalTicket(spec, "traders"), 2);
  BOOST_REQUIRE(WaitUntil(kActivationTimeout, [&] {
    return ConfigurationNumberAt(fleet.vm(0)) == 2;
  }));
  std::this_thread::sleep_for(3s);
  // The request waits in the socket buffer, so the resumed node reads it first.
  RawConnection waiting(fleet.vm(1).caller_port());
  waiting.Send(MakeRequest("GET", "/lots/late", "traders").Serialize());
  fleet.vm(1).node().SendSignal(SIGCONT);
  BOOST_TEST(waiting.ReadResponse(kRequestTimeout).status != 200);
  BOOST_TEST(WaitUntil(
      10s, [&] { return ResponseStatus(fleet.vm(1), "stitchers") == 200; }));
  BOOST_TEST(ResponseStatus(fleet.vm(1), "traders") == 401);
  for (const ExecutionRecord& it : fleet.Executions()) {
    BOOST_TEST(it.target != "/lots/late");
  }
}

// The next ticket gets an object version below that of the lost one.
BOOST_AUTO_TEST_CASE(ticket_after_a_return_from_an_older_copy_is_in_force) {
  const FleetSpec spec = LotsFleet("older-version");
  Fleet fleet(spec);
  LoseSecondTicket(fleet, HarmlessTicket(spec), 20);
  fleet.SubmitTicket(HarmlessTicket(spec));
  fleet.SubmitTicket(KeyWithdrawalTicket(spec, "traders"));
  BOOST_TEST(WaitUntil(kActivationTimeout,
                       [&] { return AllHaveConfiguration(fleet, 3); }));
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(ResponseStatus(fleet.vm(it), "traders") == 401);
    BOOST_TEST(ResponseStatus(fleet.vm(it), "stitchers") == 200);
  }
}

// The number of the lost ticket is given to one that withdraws a key. Nodes do
// not take a second ticket by that number, but the next one holds its effect.
BOOST_AUTO_TEST_CASE(ticket_with_the_number_of_a_lost_one_is_not_left_out) {
  const FleetSpec spec = LotsFleet("older-number");
  Fleet fleet(spec);
  LoseSecondTicket(fleet, HarmlessTicket(spec), 0);
  fleet.SubmitTicket(KeyWithdrawalTicket(spec, "traders"));
  fleet.SubmitTicket(HarmlessTicket(spec));
  BOOST_TEST(WaitUntil(kActivationTimeout,
                       [&] { return AllHaveConfiguration(fleet, 3); }));
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(ResponseStatus(fleet.vm(it), "traders") == 401);
    BOOST_TEST(ResponseStatus(fleet.vm(it), "stitchers") == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()
