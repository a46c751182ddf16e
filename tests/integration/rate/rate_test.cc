// The rate and burst of an account hold across several nodes, as measured at
// the backend servers, while rate grantors and the platform fail.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <thread>
#include <vector>

#include "core/shard/shard_func.h"
#include "standins/common/json_func.h"
#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kAccount[] = "stitchers";
constexpr std::uint32_t kRate = 40;
constexpr std::uint32_t kBurst = 40;
constexpr std::size_t kVms = 3;
constexpr std::uint32_t kShards = 64;
// Upper bound of the time between admission and arrival at the backend server.
constexpr milliseconds kForwardingDelay{300};
constexpr seconds kFailoverTimeout{5};

FleetSpec RateFleetSpec(const std::string& name) {
  FleetSpec spec;
  spec.name = name;
  AddAccount(spec.ticket, kAccount, kRate, kBurst);
  AddRoute(spec.ticket, "lots", "lots", core::base::Importance::kLookup, true)
      .max_attempts = 1;
  for (std::size_t it = 0; it < kVms; ++it) {
    VmSpec vm;
    vm.service = "lots";
    vm.zone = std::string(1, static_cast<char>('a' + it));
    vm.slots = 50;
    spec.vms.push_back(vm);
  }
  return spec;
}

struct RequestCounts {
  std::atomic<int> calls{0};
  std::atomic<int> admitted{0};
  std::atomic<int> refused{0};  // 429 or 503
};

// Sends requests to every node, one thread per node, until destroyed.
class Callers {
 public:
  Callers(Fleet* fleet, milliseconds pause) {
    for (std::size_t it = 0; it < fleet->size(); ++it) {
      const std::uint16_t port = fleet->vm(it).caller_port();
      threads_.emplace_back([this, port, pause] { Run(port, pause); });
    }
  }
  ~Callers() {
    stop_ = true;
    for (std::thread& it : threads_) it.join();
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  RequestCounts counts;

 private:
  void Run(std::uint16_t port, milliseconds pause) {
    while (!stop_) {
      const auto begin = std::chrono::steady_clock::now();
      const RawResponse response = SendRequest(
          port, MakeRequest("GET", "/lots/1", kAccount), seconds(1));
      ++counts.calls;
      if (response.status == 200) ++counts.admitted;
      if (response.status == 429 || response.status == 503) ++counts.refused;
      std::this_thread::sleep_until(begin + pause);
    }
  }

  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

std::uint32_t AccountShard() {
  return core::shard::ShardOf(kAccount, kShards).value();
}

// True if the node reports that it owns the account's shard.
bool OwnsAccountShard(const Vm& vm) {
  RawRequest request;
  request.target = "/v1/status";
  const auto status = standin::ParseJson(
      SendRequest(vm.operator_port(), request, seconds(1)).body);
  if (!status) return false;
  const auto shards = status->get_child_optional("shards");
  if (!shards) return false;
  return std::any_of(shards->begin(), shards->end(), [](const auto& it) {
    return it.second.template get<std::uint32_t>("shard", kShards) ==
           AccountShard();
  });
}

// Waits for an owner of the account's shard other than `except`.
std::optional<std::size_t> WaitOwner(Fleet* fleet, std::size_t except) {
  std::optional<std::size_t> owner;
  WaitUntil(kFailoverTimeout, [&] {
    for (std::size_t it = 0; it < fleet->size(); ++it) {
      if (it != except && fleet->vm(it).node().IsRunning() &&
          OwnsAccountShard(fleet->vm(it))) {
        owner = it;
      }
    }
    return owner.has_value();
  });
  return owner;
}

// Replays the start times of all executions through a token bucket with the
// rate and burst of the account, enlarged by what the rate adds within
// kForwardingDelay. Returns how far the bucket was overdrawn at most.
double MaxExcessCalls(const Fleet& fleet, std::size_t vms) {
  std::vector<std::int64_t> started_ms;
  for (std::size_t it = 0; it < vms; ++it) {
    std::ifstream file(const_cast<Fleet&>(fleet).vm(it).execution_file());
    for (std::string line; std::getline(file, line);) {
      const auto tree = standin::ParseJson(line);
      if (!tree || tree->get<std::string>("state", "") != "running") continue;
      started_ms.push_back(tree->get<std::int64_t>("begun_ms", 0));
    }
  }
  std::sort(started_ms.begin(), started_ms.end());
  const double jitter = std::chrono::duration<double>(kForwardingDelay).count();
  const double bucket_size = kBurst + kRate * jitter;
  double tokens = bucket_size;
  double min_tokens = 0;
  std::int64_t previous_ms = started_ms.empty() ? 0 : started_ms.front();
  for (const std::int64_t it : started_ms) {
    tokens += static_cast<double>(it - previous_ms) / 1000 * kRate;
    tokens = std::min(tokens, bucket_size) - 1;
    min_tokens = std::min(min_tokens, tokens);
    previous_ms = it;
  }
  return -min_tokens;
}

// Sends several times the allowed rate before, during and after the fault, and
// checks that the rate bound holds.
void CheckRateBound(
    const char* name, Fleet* fleet,
    const std::function<void(std::size_t owner)>& inject_fault) {
  const auto owner = WaitOwner(fleet, kVms);
  BOOST_REQUIRE_MESSAGE(owner, "no owner of the shard");
  Callers callers(fleet, milliseconds(10));
  std::this_thread::sleep_for(seconds(2));
  inject_fault(*owner);
  std::this_thread::sleep_for(kFailoverTimeout);
  const int before = callers.counts.admitted;
  std::this_thread::sleep_for(seconds(2));
  const int after = callers.counts.admitted - before;
  // In the 2 s after the failover, at least half of the rate is admitted.
  BOOST_TEST(after >= static_cast<int>(kRate));
  const double excess = MaxExcessCalls(*fleet, kVms);
  BOOST_TEST(excess <= 0.0);
  BOOST_TEST_MESSAGE(name << ": " << callers.counts.calls << " calls, "
                          << callers.counts.admitted << " admitted, " << after
                          << " in 2 s after the fault, excess " << excess
                          << ", logs in " << fleet->directory());
}

BOOST_AUTO_TEST_SUITE(rate)

BOOST_AUTO_TEST_CASE(calls_within_the_rate_are_not_refused) {
  Fleet fleet(RateFleetSpec("rate-within"));
  BOOST_REQUIRE(WaitOwner(&fleet, kVms).has_value());
  RequestCounts counts;
  {
    Callers callers(&fleet, milliseconds(110));  // 27 calls/s in all
    std::this_thread::sleep_for(seconds(6));
    counts.calls = callers.counts.calls.load();
    counts.refused = callers.counts.refused.load();
    counts.admitted = callers.counts.admitted.load();
  }
  BOOST_TEST(counts.refused == 0);
  BOOST_TEST_MESSAGE("within the rate: " << counts.calls << " calls, "
                                         << counts.admitted << " admitted");
}

BOOST_AUTO_TEST_CASE(bound_holds_over_several_nodes) {
  Fleet fleet(RateFleetSpec("rate-bound"));
  CheckRateBound("no fault", &fleet, [](std::size_t) {});
}

BOOST_AUTO_TEST_CASE(bound_holds_when_the_grantor_is_killed) {
  Fleet fleet(RateFleetSpec("rate-killed"));
  CheckRateBound("grantor killed", &fleet, [&](std::size_t owner) {
    fleet.vm(owner).node().Kill();
    BOOST_TEST(WaitOwner(&fleet, owner).has_value());
  });
}

BOOST_AUTO_TEST_CASE(bound_holds_when_the_grantor_is_paused_and_resumed) {
  Fleet fleet(RateFleetSpec("rate-paused"));
  CheckRateBound("grantor paused", &fleet, [&](std::size_t owner) {
    fleet.vm(owner).node().SendSignal(SIGSTOP);
    std::this_thread::sleep_for(seconds(3));
    fleet.vm(owner).node().SendSignal(SIGCONT);
  });
}

BOOST_AUTO_TEST_CASE(grantor_killed_while_the_platform_is_away) {
  Fleet fleet(RateFleetSpec("rate-outage"));
  CheckRateBound("grantor killed in an outage", &fleet, [&](std::size_t owner) {
    fleet.SetPlatformFault(R"({"away":"refuse"})");
    std::this_thread::sleep_for(milliseconds(500));
    fleet.vm(owner).node().Kill();
    BOOST_TEST(WaitOwner(&fleet, owner).has_value());
  });
}

BOOST_AUTO_TEST_CASE(planned_stop_of_the_grantor_refuses_nothing) {
  Fleet fleet(RateFleetSpec("rate-stopped"));
  const auto owner = WaitOwner(&fleet, kVms);
  BOOST_REQUIRE(owner.has_value());
  fleet.vm(*owner).node().SendSignal(SIGTERM);
  const auto stopped = fleet.vm(*owner).node().WaitExit(seconds(10));
  BOOST_TEST(stopped.has_value());
  const auto next = WaitOwner(&fleet, *owner);
  BOOST_REQUIRE(next.has_value());
  const RawResponse response = SendRequest(
      fleet.vm(*next).caller_port(), MakeRequest("GET", "/lots/2", kAccount));
  BOOST_TEST(response.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
