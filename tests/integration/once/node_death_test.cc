// Requests with an Idempotency-Key run at most once when nodes are killed,
// paused or restarted before, during or after the execution.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "tests/integration/once/once_fixture.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServiceTimeMs = 400;
constexpr int kRequests = 24;

// The node to kill and the delay after sending requests of about 400 ms.
struct KillCase {
  const char* name;
  const char* directory;
  std::size_t vm;  // 0 is the entry node; the others may execute the request
  milliseconds after;
};

std::ostream& operator<<(std::ostream& out, const KillCase& kill) {
  return out << kill.name;
}

constexpr KillCase kKillCases[] = {
    {"entry before the run", "entry_before", 0, milliseconds(1)},
    {"entry while it runs", "entry_while", 0, milliseconds(150)},
    {"entry after the run", "entry_after", 0, milliseconds(460)},
    {"another node before the run", "other_before", 1, milliseconds(1)},
    {"another node while it runs", "other_while", 1, milliseconds(150)},
    {"another node after the run", "other_after", 1, milliseconds(460)},
};

// Returns wage requests, each with a unique key and target.
std::vector<RawRequest> MakeWageRequests(const std::string& name) {
  std::vector<RawRequest> requests;
  requests.reserve(kRequests);
  for (int it = 0; it < kRequests; ++it) {
    requests.push_back(MakeWageRequest(name + "-" + std::to_string(it)));
  }
  return requests;
}

void CheckNoneExecutedTwice(const Fleet& fleet) {
  for (const auto& [target, executions] : ExecutionsByTarget(fleet)) {
    BOOST_TEST(executions <= 1,
               target << " executed " << executions << " times");
  }
}

BOOST_AUTO_TEST_SUITE(node_death)

BOOST_DATA_TEST_CASE(killed_node_causes_no_second_run,
                     boost::unit_test::data::make(kKillCases), kill) {
  Fleet fleet(
      OnceFleet(std::string("once_kill_") + kill.directory, 3, kServiceTimeMs));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  const std::vector<RawRequest> requests = MakeWageRequests("kill");
  std::vector<std::future<RawResponse>> calls;
  calls.reserve(requests.size());
  for (const RawRequest& it : requests) {
    const std::uint16_t port = fleet.vm(0).caller_port();
    calls.push_back(
        std::async(std::launch::async, [=] { return SendRequest(port, it); }));
  }
  std::this_thread::sleep_for(kill.after);
  fleet.vm(kill.vm).node().Kill();
  std::vector<std::future<RawResponse>> resends;
  resends.reserve(requests.size());
  for (const RawRequest& it : requests) {
    resends.push_back(std::async(std::launch::async, [&fleet, it] {
      return SendUntilFinal(fleet, 2, it, seconds(12));
    }));
  }
  for (auto& call : calls) call.get();
  int ran = 0;
  for (auto& call : resends) {
    if (call.get().status == 200) ++ran;
  }
  BOOST_TEST_MESSAGE(kill.name << ": " << ran << " of " << kRequests
                               << " reported as executed");
  CheckNoneExecutedTwice(fleet);
}

BOOST_AUTO_TEST_CASE(resends_have_an_outcome_within_seconds_of_a_kill) {
  Fleet fleet(OnceFleet("once_kill_recovery", 3, kServiceTimeMs));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  std::vector<std::future<RawResponse>> resends;
  fleet.vm(0).node().Kill();
  for (const RawRequest& it : MakeWageRequests("recovery")) {
    resends.push_back(std::async(std::launch::async, [&fleet, it] {
      return SendUntilFinal(fleet, 2, it, seconds(12));
    }));
  }
  for (auto& call : resends) {
    const RawResponse response = call.get();
    BOOST_TEST(IsFinalResponse(response),
               "status " << response.status << response.body);
  }
}

BOOST_AUTO_TEST_CASE(loss_of_any_single_node_keeps_the_responses) {
  for (std::size_t killed = 1; killed < 3; ++killed) {
    Fleet fleet(OnceFleet("once_single_loss_" + std::to_string(killed), 3, 5));
    BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
    const std::vector<RawRequest> requests = MakeWageRequests("single");
    for (const RawRequest& it : requests) {
      BOOST_TEST(
          IsExpectedResponse(SendRequest(fleet.vm(0).caller_port(), it), it));
    }
    std::this_thread::sleep_for(milliseconds(300));
    fleet.vm(killed).node().Kill();
    for (const RawRequest& it : requests) {
      const RawResponse resent = SendUntilFinal(fleet, 0, it, seconds(15));
      BOOST_TEST(IsExpectedResponse(resent, it),
                 it.target << " " << resent.body);
      BOOST_TEST(CountExecutionsOf(fleet, it) == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(loss_of_two_nodes_and_restart_runs_nothing_again) {
  Fleet fleet(OnceFleet("once_double_loss", 3, 5));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  const std::vector<RawRequest> requests = MakeWageRequests("double");
  for (const RawRequest& it : requests) {
    BOOST_TEST(
        IsExpectedResponse(SendRequest(fleet.vm(0).caller_port(), it), it));
  }
  fleet.vm(0).node().Kill();
  fleet.vm(1).node().Kill();
  fleet.RestartNode(0);
  fleet.RestartNode(1);
  int unknown = 0;
  for (const RawRequest& it : requests) {
    const RawResponse resent = SendUntilFinal(fleet, 0, it, seconds(20));
    BOOST_TEST(IsFinalResponse(resent), it.target << " " << resent.body);
    if (resent.status != 200) ++unknown;
    BOOST_TEST(CountExecutionsOf(fleet, it) == 1);
  }
  BOOST_TEST_MESSAGE("outcome unknown: " << unknown << " of " << kRequests);
}

BOOST_AUTO_TEST_CASE(resumed_shard_owner_grants_nothing) {
  Fleet fleet(OnceFleet("once_paused", 3, 5));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  const std::vector<RawRequest> requests = MakeWageRequests("paused");
  fleet.vm(1).node().SendSignal(SIGSTOP);
  std::vector<std::future<RawResponse>> calls;
  calls.reserve(requests.size());
  for (const RawRequest& it : requests) {
    calls.push_back(std::async(std::launch::async, [&fleet, it] {
      return SendUntilFinal(fleet, 0, it, seconds(12));
    }));
  }
  std::this_thread::sleep_for(seconds(4));
  fleet.vm(1).node().SendSignal(SIGCONT);
  for (const RawRequest& it : requests) {
    SendRequest(fleet.vm(1).caller_port(), it);
  }
  for (auto& call : calls) call.get();
  CheckNoneExecutedTwice(fleet);
}

BOOST_AUTO_TEST_CASE(not_run_is_true_under_overload_and_kills) {
  FleetSpec spec = OnceFleet("once_not_run", 3, 100);
  for (VmSpec& it : spec.vms) it.slots = 2;
  Fleet fleet(std::move(spec));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  std::vector<std::future<RawResponse>> calls;
  for (int it = 0; it < 150; ++it) {
    const RawRequest request = MakeWageRequest("load-" + std::to_string(it));
    const std::uint16_t port = fleet.vm(it % 2).caller_port();
    calls.push_back(std::async(std::launch::async,
                               [=] { return SendRequest(port, request); }));
  }
  std::this_thread::sleep_for(milliseconds(200));
  fleet.vm(2).node().Kill();
  std::map<std::string, std::string> refused;  // request id -> reason
  for (auto& call : calls) {
    const RawResponse response = call.get();
    if (response.Header("Dogwood-Ran") != "not run") continue;
    refused[response.Header("Dogwood-Request-Id")] =
        response.JsonMember("reason");
  }
  BOOST_TEST_MESSAGE("refused as not run: " << refused.size());
  BOOST_TEST(!refused.empty());
  for (const ExecutionRecord& it : fleet.Executions()) {
    const auto refusal = refused.find(it.request_id);
    BOOST_TEST((refusal == refused.end()),
               it.target << " executed, but refused as "
                         << (refusal == refused.end() ? "" : refusal->second));
  }
  CheckNoneExecutedTwice(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
