// The store comes back from a copy some seconds old, and the next configuration
// gets a revision that was given out before. It takes a key away.
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../common-3/rig.h"

namespace {

using namespace review3;

constexpr std::int64_t kRevokeMs = 5000;  // revoke_ms of the site
constexpr std::int64_t kAwayMs = 1000;
constexpr std::int64_t kWatchedMs = 15'000;  // after the acknowledgement

const std::vector<std::string> services = {"batches", "wages"};
const std::vector<RouteSpec> routes = {
    {"r-list", "/list/", "batches", true, 1000, 2},
    {"r-ledger", "/ledger/", "wages", true, 1000, 2}};

// Without `with_key`, the key "key-b" has been taken away.
Json ConfigOf(std::uint32_t version, std::int64_t timeout_ms, bool with_key) {
  std::vector<RouteSpec> list = routes;
  for (RouteSpec& it : list) it.timeout_ms = timeout_ms;
  std::vector<std::string> keys = {"key-a"};
  if (with_key) keys.push_back("key-b");
  return MakeConfig(version, list, {{"stitchers", keys, 0, 0}}, services);
}

[[noreturn]] void RunCase(const Arguments& arguments) {
  Record& record = *new Record(arguments.record);
  std::vector<VmSpec> specs;
  for (const char* zone : {"alm-a", "alm-b", "alm-c"}) {
    for (const std::string& it : services) {
      specs.push_back({zone, "almaty", it});
    }
  }
  Fleet& fleet = *new Fleet(arguments.root, record, specs);
  if (!fleet.Start(ConfigOf(1, 1000, true), {"/list/0", "/ledger/0"},
                   "key-b")) {
    fleet.End(kCannotRun);
  }
  SleepMs(4000);
  // Ordinary work of some seconds: a change of a time-out, and an instance that
  // is taken away, of which its node leaves a mark in the store.
  fleet.store().TakeCopy();
  fleet.store().Put("config", "main", ConfigOf(2, 1200, true));
  SleepMs(500);
  Instance& leaving = *fleet.vm(0).instance;
  if (!leaving.Drain()) fleet.End(kCannotRun);
  SleepMs(3500);
  leaving.Leave();
  leaving.Crash();
  if (arguments.trouble) {
    fleet.store().GoAway();
    SleepMs(kAwayMs);
    fleet.store().ReturnFromCopy();
    // What the operator wrote is written again.
    fleet.store().Put("config", "main", ConfigOf(2, 1200, true));
  }
  fleet.store().Put("config", "main", ConfigOf(3, 1200, false));
  const std::int64_t revoked_at = NowMs();
  record.Line("operator: version 3, which takes key-b away, is acknowledged");

  // A client at each machine goes on with the key; the other key shows that
  // the machine serves.
  std::atomic<std::size_t> late_runs{0};
  std::atomic<std::size_t> other_served{0};
  std::vector<std::thread> clients;
  for (std::size_t vm = 0; vm < specs.size(); ++vm) {
    clients.emplace_back([&, vm] {
      while (NowMs() < revoked_at + kWatchedMs) {
        const std::int64_t sent_at = NowMs();
        std::string attempt;
        const Message answer =
            fleet.Send(vm, "GET", "/ledger/b", "key-b", 2000, &attempt);
        bool has_run = false;
        for (const Run& it : fleet.Runs()) has_run |= it.attempt == attempt;
        const bool late = sent_at > revoked_at + kRevokeMs;
        if (late && has_run) ++late_runs;
        record.Line("client at " + fleet.vm(vm).name + ": " + attempt +
                    " with key-b sent at " + std::to_string(sent_at) +
                    ", answered " + std::to_string(answer.status) +
                    (has_run ? ", run" : ", not run") +
                    (late ? ", later than revoke_ms" : ""));
        const int status =
            fleet.Send(vm, "GET", "/ledger/a", "key-a", 2000).status;
        if (status == 200) ++other_served;
        SleepMs(500);
      }
    });
  }
  for (std::thread& it : clients) it.join();
  record.Line("requests with the key sent later than revoke_ms and run: " +
              std::to_string(late_runs) +
              "; with the other key served: " + std::to_string(other_served));
  if (other_served == 0) fleet.End(kCannotRun);
  fleet.End(late_runs > 0 ? kBroken : kHeld);
}

}  // namespace

int main(int argc, char** argv) { RunCase(review3::ReadArguments(argc, argv)); }
