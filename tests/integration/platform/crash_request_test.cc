// Requests that crash each instance that begins to run them, on the platform's
// adapter with the settings of deploy/node.ini.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr int kSends = 10;
constexpr milliseconds kSendInterval{1200};
// RULES.md: the bound of the platform for a decision to be in force.
constexpr milliseconds kStableTime{3000};
constexpr std::size_t kMaxLateRuns = 3;

const std::vector<std::string> services(4, "lots");

// Returns the number of runs later than kStableTime after the third crash.
std::size_t CountLateRuns(PlatformFleet& fleet, const std::string& target) {
  std::vector<Clock::time_point> runs;
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    for (const auto at : fleet.instance(it).Runs(target)) runs.push_back(at);
  }
  std::sort(runs.begin(), runs.end());
  if (runs.size() < 3) return 0;
  const auto end = runs[2] + kStableTime;
  return static_cast<std::size_t>(std::count_if(
      runs.begin(), runs.end(), [end](const auto at) { return at > end; }));
}

void CheckRequestIsStopped(const std::string& name, const std::string& method,
                           const std::string& target) {
  PlatformFleet fleet(name, services);
  RawResponse last;
  for (int it = 0; it < kSends; ++it) {
    last = fleet.Send(it % fleet.size(), method, target, "same body");
    std::this_thread::sleep_for(kSendInterval);
  }
  BOOST_TEST_MESSAGE("runs: " << fleet.CountRuns(target));
  BOOST_TEST(fleet.CountRuns(target) >= 1U);
  BOOST_TEST(CountLateRuns(fleet, target) <= kMaxLateRuns);
  BOOST_TEST(last.status == 503);
  // Another request of the same caller goes through.
  BOOST_TEST(WaitUntil(seconds(5), [&] {
    return fleet.Send(0, method, "/read/other", "other body").status == 200;
  }));
}

// Kills all nodes and starts them again.
void RestartAllNodes(PlatformFleet& fleet) {
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.node(it).Kill();
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.StartNode(it);
  BOOST_TEST(fleet.WaitServing(seconds(10)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_request)

BOOST_AUTO_TEST_CASE(request_under_which_three_instances_ended_runs_no_more) {
  CheckRequestIsStopped("crash_idempotent", "GET", "/read/crash");
}

BOOST_AUTO_TEST_CASE(non_idempotent_request_that_crashes_runs_no_more) {
  CheckRequestIsStopped("crash_non_idempotent", "POST", "/write/crash");
}

// A node that starts later learns of the block, also while the store is away;
// the log leads from the refused request to the crashes.
BOOST_AUTO_TEST_CASE(restarted_node_refuses_and_its_log_names_the_crashes) {
  PlatformFleet fleet("crash_restart", services);
  const std::string target = "/write/crash";
  for (int it = 0; it < 4; ++it) {
    fleet.Send(it, "POST", target, "same body");
    std::this_thread::sleep_for(kSendInterval);
  }
  const std::size_t runs = fleet.CountRuns(target);
  BOOST_TEST(runs == 3U);
  fleet.StartNode(1);
  BOOST_REQUIRE(fleet.WaitServing(seconds(10)));
  std::this_thread::sleep_for(kStableTime);
  const RawRequest request = fleet.MakeRequest("POST", target, "same body");
  const RawResponse response = SendRequest(fleet.caller_port(1), request);
  BOOST_TEST(response.status == 503);
  BOOST_TEST(!response.Header("Retry-After").empty());
  BOOST_TEST(fleet.CountRuns(target) == runs);
  BOOST_TEST(fleet.Metric(1, "dogwoodrail_poison_blocked") == 1);
  BOOST_TEST(fleet.Metric(1, "dogwoodrail_poison_refused_total") == 1);
  const std::string id = response.Header("Attempt-Id");
  const std::string refusal = fleet.WaitLogLine(1, " 102 ", id);
  const std::size_t mark = refusal.find("fingerprint=");
  BOOST_REQUIRE(mark != std::string::npos);
  const std::string fingerprint = refusal.substr(mark);
  const std::string block = fleet.WaitLogLine(1, " 702 ", fingerprint);
  BOOST_TEST(block.find(" node=127.0.0.1:") != std::string::npos);
  BOOST_TEST(block.find(" age_ms=") != std::string::npos);
}

// A blocked request crashed three more instances after each loss of all nodes.
BOOST_AUTO_TEST_CASE(block_outlives_the_end_of_all_nodes) {
  PlatformFleet fleet("crash_kill_all", services);
  const std::string target = "/write/crash";
  for (int it = 0; it < 4; ++it) {
    fleet.Send(it, "POST", target, "same body");
    std::this_thread::sleep_for(kSendInterval);
  }
  BOOST_TEST(fleet.CountRuns(target) == 3U);
  for (int kill = 0; kill < 2; ++kill) {
    RestartAllNodes(fleet);
    for (int it = 0; it < 4; ++it) {
      BOOST_TEST(fleet.Send(it, "POST", target, "same body").status == 503);
    }
    BOOST_TEST(fleet.CountRuns(target) == 3U);
    const std::string line = fleet.WaitLogLine(0, " 704 ", "by=store");
    BOOST_TEST(!line.empty());
  }
  BOOST_TEST(fleet.Send(0, "POST", "/write/other", "b").status == 200);
}

// Each life of the nodes saw two crashes, so that no node ever knew of three.
BOOST_AUTO_TEST_CASE(crashes_of_several_lives_of_all_nodes_add_up) {
  PlatformFleet fleet("crash_kill_between", services);
  const std::string target = "/write/crash";
  for (int life = 0; life < 4; ++life) {
    for (int it = 0; it < 2; ++it) {
      fleet.Send(it, "POST", target, "same body");
      std::this_thread::sleep_for(kSendInterval);
    }
    RestartAllNodes(fleet);
  }
  BOOST_TEST(fleet.CountRuns(target) == 3U);
  BOOST_TEST(fleet.Send(0, "POST", target, "same body").status == 503);
}

// A service has been mended: an operator lifts the block, on all nodes and for
// those that start later.
BOOST_AUTO_TEST_CASE(block_is_lifted_by_hand) {
  PlatformFleet fleet("crash_release", services);
  const std::string target = "/write/crash";
  for (int it = 0; it < 3; ++it) {
    fleet.Send(it, "POST", target, "same body");
    std::this_thread::sleep_for(kSendInterval);
  }
  BOOST_TEST(fleet.Send(3, "POST", target, "same body").status == 503);
  const std::string line = fleet.WaitLogLine(3, " 702 ", "fingerprint=");
  constexpr std::size_t kDigits = 32;
  const std::string mark = "fingerprint=";
  const std::string fingerprint =
      line.substr(line.find(mark) + mark.size(), kDigits);
  const char* path = "/v1/poison/release";
  BOOST_TEST(fleet.PostOperator(0, path, "x").status == 400);
  BOOST_TEST(fleet.PostOperator(0, path, std::string(kDigits, '0')).status ==
             404);
  BOOST_TEST(fleet.PostOperator(0, path, fingerprint).status == 200);
  const auto is_blocked = [&fleet](std::size_t it) {
    return fleet.Metric(it, "dogwoodrail_poison_blocked") != 0;
  };
  BOOST_TEST(WaitUntil(kStableTime, [&] {
    return !is_blocked(0) && !is_blocked(1) && !is_blocked(2) && !is_blocked(3);
  }));
  std::this_thread::sleep_for(milliseconds(500));
  RestartAllNodes(fleet);
  BOOST_TEST(fleet.Metric(0, "dogwoodrail_poison_suspects") == 0);
}

// The store is away at the crashes and comes back before the nodes end.
BOOST_AUTO_TEST_CASE(block_is_kept_once_the_store_returns) {
  PlatformFleet fleet("crash_store_away", services);
  const std::string target = "/write/crash";
  fleet.store().SetAvailable(false);
  for (int it = 0; it < 4; ++it) {
    fleet.Send(it, "POST", target, "same body");
    std::this_thread::sleep_for(kSendInterval);
  }
  const std::size_t runs = fleet.CountRuns(target);
  BOOST_TEST(runs == 3U);
  fleet.store().SetAvailable(true);
  std::this_thread::sleep_for(kStableTime);
  RestartAllNodes(fleet);
  BOOST_TEST(fleet.Send(0, "POST", target, "same body").status == 503);
  BOOST_TEST(fleet.CountRuns(target) == runs);
}

// The instance falls silent in place of closing its connections.
BOOST_AUTO_TEST_CASE(request_under_which_instances_fall_silent_runs_no_more) {
  PlatformFleet fleet("crash_silent", services);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetSilentCrash(true);
    fleet.instance(it).SetDownTime(milliseconds(1500));
  }
  const std::string target = "/read/crash";
  for (int it = 0; it < 8; ++it) {
    fleet.Send(it % fleet.size(), "GET", target);
    std::this_thread::sleep_for(milliseconds(300));
  }
  BOOST_TEST_MESSAGE("runs: " << fleet.CountRuns(target));
  BOOST_TEST(CountLateRuns(fleet, target) <= kMaxLateRuns);
  BOOST_TEST(fleet.Send(0, "GET", target).status == 503);
}

// The node beside the instance ends together with it, so that only the entry
// knows that the request may have run.
BOOST_AUTO_TEST_CASE(request_that_takes_nodes_with_it_runs_no_more) {
  PlatformFleet fleet("crash_with_node", services);
  const std::string target = "/write/crash";
  for (int it = 0; it < 8; ++it) {
    const std::size_t runs = fleet.CountRuns(target);
    RawConnection entry(fleet.caller_port(0));
    BOOST_REQUIRE(
        entry.Send(fleet.MakeRequest("POST", target, "b").Serialize()));
    const auto has_run = [&] { return fleet.CountRuns(target) > runs; };
    if (!WaitUntil(seconds(1), has_run)) continue;
    for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
      if (!fleet.instance(vm).IsUp()) fleet.node(vm).Kill();
    }
    std::this_thread::sleep_for(milliseconds(900));
    for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
      if (!fleet.node(vm).IsRunning()) fleet.StartNode(vm);
    }
    BOOST_TEST(fleet.WaitServing(seconds(10)));
  }
  BOOST_TEST_MESSAGE("runs: " << fleet.CountRuns(target));
  BOOST_TEST(CountLateRuns(fleet, target) <= kMaxLateRuns);
  BOOST_TEST(fleet.Send(0, "POST", target, "b").status == 503);
}

// The same GET of one account is in flight at every end of all instances.
BOOST_AUTO_TEST_CASE(popular_request_is_served_while_instances_end) {
  PlatformFleet fleet("crash_harmless", services);
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    clients.emplace_back([&fleet, &stop, &served, it] {
      const RawRequest request = fleet.MakeRequest("GET", "/read/popular");
      while (!stop) {
        if (SendRequest(fleet.caller_port(it), request).status == 200) {
          ++served;
        }
      }
    });
  }
  for (int it = 0; it < 6; ++it) {
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
      fleet.instance(vm).Crash();
    }
    std::this_thread::sleep_for(milliseconds(1500));
  }
  stop = true;
  for (std::thread& it : clients) it.join();
  BOOST_TEST_MESSAGE("served: " << served);
  BOOST_TEST(served > 100);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(fleet.Metric(it, "dogwoodrail_poison_refused_total") == 0);
    BOOST_TEST(fleet.LogLine(it, " 702 ", "").empty());
  }
  BOOST_TEST(fleet.Send(0, "GET", "/read/popular").status == 200);
}

// The same while all nodes are killed, too: what they keep of crashes must not
// turn against a request that is sound.
BOOST_AUTO_TEST_CASE(popular_request_is_served_while_all_nodes_end) {
  PlatformFleet fleet("crash_harmless_kill", services);
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    clients.emplace_back([&fleet, &stop, &served, it] {
      const RawRequest request = fleet.MakeRequest("GET", "/read/popular");
      while (!stop) {
        if (SendRequest(fleet.caller_port(it), request).status == 200) {
          ++served;
        } else {
          std::this_thread::sleep_for(milliseconds(20));
        }
      }
    });
  }
  for (int round = 0; round < 4; ++round) {
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
      fleet.instance(vm).Crash();
    }
    std::this_thread::sleep_for(milliseconds(300));
    RestartAllNodes(fleet);
    std::this_thread::sleep_for(milliseconds(200));
  }
  stop = true;
  for (std::thread& it : clients) it.join();
  BOOST_TEST(served > 100);
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(fleet.LogLine(it, " 702 ", "").empty());
  }
  BOOST_TEST(fleet.Send(0, "GET", "/read/popular").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
